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
from message_sender.net.figures import End, MessageCounters
from message_sender.net.handover import Channel, HandoverState, SuccessorListener
from message_sender.net.journal import Attempt, Entry, Journal
from message_sender.net.message import HandedIn
from message_sender.net.server import Connection, Server
from message_sender.rules import Dispatcher

STOP_LISTENING_DELAY = 0.6  # s after SIGTERM; the front proxy may route new connections here for up to 0.4 s
SHUTDOWN_LIMIT = 3.3  # s after SIGTERM until the process ends; SIGKILL may follow at 3.7 s
# s between checks for expired connections; below the 3 s within which clients must get an answer or a close
SWEEP_INTERVAL = 0.25
REPORT_INTERVAL = 5.0  # s between status lines in the log
LOGGED_DESTINATIONS = 3  # destinations named in a status line
# s added to timers: one that fired early on the module's clock would not be set again.
TIMER_SLACK = 0.0005

END_BY_NOTICE_STATE = {"returned": End.DECLINED, "failed": End.ABORTED}  # by the state that a notice reports
EXIT_RESTART = -1  # exit code of a process that must start again: the handover to its successor failed
# Calls that end without a complete answer. Their connection closes, and the receiver has yet to see that: a
# retry on another connection must not arrive first, as a second copy. Until then the call keeps its
# concurrency slot.
ABANDONED_OUTCOMES = frozenset(
    {Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.SPOILT, Outcome.CANCELLED}
)
CLOSE_DELAY = 0.05  # s for the close to reach the receiver
# Finished messages whose ids are still recognized; more than arrive within the longest deadline.
FINISHED_LIMIT = 4096

log = logging.getLogger(__name__)


def content_digest(message: HandedIn) -> str:
    """A digest that is equal for two requests with the same message. The time left differs with each request
    and is left out."""
    return hashlib.blake2b(repr(replace(message, until=0, again=False)).encode(), digest_size=8).hexdigest()


def is_taken_event(event: face.Event, name: str) -> bool:
    return isinstance(event, face.MessageAccepted) and event.message == name


