"""How far a request has come: its sends so far, what they prove, and who has given it up."""

from dataclasses import dataclass, field
from enum import Enum

from plumline.configuration.entities import Route
from plumline.router.relay import EventJoiner
from plumline.router.upstream import UpstreamConnection

MOST_CONNECTS = 3  # connections that may fail under one request
MARGIN = 0.02  # s of a request's time that the way back may take
COME_BACK = (0.2, 1.0)  # s, the least and the most that a refused client is told


class Proof(Enum):
    """What the end of one send proves."""

    ANSWERED = "answered"  # the client has its answer, or its connection was cut
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(slots=True)
class Progress:
    """Kept by the job, changed by its choices and sends as well."""

    expired: bool = False  # its time is up
    gone: bool = False  # its client is
    ran: bool = False  # it may have run at some endpoint
    granted: bool = False  # the budget has given the next send
    started: bool = False  # the head of an answer has gone to the client
    over_share: bool = False  # and not sent for it
    sends: int = 0
    connects: int = 0  # connections that failed, or never carried it
    tried: set[str] = field(default_factory=set)  # endpoints that were sent it, or couldn't be
    come_back: float = COME_BACK[0]  # s that a refused client is told
    joiner: EventJoiner | None = None
    connection: UpstreamConnection | None = None  # of the send under way

    def may_send(self, route: Route) -> bool:
        """Whether one more send is allowed, by its route and by what the sends before it proved."""
        if self.sends >= route.attempt_limit or self.connects >= MOST_CONNECTS:
            return False
        if self.started and not (self.joiner and self.joiner.may_join()):
            return False
        return not self.ran or route.idempotent
