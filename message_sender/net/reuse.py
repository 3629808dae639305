"""How far a kept connection can be trusted, learned from what became of the calls on connections before."""

import math
from collections import defaultdict

FIRST_BAND = 0.025  # s idle; each further band is twice as long as the one before
FADE = 0.995  # of each band's counts with each of its calls: about the last 200 speak
CALM = 25.0  # served calls that a band is taken to have had: one early break proves nothing
MARGIN = 0.04  # breaks above those of new connections; a message spoilt costs far more than a handshake

NEW = -1


class Reuse:
    """Endpoints may close an idle connection just as a request goes, which then may have run. How long they
    keep one is told nowhere, so breaks are counted by how long the connection had stood idle."""

    def __init__(self) -> None:
        self.calls: defaultdict[int, float] = defaultdict(float)
        self.breaks: defaultdict[int, float] = defaultdict(float)

    def count(self, idle: float | None, broke: bool) -> None:
        """A call that was written, on a connection idle for so long before it; none for a new one."""
        band = self.band(idle)
        self.calls[band] = self.calls[band] * FADE + 1
        self.breaks[band] = self.breaks[band] * FADE + broke

    def risky(self, idle: float) -> bool:
        """Whether a new connection is clearly safer."""
        return self.share(self.band(idle)) > self.share(NEW) + MARGIN

    def band(self, idle: float | None) -> int:
        return NEW if idle is None else max(math.ceil(math.log2(max(idle, 1e-6) / FIRST_BAND)), 0)

    def share(self, band: int) -> float:
        return self.breaks[band] / (self.calls[band] + CALM)
