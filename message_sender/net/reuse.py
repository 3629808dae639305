"""Estimates the risk of reusing an idle connection from the outcomes of earlier calls."""

import math
from collections import defaultdict

FIRST_BAND = 0.025  # s idle; each further band ends at twice the time of the previous one
DECAY = 0.995  # decay of a band's counts with each of its calls: about the last 200 have weight
PRIOR_CALLS = 25.0  # successful calls assumed for each band at first, so that one early break is no evidence
# share of breaks accepted above that of new connections; a lost message costs far more than a handshake
RISK_MARGIN = 0.04

NEW_CONNECTION = -1


class ReuseRisk:
    """Counts how often connections break by how long they were idle. An endpoint may close an idle connection
    during a request, which then may have run, and its idle timeout is not announced."""

    def __init__(self) -> None:
        self.calls: defaultdict[int, float] = defaultdict(float)
        self.breaks: defaultdict[int, float] = defaultdict(float)

    def record(self, idle: float | None, broke: bool) -> None:
        """Counts a written call on a connection that was idle for `idle` seconds before; None for a new
        one."""
        band = self.band(idle)
        self.calls[band] = self.calls[band] * DECAY + 1
        self.breaks[band] = self.breaks[band] * DECAY + broke

    def is_risky(self, idle: float) -> bool:
        """Whether a new connection is clearly safer than one idle for this long, in seconds."""
        return self.break_rate(self.band(idle)) > self.break_rate(NEW_CONNECTION) + RISK_MARGIN

    def band(self, idle: float | None) -> int:
        return NEW_CONNECTION if idle is None else max(math.ceil(math.log2(max(idle, 1e-6) / FIRST_BAND)), 0)

    def break_rate(self, band: int) -> float:
        return self.breaks[band] / (self.calls[band] + PRIOR_CALLS)
