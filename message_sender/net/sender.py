"""The sender process: passes events to the decision module and carries out its actions. It joins the server,
the client, discovery and the journal, which don't know each other."""

import asyncio
import hashlib
import logging
import signal
import socket
from collections import Counter
from collections.abc import Container, Coroutine, Iterable
from dataclasses import replace
from functools import partial
from typing import Any

from message_sender import interface as face
from message_sender.interface import Outcome
from message_sender.net.client import Answer, Client
from message_sender.net.config import Clock, Config, Descriptors
from message_sender.net.control import Control
from message_sender.net.discovery import Discovery
from message_sender.net.figures import End, Figures
from message_sender.net.handover import Channel, Door, Estate
from message_sender.net.journal import Attempt, Entry, Journal
from message_sender.net.message import HandedIn
from message_sender.net.server import Connection, Server
from message_sender.rules import Dispatcher

STOP_LISTENING = 0.6  # s after SIGTERM; the front proxy may route new connections here for up to 0.4 s
STOP = 3.3  # s after SIGTERM until the process ends; SIGKILL may follow at 3.7 s
# s between checks for expired connections; below the 3 s within which clients must get an answer or a close
SWEEP = 0.25
REPORT = 5.0  # s between status lines in the log
HELD_LOGGED = 3  # destinations named in a status line
# s added to timers: one that fired early on the module's clock would not be set again.
TIMER_SLACK = 0.0005

NOTICED = {"returned": End.DECLINED, "failed": End.ABORTED}  # by the state that a notice reports
AGAIN = -1  # exit code of a process that must start again: the handover to its successor failed
# Calls that end without a complete answer. Their connection closes, and the receiver has yet to see that: a
# retry on another connection must not arrive first, as a second copy. Until then the call keeps its
# concurrency slot.
UNHEARD = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.SPOILT, Outcome.CANCELLED})
HEARD = 0.05  # s for the close to reach the receiver
OVER = 4096  # finished messages whose ids are still recognized; more than arrive within the longest deadline

log = logging.getLogger(__name__)


def content(message: HandedIn) -> str:
    """A digest that is equal for two requests with the same message. The time left differs with each request
    and is left out."""
    return hashlib.blake2b(repr(replace(message, until=0, again=False)).encode(), digest_size=8).hexdigest()


def is_taking(event: face.Event, name: str) -> bool:
    return isinstance(event, face.MessageTaken) and event.message == name


