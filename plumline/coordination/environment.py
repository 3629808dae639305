"""What the coordination protocols need from the process that runs them.

The protocols are state machines without sockets, clocks or files: times and messages come in as arguments,
and what they send or store goes out through `Environment`. A registrar's process implements it over TCP and a
record file, a test by hand.

A message is a list that begins with its kind and holds only what ormsgpack can carry. Messages may be lost,
duplicated or reordered; every protocol is written for that.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

Message = list[Any]  # on the wire: its kind, then its fields
Record = list[Any]  # on the disk: its kind, then its fields


class Member(NamedTuple):
    """A registrar with one disk: it becomes another member when it loses what it has stored."""

    address: str  # "ip:port" of its internal listener
    incarnation: str  # of its disk


class Environment(Protocol):
    """What a protocol may ask of its surroundings."""

    def send(self, to: str, message: Message) -> None:
        """Sends the message to the registrar at this address, once and without a promise that it arrives.

        Messages to the registrar itself are delivered too, but never within the call.
        """

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Appends the record to the disk and calls `done` once it is synced, in the order of the calls."""
