"""Parses a cache store's answer to `GET /kv-events`: its position in the stream of events, and the events."""

from typing import Any, Literal, NamedTuple

from plumline.errors import PlumlineError
from plumline.wire import calls
from plumline.wire.calls import Answer

MAX_INTEGER = 2**63 - 1  # largest integer that frames carry


class StoreAnswerInvalidError(PlumlineError):
    """The store's answer is not a valid answer of `/kv-events`."""

    code, status = "store-answer-invalid", 502


class StoreBusyError(PlumlineError):
    """The store already has as many calls as its `ConcurrencyLimit` allows; it is up."""

    code, status = "store-busy", 503


class EventCursor(NamedTuple):
    """A position in a store's stream of events."""

    epoch: int  # changes when the store restarts empty
    next_token: int  # the next call's `Since`


class BlockChange(NamedTuple):
    """One event: a prefix of prompts was stored in the store's cache, or evicted from it."""

    sign: Literal["+", "-"]
    salt: str
    prefix: str  # hash of the prefix block
    cached_tokens: int  # of this prefix, after the event

    def to_wire(self) -> list[Any]:
        """Encodes the change as an item of the `stored` event that routers get."""
        return [self.sign, self.salt, self.prefix, self.cached_tokens]


class StoreEvents(NamedTuple):
    """The events of one answer."""

    epoch: int
    lost: bool  # whether the store has dropped events after the call's `Since`
    changes: list[BlockChange]


def parse_cursor(answer: Answer) -> EventCursor:
    """Parses `Epoch` and `NextToken` of an answer. Raises StoreBusyError, StoreAnswerInvalidError."""
    if answer.status == 429:
        raise StoreBusyError
    if answer.status != 200 or not isinstance(answer.json, dict):
        raise StoreAnswerInvalidError(f"{answer.status} with {type(answer.json).__name__}")
    body = answer.json
    epoch = _parse_integer(body.get(calls.EPOCH), calls.EPOCH)
    return EventCursor(epoch, _parse_integer(body.get(calls.NEXT_TOKEN), calls.NEXT_TOKEN))


def parse_events(answer: Answer, epoch: int) -> StoreEvents:
    """Parses the events of an answer that has a valid cursor; malformed events are skipped."""
    body = answer.json if isinstance(answer.json, dict) else {}
    listed = body.get(calls.EVENTS)
    changes: list[BlockChange] = []
    for event in listed if isinstance(listed, list) else ():
        match event:
            case [int(), "+" | "-" as sign, str(salt), str(prefix), int(cached_tokens), *_]:
                changes.append(BlockChange(sign, salt, prefix, cached_tokens))
    return StoreEvents(epoch, body.get(calls.LOST) is True, changes)


def _parse_integer(value: Any, name: str) -> int:  # noqa: ANN401 (any JSON)
    """Checks that the value is an integer from 0 to MAX_INTEGER. Raises StoreAnswerInvalidError."""
    if not isinstance(value, int) or isinstance(value, bool) or not 0 <= value <= MAX_INTEGER:
        raise StoreAnswerInvalidError(f"{name} is {value!r:.80}")
    return value
