"""What a registrar reports of itself in its pings."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class ReplicaStatus(IntEnum):
    """How far a registrar is with the chain of its view. The values go on the wire."""

    LEARNER_BEHIND = -1  # outside the chain; lacks more than what one answer to it carries
    LEARNER_NEARLY_CAUGHT_UP = 0  # outside the chain; may become its tail
    CHAIN_CATCHING_UP = 1  # in the chain, without all that its predecessor held as the view began
    CHAIN_CAUGHT_UP = 2  # in the chain, with all that was ever committed

    @classmethod
    def _missing_(cls, value: object) -> "ReplicaStatus":
        """A status that only a newer release knows: neither caught up nor ready to join the chain."""
        return cls.LEARNER_BEHIND


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """The state of this registrar that its peers decide by."""

    incarnation: str  # of its disk
    view_number: int  # of its view; 0: it knows none
    last_synced: int  # number of the newest entry that may count as synced
    disk_unhealthy: bool  # the disk takes no writes
    draining: bool  # it is about to end, and hands over what it holds
    status: ReplicaStatus

    def to_wire(self) -> list[Any]:
        """The fields of a ping that follow its nonce."""
        return [
            self.incarnation,
            self.view_number,
            self.last_synced,
            self.disk_unhealthy,
            self.draining,
            int(self.status),
        ]