class Sender:
    def __init__(self, config: Config, estate: Estate | None = None, control: Control | None = None) -> None:
        """`estate`: the state folder's lock, and the state that the previous process handed over, if any."""
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.estate = estate or Estate()
        inherited = self.estate.state
        self.clock = Clock(inherited["clock"] if inherited else None)
        self.now = self.clock.now
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.journal = Journal(config.state, config.disk_bytes, self.estate.lines if inherited else None)
        classes = {each.name: each for each in config.settings.classes}
        self.once = {name for name, each in classes.items() if each.effect is face.Effect.UNSAFE}
        self.figures = Figures(classes)
        share = Descriptors.of(config.sockets, config.settings.slots)
        self.control = control or Control()
        self.control.calls = {"STATUS": self.status, "METRICS": self.metrics}
        self.control.most = share.operators
        self.door = Door(config.state, self.hand_over, self.successor_lost)
        self.server = Server(
            classes, self.take, self.now, share.clients, share.lingering, self.is_named, share.accepts
        )
        self.discovery = Discovery(
            config.discovery, config.known, self.list_told, self.end_answered, config.settings.fleet_size
        )
        self.client = Client(
            config.settings.conn_idle / 1e6,
            config.settings.connect_timeout / 1e6,
            share.calls,
            lambda: self.discovery.dials,
            lambda endpoint, wait: self.dispatcher.wait_told(endpoint, self.now() + wait),
            self.figures.forwarded,
        )
        self.inbox: list[face.Event] = []
        # Messages in the inbox that are not answered yet. A client that retries after its connection broke
        # may wait on two connections.
        self.arrived: dict[str, tuple[HandedIn, list[Connection]]] = {}
        self.calls: dict[tuple[str, int], asyncio.Task[Answer]] = {}
        # by message id, the digest of a finished message; oldest first, OVER at most
        self.ended: dict[str, str] = {}
        self.watching: asyncio.Task[None] | None = None
        self.wake: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()  # outcomes of calls and messages since the last status line
        self.turning = self.over = self.handed_over = self.terminated = False
        self.stopped: asyncio.Future[int] = self.loop.create_future()

    # Start and stop.

    async def start(self) -> None:
        """Recovers from the journal and the previous process before the sender reports ready to its
        clients."""
        self.loop.set_exception_handler(lambda _, context: self.loop_failed(context))
        self.loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self.loop.add_signal_handler(signal.SIGINT, self.terminate)
        listing = face.Listing.CACHED
        if self.estate.state:  # the previous process watched discovery until now, so its list is current
            self.discovery.recall(self.estate.state["discovery"])
            listing = face.Listing.FULL
        self.discovery.unheard = listing is face.Listing.CACHED
        self.post(face.EndpointsListed(listing, self.discovery.endpoints()))
        self.take_over()
        log.info("%s: settings %s", self.config.name, self.settings)
        log.info("%s: recovered %d messages from the journal", self.config.name, len(self.journal.entries))
        self.turn()
        self.spawn(self.discovery.tell())
        self.spawn(self.discovery.check(at_once=bool(self.estate.state)))
        self.sweeping = self.spawn(self.sweep())
        self.spawn(self.report())
        self.server.listen(*self.config.listen, self.estate.listener)
        for told, sock in self.estate.clients:
            self.server.adopt(told, sock)
        self.server.ready = not self.server.stopping
        self.door.open()
        host, port = self.server.address()
        log.info("%s: ready on %s:%d", self.config.name, host, port)

    async def run(self) -> int:
        """Serves until it is stopped; returns the exit code."""
        code = await self.stopped
        if code == 0 and not self.over:
            self.last_turn()
        self.over = True  # calls in flight get no outcome in the journal: the next start counts them as reset
        self.server.end()
        for task in [*self.calls.values(), *self.tasks]:
            task.cancel()
        self.client.close()
        self.control.close()
        self.journal.close()
        self.door.end()
        self.estate.close()
        return code

    def last_turn(self) -> None:
        """Accepts the messages that have arrived by now, so that their requests are answered; the next start
        sends them."""
        self.post(face.Stopping(0))
        self.server.read_last()
        self.turn()

    def take_over(self) -> None:
        """Restores the messages in the journal, and the calls and connections that the previous process
        handed over."""
        estate = self.estate
        out = {told["message"]: told["number"] for told, _ in estate.calls}
        for entry in self.journal.entries.values():
            self.discovery.destinations.add(entry.message.destination)
            name = entry.message.id
            self.post(self.restored(entry, (out[name],) if name in out else ()))
        if not estate.state:
            return
        self.post(face.TakenOver(estate.state["module"]))
        self.ended = estate.state["ended"]
        for told, sock in estate.idle:
            self.client.adopt_idle(told, sock)
        for told, sock in estate.calls:
            name, number = told["message"], told["number"]
            self.watch_call(name, number, self.client.resume(name, self.client.adopt_call(told, sock)))
        log.info(
            "%s: the previous process handed over %d clients, %d calls and %d idle connections",
            *(self.config.name, len(estate.clients), len(estate.calls), len(estate.idle)),
        )

    def hand_over(self, channel: Channel) -> None:
        """Hands everything over to a newer version, within one turn of the loop. Afterwards this process owns
        nothing."""
        while self.inbox or any(task.done() for task in self.calls.values()):
            for key, task in list(self.calls.items()):
                if task.done():
                    self.call_ended(*key, task)
            self.turn()
        self.over = self.handed_over = True
        calls = self.calls_to_hand_over()
        module = self.dispatcher.memory()
        out = {told["message"] for told, _ in calls}
        for call in module["calls"]:
            call["messages"] = [each for each in call["messages"] if each[0] in out]
        state = {
            "clock": self.clock.base,
            "module": module,
            "discovery": self.discovery.told(),
            "ended": self.ended,
        }
        channel.send_state(state, self.journal.lines(), self.server.listener)
        for told, sock in calls:
            channel.send_all("calls", [(told, sock)])
            self.client.let_go(told["message"])
        channel.send_all("idle", self.client.hand_over_idle())
        channel.send_all("clients", self.server.hand_over())
        self.server.close()
        for task in [*self.calls.values(), *(self.tasks - {self.sweeping})]:
            task.cancel()
        self.client.close()
        self.journal.close()
        if self.estate.lock:
            channel.send_lock(self.estate.lock)
        self.estate.close()
        log.info("%s: handed over to another process, with %d calls in flight", self.config.name, len(calls))
        if self.terminated:
            self.stop(0)

    def successor_lost(self) -> None:
        self.stop(0 if self.terminated else AGAIN)

    def calls_to_hand_over(self) -> list[tuple[dict[str, Any], socket.socket]]:
        """The calls that wait for an answer. All others are ended: a call that is not completely written
        never ran."""
        calls = []
        for (name, number), task in self.calls.items():
            if not task.cancelling() and (call := self.client.hand_over_call(name)):
                calls.append((call[0] | {"message": name, "number": number}, call[1]))
            elif name in self.journal.entries:
                self.journal.outcome(name, number, self.client.break_off(name))
        return calls

    def restored(self, entry: Entry, out: Container[int] = ()) -> face.MessageRestored:
        """`out`: numbers of attempts that the previous process handed over in flight. If it handed over its
        state too, that already includes the failures of destinations."""
        risk = entry.first_risk(out)
        served = self.journal.served.get(entry.message.destination, 0)
        since = [each for each in entry.attempts.values() if each.at >= served and not self.estate.state]
        return face.MessageRestored(
            taken=self.taken(entry.message),
            attempts=max(entry.attempts, default=-1) + 1,
            risky_since=min(risk.at, self.now()) if risk else None,
            risky_zone=risk.zone if risk else "",
            outcomes=tuple((each.endpoint, each.outcome) for each in since if each.outcome),
            held=not out and entry.message.id not in self.discovery.notices,
        )

    def reconfigure(self, config: Config) -> None:
        """SIGHUP: applies a new discovery address. Any other change takes effect at the next start."""
        if config.discovery != self.discovery.address and not self.handed_over:
            log.info("%s: discovery address changed to %s:%d", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            if self.watching:  # the old watch continues until the new address has sent a list
                self.watching = self.spawn(self.discovery.watch())

    def terminate(self) -> None:
        """SIGTERM: begins to stop. Clients still get answers, and new messages are accepted: the journal
        keeps them for the next start."""
        if self.terminated:
            return
        self.terminated = True
        log.info("%s: stopping", self.config.name)
        if self.handed_over:
            self.stop(0)
            return
        self.server.stop()
        self.post(face.Stopping(int(STOP * 1e6)))
        self.loop.call_later(STOP_LISTENING, self.stop_listening)
        self.loop.call_later(STOP, self.stop, 0)

    def stop_listening(self) -> None:
        self.server.close()
        self.stop_if_done()

    def stop_if_done(self) -> None:
        if self.server.stopping and self.server.is_done() and not (self.calls or self.journal.entries):
            self.stop(0)

    def stop(self, code: int) -> None:
        if not self.stopped.done():
            self.stopped.set_result(code)

    def loop_failed(self, context: dict[str, Any]) -> None:
        """Logs socket errors that the loop reports, such as a lack of descriptors, which pass; anything else
        ends the process."""
        if isinstance(error := context.get("exception"), OSError):
            log.error("%s: %s", context.get("message"), error)
        else:
            self.fail(context)

    def fail(self, context: dict[str, Any]) -> None:
        """Logs an unexpected error and ends the process; the next one recovers from the journal."""
        log.critical("%s", context.get("message"), exc_info=context.get("exception"))
        self.stop(1)

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.task_ended)
        return task

    def task_ended(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (error := task.exception()):
            self.fail({"message": "a task failed", "exception": error})

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(SWEEP)
            self.server.expire()
            self.client.drop_old()
            self.stop_if_done()

    async def report(self) -> None:
        while True:
            await asyncio.sleep(REPORT)
            counts, self.counts = self.counts, Counter()
            log.info(
                "%s: %d of at most %d messages, %d in the journal, %d notices unanswered; "
                "%d of at most %d calls in flight; %d outgoing connections, %d idle, %d clients, "
                "requests unread for up to %.0f ms; list version %s, %d endpoints; "
                "since the last report: %s; longest queues: %s",
                self.config.name,
                len(self.dispatcher.messages),
                self.settings.max_open,
                len(self.journal.entries),
                len(self.discovery.notices),
                len(self.calls),
                self.settings.slots,
                len(self.client.open),
                len(self.client.idle),
                len(self.server.connections),
                self.server.longest_unread * 1e3,
                self.discovery.seq,
                len(self.dispatcher.endpoints),
                ", ".join(f"{name} {count}" for name, count in sorted(counts.items())) or "nothing",
                "; ".join(self.dispatcher.most_held(HELD_LOGGED)) or "none",
            )
            self.server.longest_unread = 0.0

    # Operator commands.

    def status(self) -> str:
        """Whether a message sent now would be accepted."""
        if self.handed_over:
            return "fail handed over to another process"
        if self.server.stopping:
            return "fail stopping"
        if not self.server.ready:
            return "fail starting"
        if not self.has_room():
            return "fail no more messages can be held"
        return "ok" if self.journal.has_room() else "fail no room in the state folder"

    def metrics(self) -> str:
        gauges = {
            "outstanding": 0 if self.handed_over else len(self.journal.entries),
            "discovered": len(self.discovery.dials),
            "ejected": self.dispatcher.avoided(),
        }
        return "\n".join([*self.figures.lines(gauges), "eof"])

    # Events. Those of one loop turn are passed to the module as one batch: clients, calls and decisions share
    # one core.

    def post(self, event: face.Event) -> None:
        self.inbox.append(event)
        if not self.turning:
            self.turning = True
            self.loop.call_soon(self.turn)

    def taken(self, message: HandedIn) -> face.MessageTaken:
        return face.MessageTaken(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left=message.until - self.now(),
            tenant=message.tenant,
            key=message.key,
            again=message.again,
        )

    def take(self, message: HandedIn, connection: Connection) -> None:
        known = self.known_as(message.id)
        if known == content(message):
            connection.answer(202)  # a repeated request: the message is or was already accepted
        elif (arrived := self.arrived.get(message.id)) and content(arrived[0]) == content(message):
            arrived[1].append(connection)
        elif known is not None or arrived:
            # Another message has this id. A 202 would confirm a message that is not accepted, and later
            # messages with its ordering key would not wait for it. The client may send it again under a new
            # id.
            log.warning("message id %s is already used by another message", message.id)
            self.turn_away(message, connection, "this id is another message's")
        elif not self.has_room():
            self.counts["turned away"] += 1
            self.turn_away(message, connection)
        else:
            self.arrived[message.id] = message, [connection]
            self.post(self.taken(message))

    def has_room(self) -> bool:
        return len(self.dispatcher.messages) + len(self.arrived) < self.settings.max_open

    def turn_away(self, message: HandedIn, connection: Connection, text: str = "") -> None:
        """Rejects a message that was not accepted, so no attempt of it has run."""
        self.figures.ended(message.message_class, End.DECLINED)
        connection.answer(503, self.dispatcher.come_again(), text)

    def known_as(self, name: str) -> str | None:
        if entry := self.journal.entries.get(name):
            return content(entry.message)
        return self.ended.get(name)

    def is_named(self, destination: int) -> bool:
        """Whether a list ever named this destination; one without endpoints may get some again."""
        return destination in self.discovery.destinations

    def list_told(self, event: face.EndpointsListed) -> None:
        self.client.drop_gone()
        self.post(event)

    def message_over(self, name: str) -> None:
        if entry := self.journal.entries.get(name):
            self.ended[name] = content(entry.message)
        self.journal.ended(name)
        if len(self.ended) > OVER:
            del self.ended[next(iter(self.ended))]

    def end_answered(self, name: str, state: str) -> None:
        if entry := self.journal.entries.get(name):
            self.figures.ended(entry.message.message_class, NOTICED[state])
        self.message_over(name)
        self.post(face.EndAnswered(name))
        self.stop_if_done()

    def call_ended(self, name: str, number: int, task: asyncio.Task[Answer]) -> None:
        if self.calls.pop((name, number), None) is None or self.over:
            return
        if task.cancelled():
            answer = Answer(Outcome.CANCELLED)
        elif error := task.exception():
            self.fail({"message": "a call failed", "exception": error})
            return
        else:
            answer = task.result()
        self.counts[answer.outcome.value] += 1
        if name in self.journal.entries:
            self.journal.outcome(name, number, answer.outcome)
            if answer.finished:
                end = End.SUCCEEDED if answer.outcome is Outcome.OK else End.ABORTED
                self.figures.ended(self.journal.entries[name].message.message_class, end)
                self.message_over(name)
        ended = face.AttemptEnded(name, number, answer.outcome, answer.finished, answer.wait)
        if answer.outcome in UNHEARD and not answer.finished:
            self.loop.call_later(HEARD, self.post, ended)
        else:
            self.post(ended)
        self.stop_if_done()

    # One turn: the module handles the events, and its actions are carried out.

    def turn(self) -> None:
        self.turning = False
        if self.over:
            return
        arrived, self.arrived = self.arrived, {}
        withdrawn = {name for name, (_, clients) in arrived.items() if all(x.gone() for x in clients)}
        events, self.inbox = self.inbox, []
        for name in withdrawn:
            events = [each for each in events if not is_taking(each, name)]
        actions = self.dispatcher.handle(self.now(), events)
        refused = {each.message: each for each in actions if isinstance(each, face.Refuse | face.Fail)}
        untaken = set()
        for name, (message, clients) in arrived.items():
            if name in withdrawn:
                for connection in clients:
                    connection.transport.close()
            elif name in refused:
                self.refuse(refused[name], message, clients)
                untaken.add(name)
            elif self.journal.taken(message):
                self.counts["taken on"] += 1
                for connection in clients:
                    connection.answer(202)
            else:
                for connection in clients:
                    self.turn_away(message, connection)
                untaken.add(name)
                self.post(face.MessageWithdrawn(name))
        for action in actions:
            self.act(action, untaken)

    def refuse(
        self, action: face.Refuse | face.Fail, message: HandedIn, clients: Iterable[Connection]
    ) -> None:
        """Answers a message that was not accepted, so no attempt of it has run."""
        after = action.retry_after if isinstance(action, face.Refuse) else self.dispatcher.come_again()
        self.figures.ended(message.message_class, End.DECLINED)
        for connection in clients:
            connection.answer(429, after)
        self.post(face.EndAnswered(action.message))

    def act(self, action: face.Action, untaken: set[str]) -> None:
        match action:
            case face.Send():
                self.send(action, action.message in untaken)
            case face.Refuse(name) | face.Fail(name) if name in untaken:
                pass  # already answered
            case face.Refuse(name, retry_after):
                self.counts["returned"] += 1
                self.discovery.notify(name, "returned", retry_after)
            case face.Fail(name):
                self.counts["given up"] += 1
                self.discovery.notify(name, "failed")
            case face.CancelAttempt(name, number):
                if task := self.calls.get((name, number)):
                    task.cancel()
            case face.WakeAfter(delay):
                if self.wake:
                    # the module asks again only for an earlier time, or once this one has passed
                    self.wake.cancel()
                self.wake = self.loop.call_later(delay / 1e6 + TIMER_SLACK, self.post, face.WakeUp())
            case face.Subscribe():
                if self.watching:
                    self.watching.cancel()
                self.watching = self.spawn(self.discovery.watch())
            case face.CloseIdle(endpoint):
                self.client.close_idle(endpoint)
            case face.Note(text):
                log.info("%s", text)

    def send(self, action: face.Send, untaken: bool) -> None:
        name, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        # The attempt is in the journal before its first byte is sent: after SIGKILL it counts as having run.
        if untaken or not self.journal.sent(name, number, Attempt(self.now(), endpoint, zone)):
            self.post(face.AttemptEnded(name, number, Outcome.NOT_SENT, finished=untaken))
            return
        message = self.journal.entries[name].message
        call = self.client.call(
            endpoint,
            message,
            action.timeout / 1e6,
            lambda: self.dispatcher.may_still_go(endpoint, message.destination, self.now()),
            message.message_class in self.once,
        )
        self.watch_call(name, number, call)

    def watch_call(self, name: str, number: int, call: Coroutine[Any, Any, Answer]) -> None:
        task = self.calls[name, number] = self.loop.create_task(call)
        task.add_done_callback(partial(self.call_ended, name, number))
