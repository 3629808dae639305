"""The status of itself that a registrar reports in its pings."""

from dataclasses import dataclass
from enum import IntEnum
from typing import Any


class ReplicaStatus(IntEnum):
    """Replication progress of a registrar in the chain of its view. The values go on the wire."""

    LEARNER_BEHIND = -1  # outside the chain; lacks more entries than one answer carries
    LEARNER_NEARLY_CAUGHT_UP = 0  # outside the chain; may become its tail
    CHAIN_CATCHING_UP = 1  # in the chain; may lack entries that its predecessor held at the start of the view
    CHAIN_CAUGHT_UP = 2  # in the chain; holds all committed entries

    @classmethod
    def _missing_(cls, value: object) -> "ReplicaStatus":
        """Maps a status of a newer release to one that is neither caught up nor ready to join the chain."""
        return cls.LEARNER_BEHIND


@dataclass(frozen=True, slots=True)
class LocalStatus:
    """The state of this registrar on which its peers base their decisions."""

    incarnation: str  # of its disk
    view_number: int  # 0: it knows no view
    last_synced: int  # number of the newest entry that counts as synced
    disk_unhealthy: bool  # the disk accepts no writes
    draining: bool  # it is shutting down, and hands over its roles
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
