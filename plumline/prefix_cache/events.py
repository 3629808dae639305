"""Events that routers exchange about long prompts and stores, as messages and as plain values.

On the wire each is a list that begins with the name of its kind. Unknown kinds, which routers of another
version may send, raise ValueError.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from plumline.prefix_cache.blocks import PrefixBlock

PLACED_KIND = "placed"


@dataclass(frozen=True, slots=True)
class Placed:
    """A prompt was sent to an endpoint. `number`: the sender's count of its prompts."""

    number: int
    endpoint: str
    salt: str
    parts: list[PrefixBlock]
    uncached_tokens: float  # tokens that the endpoint has to read
    save_store: str  # address of the store that it is saved to; empty: to none


@dataclass(frozen=True, slots=True)
class Read:
    """The first piece of a prompt's answer has come."""

    number: int


@dataclass(frozen=True, slots=True)
class Done:
    """A prompt's stream has ended, or will never begin."""

    number: int


@dataclass(frozen=True, slots=True)
class Stored:
    """Changes in a store, from its own events: [sign, salt, part, tokens held now] each."""

    epoch: int
    changes: list[Sequence[Any]]


CacheEvent = Placed | Read | Done | Stored


def decode_event(event: object) -> CacheEvent:
    """Decodes an event from plain values. Raises ValueError, TypeError if it is malformed or unknown."""
    match event:
        case [
            "placed",
            int(number),
            str(endpoint),
            str(salt),
            list(parts),
            float(uncached_tokens),
            str(save_store),
        ]:
            named = [(str(name), int(tokens)) for name, tokens in parts]
            return Placed(number, endpoint, salt, named, uncached_tokens, save_store)
        case ["read", int(number)]:
            return Read(number)
        case ["done", int(number)]:
            return Done(number)
        case ["stored", int(epoch), list(changes)]:
            return Stored(epoch, changes)
    raise ValueError(f"not a prompt or store event: {event!r}")
