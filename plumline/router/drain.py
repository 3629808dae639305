"""The deadlines of a router's graceful shutdown, and which requests they still admit. Free of I/O."""

from dataclasses import dataclass

# The platform checks readiness every second and needs two failures before it sends clients to other routers.
NOTICE_S = 2.5  # from the start of the shutdown until new connections have ceased
MARGIN_S = 0.7  # between the end of the process and the end of the grace period
MARGIN_SHARE = 1 / 8  # the same at most, as a share of the grace period
LAST_RESPONSES_S = 0.1  # for sending the last responses
LAST_RESPONSES_SHARE = 1 / 80  # the same at most, as a share of the grace period


@dataclass(frozen=True, slots=True)
class DrainDeadlines:
    """Deadlines in monotonic seconds of the event loop's clock."""

    notice_ends_at: float  # clients cannot know of the shutdown before
    responses_due_at: float  # a response that is incomplete then is ended by the router
    ends_at: float  # the process ends

    @classmethod
    def from_grace_period(cls, now: float, grace_s: float) -> "DrainDeadlines":
        """Deadlines of a shutdown that begins at `now` in a process that is killed `grace_s` later."""
        ends_at = now + grace_s - min(MARGIN_S, grace_s * MARGIN_SHARE)
        responses_due_at = ends_at - min(LAST_RESPONSES_S, grace_s * LAST_RESPONSES_SHARE)
        return cls(min(now + NOTICE_S, responses_due_at), responses_due_at, ends_at)

    def admits(self, now: float, deadline: float) -> bool:
        """Whether a request that was completely read at `now` may be admitted; `deadline`: when its client or
        its route gives up.

        Once clients can know of the shutdown, only requests whose deadline is before the last responses are
        due are admitted. Others might have to be cut, and their clients can use another router instead.
        """
        return now <= self.notice_ends_at or deadline <= self.responses_due_at
