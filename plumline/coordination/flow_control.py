"""Flow control between neighbours of a chain: how much a successor may be sent before it reports.

The window bounds the bytes in flight to a slow successor, and so the memory and time that a resend takes.
"""

from plumline.coordination.log import Entry, ReplicationLog
from plumline.coordination.retry_timer import RetryTimer

#: Limit of packed entries that are sent and not acknowledged; a larger entry may be in flight alone.
WINDOW_BYTES = 1024 * 1024

_UNKNOWN = -1  # placeholder for an index before the successor's first report in a view


class SendWindow:
    """Which entries the successor was sent and which it has acknowledged, in one view."""

    def __init__(self) -> None:
        self.acknowledged_index = _UNKNOWN  # newest entry that the successor has reported
        self.sent_index = _UNKNOWN  # newest entry sent to it
        self._retry = RetryTimer()  # runs until it reports the entries that were sent

    @property
    def is_open(self) -> bool:
        """Whether the successor has reported in this view; nothing is sent before."""
        return self.acknowledged_index >= 0

    def lacks(self, index: int) -> bool:
        """Whether the successor has reported and not all entries up to `index` were sent to it."""
        return self.is_open and self.sent_index < index

    def on_report(self, now: float, last_index: int) -> None:
        """Handle a report that the successor has the entries up to `last_index`, and no others."""
        if not self.is_open:
            self.sent_index = last_index
        # In a restart it may have lost entries that it had acknowledged but not synced.
        self.acknowledged_index = min(self.acknowledged_index, last_index)
        self.acknowledge(now, last_index)
        if last_index < self.sent_index and self._retry.may_send(now):
            self._retry.start(now)
            self.sent_index = last_index  # entries were lost in transit: send them again

    def acknowledge(self, now: float, index: int) -> None:
        """Record that the successor has the entries up to `index`, and possibly more."""
        self.sent_index = max(self.sent_index, index)
        if index > self.acknowledged_index:
            self.acknowledged_index = index
            self._retry.on_reply(now)
            if self.sent_index > index:
                self._retry.start(now)

    def take_entries(self, now: float, log: ReplicationLog, through: int) -> list[Entry]:
        """Return the unsent entries up to `through` that fit into the window, and mark them as sent."""
        free_bytes = WINDOW_BYTES
        in_flight = self.sent_index > self.acknowledged_index
        if in_flight:
            free_bytes -= log.bytes_between(self.acknowledged_index, self.sent_index)
        entries = log.batch(self.sent_index, through, free_bytes)
        if in_flight and entries[0].size > free_bytes:
            return []
        self.sent_index = entries[-1].index
        if not self._retry.awaiting_reply:
            self._retry.start(now)
        return entries


class ReceiveWindow:
    """Counts received bytes, so that a report is sent before the predecessor's window is exhausted."""

    def __init__(self) -> None:
        self._unreported_bytes = 0

    def add(self, size: int) -> None:
        """Count an entry of this packed size that was received and synced."""
        self._unreported_bytes += size

    def report_is_due(self) -> bool:
        """Whether half of the window was received since the last report."""
        return self._unreported_bytes >= WINDOW_BYTES // 2

    def on_report_sent(self) -> None:
        """Restart the count."""
        self._unreported_bytes = 0
