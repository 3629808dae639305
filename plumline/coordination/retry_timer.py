"""Timeouts of a request that is resent until answered: exponential backoff, adapted to the round trip."""

INITIAL_TIMEOUT_S = 0.4  # before the first resend; also the minimum after a reply
MAX_TIMEOUT_S = 3.2
ROUND_TRIP_MULTIPLE = 4  # timeout after a reply, as a multiple of that request's round trip


class RetryTimer:
    """Times the sending and resending of one request at a time, in seconds of the monotonic clock."""

    def __init__(self) -> None:
        self.started_at: float | None = None  # when the unanswered request was sent; None if there is none
        self.timeout_s = INITIAL_TIMEOUT_S

    def start(self, now: float, max_timeout_s: float = MAX_TIMEOUT_S) -> None:
        """Record that a request is sent now; the timeout doubles if the previous one got no reply."""
        if self.started_at is not None:
            self.timeout_s = 2 * self.timeout_s
        self.timeout_s = min(self.timeout_s, max_timeout_s)
        self.started_at = now

    def on_reply(self, now: float) -> None:
        """Record a reply, and set the next timeout by the time that it took."""
        if self.started_at is not None:
            round_trips_s = ROUND_TRIP_MULTIPLE * (now - self.started_at)
            self.timeout_s = min(max(INITIAL_TIMEOUT_S, round_trips_s), MAX_TIMEOUT_S)
        self.started_at = None

    @property
    def awaiting_reply(self) -> bool:
        """Whether a request is unanswered; it may have timed out."""
        return self.started_at is not None

    def may_send(self, now: float) -> bool:
        """Whether no request is unanswered, or the unanswered one has timed out."""
        return self.started_at is None or now - self.started_at >= self.timeout_s
