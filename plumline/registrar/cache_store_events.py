"""What a cache store answers to `GET /kv-events`: its position in the stream of events, and the events."""

from typing import Any, Literal, NamedTuple

from plumline.errors import PlumlineError
from plumline.wire import calls
from plumline.wire.calls import Answer

MAX_INTEGER = 2**63 - 1  # what frames carry


class StoreAnswerInvalidError(PlumlineError):
    """The store's answer is none that `/kv-events` gives."""

    code, status = "store-answer-invalid", 502


class StoreBusyError(PlumlineError):
    """The store holds as many calls as its `ConcurrencyLimit` allows; it is alive."""

    code, status = "store-busy", 503


class EventCursor(NamedTuple):
    """A position in a store's stream of events."""

    epoch: int  # another one once the store has restarted empty
    next_token: int  # the next call's `Since`


class BlockChange(NamedTuple):
    """One event: a prefix of prompts was stored in the store's cache, or evicted from it."""

    sign: Literal["+", "-"]
    salt: str
    prefix: str  # hash of the prefix block
    cached_tokens: int  # of this prefix, after the event

    def to_wire(self) -> list[Any]:
        """The change as an item of the `stored` event that routers get."""
        return [self.sign, self.salt, self.prefix, self.cached_tokens]


class StoreEvents(NamedTuple):
    """The events of one answer."""

    epoch: int
    lost: bool  # the store has dropped events after the call's `Since`
    changes: list[BlockChange]


def parse_cursor(answer: Answer) -> EventCursor:
    """`Epoch` and `NextToken` of an answer. Raises StoreBusyError, StoreAnswerInvalidError."""
    if answer.status == 429:
        raise StoreBusyError
    if answer.status != 200 or not isinstance(answer.json, dict):
        raise StoreAnswerInvalidError(f"{answer.status} with {type(answer.json).__name__}")
    body = answer.json
    epoch = _parse_integer(body.get(calls.EPOCH), calls.EPOCH)
    return EventCursor(epoch, _parse_integer(body.get(calls.NEXT_TOKEN), calls.NEXT_TOKEN))


def parse_events(answer: Answer, epoch: int) -> StoreEvents:
    """The events of an answer that has a cursor; what can't be read of them is left out."""
    body = answer.json if isinstance(answer.json, dict) else {}
    listed = body.get(calls.EVENTS)
    changes: list[BlockChange] = []
    for event in listed if isinstance(listed, list) else ():
        match event:
            case [int(), "+" | "-" as sign, str(salt), str(prefix), int(cached_tokens), *_]:
                changes.append(BlockChange(sign, salt, prefix, cached_tokens))
    return StoreEvents(epoch, body.get(calls.LOST) is True, changes)


def _parse_integer(value: Any, name: str) -> int:  # noqa: ANN401 (any JSON)
    """A number from 0 to MAX_INTEGER. Raises StoreAnswerInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_INTEGER:
        raise StoreAnswerInvalidError(f"{name} is {value!r:.80}")
    return value
