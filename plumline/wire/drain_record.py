"""Records the requests that a server received after the start of its shutdown."""

from dataclasses import dataclass


@dataclass(slots=True)
class DrainRecord:
    """Complete requests received since `began_at`, the monotonic time in s of the start of the shutdown."""

    began_at: float
    on_new_connections: int = 0  # opened after the start of the shutdown
    on_earlier_connections: int = 0  # opened before it
    latest_request_s: float = 0.0  # time from the start of the shutdown to the last of these requests
    slowest_request_s: float = 0.0  # longest time from the first to the last byte of a request

    def record_request(self, now: float, connection_opened_at: float, first_byte_at: float) -> None:
        """Counts a completely received request. All times are monotonic, in s."""
        if connection_opened_at < self.began_at:
            self.on_earlier_connections += 1
        else:
            self.on_new_connections += 1
        self.latest_request_s = max(self.latest_request_s, now - self.began_at)
        self.slowest_request_s = max(self.slowest_request_s, now - first_byte_at)
