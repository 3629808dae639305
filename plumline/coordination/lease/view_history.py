"""The views before the current one, and until when grants made in them may bind."""

from typing import NamedTuple

from plumline.coordination.lease.quorum import Electorate, earlier_majorities_intersect


class _EarlierView(NamedTuple):
    electorate: Electorate
    successor_learned_at: float


class ViewHistory:
    """The earlier views as this node learned of them, the oldest first."""

    def __init__(self) -> None:
        self._views: list[_EarlierView] = []

    def add(self, now: float, electorate: Electorate) -> None:
        """This node learns of the successor of the view of `electorate`."""
        self._views.append(_EarlierView(electorate, now))

    def prune(self, now: float, longest_grant_s: float) -> None:
        """Discard views whose grants have certainly expired, for every lease."""
        while len(self._views) > 2 and self._views[1].successor_learned_at + longest_grant_s <= now:
            del self._views[0]

    def last_grant_ends_at(self, current: Electorate, grant_s: float) -> float:
        """Until when a grant may bind that a majority of the current voters need not know of.

        0.0 if no such grant can exist.
        """
        latest = 0.0
        last_index = len(self._views) - 1
        for index, earlier in enumerate(self._views):
            if not earlier.electorate.view or earlier_majorities_intersect(earlier.electorate, current):
                continue
            # A majority of that view could grant until its successor was decided, which was before this node
            # learned of it. The bound used here is more conservative: when it learned of the view after that.
            ended_at = self._views[min(index + 1, last_index)].successor_learned_at
            latest = max(latest, ended_at + grant_s)
        return latest
