"""How long a lease is granted, and the intervals that follow from it."""

from typing import NamedTuple

REQUEST_TIMEOUT_S = 1.0  # at most: a request for a vacant lease that has no majority by then is given up


class LeaseDurations(NamedTuple):
    """The durations of one lease, in seconds.

    `lock_delay_s` is the time for which nobody holds the lease between two holders on different nodes, as
    the lock-delay of Chubby (Burrows, OSDI 2006). It lets commands of the earlier holder that are still on
    their way arrive before those of the next one. Clocks are taken to run at the same rate: whoever can't
    rely on that lengthens this delay.
    """

    lease_s: float
    lock_delay_s: float

    @property
    def grant_s(self) -> float:
        """How long a voter is bound by its grant."""
        return self.lease_s + self.lock_delay_s

    @property
    def renew_within_s(self) -> float:
        """A holder renews once no more than this is left of its lease."""
        return self.lease_s * 2 / 3

    @property
    def renewal_interval_s(self) -> float:
        """The time between two renewal requests of a holder."""
        return self.lease_s / 6

    @property
    def request_timeout_s(self) -> float:
        """How long a candidate waits for a majority before it gives its request up."""
        return min(REQUEST_TIMEOUT_S, self.lease_s / 3)
