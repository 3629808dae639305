"""Majorities of voters: who votes in a view, and whether majorities of two views share a voter."""

from dataclasses import dataclass


def majority(voters: int) -> int:
    """The smallest number of voters that is more than half of `voters`."""
    return voters // 2 + 1


@dataclass(frozen=True, slots=True)
class Electorate:
    """The voters of one view. View 0, without voters, is used until this node learns of a view."""

    view: int = 0
    voters: tuple[str, ...] = ()  # addresses, sorted

    @property
    def majority(self) -> int:
        """The number of grants that elects a holder."""
        return majority(len(self.voters))


def earlier_majorities_intersect(earlier: Electorate, current: Electorate) -> bool:
    """Whether majorities of `current` that consist of voters of `earlier` intersect all its majorities.

    Majorities of `current` that include a new voter aren't considered, since new voters abstain.
    """
    needed = current.majority
    common = len(set(earlier.voters) & set(current.voters))
    return common < needed or needed + earlier.majority > len(earlier.voters)
