"""Every decision of a sender. Its types, events and actions are in message_sender/interface.py.

A circuit breaker per destination, or per endpoint where each has its own limit, decides when calls may start
(plumline/breaker/breaker.py). Until then messages are queued. The rest enforces the six delivery rules
(comments marked "Rule") or picks the queued message that is sent next.
"""

import heapq
import itertools
import math
import random
from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from message_sender import interface as face
from message_sender.interface import Effect, EndpointState, Listing, Outcome
from plumline.breaker.breaker import (
    ERROR_WEIGHT,
    FAILURE_THRESHOLD,
    GAP_SENDERS,
    NEVER,
    RESET_TIMEOUT,
    Breaker,
)

LIST_TIMEOUT = 1_000_000  # us to wait at the start for a fresh list; an agent answers at once or not at all
FULL_RATE_SUBSCRIBERS = 4  # senders; a larger fleet retries a failed discovery less often
DESTINATION_SLOT_SHARE = 0.5  # of the slots that calls to one destination may occupy
MIN_HOLD_SHARE = 0.7  # of a message's time; rule: one that cannot have run is not refused before that
DEFERRED_SERVED = 0.9  # assumed probability that a message skipped now is still served one latency aim later
# The attempt may still be running at the destination.
UNCERTAIN = frozenset({Outcome.TIMEOUT, Outcome.RESET, Outcome.STALE, Outcome.SPOILT, Outcome.CANCELLED})
ANSWERED_FAILURES = frozenset({Outcome.ERROR, Outcome.SPOILT})
LIMIT_GROWTH = 0.1  # concurrent calls that each served call adds to the connection limit of an endpoint
SCARCE_IDLE_TIMES = 3  # idle timeouts, during which a large fleet closes idle connections after a refused one
MAX_DOUBLINGS = 4  # of the backoff after a refused connection, which starts at the usual time of a call
IDLE_EXPIRY = 60_000_000  # us after which unused state is dropped; far longer than any outage
EXPIRY_INTERVAL = 5_000_000  # us between checks for unused state
CALL_SHARE = 1 / 8  # of the latency aim: assumed time of a call with its network delay


class Endpoint:
    KEPT = ("bad_until", "last_sent", "room", "again_at", "turned_away")  # fields in memory()

    def __init__(self, listed: face.Endpoint) -> None:
        self.listed, self.out = listed, 0
        self.bad_until, self.last_sent = 0.0, -NEVER
        # Concurrent calls allowed here; no setting gives it, it is learned from refused connections.
        self.room = NEVER
        self.again_at, self.turned_away = -NEVER, 0  # next connection attempt; refused connections in a row
        self.breaker: Breaker


class Message:
    def __init__(self, taken: face.MessageAccepted, kind: face.MessageClass, now: int, share: float) -> None:
        self.id, self.kind, self.destination = taken.message, kind, taken.destination
        self.key = taken.key if kind.in_order else ""
        self.expires_at, self.created_at = now + taken.time_left, now + taken.time_left - kind.deadline
        self.protected_until = now + MIN_HOLD_SHARE * taken.time_left
        self.share = share  # factor on its value: 1, or less when its tenant is over its share
        self.attempts, self.out, self.ended = 0, False, False
        self.possible_run_at: int | None = None  # send time of the first attempt that may have run
        self.possible_run_zone = ""


class Call:
    """One call to a destination; the messages of a batch share it."""

    FLAGS = ("settled", "overdue", "called_off")

    def __init__(self, breaker: Breaker, endpoint: Endpoint, now: int) -> None:
        self.breaker, self.endpoint, self.sent = breaker, endpoint, now
        self.messages: dict[str, Message] = {}
        self.settled = self.overdue = self.called_off = False  # settled: its result is counted

    def repeat_may_harm(self) -> bool:
        return any(each.kind.effect is not Effect.SAFE for each in self.messages.values())


class KeyQueue:
    """Rule: messages of one key are sent one at a time, in order, and pause after an uncertain attempt."""

    def __init__(self) -> None:
        self.messages: list[Message] = []
        self.paused_until = 0


