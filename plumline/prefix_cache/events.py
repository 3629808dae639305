"""What routers tell one another of their long prompts and of the stores, as messages and as plain values.

On the wire each is a list that begins with the name of its kind; routers of another version may send more
kinds, which are refused here as ValueError.
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
    missing: float  # tokens that are to be read there
    saves: str  # address of the store that it is saved to; empty: to none


@dataclass(frozen=True, slots=True)
class Read:
    """The first piece of a prompt's answer has come."""

    number: int


@dataclass(frozen=True, slots=True)
class Done:
    """A prompt's stream has ended, or never will begin."""

    number: int


@dataclass(frozen=True, slots=True)
class Stored:
    """What has changed in a store, by its own events: [sign, salt, part, tokens kept now] of each."""

    epoch: int
    changes: list[Sequence[Any]]


News = Placed | Read | Done | Stored


def news_from(event: object) -> News:
    """The message that the plain values are. Raises ValueError, TypeError for what is no news."""
    match event:
        case [
            "placed",
            int(number),
            str(endpoint),
            str(salt),
            list(parts),
            float(missing),
            str(saves),
        ]:
            named = [(str(name), int(tokens)) for name, tokens in parts]
            return Placed(number, endpoint, salt, named, missing, saves)
        case ["read", int(number)]:
            return Read(number)
        case ["done", int(number)]:
            return Done(number)
        case ["stored", int(epoch), list(changes)]:
            return Stored(epoch, changes)
    raise ValueError(f"no news: {event!r}")
