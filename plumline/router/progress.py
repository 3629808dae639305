"""Progress of one request: its attempts so far, what they prove, and whether it was given up."""

from dataclasses import dataclass, field
from enum import Enum

from plumline.configuration.entities import Route
from plumline.router.relay import EventJoiner
from plumline.router.upstream import UpstreamConnection
from plumline.routing.mechanisms import MECHANISMS

MAX_FAILED_CONNECTS = 3  # per request
RESPONSE_MARGIN_S = 0.02  # of a request's time, reserved for the answer's way back
RETRY_AFTER_RANGE_S = (0.2, 1.0)  # least and greatest `Retry-After` for a refused client


class Proof(Enum):
    """What the end of one attempt proves."""

    ANSWERED = "answered"  # the client has its answer, or its connection was cut
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


@dataclass(slots=True)
class Progress:
    """Owned by the request handler; its selection and its attempts change it too."""

    expired: bool = False  # the deadline has passed
    client_left: bool = False  # the client has disconnected
    may_have_run: bool = False  # at some endpoint
    retry_granted: bool = False  # the retry budget has allowed the next attempt
    response_started: bool = False  # the head of an answer was sent to the client
    quota_exceeded: bool = False  # by the tenant; the request was not sent because of it
    attempts: int = 0
    trial_draw: float | None = None  # 0 to 1; a draw below the trial share goes to the version on trial
    failed_connects: int = 0  # connections that failed, or on which the request was not sent
    attempted: set[str] = field(
        default_factory=set
    )  # endpoints that received the request or could not be reached
    retry_after_s: float = RETRY_AFTER_RANGE_S[0]  # for a refused client
    joiner: EventJoiner | None = None
    connection: UpstreamConnection | None = None  # of the current attempt

    def may_send(self, route: Route) -> bool:
        """Whether another attempt is allowed, by the route and by what earlier attempts proved."""
        if self.attempts and not MECHANISMS.second_attempts:
            return False
        if self.attempts >= route.attempt_limit or self.failed_connects >= MAX_FAILED_CONNECTS:
            return False
        if self.response_started and not (self.joiner and self.joiner.may_join()):
            return False
        return not self.may_have_run or route.idempotent
