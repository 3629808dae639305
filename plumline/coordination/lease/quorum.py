"""Majorities of voters: who votes in a view, and whether majorities of two views share a voter."""

from dataclasses import dataclass


def majority(voters: int) -> int:
    """The smallest number of voters that is more than half of `voters`."""
    return voters // 2 + 1


@dataclass(frozen=True, slots=True)
class Electorate:
    """The voters of one view. View 0 stands for none, before this node has learned any."""

    view: int = 0
    voters: tuple[str, ...] = ()  # addresses, sorted

    @property
    def majority(self) -> int:
        """The number of grants that elects a holder."""
        return majority(len(self.voters))


def old_majorities_intersect(earlier: Electorate, present: Electorate) -> bool:
    """Whether each majority of `present` made up of voters of `earlier` shares one with each of `earlier`.

    Majorities of `present` with a newcomer in them are left out, since newcomers abstain.
    """
    needed = present.majority
    common = len(set(earlier.voters) & set(present.voters))
    return common < needed or needed + earlier.majority > len(earlier.voters)
