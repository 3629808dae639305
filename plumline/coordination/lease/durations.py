"""How long a lease is granted, and the intervals that follow from it."""

from typing import NamedTuple

REQUEST_TIMEOUT_S = 1.0  # upper bound of `LeaseDurations.request_timeout_s`


class LeaseDurations(NamedTuple):
    """The durations of one lease, in seconds.

    `lock_delay_s` is the time for which nobody holds the lease between two holders on different nodes, like
    the lock-delay of Chubby (Burrows, OSDI 2006). It lets commands of the earlier holder that are still in
    transit arrive before those of the next one.

    Clocks are assumed to run at the same rate; where they may drift, the lock delay has to be longer.
    """

    lease_s: float
    lock_delay_s: float

    @property
    def grant_s(self) -> float:
        """How long a voter is bound by its grant."""
        return self.lease_s + self.lock_delay_s

    @property
    def renew_within_s(self) -> float:
        """A holder renews when the rest of its lease is no longer than this."""
        return self.lease_s * 2 / 3

    @property
    def renewal_interval_s(self) -> float:
        """The time between two renewal requests of a holder."""
        return self.lease_s / 6

    @property
    def request_timeout_s(self) -> float:
        """How long a candidate for a vacant lease waits for a majority before it abandons its request."""
        return min(REQUEST_TIMEOUT_S, self.lease_s / 3)
