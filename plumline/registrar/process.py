"""The registrar's life cycle: wiring, start, the loop that steps the core, draining and shutdown."""

import asyncio
import random
import secrets
from collections.abc import Callable

from plumline import logs
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.coordination.core import Core, CoreConfig
from plumline.coordination.environment import Member, Message, Record
from plumline.coordination.log import Change
from plumline.coordination.loss_tolerance import FailureDomain
from plumline.coordination.soft_state import SoftState
from plumline.coordination.view import View
from plumline.counters import Counters
from plumline.errors import ToleranceUnattainableError
from plumline.process_signals import cancel_on_event, handle_signals
from plumline.registrar.durable_state import DurableState
from plumline.registrar.feed_confirmation import FeedConfirmer
from plumline.registrar.message_handlers import PeerMessageHandler, RouterMessageHandler
from plumline.registrar.operator_api import OperatorApi
from plumline.registrar.peer_messages import SubscriberReport
from plumline.registrar.publisher import FeedPublisher
from plumline.registrar.router_directory import RouterDirectory
from plumline.registrar.singleton_roles import SingletonRoles, lease_durations
from plumline.registrar.soft_state_replication import SoftStateReplicator
from plumline.settings import Settings, SettingsFile
from plumline.wire.frames import hello
from plumline.wire.mesh import Mesh
from plumline.wire.server import Server

STEP_INTERVAL_S = 0.05  # s between steps of the core
HEARTBEAT_INTERVAL_S = 0.4  # s between heartbeats to routers
REPORT_INTERVAL_S = 1.0  # s between reports of live subscribers to the other registrars
COUNTERS_LOG_INTERVAL_S = 10.0  # s between log lines with the counters
LINK_TIMEOUT_S = 1.5  # s without contact to a peer after which its link is reopened
SHUTDOWN_RESERVE_S = 1.5  # s of the grace period kept for responses in flight and the last writes
DRAIN_TIMEOUT_S = 0.5  # s to wait for the responses in flight
LAST_RESPONSES_S = 0.1  # s to send the responses that report an unknown result

log = logs.logger("registrar")


class CoreEnvironment:
    """The core's Environment: sends messages over the mesh and persists records in the durable state."""

    def __init__(self, mesh: Mesh, durable_state: DurableState) -> None:
        self.mesh, self.durable_state = mesh, durable_state

    def send(self, to: str, message: Message) -> None:
        """Sends a message to the registrar at this address; delivery is not guaranteed."""
        self.mesh.send(to, message)

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        """Calls `done` once the record is synced, in the order of the calls."""
        self.durable_state.persist(record, done)


class PeriodicTimer:
    """Tells whether a periodic action is due; it is due at the first check."""

    def __init__(self, interval_s: float) -> None:
        self.interval_s = interval_s
        self._due_at = 0.0

    def is_due(self, now: float) -> bool:
        """Whether the interval has passed since this last returned True. `now`: s, steady."""
        if now < self._due_at:
            return False
        self._due_at = now + self.interval_s
        return True

    def expire(self) -> None:
        """Makes the action due at the next check."""
        self._due_at = 0.0


