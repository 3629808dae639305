"""Leader leases: one holder at a time, elected by a majority of the acceptors, with rising fencing tokens."""

from plumline.coordination.lease.election import (
    LeaseDurations,
    LeaseElection,
    LeaseMessageError,
    Persist,
    Send,
    majority,
)

__all__ = ["LeaseDurations", "LeaseElection", "LeaseMessageError", "Persist", "Send", "majority"]
