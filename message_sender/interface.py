"""The interface between a sender and its decision module: settings, events and actions.

Times are whole microseconds of the sender's own clock; durations are whole microseconds too.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any


class Effect(Enum):
    """The effect of a repeated message at its destination."""

    SAFE = "safe"  # repeats are harmless
    KEYED = "keyed"  # repeats are dropped for a limited time, see MessageClass.window
    UNSAFE = "unsafe"  # must never run twice


class Outcome(Enum):
    """How an attempt ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    CROWDED = "crowded"  # a new connection was refused: the endpoint is at its connection limit
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    STALE = "stale"  # a reused connection broke; says nothing about the destination's health
    SPOILT = "spoilt"  # answered, but the answer is malformed
    CANCELLED = "cancelled"
    NOT_SENT = "not_sent"


#: Outcomes that count against the destination's health.
FAILURES = frozenset({Outcome.ERROR, Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.SPOILT})

#: Outcomes that prove the attempt never ran at the destination.
NEVER_RAN = frozenset({Outcome.FULL, Outcome.CROWDED, Outcome.CONNECT_FAILED, Outcome.NOT_SENT})


class EndpointState(Enum):
    """The state in which discovery lists an endpoint."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Listing(Enum):
    """The kind of a list of endpoints."""

    CHANGES = "changes"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class MessageClass:
    """A class of messages: latency aim, deadline, value in time and late, and effect of repeats."""

    name: str
    aim: int
    deadline: int
    worth: float
    late_worth: float
    effect: Effect
    window: int = 0  # KEYED: how long repeats are dropped, from the first attempt that may have run
    window_by_zone: bool = False  # KEYED: only endpoints of the same zone drop repeats
    in_order: bool = False  # messages of one key are sent one at a time, in the order of arrival


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of destination."""

    batch: int = 1  # messages that one call may carry
    apart: bool = False  # each endpoint has its own limit and outages


@dataclass(frozen=True, slots=True)
class Settings:
    """The settings of one sender. Raises a ValueError that names the field if a value is out of range."""

    classes: tuple[MessageClass, ...]
    kinds: tuple[tuple[str, Kind], ...]
    slots: int
    max_open: int
    max_attempts: int
    zone: str
    tick: int
    fleet_size: int = 1
    tenants: tuple[tuple[str, float], ...] = ()  # name, messages per second in its share (all senders)
    over_share_worth: float = 1.0
    halves: bool = False  # the value of a late message halves per latency aim; else it falls linearly
    zone_fees: tuple[tuple[str, float], ...] = ()  # zone, value lost per message on a separate route there
    must_subscribe: bool = False  # the list of endpoints is sent only on request
    wait_for_fresh_list: bool = False  # discovery's state binds from the start, even if not yet received
    ask_within: int = 10_000_000
    rates_announced: bool = False  # Endpoint.scale is the rate limit of the destination in calls per second
    may_cancel: bool = True
    max_retry_after: int = 0  # longest wait that a client observes; 0: clients are given none
    cold: int = 10_000_000  # warm-up time of a destination after an outage
    cold_from: float = 0.2  # share of its capacity at the start of the warm-up
    fall_multiple: float = 2.0
    conn_idle: int = 10_000_000  # idle connections are closed after this time
    connect_timeout: int = 1_500_000  # a connection not established by then has failed
    key_quiet: int = 0
    drain_grace: int = 0
    ends_acknowledged: bool = False  # a message ended here is complete only on its EndAcknowledged

    def __post_init__(self) -> None:
        counts = ("slots", "max_open", "max_attempts", "fleet_size")
        for name in (*counts, "tick", "ask_within", "cold", "conn_idle", "connect_timeout"):
            if getattr(self, name) <= 0:
                raise ValueError(f"{name} must be above 0, not {getattr(self, name)}")
        for name in ("key_quiet", "drain_grace", "max_retry_after", "fall_multiple"):
            if getattr(self, name) < 0:
                raise ValueError(f"{name} must not be negative, not {getattr(self, name)}")
        if not 0 < self.cold_from <= 1:
            raise ValueError(f"cold_from must be a share above 0, not {self.cold_from}")
        if not self.classes:
            raise ValueError("classes must not be empty")
        for each in self.classes:
            if not 0 < each.aim <= each.deadline:
                raise ValueError(f"classes: {each.name}: aim must be above 0 and no more than deadline")
            if each.effect is Effect.KEYED and each.window <= 0:
                raise ValueError(f"classes: {each.name}: window must be above 0 for a keyed class")


