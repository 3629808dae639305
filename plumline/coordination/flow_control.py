"""Flow control between neighbours of a chain: how much a successor may be sent before it reports.

The window bounds what is in flight to a slow successor, and so the memory and the time that a repeat takes.
"""

from plumline.coordination.log import Entry, ReplicationLog
from plumline.coordination.retry_timer import RetryTimer

#: Of packed entries that may be sent and not acknowledged; a single larger entry may be, too.
WINDOW_BYTES = 1024 * 1024

_UNKNOWN = -1  # index, before the successor's first report in a view


class SendWindow:
    """What the successor was sent and what it has acknowledged, in one view."""

    def __init__(self) -> None:
        self.acknowledged_index = _UNKNOWN  # the newest entry that the successor reported to have
        self.sent_index = _UNKNOWN  # the newest entry that it was sent
        self._retry = RetryTimer()  # until it reports entries that were sent

    @property
    def is_open(self) -> bool:
        """Whether the successor has reported in this view; nothing is sent before."""
        return self.acknowledged_index >= 0

    def lacks(self, index: int) -> bool:
        """Whether the successor is ready for the entries up to `index` and was not sent all of them."""
        return self.is_open and self.sent_index < index

    def on_report(self, now: float, last_index: int) -> None:
        """The successor has the entries up to `last_index`, and no others."""
        if not self.is_open:
            self.sent_index = last_index
        # A restart may have taken away what it had acknowledged and not synced.
        self.acknowledged_index = min(self.acknowledged_index, last_index)
        self.acknowledge(now, last_index)
        if last_index < self.sent_index and self._retry.may_send(now):
            self._retry.start(now)
            self.sent_index = last_index  # entries were lost on the way: send them again

    def acknowledge(self, now: float, index: int) -> None:
        """The successor has the entries up to `index`, and maybe more."""
        self.sent_index = max(self.sent_index, index)
        if index > self.acknowledged_index:
            self.acknowledged_index = index
            self._retry.on_reply(now)
            if self.sent_index > index:
                self._retry.start(now)

    def take_entries(self, now: float, log: ReplicationLog, through: int) -> list[Entry]:
        """Return the entries up to `through` that fit into the window, and count them as sent."""
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
    """Counts received bytes, so that a report goes out before the predecessor's window is used up."""

    def __init__(self) -> None:
        self._unreported_bytes = 0

    def add(self, size: int) -> None:
        """An entry of this packed size was received and synced."""
        self._unreported_bytes += size

    def report_is_due(self) -> bool:
        """Whether half of the window was received since the last report."""
        return self._unreported_bytes >= WINDOW_BYTES // 2

    def on_report_sent(self) -> None:
        """Count from here on."""
        self._unreported_bytes = 0