class RegistrarProcess:
    """A registrar from start to shutdown: owns its parts and runs its loops."""

    def __init__(self, settings: Settings, settings_file: SettingsFile | None = None) -> None:
        """Reads the durable state and wires all parts together. Raises StoreError."""
        self.settings, self.settings_file = settings, settings_file or SettingsFile(None)
        self.loop = asyncio.get_running_loop()
        clock = self.loop.time
        self.counters = Counters()
        host, port = settings.internal_address
        self.address = f"{host}:{port}"
        self.durable_state = DurableState(settings.data_directory, self.loop)
        greeting = hello(settings.node_name, "registrar", self.address, settings.zone)
        self.mesh = Mesh(self.address, greeting, self.counters)
        self.core = self._make_core()
        soft_state = SoftState()
        heartbeat_s = settings.heartbeat_interval_ms / 1000
        self.publisher = FeedPublisher(
            self.core.chain, soft_state, heartbeat_s, is_current=lambda: self.core.is_up_to_date(clock())
        )
        self.confirmer = FeedConfirmer(self.core.chain.confirm_index)
        self.durable_state.start_writing(self.core.records)
        self.operator_api = OperatorApi(self.core, self.mesh.send, self.counters)
        self.zones = {self.address: settings.zone}  # of registrars, by address
        self.routers = RouterDirectory(self.publisher)
        replicator = SoftStateReplicator(soft_state, self.publisher, self.mesh, self.counters)
        self.roles = SingletonRoles(
            settings,
            self.core,
            replicator,
            self.publisher,
            self.mesh,
            self.counters,
            clock,
            self.operator_api.forwarder,
            self.routers,
        )
        peer_handler = PeerMessageHandler(
            self.core,
            self.operator_api.forwarder,
            replicator,
            self.routers,
            self.roles,
            self.zones,
            self.counters,
            clock,
        )
        router_handler = RouterMessageHandler(self.publisher, self.confirmer, self.roles, self.mesh, clock)
        self.mesh.attach(peer_handler, router_handler)
        self.operator_server: Server | None = None
        self.stop_requested = asyncio.Event()
        self.core.restore(clock(), self.durable_state.records)  # may commit and publish entries from the disk

    def _make_core(self) -> Core:
        settings = self.settings
        config = CoreConfig(
            local_member=Member(self.address, self.durable_state.incarnation),
            seeds=settings.seeds,
            replicas_needed=settings.machine_losses + 1,
            first_start=settings.first_start,
            leases=lease_durations(settings),
            domain=FailureDomain(settings.zone, settings.region),
            zone_losses=settings.zone_losses,
            region_losses=settings.region_losses,
        )
        return Core(
            config,
            CoreEnvironment(self.mesh, self.durable_state),
            initial_state=ReplicatedConfiguration(),
            load_state=ReplicatedConfiguration.from_wire,
            observer=self,
            random=random.Random(secrets.randbits(64)),
        )

    # Callbacks of the core.

    def on_entry_committed(self, index: int, change: Change | None) -> None:
        """Publishes the committed entry of this number; None: a snapshot was installed in its place."""
        self.publisher.on_entry_committed(index, change)
        self.roles.on_configuration_changed()

    def on_view_installed(self, view: View) -> None:
        """Logs the view."""
        chain = ",".join(member.address for member in view.chain)
        log.info(logs.event("view", number=view.number, chain=chain, acceptors=len(view.acceptors)))

    def is_configuration_known(self) -> bool:
        """Whether a router has reported an entry of the log."""
        return self.publisher.highest_subscriber_index > 0

    # The main loop.

    async def _step_forever(self) -> None:
        """Steps the core, and publishes and reports what is due."""
        heartbeat_timer = PeriodicTimer(HEARTBEAT_INTERVAL_S)
        was_current = False
        report_timer = PeriodicTimer(REPORT_INTERVAL_S)
        counters_timer = PeriodicTimer(COUNTERS_LOG_INTERVAL_S)
        while True:
            now = self.loop.time()
            self._step(now)
            is_current = self.core.is_up_to_date(now)
            if is_current and not was_current:
                heartbeat_timer.expire()  # routers that are starting wait only for this
            was_current = is_current
            if heartbeat_timer.is_due(now):
                self._renew_dead_links(now)
                self._publish_heartbeat(now)
            if report_timer.is_due(now):
                self.mesh.send_all(SubscriberReport(self.publisher.live_subscribers(now)).to_wire())
                self.mesh.set_peers(set(self.core.failure_detector.peers))
            if counters_timer.is_due(now):
                for line in self.counters.changed_lines():
                    log.info(line)
                self._check_tolerance()
            await asyncio.sleep(STEP_INTERVAL_S)

    def _check_tolerance(self) -> None:
        """Logs a warning while the registrars' placement can't tolerate the losses that the settings name."""
        try:
            self.core.check_tolerance()
        except ToleranceUnattainableError as error:
            log.warning(logs.event("tolerance", code=error.code, text=error.text))

    def _step(self, now: float) -> None:
        self.core.disk_unhealthy = self.durable_state.is_unhealthy(now)
        if (changed := self.settings_file.poll(now)) is not None:
            self.core.set_seeds(changed.seeds)
        self.core.tick(now)
        self.operator_api.forwarder.tick(now)
        self.confirmer.tick()
        self.roles.check_leases(now)

    def _renew_dead_links(self, now: float) -> None:
        for address in list(self.mesh.links):
            if self.core.failure_detector.time_since_contact(now, address) > LINK_TIMEOUT_S:
                self.core.failure_detector.add_peer(now, address)
                self.mesh.renew(address)

    def _publish_heartbeat(self, now: float) -> None:
        view = self.core.view_agreement.view
        chain = view.chain if view else ()
        registrars = [[member.address, self.zones.get(member.address, "")] for member in chain]
        self.publisher.publish_heartbeat(
            self.core.is_up_to_date(now), registrars, self.routers.live_routers(now)
        )

    # Start and shutdown.

    async def run(self) -> None:
        """Runs until SIGTERM, then shuts down. An error in any loop is raised and ends the process."""
        handle_signals(self.loop, self.stop_requested.set, self.settings_file.request_reload)
        # If it is stopped before its incarnation is synced, as on a stalled disk, nothing is to hand over.
        synced = await cancel_on_event(self.stop_requested, self.durable_state.wait_for_incarnation())
        if synced is not None:
            synced.result()
            await self._serve()

    async def _serve(self) -> None:
        """Serves requests until a stop is requested or a loop fails, then shuts down."""
        await self._start_listening()
        self.roles.campaign()
        incarnation = self.durable_state.incarnation
        log.info(logs.event("started", node=self.settings.node_name, incarnation=incarnation))
        loops = [self.loop.create_task(loop) for loop in (self._step_forever(), *self.roles.loops())]
        stop = self.loop.create_task(self.stop_requested.wait())
        done, _ = await asyncio.wait([*loops, stop], return_when=asyncio.FIRST_COMPLETED)
        for task in done - {stop}:
            task.result()
        await self._shut_down()
        for task in loops:
            task.cancel()

    async def _start_listening(self) -> None:
        await self.mesh.listen(self.settings.internal_address)
        if self.settings.control_plane is not None:
            self.operator_server = Server(self.operator_api.handle, counters=self.counters.group("clients"))
            await self.operator_server.listen(self.settings.control_plane)

    async def _shut_down(self) -> None:
        """Hands over, waits for the responses in flight, then closes everything."""
        server = self.operator_server
        if server is not None:
            server.stop_accepting()
        await self.hand_over()
        if server is not None:
            server.close_idle()
            if not await server.drained(DRAIN_TIMEOUT_S):
                self.operator_api.forwarder.fail_pending()
                await server.drained(LAST_RESPONSES_S)
            server.end()
        self.mesh.close()
        self.durable_state.close()
        log.info(logs.event("stopped"))

    async def hand_over(self) -> None:
        """Releases the leases and leaves the core, and waits until others have taken over its roles.

        Returns at the latest SHUTDOWN_RESERVE_S before the end of the grace period; a role that is still
        pending then is counted and logged.
        """
        started_at = now = self.loop.time()
        deadline = started_at + max(0.0, self.settings.bounds.grace_period_s - SHUTDOWN_RESERVE_S)
        self.core.begin_draining(now)
        while (pending := self.core.pending_handover(now)) is not None and now < deadline:
            await asyncio.sleep(STEP_INTERVAL_S)
            now = self.loop.time()
        if pending is None:
            log.info(logs.event("handed-over", seconds=round(now - started_at, 2)))
        else:
            self.counters.add("leave.incomplete")
            acceptors = self._reachable_acceptors(now)
            log.warning(logs.event("leave-incomplete", duty=str(pending), acceptors=acceptors))

    def _reachable_acceptors(self, now: float) -> str:
        """The number of reachable acceptors of the view and their total, as in "2/3"."""
        view = self.core.view_agreement.view
        acceptors = view.acceptors if view else ()
        reachable = sum(self.core.failure_detector.is_alive(now, member.address) for member in acceptors)
        return f"{reachable}/{len(acceptors)}"


async def run(settings: Settings, settings_file: SettingsFile | None = None) -> None:
    """Runs a registrar until SIGTERM. Raises StoreError, OSError."""
    await RegistrarProcess(settings, settings_file).run()
