"""A view: the configuration of the core at one point in its history."""

from dataclasses import dataclass
from typing import Any

from plumline.coordination.environment import Member


@dataclass(frozen=True, slots=True)
class View:
    """Who votes and who replicates, from the decision of this view until that of the next one."""

    number: int  # 1 for the first view, one more for each that follows
    acceptors: tuple[Member, ...]  # they vote for leases and for the next view
    chain: tuple[Member, ...]  # the replicas in order, head first

    def to_wire(self) -> list[Any]:
        """The number, and the two lists of [address, incarnation]."""
        return [self.number, [list(each) for each in self.acceptors], [list(each) for each in self.chain]]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "View":
        """Raises ValueError or TypeError where the wire form is none of a view."""
        number, acceptors, chain = wire
        return cls(number, _members_from_wire(acceptors), _members_from_wire(chain))

    def majority(self) -> int:
        """How many of the acceptors are more than half of them."""
        return len(self.acceptors) // 2 + 1

    def position(self, member: Member) -> int | None:
        """Place in the chain, 0 for the head; None for who is not in it."""
        return self.chain.index(member) if member in self.chain else None


def _members_from_wire(wire: list[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(address), str(incarnation)) for address, incarnation in wire)
