"""Which headers and event-stream bytes are relayed between client and endpoint. Free of I/O."""

from collections.abc import Iterable

from plumline.errors import PlumlineError

Headers = list[tuple[bytes, bytes]]

HOP_BY_HOP = frozenset(
    b"connection keep-alive proxy-connection proxy-authenticate proxy-authorization te trailer"
    b" transfer-encoding upgrade expect".split()
)
#: Set only by the router; values from the client are dropped.
ROUTER_HEADERS = frozenset(
    b"tenant-name x-api-key expected-instance expect-version cache-salt kv-fetch kv-save priority"
    b" remaining-milliseconds content-length".split()
)
#: Forwarded even if the client names them in `Connection`.
END_TO_END = frozenset(b"host attempt-id model-name token-counts prompt-prefix last-event-id".split())
#: Not relayed to the client: `Not-Executed` is for the router; the status tells the client the same.
DROPPED_ANSWER_HEADERS = HOP_BY_HOP | {b"not-executed"}
NO_HEADERS: frozenset[bytes] = frozenset()
EVENT_DELIMITERS = (b"\n\n", b"\r\n\r\n", b"\r\r")
MAX_DELIMITER_BYTES = max(len(each) for each in EVENT_DELIMITERS)


def value_of(headers: Iterable[tuple[bytes, bytes]], name: bytes) -> bytes | None:
    """The value of the first header with this lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def named_in_connection(headers: Headers) -> frozenset[bytes]:
    """The headers that `Connection` lists as specific to this connection."""
    named = [value for key, value in headers if key == b"connection"]
    if not named:
        return NO_HEADERS
    return frozenset(each.strip().lower() for value in named for each in value.split(b",")) - END_TO_END


def request_headers(headers: Headers) -> Headers:
    """The headers of a client's request that are forwarded unchanged."""
    dropped = HOP_BY_HOP | ROUTER_HEADERS | named_in_connection(headers)
    return [each for each in headers if each[0] not in dropped]


def answer_headers(headers: Iterable[tuple[bytes, bytes]], with_length: bool = True) -> Headers:
    """The headers of an endpoint's answer that are relayed unchanged."""
    received = list(headers)
    named = named_in_connection(received) - {b"server-seal", b"content-length", b"content-type"}
    dropped = DROPPED_ANSWER_HEADERS | named | (NO_HEADERS if with_length else {b"content-length"})
    return [each for each in received if each[0] not in dropped]


def is_framed(method: bytes, status: int, headers: Headers) -> bool:
    """Whether the end of the answer can be distinguished from a closed connection."""
    if method == b"HEAD" or status in (204, 304):
        return True
    return any(key in (b"content-length", b"transfer-encoding") for key, _ in headers)


def is_event_stream(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Whether the answer is an event stream."""
    return (value_of(headers, b"content-type") or b"").lower().startswith(b"text/event-stream")


def ends_event(text: bytes) -> bool:
    """Whether an event stream may end with this text: nothing, or the empty line after an event."""
    return not text or text.endswith(EVENT_DELIMITERS)


class EventUnplacedError(PlumlineError):
    """An event of a resumed stream that may or may not have been relayed already."""

    code, status = "event-unplaced", 502


class EventJoiner:
    """Joins the streams of several attempts into one, of complete events, each of them once.

    `last_id` is the id of the newest relayed event, None if there was none.
    """

    def __init__(self) -> None:
        self.incomplete = b""
        self.last_id: bytes | None = None
        self.resumed = False
        self.position_known = True  # no event with data but without an id was relayed after `last_id`
        self.reached: bool | None = None  # whether the resumed stream is at `last_id`; None: no id so far

    def begin(self) -> None:
        """Starts the stream of another attempt."""
        self.incomplete, self.resumed = b"", self.last_id is not None
        self.reached = None

    def may_join(self) -> bool:
        """Whether another stream may continue the interrupted one, as its old events can be recognized."""
        return self.position_known and (self.last_id is None or self.last_id.isdigit())

    def feed(self, data: bytes) -> bytes:
        """Adds data of the stream, and returns the bytes that can be relayed now."""
        buffered = self.incomplete + data if self.incomplete else data
        end = max(
            (
                offset + len(delimiter)
                for delimiter in EVENT_DELIMITERS
                if (offset := buffered.rfind(delimiter)) >= 0
            ),
            default=0,
        )
        complete, self.incomplete = buffered[:end], buffered[end:]
        if not complete:
            return b""
        if self.resumed and self.last_id is not None:
            complete = b"".join(each for each in self.split(complete) if self.is_new(each))
        if not complete:
            return b""
        self.record_position(complete)
        return complete

    def flush(self) -> bytes:
        """The bytes after the last complete event of an ended stream, unless they were relayed already."""
        rest, self.incomplete = self.incomplete, b""
        return b"" if rest and self.resumed and not self.is_new(rest) else rest

    def split(self, text: bytes) -> list[bytes]:
        """Splits the text into events."""
        events, event = [], b""
        for line in text.splitlines(keepends=True):
            event += line
            if not line.strip(b"\r\n"):
                events.append(event)
                event = b""
        return [*events, event] if event else events

    def is_new(self, event: bytes) -> bool:
        """Whether an event of a resumed stream has not been relayed yet. Ids increase, so an event without an
        id is as new as the one before it. Raises EventUnplacedError for one without an id at the start."""
        found = self.last_id_in(event)
        if found is None:
            if b"data" in event and self.reached is None:
                raise EventUnplacedError("a joined run begins with an event that has no id")
            return b"data" not in event or self.reached is True
        if not found.isdigit() or self.last_id is None:
            return False
        self.reached = int(found) >= int(self.last_id)
        if int(found) <= int(self.last_id):
            return False
        self.last_id = found
        return True

    def record_position(self, events: bytes) -> None:
        """Records the newest id of these events, and whether an event with data but no id follows it."""
        newest = self.last_id_in(events)
        if newest is None:
            self.position_known = self.position_known and b"data" not in events
            return
        self.last_id = newest
        id_offset = self.last_id_offset(events)
        event_end = min(
            (offset for delimiter in EVENT_DELIMITERS if (offset := events.find(delimiter, id_offset)) >= 0),
            default=0,
        )
        self.position_known = b"data" not in events[event_end:]

    @staticmethod
    def last_id_offset(events: bytes) -> int:
        """Offset of the last id in these events, -1 if they have none."""
        offset = len(events)
        while (offset := events.rfind(b"id:", 0, offset)) >= 0:
            if offset == 0 or events[offset - 1 : offset] in (b"\n", b"\r"):
                return offset
        return -1

    @classmethod
    def last_id_in(cls, events: bytes) -> bytes | None:
        """The last id in these events."""
        offset = cls.last_id_offset(events)
        return events[offset + 3 :].splitlines()[0].strip() if offset >= 0 else None