@dataclass(frozen=True, slots=True)
class Endpoint:
    """An endpoint as discovery lists it."""

    id: str
    destination: int
    state: EndpointState
    kind: str
    zone: str
    scale: float = 1.0


# Events, which the sender passes to the decision module.


@dataclass(frozen=True, slots=True)
class EndpointsListed:
    """Discovery has sent a list of endpoints, or has failed."""

    listing: Listing
    endpoints: tuple[Endpoint, ...] = ()


@dataclass(frozen=True, slots=True)
class MessageAccepted:
    """A client has submitted a message."""

    message: str
    message_class: str
    destination: int
    time_left: int
    tenant: str = ""
    key: str = ""  # empty: no ordering
    again: bool = False  # the client has marked it as submitted before


@dataclass(frozen=True, slots=True)
class MessageRestored:
    """A message that an earlier process of this sender accepted."""

    taken: MessageAccepted
    attempts: int  # so far; an attempt in flight when the process ended counts as a reset
    possible_run_at: int | None  # send time of the first attempt that may have run
    possible_run_zone: str
    #: Endpoint and outcome of each completed attempt sent after the last one that the destination served.
    outcomes: tuple[tuple[str, Outcome], ...] = ()
    held: bool = True  # queued; else in flight or ended, as the MemoryReceived that follows says


@dataclass(frozen=True, slots=True)
class MemoryReceived:
    """State of another process of this sender at its handover: its Dispatcher.memory()."""

    memory: Mapping[str, Any]


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt to send a message has ended."""

    message: str
    attempt: int  # attempts of a message are numbered from 0
    outcome: Outcome
    finished: bool = False  # the message needs no further attempt or answer
    wait: int = 0  # with FULL: for how long the destination asks for no calls


@dataclass(frozen=True, slots=True)
class MessageWithdrawn:
    """A message has been withdrawn and needs no further attempt or answer."""

    message: str


@dataclass(frozen=True, slots=True)
class EndAcknowledged:
    """The refusal or failure of a message has been answered; see Settings.ends_acknowledged."""

    message: str


@dataclass(frozen=True, slots=True)
class Stopping:
    """The process ends after `left`; a call in flight then ends as a reset."""

    left: int


@dataclass(frozen=True, slots=True)
class WakeUp:
    pass


Event = (
    EndpointsListed
    | MessageAccepted
    | MessageRestored
    | MemoryReceived
    | AttemptEnded
    | MessageWithdrawn
    | EndAcknowledged
    | Stopping
    | WakeUp
)

# Actions, which the sender carries out in this order.


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt to send a message to an endpoint."""

    message: str
    endpoint: str
    timeout: int
    attempt: int = 0


@dataclass(frozen=True, slots=True)
class Refuse:
    """End a message; the client may safely submit it again."""

    message: str
    retry_after: int = 0


@dataclass(frozen=True, slots=True)
class Fail:
    """End a message for good; whether it took effect is unknown."""

    message: str


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Cancel an attempt in flight."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class WakeAfter:
    """Send a WakeUp after `delay`."""

    delay: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the list of endpoints and its later changes."""


@dataclass(frozen=True, slots=True)
class CloseIdle:
    """Close the idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class Note:
    """A log line for operators, such as a change of a breaker's state."""

    text: str


Action = Send | Refuse | Fail | CancelAttempt | WakeAfter | Subscribe | CloseIdle | Note