class Sender:
    def __init__(
        self, config: Config, handover: HandoverState | None = None, control: Control | None = None
    ) -> None:
        """`handover`: the state folder's lock, and the state that the previous process handed over, if
        any."""
        self.config, self.settings = config, config.settings
        self.loop = asyncio.get_running_loop()
        self.handover = handover or HandoverState()
        inherited = self.handover.state
        self.clock = Clock(inherited["clock"] if inherited else None)
        self.now = self.clock.now
        self.dispatcher = Dispatcher(config.settings, config.seed)
        self.journal = Journal(config.state, config.disk_bytes, self.handover.lines if inherited else None)
        classes = {each.name: each for each in config.settings.classes}
        self.unsafe_classes = {name for name, each in classes.items() if each.effect is face.Effect.UNSAFE}
        self.counters = MessageCounters(classes)
        share = Descriptors.divide(config.sockets, config.settings.slots)
        self.control = control or Control()
        self.control.commands = {"STATUS": self.status, "METRICS": self.metrics}
        self.control.max_callers = share.operators
        self.successor_listener = SuccessorListener(config.state, self.hand_over, self.successor_lost)
        self.server = Server(
            classes,
            self.receive_message,
            self.now,
            share.clients,
            share.lingering,
            self.is_known_destination,
            share.accepts,
        )
        self.discovery = Discovery(
            config.discovery, config.known, self.on_list, self.on_notice_answered, config.settings.fleet_size
        )
        self.client = Client(
            config.settings.conn_idle / 1e6,
            config.settings.connect_timeout / 1e6,
            share.calls,
            lambda: self.discovery.addresses,
            lambda endpoint, wait: self.dispatcher.apply_wait(endpoint, self.now() + wait),
            self.counters.count_forward,
        )
        self.inbox: list[face.Event] = []
        # Messages in the inbox that are not answered yet. A client that retries after its connection broke
        # may wait on two connections.
        self.pending: dict[str, tuple[HandedIn, list[Connection]]] = {}
        self.calls: dict[tuple[str, int], asyncio.Task[Answer]] = {}
        # by message id, the digest of a finished message; oldest first, FINISHED_LIMIT at most
        self.finished: dict[str, str] = {}
        self.watch_task: asyncio.Task[None] | None = None
        self.wake_timer: asyncio.TimerHandle | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.counts: Counter[str] = Counter()  # outcomes of calls and messages since the last status line
        self.turn_scheduled = self.halted = self.handed_over = self.terminated = False
        self.stopped: asyncio.Future[int] = self.loop.create_future()

    # Start and stop.

    async def start(self) -> None:
        """Recovers from the journal and the previous process before the sender reports ready to its
        clients."""
        self.loop.set_exception_handler(lambda _, context: self.loop_failed(context))
        self.loop.add_signal_handler(signal.SIGTERM, self.terminate)
        self.loop.add_signal_handler(signal.SIGINT, self.terminate)
        listing = face.Listing.CACHED
        if self.handover.state:  # the previous process watched discovery until now, so its list is current
            self.discovery.restore(self.handover.state["discovery"])
            listing = face.Listing.FULL
        self.discovery.is_unconfirmed = listing is face.Listing.CACHED
        self.post(face.EndpointsListed(listing, self.discovery.endpoints()))
        self.restore()
        log.info("%s: settings %s", self.config.name, self.settings)
        log.info("%s: recovered %d messages from the journal", self.config.name, len(self.journal.entries))
        self.turn()
        self.spawn(self.discovery.send_notices())
        self.spawn(self.discovery.check_periodically(at_once=bool(self.handover.state)))
        self.sweeping = self.spawn(self.sweep())
        self.spawn(self.report())
        self.server.listen(*self.config.listen, self.handover.listener)
        for details, sock in self.handover.clients:
            self.server.adopt(details, sock)
        self.server.ready = not self.server.stopping
        self.successor_listener.open()
        host, port = self.server.address()
        log.info("%s: ready on %s:%d", self.config.name, host, port)

    async def run(self) -> int:
        """Serves until it is stopped; returns the exit code."""
        code = await self.stopped
        if code == 0 and not self.halted:
            self.final_turn()
        # Calls in flight get no outcome in the journal, so the next start counts them as reset.
        self.halted = True
        self.server.shut_down()
        for task in [*self.calls.values(), *self.tasks]:
            task.cancel()
        self.client.close()
        self.control.close()
        self.journal.close()
        self.successor_listener.shut_down()
        self.handover.close()
        return code

    def final_turn(self) -> None:
        """Accepts the messages that have arrived by now, so that their requests are answered; the next start
        sends them."""
        self.post(face.Stopping(0))
        self.server.read_remaining()
        self.turn()

    def restore(self) -> None:
        """Restores the messages in the journal, and the calls and connections that the previous process
        handed over."""
        handover = self.handover
        in_flight = {details["message"]: details["number"] for details, _ in handover.calls}
        for entry in self.journal.entries.values():
            self.discovery.destinations.add(entry.message.destination)
            name = entry.message.id
            self.post(self.restored_event(entry, (in_flight[name],) if name in in_flight else ()))
        if not handover.state:
            return
        self.post(face.MemoryReceived(handover.state["module"]))
        self.finished = handover.state["ended"]
        for details, sock in handover.idle:
            self.client.adopt_idle(details, sock)
        for details, sock in handover.calls:
            name, number = details["message"], details["number"]
            self.watch_call(name, number, self.client.resume(name, self.client.adopt_call(details, sock)))
        log.info(
            "%s: the previous process handed over %d clients, %d calls and %d idle connections",
            *(self.config.name, len(handover.clients), len(handover.calls), len(handover.idle)),
        )

    def hand_over(self, channel: Channel) -> None:
        """Hands everything over to a newer version, within one turn of the loop. Afterwards this process owns
        nothing."""
        while self.inbox or any(task.done() for task in self.calls.values()):
            for key, task in list(self.calls.items()):
                if task.done():
                    self.call_ended(*key, task)
            self.turn()
        self.halted = self.handed_over = True
        calls = self.calls_to_hand_over()
        module = self.dispatcher.memory()
        in_flight = {details["message"] for details, _ in calls}
        for call in module["calls"]:
            call["messages"] = [each for each in call["messages"] if each[0] in in_flight]
        state = {
            "clock": self.clock.base,
            "module": module,
            "discovery": self.discovery.handover_state(),
            "ended": self.finished,
        }
        channel.send_state(state, self.journal.lines(), self.server.listener)
        for details, sock in calls:
            channel.send_all("calls", [(details, sock)])
            self.client.release_call(details["message"])
        channel.send_all("idle", self.client.hand_over_idle())
        channel.send_all("clients", self.server.hand_over())
        self.server.close()
        for task in [*self.calls.values(), *(self.tasks - {self.sweeping})]:
            task.cancel()
        self.client.close()
        self.journal.close()
        if self.handover.lock:
            channel.send_lock(self.handover.lock)
        self.handover.close()
        log.info("%s: handed over to another process, with %d calls in flight", self.config.name, len(calls))
        if self.terminated:
            self.stop(0)

    def successor_lost(self) -> None:
        self.stop(0 if self.terminated else EXIT_RESTART)

    def calls_to_hand_over(self) -> list[tuple[dict[str, Any], socket.socket]]:
        """The calls that wait for an answer. All others are ended: a call that is not completely written
        never ran."""
        calls = []
        for (name, number), task in self.calls.items():
            if not task.cancelling() and (call := self.client.hand_over_call(name)):
                calls.append((call[0] | {"message": name, "number": number}, call[1]))
            elif name in self.journal.entries:
                self.journal.record_outcome(name, number, self.client.abort_call(name))
        return calls

    def restored_event(self, entry: Entry, in_flight: Container[int] = ()) -> face.MessageRestored:
        """`in_flight`: numbers of attempts that the previous process handed over in flight. If it handed over
        its state too, that already includes the failures of destinations."""
        risk = entry.first_risky_attempt(in_flight)
        served = self.journal.served.get(entry.message.destination, 0)
        since = [each for each in entry.attempts.values() if each.at >= served and not self.handover.state]
        return face.MessageRestored(
            taken=self.taken_event(entry.message),
            attempts=max(entry.attempts, default=-1) + 1,
            possible_run_at=min(risk.at, self.now()) if risk else None,
            possible_run_zone=risk.zone if risk else "",
            outcomes=tuple((each.endpoint, each.outcome) for each in since if each.outcome),
            held=not in_flight and entry.message.id not in self.discovery.notices,
        )

    def reconfigure(self, config: Config) -> None:
        """SIGHUP: applies a new discovery address. Any other change takes effect at the next start."""
        if config.discovery != self.discovery.address and not self.handed_over:
            log.info("%s: discovery address changed to %s:%d", self.config.name, *config.discovery)
            self.discovery.move(config.discovery)
            if self.watch_task:  # the old watch continues until the new address has sent a list
                self.watch_task = self.spawn(self.discovery.watch())

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
        self.post(face.Stopping(int(SHUTDOWN_LIMIT * 1e6)))
        self.loop.call_later(STOP_LISTENING_DELAY, self.stop_listening)
        self.loop.call_later(SHUTDOWN_LIMIT, self.stop, 0)

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
            await asyncio.sleep(SWEEP_INTERVAL)
            self.server.expire()
            self.client.close_expired()
            self.stop_if_done()

    async def report(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL)
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
                "; ".join(self.dispatcher.longest_queues(LOGGED_DESTINATIONS)) or "none",
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
            "discovered": len(self.discovery.addresses),
            "ejected": self.dispatcher.count_avoided(),
        }
        return "\n".join([*self.counters.lines(gauges), "eof"])

    # Events. Those of one loop turn are passed to the module as one batch: clients, calls and decisions share
    # one core.

    def post(self, event: face.Event) -> None:
        self.inbox.append(event)
        if not self.turn_scheduled:
            self.turn_scheduled = True
            self.loop.call_soon(self.turn)

    def taken_event(self, message: HandedIn) -> face.MessageAccepted:
        return face.MessageAccepted(
            message=message.id,
            message_class=message.message_class,
            destination=message.destination,
            time_left=message.until - self.now(),
            tenant=message.tenant,
            key=message.key,
            again=message.again,
        )

    def receive_message(self, message: HandedIn, connection: Connection) -> None:
        known = self.known_digest(message.id)
        if known == content_digest(message):
            connection.answer(202)  # a repeated request: the message is or was already accepted
        elif (pending := self.pending.get(message.id)) and content_digest(pending[0]) == content_digest(
            message
        ):
            pending[1].append(connection)
        elif known is not None or pending:
            # Another message has this id. A 202 would confirm a message that is not accepted, and later
            # messages with its ordering key would not wait for it. The client may send it again under a new
            # id.
            log.warning("message id %s is already used by another message", message.id)
            self.reject(message, connection, "this id is another message's")
        elif not self.has_room():
            self.counts["turned away"] += 1
            self.reject(message, connection)
        else:
            self.pending[message.id] = message, [connection]
            self.post(self.taken_event(message))

    def has_room(self) -> bool:
        return len(self.dispatcher.messages) + len(self.pending) < self.settings.max_open

    def reject(self, message: HandedIn, connection: Connection, text: str = "") -> None:
        """Rejects a message that was not accepted, so no attempt of it has run."""
        self.counters.count_end(message.message_class, End.DECLINED)
        connection.answer(503, self.dispatcher.default_retry_after(), text)

    def known_digest(self, name: str) -> str | None:
        if entry := self.journal.entries.get(name):
            return content_digest(entry.message)
        return self.finished.get(name)

    def is_known_destination(self, destination: int) -> bool:
        """Whether a list ever named this destination; one without endpoints may get some again."""
        return destination in self.discovery.destinations

    def on_list(self, event: face.EndpointsListed) -> None:
        self.client.close_unlisted()
        self.post(event)

    def finish_message(self, name: str) -> None:
        if entry := self.journal.entries.get(name):
            self.finished[name] = content_digest(entry.message)
        self.journal.record_ended(name)
        if len(self.finished) > FINISHED_LIMIT:
            del self.finished[next(iter(self.finished))]

    def on_notice_answered(self, name: str, state: str) -> None:
        if entry := self.journal.entries.get(name):
            self.counters.count_end(entry.message.message_class, END_BY_NOTICE_STATE[state])
        self.finish_message(name)
        self.post(face.EndAcknowledged(name))
        self.stop_if_done()

    def call_ended(self, name: str, number: int, task: asyncio.Task[Answer]) -> None:
        if self.calls.pop((name, number), None) is None or self.halted:
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
            self.journal.record_outcome(name, number, answer.outcome)
            if answer.finished:
                end = End.SUCCEEDED if answer.outcome is Outcome.OK else End.ABORTED
                self.counters.count_end(self.journal.entries[name].message.message_class, end)
                self.finish_message(name)
        ended = face.AttemptEnded(name, number, answer.outcome, answer.finished, answer.wait)
        if answer.outcome in ABANDONED_OUTCOMES and not answer.finished:
            self.loop.call_later(CLOSE_DELAY, self.post, ended)
        else:
            self.post(ended)
        self.stop_if_done()

    # One turn: the module handles the events, and its actions are carried out.

    def turn(self) -> None:
        self.turn_scheduled = False
        if self.halted:
            return
        pending, self.pending = self.pending, {}
        withdrawn = {
            name for name, (_, clients) in pending.items() if all(x.is_closed_by_client() for x in clients)
        }
        events, self.inbox = self.inbox, []
        for name in withdrawn:
            events = [each for each in events if not is_taken_event(each, name)]
        actions = self.dispatcher.handle(self.now(), events)
        refused = {each.message: each for each in actions if isinstance(each, face.Refuse | face.Fail)}
        rejected = set()
        for name, (message, clients) in pending.items():
            if name in withdrawn:
                for connection in clients:
                    connection.transport.close()
            elif name in refused:
                self.refuse(refused[name], message, clients)
                rejected.add(name)
            elif self.journal.record_taken(message):
                self.counts["taken on"] += 1
                for connection in clients:
                    connection.answer(202)
            else:
                for connection in clients:
                    self.reject(message, connection)
                rejected.add(name)
                self.post(face.MessageWithdrawn(name))
        for action in actions:
            self.perform_action(action, rejected)

    def refuse(
        self, action: face.Refuse | face.Fail, message: HandedIn, clients: Iterable[Connection]
    ) -> None:
        """Answers a message that was not accepted, so no attempt of it has run."""
        after = (
            action.retry_after if isinstance(action, face.Refuse) else self.dispatcher.default_retry_after()
        )
        self.counters.count_end(message.message_class, End.DECLINED)
        for connection in clients:
            connection.answer(429, after)
        self.post(face.EndAcknowledged(action.message))

    def perform_action(self, action: face.Action, rejected: set[str]) -> None:
        match action:
            case face.Send():
                self.send(action, action.message in rejected)
            case face.Refuse(name) | face.Fail(name) if name in rejected:
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
                if self.wake_timer:
                    # the module asks again only for an earlier time, or once this one has passed
                    self.wake_timer.cancel()
                self.wake_timer = self.loop.call_later(delay / 1e6 + TIMER_SLACK, self.post, face.WakeUp())
            case face.Subscribe():
                if self.watch_task:
                    self.watch_task.cancel()
                self.watch_task = self.spawn(self.discovery.watch())
            case face.CloseIdle(endpoint):
                self.client.close_idle(endpoint)
            case face.Note(text):
                log.info("%s", text)

    def send(self, action: face.Send, rejected: bool) -> None:
        name, number, endpoint = action.message, action.attempt, action.endpoint
        zone = self.dispatcher.endpoints[endpoint].listed.zone
        # The attempt is in the journal before its first byte is sent: after SIGKILL it counts as having run.
        if rejected or not self.journal.record_sent(name, number, Attempt(self.now(), endpoint, zone)):
            self.post(face.AttemptEnded(name, number, Outcome.NOT_SENT, finished=rejected))
            return
        message = self.journal.entries[name].message
        call = self.client.call(
            endpoint,
            message,
            action.timeout / 1e6,
            lambda: self.dispatcher.may_still_send(endpoint, message.destination, self.now()),
            message.message_class in self.unsafe_classes,
        )
        self.watch_call(name, number, call)

    def watch_call(self, name: str, number: int, call: Coroutine[Any, Any, Answer]) -> None:
        task = self.calls[name, number] = self.loop.create_task(call)
        task.add_done_callback(partial(self.call_ended, name, number))
