"""What goes on from client to endpoint and back, and what doesn't. Pure: headers and event-stream text."""

from collections.abc import Iterable

from plumline.errors import PlumlineError

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect".split()
)
#: Set by the system alone, whatever the client sent.
OURS = frozenset(
    b"tenant-name x-api-key expected-instance expect-version cache-salt kv-fetch kv-save priority"
    b" remaining-milliseconds content-length".split()
)
#: A client can't have these taken out by naming them in `Connection`.
END_TO_END = frozenset(b"host attempt-id model-name token-counts prompt-prefix last-event-id".split())
#: Not passed back: `Not-Executed` is said to us; a client hears the same by the status.
NOT_BACK = HOP_BY_HOP | {b"not-executed"}
NO_NAMES: frozenset[bytes] = frozenset()
#: What ends an event of a stream.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")
LONGEST_END = max(len(each) for each in EVENT_ENDS)


def value_of(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The first header with this lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def named_in_connection(headers: Headers) -> frozenset[bytes]:
    """The headers that `Connection` says concern this connection only."""
    named = [value for key, value in headers if key == b"connection"]
    if not named:
        return NO_NAMES
    return frozenset(each.strip().lower() for value in named for each in value.split(b",")) - END_TO_END


def request_headers(headers: Headers) -> Headers:
    """Those of a client's request that go on unchanged."""
    dropped = HOP_BY_HOP | OURS | named_in_connection(headers)
    return [each for each in headers if each[0] not in dropped]


def answer_headers(headers: Iterable[tuple[bytes, bytes]], with_length: bool = True) -> Headers:
    """Those of an endpoint's answer that go back unchanged."""
    told = list(headers)
    named = named_in_connection(told) - {b"server-seal", b"content-length", b"content-type"}
    dropped = NOT_BACK | named | (NO_NAMES if with_length else {b"content-length"})
    return [each for each in told if each[0] not in dropped]


def is_framed(method: bytes, status: int, headers: Headers) -> bool:
    """Whether the answer's end can be told from a connection that was closed."""
    if method == b"HEAD" or status in (204, 304):
        return True
    return any(key in (b"content-length", b"transfer-encoding") for key, _ in headers)


def is_event_stream(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether the answer is a series of events."""
    return (value_of(headers, b"content-type") or b"").lower().startswith(b"text/event-stream")


def ends_event(text: bytes) -> bool:
    """Whether an event stream may end with this text: nothing, or the empty line behind an event."""
    return not text or text.endswith(EVENT_ENDS)


class EventUnplacedError(PlumlineError):
    """An event of a joined run that may or may not have been passed on already."""

    code, status = "event-unplaced", 502


class EventJoiner:
    """Whole events of a resumable stream, of one or more runs: none twice, and none by halves.

    `last` is the id of the newest event passed on, None while there was none.
    """

    def __init__(self) -> None:
        self.held = b""
        self.last: bytes | None = None
        self.joined = False
        self.placed = True  # what was passed on ends where `last` says
        self.reached: bool | None = None  # whether the joined run is at `last`; None: no id has come yet

    def begin(self) -> None:
        """The answer of another run begins."""
        self.held, self.joined = b"", self.last is not None
        self.reached = None

    def may_join(self) -> bool:
        """Whether a run may be joined to the one that broke off: its events can be told from old ones."""
        return self.placed and (self.last is None or self.last.isdigit())

    def feed(self, data: bytes) -> bytes:
        """The bytes that may go on now."""
        held = self.held + data if self.held else data
        end = max((at + len(mark) for mark in EVENT_ENDS if (at := held.rfind(mark)) >= 0), default=0)
        whole, self.held = held[:end], held[end:]
        if not whole:
            return b""
        if self.joined and self.last is not None:
            whole = b"".join(each for each in self.split(whole) if self.is_new(each))
        if not whole:
            return b""
        self.note_place(whole)
        return whole

    def rest(self) -> bytes:
        """What a complete answer holds behind its last whole event, unless that was passed on already."""
        rest, self.held = self.held, b""
        return b"" if rest and self.joined and not self.is_new(rest) else rest

    def split(self, whole: bytes) -> list[bytes]:
        """The single events of this text."""
        events, event = [], b""
        for line in whole.splitlines(keepends=True):
            event += line
            if not line.strip(b"\r\n"):
                events.append(event)
                event = b""
        return [*events, event] if event else events

    def is_new(self, event: bytes) -> bool:
        """Whether an event of a joined run has not been passed on yet. Ids rise, so one without an id is as
        old as the one before it; at the beginning nothing tells, and EventUnplacedError is raised."""
        found = self.id_of(event)
        if found is None:
            if b"data" in event and self.reached is None:
                raise EventUnplacedError("a joined run begins with an event that has no id")
            return b"data" not in event or self.reached is True
        if not found.isdigit() or self.last is None:
            return False
        self.reached = int(found) >= int(self.last)
        if int(found) <= int(self.last):
            return False
        self.last = found
        return True

    def note_place(self, whole: bytes) -> None:
        """Takes the newest id of these events, and whether an event with data but no id follows it."""
        newest = self.id_of(whole)
        if newest is None:
            self.placed = self.placed and b"data" not in whole
            return
        self.last = newest
        named = self.id_at(whole)
        after = min((at for mark in EVENT_ENDS if (at := whole.find(mark, named)) >= 0), default=0)
        self.placed = b"data" not in whole[after:]

    @staticmethod
    def id_at(events: bytes) -> int:
        """Where the last id in these events stands, -1 if they have none."""
        at = len(events)
        while (at := events.rfind(b"id:", 0, at)) >= 0:
            if at == 0 or events[at - 1 : at] in (b"\n", b"\r"):
                return at
        return -1

    @classmethod
    def id_of(cls, events: bytes) -> bytes | None:
        """The last id in these events."""
        at = cls.id_at(events)
        return events[at + 3 :].splitlines()[0].strip() if at >= 0 else None
