"""What goes on from client to endpoint and back, and what doesn't. Pure: headers and event-stream text."""

from collections.abc import Iterable

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


def value_of(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The first header with this lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def named_in_connection(headers: Headers) -> frozenset[bytes]:
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
    """Whether the answer's end can be told from a connection that was cut."""
    if method == b"HEAD" or status in (204, 304):
        return True
    return any(key in (b"content-length", b"transfer-encoding") for key, _ in headers)


class EventJoiner:
    """Whole events of a resumable stream, of one or more runs: none twice, and none by halves.

    `last` is the id of the newest event passed on, None while there was none.
    """

    ENDS = (b"\n\n", b"\r\n\r\n", b"\r\r")

    def __init__(self) -> None:
        self.held = b""
        self.last: bytes | None = None
        self.joined = False
        self.placed = True  # what was passed on ends where `last` says

    def begin(self) -> None:
        """The answer of another run begins."""
        self.held, self.joined = b"", self.last is not None

    def may_join(self) -> bool:
        """Whether a run may be joined to the one that broke off: its events can be told from old ones."""
        return self.placed and (self.last is None or self.last.isdigit())

    def feed(self, data: bytes) -> bytes:
        """The bytes that may go on now."""
        held = self.held + data if self.held else data
        end = max((at + len(mark) for mark in self.ENDS if (at := held.rfind(mark)) >= 0), default=0)
        whole, self.held = held[:end], held[end:]
        if not whole:
            return b""
        if self.joined and self.last is not None:
            whole = b"".join(each for each in self.split(whole) if self.is_new(each))
        if not whole:
            return b""
        if (newest := self.id_of(whole)) is not None:
            self.last = newest
        body = whole.rstrip(b"\r\n")
        event = body[max(body.rfind(mark) for mark in self.ENDS) + 1 :]
        if b"data" in event:
            self.placed = self.id_of(event.lstrip(b"\r\n")) is not None
        return whole

    def rest(self) -> bytes:
        """What a complete answer holds behind its last whole event."""
        rest, self.held = self.held, b""
        return rest

    def split(self, whole: bytes) -> list[bytes]:
        events, event = [], b""
        for line in whole.splitlines(keepends=True):
            event += line
            if not line.strip(b"\r\n"):
                events.append(event)
                event = b""
        return [*events, event] if event else events

    def is_new(self, event: bytes) -> bool:
        """A joined run goes on where the last one ended: an event without a rising id is none of it."""
        found = self.id_of(event)
        if found is None:
            return b"data" not in event
        if not found.isdigit() or self.last is None or int(found) <= int(self.last):
            return False
        self.last = found
        return True

    @staticmethod
    def id_of(events: bytes) -> bytes | None:
        """The last id in these events."""
        at = len(events)
        while (at := events.rfind(b"id:", 0, at)) >= 0:
            if at == 0 or events[at - 1 : at] in (b"\n", b"\r"):
                return events[at + 3 :].splitlines()[0].strip()
        return None
