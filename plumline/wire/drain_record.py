"""What a server took on after it was told to end: by which connections, and how late."""

from dataclasses import dataclass


@dataclass(slots=True)
class DrainRecord:
    """Requests read whole since `began_at` (steady s, the start of the shutdown). Times in s."""

    began_at: float
    on_new_connections: int = 0  # opened after the start of the shutdown
    on_earlier_connections: int = 0  # opened before it
    latest_request_s: float = 0.0  # from the start of the shutdown to the last of these requests
    slowest_request_s: float = 0.0  # the longest from a request's first byte to its last

    def record_request(self, now: float, connection_opened_at: float, first_byte_at: float) -> None:
        """A request has been read whole. All times are steady s."""
        if connection_opened_at < self.began_at:
            self.on_earlier_connections += 1
        else:
            self.on_new_connections += 1
        self.latest_request_s = max(self.latest_request_s, now - self.began_at)
        self.slowest_request_s = max(self.slowest_request_s, now - first_byte_at)
