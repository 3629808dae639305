"""What a coordination part may ask of its surroundings. The parts have no sockets, clocks or files of their
own.

A message is a list that begins with its kind and holds only what ormsgpack can carry. Messages may be lost,
come twice or in another order; each part is written for that.
"""

from collections.abc import Callable
from typing import Any, Protocol

Message = list[Any]
Record = list[Any]
#: Address of a registrar ("ip:port" of its internal listener) and the incarnation of its disk.
Member = tuple[str, str]


class Effects(Protocol):
    def send(self, to: str, message: Message) -> None:
        """To a registrar by address; to oneself too, but never at once within the call."""

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """`done` is called, in the order of the calls, once the record is synced to the disk."""
