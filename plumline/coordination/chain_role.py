"""The role that a view gives to a registrar: head, inner member or tail of the chain, or learner."""

from dataclasses import dataclass

from plumline.coordination.environment import Member
from plumline.coordination.view import View


@dataclass(frozen=True, slots=True)
class ChainRole:
    """A registrar's role in one view, and its neighbours in the chain."""

    view: View | None  # None if no view is known yet
    view_number: int  # 0 if no view is known
    position: int | None  # in the chain, counted from the head at 0; None for a learner
    predecessor: str | None  # address of the next member towards the head
    successor: str | None  # address of the next member towards the tail
    chain_length: int  # 0 if no view is known

    @classmethod
    def without_view(cls) -> "ChainRole":
        """Return the role of a registrar that knows no view yet."""
        return cls(None, 0, None, None, None, 0)

    @classmethod
    def in_view(cls, view: View, member: Member) -> "ChainRole":
        """Return the member's role in the view."""
        position = view.position(member)
        length = len(view.chain)
        if position is None:
            return cls(view, view.number, None, None, None, length)
        predecessor = view.chain[position - 1].address if position > 0 else None
        successor = view.chain[position + 1].address if position + 1 < length else None
        return cls(view, view.number, position, predecessor, successor, length)

    def is_member(self) -> bool:
        """Whether it is in the chain."""
        return self.position is not None

    def is_learner(self) -> bool:
        """Whether it is outside the chain."""
        return self.position is None

    def is_head(self) -> bool:
        """Whether it is the member that orders the changes."""
        return self.position == 0

    def is_tail(self) -> bool:
        """Whether it is the member that commits entries first and answers reads."""
        return self.position is not None and self.successor is None
