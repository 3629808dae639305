"""A view: the acceptors and the replication chain of the core, valid until the next view is decided.

The chain of a view may still lack entries that were acknowledged before. The view is *activated* once the
chain has them and a majority of the acceptors has recorded so; nothing is committed in it before. Until then
those entries are read from the members of its `base`, the last activated view. (Lamport, Malkhi and Zhou,
"Vertical Paxos and Primary-Backup Replication", PODC 2009.)
"""

from dataclasses import dataclass
from typing import Any, NamedTuple

from plumline.coordination.environment import Member


class ActivatedView(NamedTuple):
    """A view whose chain held all entries acknowledged before it."""

    number: int
    chain: tuple[Member, ...]  # its replicas in order; each can serve all acknowledged entries

    def to_wire(self) -> list[Any]:
        """The number, and the list of [address, incarnation]."""
        return [self.number, [list(each) for each in self.chain]]

    @classmethod
    def from_wire(cls, wire: list[Any]) -> "ActivatedView":
        """Raises ValueError or TypeError if the wire form is not an activated view."""
        number, chain = wire
        return cls(int(number), _members_from_wire(chain))


@dataclass(frozen=True, slots=True)
class View:
    """The acceptors and replicas, from the decision of this view until that of the next one."""

    number: int  # 1 for the first view, then consecutive
    acceptors: tuple[Member, ...]  # vote for leases and for the next view
    chain: tuple[Member, ...]  # the replicas in order, head first
    #: The last activated view when this one was proposed. None: the view needs no activation, as the first
    #: view and those proposed by releases without activation.
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
        """Raises ValueError or TypeError if the wire form is not a view."""
        number, acceptors, chain, *base = wire
        if len(base) > 1:
            raise ValueError(f"view has {len(wire)} fields; expected 3 or 4")
        return cls(
            number,
            _members_from_wire(acceptors),
            _members_from_wire(chain),
            ActivatedView.from_wire(base[0]) if base else None,
        )

    def abandons_its_predecessor(self) -> bool:
        """Whether its base is older than its predecessor, which must then never be activated."""
        return self.base is not None and self.base.number < self.number - 1

    def majority(self) -> int:
        """The smallest number of acceptors that is more than half of them."""
        return len(self.acceptors) // 2 + 1

    def position(self, member: Member) -> int | None:
        """Index in the chain, 0 for the head; None for a member that is not in it."""
        return self.chain.index(member) if member in self.chain else None


def _members_from_wire(wire: list[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(address), str(incarnation)) for address, incarnation in wire)
