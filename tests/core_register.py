"""A small replicated state for simulated cores, and the error for a violated invariant."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline.coordination.environment import Message, Record
from plumline.errors import VersionConflictError


class ViolationError(Exception):
    """An invariant is violated."""


@dataclass(frozen=True, slots=True)
class Register:
    """A minimal configuration: a change is ["set", based_on, id], and a version is the count of ids."""

    ids: tuple[str, ...] = ()

    def check(self, change: list[Any]) -> bool:
        """Return True if it was applied before. Raises VersionConflictError if based on another version."""
        _, based_on, name = change
        if name in self.ids:
            return True
        if based_on != len(self.ids):
            raise VersionConflictError(f"{based_on} is not {len(self.ids)}")
        return False

    def apply(self, change: list[Any]) -> "Register":
        _, based_on, name = change
        if based_on != len(self.ids):
            raise ViolationError(f"{change} applied to version {len(self.ids)}")
        return Register((*self.ids, name))

    def to_wire(self) -> list[str]:
        return list(self.ids)

    @staticmethod
    def load(wire: list[str]) -> "Register":
        return Register(tuple(wire))


class NullEnvironment:
    def send(self, to: str, message: Message) -> None:
        raise AssertionError(f"sends {message} to {to}")

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        raise AssertionError(f"writes {record}")
