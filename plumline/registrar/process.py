"""The registrar's process: sockets, clock, disk and loops round the core."""

import asyncio
import random
import secrets
import signal
from collections.abc import Callable
from typing import Any

from plumline import logs
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.coordination.core import Core
from plumline.coordination.environment import Member, Message, Record
from plumline.coordination.lease import LeaseDurations
from plumline.coordination.soft_state import SoftState
from plumline.coordination.view import View
from plumline.counters import Counters
from plumline.prefix_cache.index import TOLD_PART
from plumline.registrar.cache_stores import CacheStoreMonitor
from plumline.registrar.discovery import EndpointDiscovery
from plumline.registrar.operator_api import OperatorApi
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.rollout.loop import RolloutController
from plumline.registrar.service_load import ServiceLoads
from plumline.settings import Settings, SettingsFile
from plumline.store.log_writers import GroupCommitWriter, LogWriter, VolatileWriter
from plumline.store.write_ahead_log import WriteAheadLog
from plumline.wire.calls import Caller
from plumline.wire.frames import FrameLink, hello
from plumline.wire.mesh import Mesh
from plumline.wire.server import Server

STEP_INTERVAL_S = 0.05  # s between steps of the core
HEARTBEAT_INTERVAL_S = 0.4  # s between beats to routers
STALLED_WRITE_S = 0.6  # s that a write may wait for the disk before the machine says so
LINK_TIMEOUT_S = 1.5  # s without an echo after which a link is opened anew
DISCOVERY_LEASE_S = 1.2  # s; no lock delay: the calls of two holders do no harm but their price
WEIGHTS_LEASE_S = 1.0  # s
LOCK_DELAY_MARGIN_S = 0.4  # s added to the lock delay that the deployment asks for
COUNTERS_LOG_INTERVAL_S = 10.0  # s between summaries of the counters
MAX_EVENTS_PER_MESSAGE = 500  # parts in one message
SHUTDOWN_RESERVE_S = 1.5  # s of the grace period kept for answers under way and the last writes

log = logs.logger("registrar")


