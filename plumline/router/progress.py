"""How far a request has come: its sends so far, what they prove, and who has given it up."""

from dataclasses import dataclass, field
from enum import Enum

from plumline.configuration.entities import Route
from plumline.router.relay import EventJoiner
from plumline.router.upstream import UpstreamConnection
from plumline.routing.mechanisms import MECHANISMS

MAX_FAILED_CONNECTS = 3  # connections that may fail under one request
RESPONSE_MARGIN_S = 0.02  # s of a request's time that the way back may take
RETRY_AFTER_RANGE_S = (0.2, 1.0)  # s, the least and the most that a refused client is told


class Proof(Enum):
    """What the end of one send proves."""

    ANSWERED = "answered"  # the client has its answer, or its connection was cut
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(slots=True)
class Progress:
    """Kept by the job, changed by its choices and sends as well."""

    expired: bool = False  # its time is up
    client_left: bool = False  # its client is
    may_have_run: bool = False  # it may have run at some endpoint
    retry_granted: bool = False  # the budget has given the next send
    response_started: bool = False  # the head of an answer has gone to the client
    quota_exceeded: bool = False  # and not sent for it
    attempts: int = 0
    trial_draw: float | None = None  # 0 to 1: below the share of a version on trial, it goes there
    failed_connects: int = 0  # connections that failed, or never carried it
    attempted: set[str] = field(default_factory=set)  # endpoints that were sent it, or couldn't be
    retry_after_s: float = RETRY_AFTER_RANGE_S[0]  # s that a refused client is told
    joiner: EventJoiner | None = None
    connection: UpstreamConnection | None = None  # of the send under way

    def may_send(self, route: Route) -> bool:
        """Whether one more send is allowed, by its route and by what the sends before it proved."""
        if self.attempts and not MECHANISMS.second_attempts:
            return False
        if self.attempts >= route.attempt_limit or self.failed_connects >= MAX_FAILED_CONNECTS:
            return False
        if self.response_started and not (self.joiner and self.joiner.may_join()):
            return False
        return not self.may_have_run or route.idempotent
