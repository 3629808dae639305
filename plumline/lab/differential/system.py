"""The path of a change, in one process: a registrar's disk storage, its publisher, and routers' feeds.

They communicate over loopback connections. Only the core is omitted: a change is committed as soon as it is
synced, as in a chain of one replica.
"""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.coordination.environment import Record
from plumline.coordination.log import Change
from plumline.coordination.replica_storage import ReplicaStorage
from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.errors import PlumlineError
from plumline.registrar.publisher import FeedPublisher
from plumline.router.subscriber import FeedSubscriber
from plumline.routing.fleet import Fleet
from plumline.settings import Settings
from plumline.store.write_ahead_log import WriteAheadLog
from plumline.wire.frame_link import FrameLink
from plumline.wire.frames import hello

HOST, ZONE = "127.0.0.1", "zone"
HEARTBEAT_S = 0.3  # interval of the registrar's heartbeats
FEED_TIMEOUT_S = 20.0  # for one entry to reach a router, even on a busy machine
POLL_ITERATIONS_WITHOUT_SLEEP = 200  # event loop iterations before a wait sleeps between polls
POLL_INTERVAL_S = 0.001


class FeedStalledError(PlumlineError):
    """An entry has not reached a router in time."""

    code, status = "feed-stalled", 500


async def wait_until(condition: Callable[[], bool], description: str) -> None:
    """Polls until the condition holds. Raises FeedStalledError after FEED_TIMEOUT_S."""
    deadline = asyncio.get_running_loop().time() + FEED_TIMEOUT_S
    iterations = 0
    while not condition():
        if asyncio.get_running_loop().time() > deadline:
            raise FeedStalledError(f"{description} did not happen in {FEED_TIMEOUT_S:g} s")
        iterations += 1
        await asyncio.sleep(0 if iterations < POLL_ITERATIONS_WITHOUT_SLEEP else POLL_INTERVAL_S)


class Disk:
    """The environment of a ReplicaStorage; records are synced immediately."""

    def __init__(self, folder: Path) -> None:
        """Opens the log in the folder; `stored` holds its records."""
        self.log = WriteAheadLog(folder)
        self.stored: list[Record] = self.log.open()

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Appends and syncs the record."""
        self.log.append([record])
        done()


class Registrar:
    """A registrar that commits and publishes each valid change."""

    def __init__(self, folder: Path) -> None:
        """Replays the log in the folder."""
        self.folder = folder
        self._load()

    def _load(self) -> None:
        self.disk = Disk(self.folder)
        environment: Any = self.disk
        self.storage = ReplicaStorage(
            environment, ReplicatedConfiguration(), ReplicatedConfiguration.from_wire, self._on_applied
        )
        for record in self.disk.stored:
            self.storage.restore(record)
        chain: Any = self.storage
        self.publisher = FeedPublisher(chain, SoftState(), HEARTBEAT_S)

    def _on_applied(self, index: int, change: Change | None) -> None:
        self.publisher.on_entry_committed(index, change)

    async def listen(self, port: int = 0) -> None:
        """Accepts subscribers on `port`; 0 picks a free one."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(self._accept, HOST, port)
        self.port: int = self.server.sockets[0].getsockname()[1]
        self._heartbeats = loop.create_task(self._publish_heartbeats())

    def _accept(self) -> FrameLink:
        publisher, now = self.publisher, asyncio.get_running_loop().time
        return FrameLink(
            hello("registrar", "registrar", f"{HOST}:0", ZONE),
            lambda link: publisher.on_subscriber_connected(link, now()),
            lambda link, message: publisher.on_subscriber_message(link, message, now()),
            publisher.on_subscriber_disconnected,
            Counters(),
        )

    async def _publish_heartbeats(self) -> None:
        while True:
            self.publisher.publish_heartbeat(True, [[f"{HOST}:{self.port}", ZONE]], {})
            await asyncio.sleep(HEARTBEAT_S)

    def submit(self, change: Change) -> bool:
        """Commits the change; returns False if it is refused. Errors other than PlumlineError propagate."""
        try:
            if self.storage.latest_state.check(change):
                return False
        except PlumlineError:
            return False
        self.storage.append_committed(self.storage.last_index + 1, change, lambda: None)
        if self.disk.log.needs_compaction:
            self.disk.log.compact(self.storage.records())
        return True

    @property
    def state(self) -> ReplicatedConfiguration:
        """The state after the newest committed entry."""
        return self.storage.state

    @property
    def index(self) -> int:
        """Index of the newest committed entry."""
        return self.storage.committed_index

    def close(self) -> None:
        """Closes the connections and the log."""
        self._heartbeats.cancel()
        self.server.close()
        for link in list(self.publisher.subscribers):
            link.abort()
        self.disk.log.close()

    async def restart(self) -> None:
        """Restarts as after a kill, with only the state on disk."""
        self.close()
        self._load()
        await self.listen(self.port)


class Subscriber:
    """A router's side of the feed."""

    def __init__(self, name: str, port: int) -> None:
        settings = Settings(name, HOST, (port, port), zone=ZONE, seed_addresses=((HOST, 0),))
        self.name, self.fleet = name, Fleet()
        self.feed = FeedSubscriber(settings, self.fleet, Counters())

    async def connect(self) -> None:
        """Waits until it is subscribed to the registrar as its primary; later it reconnects by itself."""
        self._feed_task = asyncio.get_running_loop().create_task(self.feed.run())

        def is_subscribed() -> bool:
            return self.feed.primary is not None and self.feed.primary.link is not None

        await wait_until(is_subscribed, f"a subscription of {self.name}")

    async def wait_for_index(self, index: int) -> None:
        """Waits until it has applied the entry with this index."""
        await wait_until(lambda: self.fleet.applied_index >= index, f"entry {index} at {self.name}")

    def set_reading(self, reading: bool) -> None:
        """Pauses or resumes reading from its connection."""
        link = self.feed.primary.link if self.feed.primary else None
        if link is None or link.transport is None or link.down:
            return
        if reading:
            link.transport.resume_reading()
        else:
            link.transport.pause_reading()

    def close(self) -> None:
        """Closes its connection."""
        self._feed_task.cancel()
        self.feed.close()
