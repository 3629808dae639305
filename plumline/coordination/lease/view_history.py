"""The views that came before the present one, and until when grants made in them may bind."""

from typing import NamedTuple

from plumline.coordination.lease.quorum import Electorate, old_majorities_intersect


class _EarlierView(NamedTuple):
    electorate: Electorate
    successor_learned_at: float


class ViewHistory:
    """The earlier views as this node learned of them, the oldest first."""

    def __init__(self) -> None:
        self._views: list[_EarlierView] = []

    def add(self, now: float, electorate: Electorate) -> None:
        """This node learns the successor of that view."""
        self._views.append(_EarlierView(electorate, now))

    def prune(self, now: float, longest_grant_s: float) -> None:
        """Forget views whose grants are over for certain, whatever the lease."""
        while len(self._views) > 2 and self._views[1].successor_learned_at + longest_grant_s <= now:
            del self._views[0]

    def last_grant_ends_at(self, present: Electorate, grant_s: float) -> float:
        """Until when a grant may bind that a majority of the present voters need not know of.

        0.0: no such grant can exist.
        """
        latest = 0.0
        last_index = len(self._views) - 1
        for index, earlier in enumerate(self._views):
            if not earlier.electorate.view or old_majorities_intersect(earlier.electorate, present):
                continue
            # A majority of that view could grant until its successor was decided, and no longer than until
            # this node learned of that. The bound taken here is later: when it learned of the one after.
            ended_at = self._views[min(index + 1, last_index)].successor_learned_at
            latest = max(latest, ended_at + grant_s)
        return latest
