"""The interface between the coordination protocols and the process that runs them.

The protocols are state machines without sockets, clocks or files. Times and messages are passed in as
arguments; messages to send and records to store go out through `Environment`. A registrar's process
implements it with TCP and a record file, tests in memory.

A message is a list that starts with its kind and holds only types that ormsgpack can encode. Messages may be
lost, duplicated or reordered; every protocol tolerates that.
"""

from collections.abc import Callable
from typing import Any, NamedTuple, Protocol

Message = list[Any]  # on the wire: its kind, then its fields
Record = list[Any]  # on the disk: its kind, then its fields


class Member(NamedTuple):
    """A registrar with its disk: after losing its stored data it is a different member."""

    address: str  # "ip:port" of its internal listener
    incarnation: str  # of its disk


class Environment(Protocol):
    """The operations that a protocol may use."""

    def send(self, to: str, message: Message) -> None:
        """Sends the message once to the registrar at this address; delivery is not guaranteed.

        A message to the local registrar is delivered too, but never within the call.
        """

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Appends the record to the disk and calls `done` once it is synced; both in the order of calls."""
