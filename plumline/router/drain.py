"""The deadlines of a router's graceful shutdown, and which requests may still be admitted by them. No I/O."""

from dataclasses import dataclass

# The platform asks for readiness each second and needs two misses; then clients come to other routers.
NOTICE_S = 2.5  # from the start of the shutdown until new connections have ceased
MARGIN_S = 0.7  # by which the process has ended before the grace period is over
MARGIN_SHARE = 1 / 8  # the same at most, as a share of the grace period
LAST_RESPONSES_S = 0.1  # in which the last responses go out
LAST_RESPONSES_SHARE = 1 / 80  # the same at most, as a share of the grace period


@dataclass(frozen=True, slots=True)
class DrainDeadlines:
    """All times are steady s, on the event loop's clock."""

    notice_ends_at: float  # clients can't know of the shutdown before
    responses_due_at: float  # a response that is not complete by then is ended by the router
    ends_at: float  # the process ends

    @classmethod
    def from_grace_period(cls, now: float, grace_s: float) -> "DrainDeadlines":
        """Of a shutdown that begins at `now` in a process that is killed `grace_s` later."""
        ends_at = now + grace_s - min(MARGIN_S, grace_s * MARGIN_SHARE)
        responses_due_at = ends_at - min(LAST_RESPONSES_S, grace_s * LAST_RESPONSES_SHARE)
        return cls(min(now + NOTICE_S, responses_due_at), responses_due_at, ends_at)

    def admits(self, now: float, deadline: float) -> bool:
        """Whether a request that was read whole at `now` may be admitted; `deadline`: when its client or its
        route gives it up.

        Once clients can know of the shutdown, only a request that is over before the process ends: any other
        one may have to be cut, and its client can go to another router instead.
        """
        return now <= self.notice_ends_at or deadline <= self.responses_due_at