class Dispatcher:
    """Decides when and where the messages of one sender are sent."""

    def __init__(self, settings: face.Settings, seed: int) -> None:
        self.settings, self.random = settings, random.Random(seed)
        self.classes = {each.name: each for each in settings.classes}
        self.least_aim = min(each.aim for each in settings.classes)
        self.fleet_factor = 1 - 1 / max(settings.fleet_size / GAP_SENDERS, 1)  # as in Breaker
        self.kinds = defaultdict(face.Kind, settings.kinds)
        self.zone_fees = dict(settings.zone_fees)
        self.quotas = {name: rate / settings.fleet_size for name, rate in settings.tenants if rate > 0}
        self.credit, self.credited_at = dict(self.quotas), 0  # at most one second's share accumulates
        self.endpoints: dict[str, Endpoint] = {}
        self.by_destination: dict[int, list[Endpoint]] = {}
        self.breakers: dict[tuple[int, str], Breaker] = {}
        self.breakers_at: dict[int, list[Breaker]] = {}  # of listed endpoints
        self.batches = any(kind.batch > 1 for _, kind in settings.kinds)
        self.messages: dict[str, Message] = {}
        self.arriving: set[str] = set()  # accepted in this call of handle()
        self.waiting: dict[int, dict[str, Message]] = {}
        self.unanswered: dict[str, Message] = {}  # ended here, EndAcknowledged not received yet
        self.keys: dict[str, KeyQueue] = {}
        self.calls: dict[tuple[str, int], Call] = {}
        self.idle: dict[str, Endpoint] = {}  # endpoints where a call has just ended
        self.scarce: dict[str, float] = {}  # kind of destination short of connections: until when
        self.out: dict[Call, None] = {}  # distinct calls, oldest first
        self.deadlines: list[tuple[float, int, Message]] = []  # a heap: when to check a message
        self.key_pauses: list[tuple[int, str]] = []  # a heap: when a key's pause ends
        self.now, self.wake_at, self.count = -NEVER, NEVER, itertools.count()
        self.stops_at, self.last_expiry = NEVER, -NEVER
        self.subscribe_at, self.subscribe_attempts = (-NEVER if settings.must_subscribe else NEVER), 0
        self.list_wait_until = -NEVER  # no calls by a cached, maybe outdated list before this
        self.actions: list[face.Action] = []

    def handle(self, now_us: int, events: Iterable[face.Event]) -> list[face.Action]:
        """Handles the events in order and returns the actions to carry out; `now_us` must not go back."""
        if now_us < self.now:
            raise ValueError(f"the clock went back from {self.now} to {now_us}")
        self.now, self.actions, self.arriving = now_us, [], set()
        for event in events:
            match event:
                case face.MessageAccepted():
                    self.accept(event)
                case face.MessageRestored():
                    self.restore_message(event)
                case face.MemoryReceived(memory):
                    self.restore_memory(memory)
                case face.AttemptEnded():
                    self.attempt_ended(event)
                case face.EndpointsListed():
                    self.update_endpoints(event)
                case face.MessageWithdrawn(message) if message in self.messages:
                    self.finish(self.messages[message])
                case face.EndAcknowledged(message) if message in self.unanswered:
                    self.finish(self.unanswered.pop(message))
                case face.Stopping(left):
                    self.stops_at = now_us + left
        self.find_overdue()
        self.end_expired()
        self.send_next()
        self.shed_excess()
        self.expire_unused()
        self.schedule_wake()
        return self.actions

    # Events.

    def accept(self, taken: face.MessageAccepted) -> None:
        if taken.message_class not in self.classes:
            raise ValueError(f"unknown class {taken.message_class}")
        if taken.message in self.messages:
            raise ValueError(f"message {taken.message} was taken before")
        share = self.charge_quota(taken.tenant)
        message = Message(taken, self.classes[taken.message_class], self.now, share)
        self.messages[message.id] = message
        self.arriving.add(message.id)
        routes = self.breakers_at.get(message.destination, ())
        for breaker in routes:
            breaker.count_message(self.now, len(routes))
        self.waiting.setdefault(message.destination, {})[message.id] = message
        heapq.heappush(self.deadlines, (message.expires_at, next(self.count), message))
        if message.key:
            self.keys.setdefault(message.key, KeyQueue()).messages.append(message)

    def restore_message(self, restored: face.MessageRestored) -> None:
        """Rules: a call in flight when the process ended may have run or may still run, so its key pauses."""
        self.accept(restored.taken)
        message = self.messages[restored.taken.message]
        message.attempts, message.possible_run_at = restored.attempts, restored.possible_run_at
        message.possible_run_zone = restored.possible_run_zone
        self.arriving.discard(message.id)  # accepted earlier; the time it had left then is unknown
        self.pause_key(message.key)
        self.watch_repeat_window(message)
        if restored.held and not self.may_send_again(message):
            self.end(message)
        for name, outcome in restored.outcomes:
            endpoint = self.endpoints.get(name)
            # Protects a destination that has since come back cold. A cancelled call was far overdue.
            if endpoint and (outcome in face.FAILURES or outcome is Outcome.CANCELLED):
                breaker = endpoint.breaker
                self.count_failure(breaker, outcome)
                breaker.trial_at = self.now

    # Handover to another process of this sender, for example one of a newer release.

    def memory(self) -> dict[str, Any]:
        """The state of destinations and of calls in flight, as values that JSON can hold. Queued messages and
        their attempt counts are stored elsewhere and come back as MessageRestored."""
        breakers = [
            [*key, {name: getattr(each, name) for name in Breaker.KEPT}]
            for key, each in self.breakers.items()
        ]
        return {
            "breakers": breakers,
            "endpoints": [
                [name, {field: getattr(each, field) for field in Endpoint.KEPT}]
                for name, each in self.endpoints.items()
            ],
            "calls": [self.call_record(each) for each in self.out],
            "ended": list(self.unanswered),
            "scarce": self.scarce,
            "keys": [[key, queue.paused_until] for key, queue in self.keys.items()],
        }

    def call_record(self, call: Call) -> dict[str, Any]:
        listed = call.endpoint.listed
        return {
            "endpoint": [listed.id, listed.destination, listed.kind, listed.zone],
            "sent": call.sent,
            "flags": {name: getattr(call, name) for name in Call.FLAGS},
            "trial": call.breaker.trial is call,
            "messages": [[each.id, each.attempts - 1] for each in call.messages.values()],
        }

    def restore_memory(self, memory: Mapping[str, Any]) -> None:
        """Restores a `memory`. Rules: requested waits, cold destinations, slots and calls in flight belong to
        the sender, no matter which of its processes observed them."""
        for destination, route, record in memory["breakers"]:
            breaker = self.breaker_at(destination, route)
            for name in Breaker.KEPT:
                setattr(breaker, name, record.get(name, getattr(breaker, name)))
        for name, record in memory["endpoints"]:
            for field in Endpoint.KEPT if name in self.endpoints else ():
                setattr(self.endpoints[name], field, record.get(field, getattr(self.endpoints[name], field)))
        for record in memory["calls"]:
            self.restore_call(record)
        for name in memory["ended"]:
            if message := self.messages.get(name):
                self.unanswered[name] = message
                self.finish(message)
        self.scarce.update(memory.get("scarce", {}))
        for key, paused_until in memory["keys"]:
            if queue := self.keys.get(key):
                queue.paused_until = max(queue.paused_until, paused_until)
                heapq.heappush(self.key_pauses, (queue.paused_until, key))

    def restore_call(self, record: Mapping[str, Any]) -> None:
        name, destination, kind, zone = record["endpoint"]
        if (endpoint := self.endpoints.get(name)) is None:  # draining or removed; its answer may still come
            endpoint = Endpoint(face.Endpoint(name, destination, EndpointState.DRAINING, kind, zone))
            endpoint.breaker = self.breaker_for(endpoint)
        call = Call(endpoint.breaker, endpoint, record["sent"])
        for flag in Call.FLAGS:
            setattr(call, flag, record["flags"][flag])
        for message_name, attempt in record["messages"]:
            if message := self.messages.get(message_name):
                call.messages[message_name] = message
                self.calls[message_name, attempt] = call
                message.attempts, message.out = attempt + 1, True
                self.waiting[message.destination].pop(message_name, None)
        if call.messages:
            self.out[call] = None
            call.breaker.out += 1
            endpoint.out += 1
            call.breaker.trial = call if record["trial"] else call.breaker.trial

    def count_failure(self, breaker: Breaker, outcome: Outcome) -> None:
        weight = ERROR_WEIGHT if outcome in ANSWERED_FAILURES else 1
        run = max(FAILURE_THRESHOLD / breaker.crowd, 2)
        breaker.failed(self.now, weight, run, error=outcome is Outcome.ERROR)
        self.report_state(breaker, outcome.value)

    def report_state(self, breaker: Breaker, why: str) -> None:
        """Reports each breaker that opens or closes to the operators; it affects no decision."""
        is_open = breaker.failures >= FAILURE_THRESHOLD
        if is_open == (breaker.opened is not None):
            return
        state = "opens" if is_open else f"closes after {(self.now - breaker.opened) / 1e6:.1f} s"
        breaker.opened = self.now if is_open else None
        self.actions.append(face.Note(f"destination {breaker.name} {state}: {why}, {breaker.out} calls out"))

    def charge_quota(self, tenant: str) -> float:
        elapsed = (self.now - self.credited_at) / 1e6
        self.credited_at = self.now
        for name, rate in self.quotas.items():
            self.credit[name] = min(self.credit[name] + rate * elapsed, max(rate, 1.0))
        if tenant not in self.credit:
            return 1.0  # no quota set; no state is kept under a name that a client may invent
        in_quota = self.credit[tenant] >= 1
        self.credit[tenant] -= in_quota
        return 1.0 if in_quota else self.settings.over_share_worth

    def attempt_ended(self, ended: face.AttemptEnded) -> None:
        if (call := self.calls.pop((ended.message, ended.attempt), None)) is None:
            return
        message = call.messages.pop(ended.message)
        message.out = False
        self.count_result(call, ended)
        if ended.outcome in UNCERTAIN:
            self.pause_key(message.key)
        if ended.outcome not in face.NEVER_RAN and message.possible_run_at is None:
            message.possible_run_at, message.possible_run_zone = call.sent, call.endpoint.listed.zone
        if message.ended or ended.finished:
            self.finish(message)
        elif self.now + self.settings.tick >= message.expires_at or not self.may_send_again(message):
            self.end(message)
        else:
            self.waiting.setdefault(message.destination, {})[message.id] = message
            self.watch_repeat_window(message)

    def pause_key(self, key: str) -> None:
        if queue := self.keys.get(key):
            queue.paused_until = self.now + self.settings.key_quiet
            heapq.heappush(self.key_pauses, (queue.paused_until, key))

    def watch_repeat_window(self, message: Message) -> None:
        """Checks a queued message again when the window ends in which it may be repeated."""
        if message.possible_run_at is not None and message.kind.effect is Effect.KEYED:
            last = self.repeat_until(message, message.possible_run_at) + self.settings.tick
            heapq.heappush(self.deadlines, (last, next(self.count), message))

    def repeat_until(self, message: Message, sent: int) -> float:
        """Until when a repeat may be sent; `sent`: send time of an attempt that may have run."""
        window_start = sent if message.possible_run_at is None else message.possible_run_at
        return window_start + message.kind.window - 2 * self.settings.tick - message.kind.aim * CALL_SHARE

    def count_result(self, call: Call, ended: face.AttemptEnded) -> None:
        """The first result of a call counts for all its messages."""
        breaker, endpoint = call.breaker, call.endpoint
        if ended.wait:  # rule: a wait that any answer requests is observed
            breaker.set_wait(self.now + ended.wait)
        if not call.messages:
            breaker.out -= 1
            endpoint.out -= 1
            self.idle[endpoint.listed.id] = endpoint
            del self.out[call]
        if call.settled:
            return  # a batch counts once
        call.settled = True
        if ended.outcome is Outcome.OK:
            breaker.served(self.now, call)
            self.report_state(breaker, "served")
            endpoint.bad_until = 0.0
            endpoint.room += LIMIT_GROWTH
            endpoint.turned_away = 0
        elif ended.outcome is Outcome.CROWDED and call is not breaker.trial and self.is_full(endpoint):
            self.limit_connections(endpoint)
        elif ended.outcome in (Outcome.FULL, Outcome.CROWDED):
            breaker.refused(self.now, call, ended.wait)
        elif ended.outcome in face.FAILURES and not (call.overdue or self.expired_early(call, ended)):
            self.count_failure(breaker, ended.outcome)
            endpoint.bad_until = self.now + RESET_TIMEOUT
        elif call is breaker.trial:
            breaker.trial = None

    def is_full(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint is at its connection limit: by this sender's calls or by a large fleet's. If
        this persists, or hardly anyone else calls, it may be shut, and only a gap limits the calls to it."""
        large_fleet = self.settings.fleet_size > GAP_SENDERS and endpoint.turned_away <= MAX_DOUBLINGS
        return endpoint.out > 0 or large_fleet

    def limit_connections(self, endpoint: Endpoint) -> None:
        """The endpoint is at its connection limit, which says nothing about its rate limit or health. Others'
        calls end soon, but the idle connections of a large fleet stay. So each sender closes its own at all
        endpoints of the kind: a sender that has a connection is never refused one and would not notice."""
        if endpoint.out:
            endpoint.room = endpoint.out
        if self.settings.fleet_size <= GAP_SENDERS:
            return
        backoff = min(endpoint.breaker.took * 2 ** min(endpoint.turned_away, MAX_DOUBLINGS), RESET_TIMEOUT)
        endpoint.again_at = self.now + backoff * self.random.uniform(0.5, 1.5)
        endpoint.turned_away += 1
        kind = endpoint.listed.kind
        self.scarce[kind] = self.now + SCARCE_IDLE_TIMES * self.settings.conn_idle
        self.idle |= {name: each for name, each in self.endpoints.items() if each.listed.kind == kind}

    def expired_early(self, call: Call, ended: face.AttemptEnded) -> bool:
        """Whether the message expired before a call usually completes: no failure of the destination."""
        return ended.outcome is Outcome.TIMEOUT and self.now < call.breaker.overdue_at(call)

    def update_endpoints(self, listed: face.EndpointsListed) -> None:
        """Rule: a draining endpoint gets no calls from its announcement on; only ready endpoints are kept."""
        if listed.listing is Listing.FAILED:
            self.subscribe_attempts += 1
            delay = min(self.settings.ask_within, RESET_TIMEOUT * 2**self.subscribe_attempts) / 4
            # A large fleet that retries as often as a small one can keep discovery too busy to answer any.
            delay *= max(self.settings.fleet_size / FULL_RATE_SUBSCRIBERS, 1) ** 0.5
            self.subscribe_at = self.now + delay * self.random.uniform(0.5, 1)
            return
        # Rule: drains. Discovery that stays silent learns nothing new, so after a wait its last list holds.
        is_cached = listed.listing is Listing.CACHED and self.settings.wait_for_fresh_list
        self.list_wait_until = self.now + LIST_TIMEOUT if is_cached else -NEVER
        self.subscribe_attempts, known = 0, self.endpoints
        self.endpoints = dict(known) if listed.listing is Listing.CHANGES else {}
        for each in listed.endpoints:
            endpoint = self.endpoints[each.id] = known.get(each.id) or Endpoint(each)
            endpoint.listed = each
            if each.state is not EndpointState.READY:
                del self.endpoints[each.id]
        self.by_destination, self.breakers_at = {}, {}
        for endpoint in self.endpoints.values():
            endpoint.breaker = breaker = self.breaker_for(endpoint)
            if self.settings.rates_announced and endpoint.listed.scale > 0:
                breaker.set_rate(endpoint.listed.scale)
            self.by_destination.setdefault(endpoint.listed.destination, []).append(endpoint)
            breakers = self.breakers_at.setdefault(endpoint.listed.destination, [])
            if breaker not in breakers:
                breakers.append(breaker)

    def find_overdue(self) -> None:
        """Counts a hung or slow call as a failure once it is overdue. With no slot free the oldest far
        overdue one is cancelled, harmless ones first; this may lose a valuable message. Where later calls
        were served, the destination is not slow but the call or its connection is lost: it is cancelled and
        sent again if its messages may be repeated."""
        for call in [each for each in self.out if not (each.overdue or each.settled)]:
            if self.now >= call.breaker.overdue_at(call):
                call.overdue = True
                call.breaker.failed(self.now)
                self.report_state(call.breaker, f"overdue after {call.breaker.overdue_timeout() / 1e6:.2f} s")
                call.endpoint.bad_until = self.now + RESET_TIMEOUT
        slots_full = len(self.out) >= self.settings.slots
        overdue = [each for each in self.out if each.overdue and not each.called_off]
        for call in sorted(overdue, key=Call.repeat_may_harm) if self.settings.may_cancel else ():
            lost = self.now - call.sent > 1.5 * (call.breaker.overdue_at(call) - call.sent)
            superseded = call.breaker.served_sent > call.sent and self.may_repeat(call)
            harmless = not call.repeat_may_harm() and call.breaker.failures >= FAILURE_THRESHOLD
            if superseded or harmless or (slots_full and lost):
                call.called_off, slots_full = True, False
                self.actions += [face.CancelAttempt(x.id, x.attempts - 1) for x in call.messages.values()]

    def may_repeat(self, call: Call) -> bool:
        """Whether all its messages may be sent again although this call may have run."""
        return all(
            each.attempts < self.settings.max_attempts
            and (
                each.kind.effect is Effect.SAFE
                or (each.kind.effect is Effect.KEYED and self.now < self.repeat_until(each, call.sent))
            )
            for each in call.messages.values()
        )

    # Rules: whether a message may be sent again, and its one final answer.

    def may_send_again(self, message: Message) -> bool:
        """Rule: no effect twice."""
        if message.attempts >= self.settings.max_attempts:
            return False
        if message.possible_run_at is None or message.kind.effect is Effect.SAFE:
            return True
        until = self.repeat_until(message, message.possible_run_at)
        return message.kind.effect is Effect.KEYED and self.now < until

    def may_refuse(self, message: Message) -> bool:
        """Rule: no effect twice; a refusal lets the client safely submit the message again."""
        if message.possible_run_at is None or message.kind.effect is Effect.SAFE:
            return True
        return message.kind.effect is Effect.KEYED and not message.kind.window_by_zone

    def end(self, message: Message) -> None:
        refusal = face.Refuse(message.id, self.default_retry_after())
        self.actions.append(refusal if self.may_refuse(message) else face.Fail(message.id))
        if self.settings.ends_acknowledged:
            self.unanswered[message.id] = message
        self.finish(message)

    def default_retry_after(self) -> int:
        return min(RESET_TIMEOUT, self.settings.max_retry_after)

    def finish(self, message: Message) -> None:
        if not message.ended:
            message.ended = True
            del self.messages[message.id]
            self.waiting.get(message.destination, {}).pop(message.id, None)
        if message.id in self.unanswered:
            return  # rule: order; its key waits until the notice is answered
        if (queue := self.keys.get(message.key)) and not message.out and message in queue.messages:
            queue.messages.remove(message)
            if not queue.messages and queue.paused_until <= self.now:
                del self.keys[message.key]

    def end_expired(self) -> None:
        """Rule: no message is lost. A queued message is ended one tick before it expires, or when no further
        attempt is allowed; one in flight is checked again when its attempt ends."""
        cutoff = self.now + self.settings.tick
        while self.deadlines and self.deadlines[0][0] <= cutoff:
            message = heapq.heappop(self.deadlines)[2]
            is_due = message.expires_at <= cutoff or not self.may_send_again(message)
            if is_due and not message.ended and not message.out:
                self.end(message)

    def is_next(self, message: Message) -> bool:
        """Rule: order per key. Retries of the same message need not wait for the key's pause."""
        queue = self.keys.get(message.key)
        return not queue or (
            queue.messages[0] is message and (message.attempts > 0 or self.now >= queue.paused_until)
        )

    # Scheduling: which message is sent next, and to which endpoint.

    def value_at(self, message: Message, at: float) -> float:
        kind, late_by = message.kind, max(at - message.created_at - message.kind.aim, 0)
        linear = 1 - (1 - kind.late_worth) * late_by / max(kind.deadline - kind.aim, 1)
        factor = max(0.5 ** (late_by / kind.aim), kind.late_worth) if self.settings.halves else linear
        return kind.worth * message.share * factor if at < message.expires_at else 0.0

    def urgency(self, message: Message) -> float:
        """The value lost by deferring the message by its latency aim. In a large fleet, where many messages
        are late, by the same time in all classes: otherwise long aims would always be sent first."""
        aim = message.kind.aim
        delay = aim + (self.least_aim - aim) * self.fleet_factor
        return self.value_at(message, self.now) - DEFERRED_SERVED * self.value_at(message, self.now + delay)

    def expected_value(self, message: Message, ready_at: float) -> float:
        """Value when its turn comes; keeps messages that cannot be sent soon from crowding out new ones."""
        turns = self.keys[message.key].messages.index(message) if message.key else 0
        at = max(ready_at, self.now)
        return self.value_at(message, at + message.kind.aim * (0.5 + turns * CALL_SHARE))

    def shed_excess(self) -> None:
        if (excess := len(self.messages) - self.settings.max_open + 1) <= 0:
            return
        waiting = []
        for destination, queue in self.waiting.items():
            ready_at = self.ready_at(destination)
            waiting += [
                (self.expected_value(x, ready_at), len(waiting), x)
                for x in queue.values()
                if self.may_shed(x)
            ]
        for _, _, message in heapq.nsmallest(excess, waiting, key=lambda each: each[0]):
            self.end(message)

    def may_shed(self, message: Message) -> bool:
        """Rule: an accepted message that cannot have run is kept for most of its time. One from the current
        call of handle() does not count as accepted yet."""
        due = message.id in self.arriving or message.protected_until <= self.now
        return self.may_refuse(message) and (due or message.possible_run_at is not None)

    def longest_queues(self, count: int) -> list[str]:
        """For the status line: the destinations with the longest queues, and what delays their next call."""
        top = heapq.nlargest(count, ((len(queue), name) for name, queue in self.waiting.items() if queue))
        states = {name: [each.state(self.now) for each in self.breakers_at.get(name, ())] for _, name in top}
        return [f"{name}: {size} {' '.join(states[name]) or '(no endpoint)'}" for size, name in top]

    def count_avoided(self) -> int:
        """For the metrics: listed endpoints that get no calls now, or only if no other endpoint can."""
        return sum(
            each.breaker.failures >= FAILURE_THRESHOLD or each.bad_until > self.now
            for each in self.endpoints.values()
        )

    def breaker_for(self, endpoint: Endpoint) -> Breaker:
        listed = endpoint.listed
        return self.breaker_at(listed.destination, listed.id if self.kinds[listed.kind].apart else "")

    def breaker_at(self, destination: int, route: str) -> Breaker:
        key = destination, route
        if key not in self.breakers:
            self.breakers[key] = Breaker(self.settings, self.random, f"{key[0]} {key[1]}".rstrip())
        return self.breakers[key]

    def ready_at(self, destination: int) -> float:
        endpoints = self.by_destination.get(destination, ())
        return min((max(each.breaker.ready_at(self.now), each.again_at) for each in endpoints), default=NEVER)

    def send_next(self) -> None:
        """Sends queued messages of all destinations in one pass, the most urgent first."""
        ready = []
        for destination, queue in self.waiting.items() if len(self.out) < self.settings.slots else ():
            if queue and any(map(self.may_call, self.breakers_at.get(destination, ()))):
                ready += [each for each in queue.values() if self.is_next(each)]
        if len(ready) > 1:
            ready.sort(key=lambda each: (-self.urgency(each), each.created_at))
        batches: dict[str, Call] = {}
        shut = set()  # destinations with no endpoint for a further call in this pass
        for message in ready:
            if message.destination in shut:
                continue
            if not self.may_send_again(message):
                self.end(message)
            elif endpoint := self.choose_endpoint(message, batches):
                self.send(message, endpoint, batches)
            elif not message.possible_run_zone:
                shut.add(message.destination)
            if len(self.out) >= self.settings.slots and not self.batches:
                break
        # Idle connections of a large fleet would use up the connection limits of the endpoints.
        if self.settings.fleet_size > GAP_SENDERS:
            self.actions += [
                face.CloseIdle(name)
                for name, each in self.idle.items()
                if not each.out and self.now < self.scarce.get(each.listed.kind, -NEVER)
            ]
        self.idle = {}

    def apply_wait(self, endpoint: str, until: int) -> None:
        """Rule: waits. Applies a wait at once, also to calls about to start before the event is handled."""
        if known := self.endpoints.get(endpoint):
            known.breaker.set_wait(until)

    def may_still_send(self, endpoint: str, destination: int, now: int) -> bool:
        """Rules: drains and waits, checked again before the first byte of a call is written, as connecting
        takes time. The endpoint may have been reassigned to another destination since then."""
        if (known := self.endpoints.get(endpoint)) is None or known.listed.destination != destination:
            return False
        return known.breaker.wait_until <= now

    def choose_endpoint(self, message: Message, batches: dict[str, Call]) -> Endpoint | None:
        options = []
        for endpoint in self.by_destination.get(message.destination, ()):
            if message.kind.window_by_zone and message.possible_run_zone not in ("", endpoint.listed.zone):
                continue  # rule: no effect twice; only that zone drops repeats
            breaker, listed = endpoint.breaker, endpoint.listed
            joins = self.may_join(batches.get(listed.id), listed)
            has_capacity = endpoint.out + 1 <= endpoint.room and endpoint.again_at <= self.now
            if not (joins or (has_capacity and self.may_call(breaker))):
                continue
            zone_fee = self.zone_fees.get(listed.zone, 0.0) if self.kinds[listed.kind].apart else 0.0
            avoid_until, other_zone = max(endpoint.bad_until, self.now), listed.zone != self.settings.zone
            rank = (avoid_until, zone_fee, not joins, endpoint.out, other_zone, endpoint.last_sent)
            options.append((rank, len(options), endpoint))
        return min(options)[-1] if options else None

    def may_join(self, call: Call | None, listed: face.Endpoint) -> bool:
        open_for_more = call and call.breaker.trial is not call
        return bool(open_for_more) and len(call.messages) < self.kinds[listed.kind].batch

    def may_call(self, breaker: Breaker) -> bool:
        if len(self.out) >= self.settings.slots or breaker.ready_at(self.now) > self.now:
            return False
        if self.now < self.list_wait_until:
            return False
        if self.now + breaker.overdue_timeout() > self.stops_at:
            return False  # in flight when the process ends, it may have run
        return breaker.out < max(2, self.settings.slots * DESTINATION_SLOT_SHARE)

    def send(self, message: Message, endpoint: Endpoint, batches: dict[str, Call]) -> None:
        call = batches.get(name := endpoint.listed.id)
        breaker = endpoint.breaker
        if not self.may_join(call, endpoint.listed):
            call = batches[name] = Call(breaker, endpoint, self.now)
            self.out[call] = None
            breaker.out += 1
            endpoint.out += 1
            breaker.last_sent = endpoint.last_sent = self.now
            if breaker.failures >= FAILURE_THRESHOLD:
                breaker.trial = call
        call.messages[message.id] = message
        self.calls[message.id, message.attempts] = call
        self.actions.append(face.Send(message.id, name, message.expires_at - self.now, message.attempts))
        message.attempts += 1
        message.out = True
        del self.waiting[message.destination][message.id]

    def expire_unused(self) -> None:
        """Drops the state of unused keys, routes and destinations, which would grow without bound."""
        while self.key_pauses and self.key_pauses[0][0] <= self.now:
            key = heapq.heappop(self.key_pauses)[1]
            if (queue := self.keys.get(key)) and not queue.messages and queue.paused_until <= self.now:
                del self.keys[key]
        if self.now < self.last_expiry + EXPIRY_INTERVAL:
            return
        self.last_expiry = self.now
        self.waiting = {name: messages for name, messages in self.waiting.items() if messages}
        listed = {breaker for breakers in self.breakers_at.values() for breaker in breakers}
        for key, each in list(self.breakers.items()):
            unused = not each.out and max(each.last_sent, each.wait_until) + IDLE_EXPIRY <= self.now
            if unused and each not in listed:
                del self.breakers[key]

    def schedule_wake(self) -> None:
        if self.subscribe_at <= self.now:
            self.subscribe_at = NEVER
            self.actions.append(face.Subscribe())
        due = [self.subscribe_at, self.list_wait_until]
        due += [each[0] - self.settings.tick for each in self.deadlines[:1]]
        due += [each[0] for each in self.key_pauses[:1]]
        due += [call.breaker.overdue_at(call) for call in self.out if not call.overdue]
        due += [self.ready_at(destination) for destination, queue in self.waiting.items() if queue]
        at = min((each for each in due if each > self.now), default=NEVER)
        if at < self.wake_at or self.wake_at <= self.now < at < NEVER:
            self.wake_at = at
            self.actions.append(face.WakeAfter(max(math.ceil(at - self.now), self.settings.tick)))