class RegistrarProcess:
    """The environment of the core is this object, by its `send` and `persist`."""

    def __init__(self, settings: Settings, settings_file: SettingsFile | None = None) -> None:
        self.settings, self.settings_file = settings, settings_file or SettingsFile(None)
        self.loop = asyncio.get_running_loop()
        self.counters, self.topics = Counters(), SoftState()
        host, port = settings.internal_address
        self.address = f"{host}:{port}"
        self.writer: LogWriter = VolatileWriter()
        self.known = asyncio.Event()  # the incarnation is on the disk, and so may be told
        records, incarnation = self.open_store()
        self.mesh = self._make_mesh()
        self.core = self._make_core(Member(self.address, incarnation))
        self.publisher = FeedPublisher(
            self.core.chain,
            self.topics,
            settings.heartbeat_interval_ms / 1000,
            is_current=lambda: self.core.fresh(self.loop.time()),
        )
        if settings.data_directory is not None:
            self.writer = GroupCommitWriter(self.file, self.loop, self.image)
            self.persist(["incarnation", incarnation], self.known.set)
        self.operators = OperatorApi(self.core, self.send, self.counters)
        self.zones: dict[str, str] = {self.address: settings.zone}  # of registrars, by address
        self.elsewhere: dict[str, tuple[float, dict[str, ServiceLoads]]] = {}  # followers of other registrars
        self.caller = Caller(self.loop.time)
        self._make_jobs()
        self.server: Server | None = None
        self.stopping = asyncio.Event()
        self.holding: dict[str, int | None] = {}
        self.addresses_of: dict[str, Any] | None = None  # the configuration that `addresses` are from
        self.addresses: dict[str, tuple[str, int]] = {}
        self.core.restore(records)  # may commit, and tell, what is on the disk

    def _make_mesh(self) -> Mesh:
        settings = self.settings
        return Mesh(
            self.address,
            hello(settings.node_name, "registrar", self.address, settings.zone),
            self.receive,
            self.link_up,
            self.follower_up,
            self.follower_says,
            self.follower_down,
            self.counters,
        )

    def _make_core(self, me: Member) -> Core:
        settings = self.settings
        lock_delay_s = settings.bounds.lease_duration_ms / 1000 + LOCK_DELAY_MARGIN_S
        return Core(
            me=me,
            seeds=settings.seeds,
            copies=settings.machine_losses + 1,
            first_start=settings.first_start,
            environment=self,
            empty=ReplicatedConfiguration(),
            load=ReplicatedConfiguration.from_wire,
            leases={
                "discovery": LeaseDurations(DISCOVERY_LEASE_S, 0.0),
                "weights": LeaseDurations(WEIGHTS_LEASE_S, lock_delay_s),
            },
            now=self.loop.time(),
            chance=random.Random(secrets.randbits(64)),
            applied=self.applied,
            changed=self.view_changed,
            is_configuration_known=lambda: self.publisher.highest_subscriber_index > 0,
        )

    def _make_jobs(self) -> None:
        """The jobs of the leases; each asks at every act whether its lease is held."""
        settings = self.settings
        self.discovery = EndpointDiscovery(settings, self.caller, self.may_discover, self.publish_endpoints)
        self.cache_stores = CacheStoreMonitor(
            self.caller,
            self.store_addresses,
            lambda: self.held("discovery") is not None,
            self.publish_cache_stores,
            self.loop.time,
            on_events=self.publish_store_events,
        )
        self.rollout = RolloutController(
            self.caller,
            settings.node_name,
            lambda: self.held("weights"),
            lambda: self.topics.get("roster") or [],
            lambda: self.core.chain.state.weight_versions,
            self.publish_rollout,
            self.loop.time,
            apply_timeout_s=settings.bounds.version_apply_ms / 1000,
        )

    # The store.

    def open_store(self) -> tuple[list[Record], str]:
        """What the disk holds, and its incarnation: a new one where it holds none."""
        fresh = secrets.token_hex(8)
        if self.settings.data_directory is None:
            return [], fresh
        self.file = WriteAheadLog(self.settings.data_directory)
        records = self.file.open()
        known = [record[1] for record in records if record[0] == "incarnation"]
        self.incarnation = known[-1] if known else fresh
        return [record for record in records if record[0] != "incarnation"], self.incarnation

    def image(self) -> list[Record]:
        """All records that a rewritten file holds."""
        return [["incarnation", self.incarnation], *self.core.records()]

    # The environment of the core.

    def send(self, to: str, message: Message) -> None:
        """Sends to a registrar by address; the core's effect."""
        self.mesh.send(to, message)

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Calls `done` once the record is synced; the core's effect."""
        self.writer.submit([record], done)

    # Messages.

    def receive(self, sender: str, message: Message) -> None:
        """Dispatches a message of a registrar, this one included."""
        now = self.loop.time()
        try:
            if self.core.on_message(now, sender, message):
                return
            if self.operators.forwarder.on_message(now, sender, message):
                return
            match message:
                case ["topic", str(name), [int(term), int(count)], payload]:
                    self.take_topic(name, (term, count), payload)
                case ["followers", dict(routers)]:
                    self.elsewhere[sender] = now, routers
                case ["news", str(), list()]:
                    self.publisher.forward_prompt_events(message)
                case ["hurry"]:
                    self.discovery.refresh_soon()
                case ["zone", str(zone)]:
                    self.zones[sender] = zone
                case _:
                    self.counters.add("frames.unknown")
        except (ValueError, TypeError, IndexError, KeyError):
            self.counters.add("frames.malformed")

    def link_up(self, address: str) -> None:
        """Tells a registrar that has just been linked to what it can't know."""
        link = self.mesh.links[address]
        link.send(["zone", self.settings.zone])
        for each in self.topics.messages():
            link.send(each)

    def follower_up(self, link: FrameLink) -> None:
        """A router has connected."""
        self.publisher.on_subscriber_connected(link, self.loop.time())

    def follower_says(self, link: FrameLink, message: list[Any]) -> None:
        """Dispatches a message of a router."""
        if message == ["hurry"]:
            self.mesh.send_all(["hurry"])
            self.discovery.refresh_soon()
            return
        if message[0] == "news":
            self.publisher.forward_prompt_events(message, link)
            self.mesh.send_all(message)
            return
        self.publisher.on_subscriber_message(link, message, self.loop.time())

    def follower_down(self, link: FrameLink) -> None:
        """A router's connection has ended."""
        self.publisher.on_subscriber_disconnected(link)

    # Soft topics.

    def take_topic(self, name: str, number: tuple[int, int], payload: Any) -> None:  # noqa: ANN401
        """Takes a soft topic that another registrar tells, if it is newer, and tells the routers."""
        if not self.topics.update(name, number, payload):
            return
        self.publisher.publish_soft_state(name)
        if name == "marks":
            self.rollout.inherit(payload)
        self.rollout.wake()

    def tell_topic(self, name: str, term: int, payload: Any) -> None:  # noqa: ANN401
        """Publishes a soft topic as the holder of the lease of this term."""
        number = self.topics.next_version(name, term)
        if number is None:
            self.counters.add("topics.term-over")
            return
        self.topics.update(name, number, payload)
        self.publisher.publish_soft_state(name)
        self.mesh.send_all(["topic", name, list(number), payload])

    def may_discover(self) -> bool:
        """The lease's holder; and any registrar that knows no list at all, as after a loss of power: nobody
        can hold the lease for a while then, and routers can do nothing without a list."""
        return self.held("discovery") is not None or self.topics.get("roster") is None

    def publish_endpoints(self, roster: list[dict[str, Any]]) -> None:
        """Publishes a whole list of endpoints that this registrar has read."""
        if (term := self.held("discovery")) is not None:
            self.tell_topic("roster", term, roster)
        elif self.topics.get("roster") is None and roster:
            # Below any lease's number, and for this registrar's followers only.
            self.topics.update("roster", (0, 0), roster)
            self.publisher.publish_soft_state("roster")
        self.rollout.wake()

    def store_addresses(self) -> dict[str, tuple[str, int]]:
        """The addresses of the cache stores, by name, from the configuration."""
        document = self.core.chain.state.configuration
        if document is not self.addresses_of:
            self.addresses_of = document
            stores = RouteTable(document).cache_stores if document else {}
            self.addresses = {
                name: each.cache_store_address for name, each in stores.items() if each.cache_store_address
            }
        return self.addresses

    def publish_cache_stores(self, stores: dict[str, dict[str, Any]]) -> None:
        """Publishes which stores are up."""
        if (term := self.held("discovery")) is not None:
            self.tell_topic("stores", term, stores)

    def publish_store_events(
        self, address: tuple[str, int], epoch: int, lost: bool, changes: list[Any]
    ) -> None:
        """Passes a store's events on to all routers."""
        if lost:
            self.counters.add("stores.events-lost")
        told = [each for each in changes if each[3] >= TOLD_PART or each[0] == "-"]
        for start in range(0, max(len(told), 1), MAX_EVENTS_PER_MESSAGE):
            stored = ["stored", epoch, told[start : start + MAX_EVENTS_PER_MESSAGE]]
            news = ["news", f"{address[0]}:{address[1]}", [stored]]
            self.publisher.forward_prompt_events(news)
            self.mesh.send_all(news)

    def publish_rollout(self, marks: dict[str, dict[str, Any]]) -> None:
        """Publishes which endpoints are moving to other weights."""
        if (term := self.held("weights")) is not None:
            self.tell_topic("marks", term, marks)

    # The core's news.

    def held(self, lease: str) -> int | None:
        """The term of the lease if this registrar may act for it right now."""
        return self.core.lease_election.fencing_token(self.loop.time(), lease)

    def applied(self, number: int, change: list[Any] | None) -> None:
        """An entry, or with None a whole state, is committed here."""
        self.publisher.on_entry_committed(number, change)
        self.rollout.wake()
        self.cache_stores.wake()

    def view_changed(self, view: View) -> None:
        """Logs a new view."""
        chain = ",".join(address for address, _ in view.chain)
        log.info(logs.words("view", number=view.number, chain=chain, acceptors=len(view.acceptors)))

    # Loops.

    async def step_forever(self) -> None:
        """Drives the core and tells what is due."""
        beat_at = told_at = summary_at = 0.0
        while True:
            now = self.loop.time()
            self.core.disk_unhealthy = self.writer.failure is not None or (
                self.writer.oldest_pending_age_s(now) > STALLED_WRITE_S
            )
            if (changed := self.settings_file.poll(now)) is not None:
                self.core.set_seeds(changed.seeds)
            self.core.tick(now)
            self.operators.forwarder.tick(now)
            self.note_leases(now)
            if now >= beat_at:
                beat_at = now + HEARTBEAT_INTERVAL_S
                self.beat(now)
            if now >= told_at:
                told_at = now + 1.0
                self.mesh.send_all(["followers", self.publisher.live_subscribers(now)])
                self.mesh.want(set(self.core.failure_detector.peers))
            if now >= summary_at:
                summary_at = now + COUNTERS_LOG_INTERVAL_S
                for line in self.counters.changed_lines():
                    log.info(line)
            await asyncio.sleep(STEP_INTERVAL_S)

    def note_leases(self, now: float) -> None:
        """Wakes the jobs of a lease that was won or lost."""
        for name in ("discovery", "weights"):
            held = self.core.lease_election.fencing_token(now, name)
            if held != self.holding.get(name):
                self.holding[name] = held
                log.info(logs.words("lease", name=name, term=held))
                self.discovery.wake()
                self.cache_stores.wake()
                self.rollout.wake()

    def beat(self, now: float) -> None:
        """Beats to the routers, and opens dead links anew."""
        for address in list(self.mesh.links):
            if self.core.failure_detector.time_since_contact(now, address) > LINK_TIMEOUT_S:
                self.core.failure_detector.add_peer(now, address)
                self.mesh.renew(address)
        view = self.core.view_agreement.view
        known = [address for address, _ in view.chain] if view else []
        followed = [[address, self.zones.get(address, "")] for address in known]
        self.publisher.publish_heartbeat(self.core.fresh(now), followed, self.routers(now))

    def routers(self, now: float) -> dict[str, ServiceLoads]:
        """Routers alive anywhere, as far as told, and their work."""
        patience = self.publisher.subscriber_timeout_s + 1.0
        found: dict[str, ServiceLoads] = {}
        for at, routers in self.elsewhere.values():
            if now - at < patience:
                found.update(routers)
        return found | self.publisher.live_subscribers(now)

    async def run(self) -> None:
        """Until SIGTERM."""
        settings = self.settings
        if settings.data_directory is not None:
            await self.known.wait()
        await self.mesh.listen(settings.internal_address)
        if settings.control_plane is not None:
            self.server = Server(self.operators.handle, counters=self.counters.group("clients"))
            await self.server.listen(settings.control_plane)
        self.loop.add_signal_handler(signal.SIGTERM, self.stopping.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.settings_file.request_reload)
        for lease in ("discovery", "weights"):
            self.core.campaign(self.loop.time(), lease)
        log.info(logs.words("started", node=settings.node_name, incarnation=self.core.me[1]))
        work = [
            self.loop.create_task(each)
            for each in (
                self.step_forever(),
                self.discovery.run(),
                self.cache_stores.run(),
                self.rollout.run(),
            )
        ]
        stop = self.loop.create_task(self.stopping.wait())
        done, _ = await asyncio.wait([*work, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in done - {stop}:
            task.result()
        await self.leave()
        for task in work:
            task.cancel()

    async def leave(self) -> None:
        """Gives up leases and its duties in the core, then ends."""
        if self.server is not None:
            self.server.stop_accepting()
        await self.hand_over()
        if self.server is not None:
            self.server.ending = True
            self.server.close_idle()
            await self.server.drained(0.5)
            self.server.end()
        self.mesh.close()
        self.writer.close()
        log.info(logs.words("stopped"))

    async def hand_over(self) -> None:
        """Until the others need nothing more of this registrar, or the grace period is nearly over."""
        began = now = self.loop.time()
        deadline = began + max(0.0, self.settings.bounds.grace_period_s - SHUTDOWN_RESERVE_S)
        self.core.leave(now)
        while (duty := self.core.remaining_duty(now)) is not None and now < deadline:
            await asyncio.sleep(STEP_INTERVAL_S)
            now = self.loop.time()
        if duty is None:
            log.info(logs.words("handed-over", seconds=round(now - began, 2)))
        else:
            self.counters.add("leave.incomplete")
            log.warning(logs.words("leave-incomplete", duty=str(duty), acceptors=self.acceptors_heard(now)))

    def acceptors_heard(self, now: float) -> str:
        """How many acceptors of the view this registrar reaches, and of how many."""
        view = self.core.view_agreement.view
        members = view.acceptors if view else ()
        heard = sum(self.core.failure_detector.is_alive(now, address) for address, _ in members)
        return f"{heard}/{len(members)}"


async def run(settings: Settings, settings_file: SettingsFile | None = None) -> None:
    """Runs a registrar until SIGTERM."""
    await RegistrarProcess(settings, settings_file).run()
