"""One registrar that a router receives the configuration feed from, and how far the feed lags behind it."""

import asyncio
from dataclasses import dataclass

from plumline.wire.frame_link import FrameLink


@dataclass(slots=True)
class FeedSource:
    """The connection to one registrar. Times are monotonic seconds."""

    address: str
    connect_task: "asyncio.Task[None]"
    link: FrameLink | None = None  # None until the registrar has sent its hello
    last_message_at: float = 0.0
    is_current: bool = False  # whether the registrar reports that it certainly has the newest entries
    last_current_at: float = 0.0  # when it last reported that, or when the link was opened
    committed_index: int = 0  # index of the newest entry that it reported
    confirms: bool = False  # whether its release answers confirmation requests
    last_feed_at: float = 0.0  # when it last sent an entry or a snapshot, or was asked for them

    def last_received_at(self) -> float:
        """When the newest bytes arrived, including chunks of a large frame."""
        return max(self.last_message_at, self.link.last_received_at if self.link is not None else 0.0)

    def last_progress_at(self) -> float:
        """When it last sent an entry, a snapshot or a chunk of one, or was asked for them."""
        return max(self.last_feed_at, self.link.last_chunk_at if self.link is not None else 0.0)


@dataclass(slots=True)
class FeedLag:
    """Entries that a source has reported as committed and that have not arrived."""

    missing_index: int = 0  # index of the entry that ends the lag
    began_at: float | None = None  # None: nothing is missing

    def on_committed(self, committed_index: int, applied_index: int, now: float) -> None:
        """Handles a source's report of its newest entry."""
        if committed_index > applied_index and self.began_at is None:
            self.missing_index, self.began_at = committed_index, now

    def on_applied(self, applied_index: int) -> None:
        """Handles that the router has applied the feed up to this entry."""
        if applied_index >= self.missing_index:
            self.began_at = None

    def duration_s(self, now: float) -> float:
        """How long entries have been missing; 0 if none are."""
        return 0.0 if self.began_at is None else now - self.began_at
