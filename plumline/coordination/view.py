"""A view: the configuration of the core at one point in its history.

A view may name a chain that does not hold yet what was acknowledged before. It is *activated* once its chain
does, and a majority of its acceptors has recorded so; nothing is committed in it before. Until then the
members of its `base`, the last activated view, remain the source of what was acknowledged. (Lamport, Malkhi
and Zhou, "Vertical Paxos and Primary-Backup Replication", PODC 2009.)
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from plumline.coordination.environment import Member


class ActivatedView(NamedTuple):
    """A view whose chain held all that was acknowledged before it."""

    number: int
    chain: tuple[Member, ...]  # its replicas in order; each of them is a source

    def to_wire(self) -> list[Any]:
        """The number, and the list of [address, incarnation]."""
        return [self.number, [list(each) for each in self.chain]]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "ActivatedView":
        """Raises ValueError or TypeError where the wire form is none of an activated view."""
        number, chain = wire
        return cls(int(number), _members_from_wire(chain))


@dataclass(frozen=True, slots=True)
class View:
    """Who votes and who replicates, from the decision of this view until that of the next one."""

    number: int  # 1 for the first view, one more for each that follows
    acceptors: tuple[Member, ...]  # they vote for leases and for the next view
    chain: tuple[Member, ...]  # the replicas in order, head first
    #: The last activated view as this one was proposed. None: the view is in force as soon as it is decided,
    #: as the first one is and those that releases without activation propose.
    base: ActivatedView | None = None

    def to_wire(self) -> list[Any]:
        """The number, two lists of [address, incarnation] and, where there is a base, its wire form."""
        wire = self.to_wire_without_base()
        return wire if self.base is None else [*wire, self.base.to_wire()]

    def to_wire_without_base(self) -> list[Any]:
        """The number and the two lists, which all releases can read."""
        return [self.number, [list(each) for each in self.acceptors], [list(each) for each in self.chain]]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "View":
        """Raises ValueError or TypeError where the wire form is none of a view."""
        number, acceptors, chain, *base = wire
        if len(base) > 1:
            raise ValueError(f"a view of {len(wire)} fields")
        return cls(
            number,
            _members_from_wire(acceptors),
            _members_from_wire(chain),
            ActivatedView.from_wire(base[0]) if base else None,
        )

    def abandons_its_predecessor(self) -> bool:
        """Whether it is based on an earlier view than the one before it, which must never be activated."""
        return self.base is not None and self.base.number < self.number - 1

    def majority(self) -> int:
        """How many of the acceptors are more than half of them."""
        return len(self.acceptors) // 2 + 1

    def position(self, member: Member) -> int | None:
        """Place in the chain, 0 for the head; None for who is not in it."""
        return self.chain.index(member) if member in self.chain else None


def _members_from_wire(wire: list[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(address), str(incarnation)) for address, incarnation in wire)
