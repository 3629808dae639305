"""Subscribes to the configuration feed of two registrars at a time, and keeps `Fleet` up to date from it.

A rendezvous hash of this router's name over the registrars selects the two, in different zones if possible.
Both also receive this router's heartbeats. A source that times out, or reports for too long that it is not
current, is replaced by the next one in the order.

One of the two is the primary, which sends the entries. The other one's heartbeats report the core's newest
entry; it becomes the primary if the primary lags. Entries are applied in order of their index, so a running
router never reverts to an older configuration.

Confirmations, from which the age of the configuration follows, are requested from the sources as well
(`plumline.router.confirmation_requester`).
"""

import asyncio
import random
from collections.abc import Callable
from typing import Any

from plumline import logs
from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.coordination.rendezvous import Candidate, choose_across_zones
from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.errors import FrameError, PlumlineError
from plumline.prefix_cache.events import PLACED_KIND
from plumline.router.confirmation_requester import ConfirmationRequester
from plumline.router.feed_source import FeedLag, FeedSource
from plumline.routing.configuration_age import AgeLimits
from plumline.routing.fleet import Fleet
from plumline.routing.fleet_state import Departures
from plumline.routing.mechanisms import MECHANISMS
from plumline.routing.rollout_report import RolloutReport, ServiceReport
from plumline.settings import Settings, SettingsFile
from plumline.wire.frame_link import FrameLink
from plumline.wire.frames import hello

SOURCE_COUNT = 2
RECONCILE_INTERVAL_S = 0.2
CONNECT_TIMEOUT_S = 0.4  # for opening a connection and receiving the hello
HELLO_POLL_S = CONNECT_TIMEOUT_S / 8
SILENCE_TIMEOUT_S = 1.2  # without a frame, after which a source is replaced: three heartbeats
LAG_TIMEOUT_S = 0.5  # for a reported entry, or a chunk of it, to arrive: slightly over one heartbeat
STALE_TIMEOUT_S = 1.0  # for which a source may report that it is not current
BACKOFF_S = 2.0  # for which a replaced source is not tried while there are others
FULL_REPORT_INTERVAL_S = 1.5  # between full reports on a roll-out
INCARNATION_BITS = 48  # of the random number that identifies one run of the process
RECONNECT_BACKOFF_S = BACKOFF_S / 4  # after a connection that ended or could not be opened

LoadReports = dict[str, list[Any]]  # by service, see plumline.registrar.service_load

log = logs.logger("following")


class FeedSubscriber:
    """A router's side of the feed. The owner sets the callbacks, then runs `run`."""

    def __init__(
        self,
        settings: Settings,
        fleet: Fleet,
        counters: Counters,
        settings_file: SettingsFile | None = None,
    ) -> None:
        """`settings_file` is polled for changed seeds."""
        self.settings_file = settings_file or SettingsFile(None)
        self.settings, self.fleet, self.counters = settings, fleet, counters
        self.loop = asyncio.get_running_loop()
        self.seeds = settings.seeds
        self.registrars: dict[str, str] = {}  # zone by address, from the newest heartbeat
        self.soft_state = SoftState()
        self.sources: dict[str, FeedSource] = {}  # by address
        self.primary: FeedSource | None = None  # sends entries, and carries prompt events both ways
        self.backoff_until: dict[str, float] = {}  # by address
        self.lag = FeedLag()
        self.confirmations = ConfirmationRequester(fleet, AgeLimits.from_bounds(settings.bounds))
        self.state = ReplicatedConfiguration()  # the newest received
        self.applied_index = 0  # index of its newest entry
        #: Returns this router's reports on running roll-outs, by service; True: full reports.
        self.rollout_reports: Callable[[bool], dict[str, ServiceReport]] = lambda full: {}
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._reported_to: FeedSource | None = None  # received the last roll-out report
        self._next_full_report_at = 0.0  # monotonic s
        self._reported: dict[str, ServiceReport] = {}  # the last report, without its tallies
        #: Called with the name of the router, or the address of the cache store, that the events concern.
        self.on_prompt_events: Callable[[str, list[Any]], None] = lambda origin, events: None
        self.local_loads: Callable[[], LoadReports] = dict  # this router's, for its heartbeats
        self.on_fleet_loads: Callable[[LoadReports], None] = lambda loads: None
        self._unsent_prompt_events: list[list[Any]] = []
        port = settings.internal_ports[0]
        self._greeting = hello(settings.node_name, "router", f"{settings.ip_address}:{port}", settings.zone)

    # Selection of the registrars to subscribe to.

    def reconcile_sources(self, now: float) -> None:
        """Replaces failed sources, connects to the desired ones, and chooses the primary."""
        self._remove_failed_sources(now)
        desired = self._candidates(now)[:SOURCE_COUNT]
        for address in desired:
            if address not in self.sources:
                task = self.loop.create_task(self._connect(address))
                self.sources[address] = FeedSource(address, task)
        self._close_surplus_sources(desired)
        self._update_freshness(now)
        self._choose_primary(now)

    def _candidates(self, now: float) -> list[str]:
        """All addresses in order of preference: the known registrars, or the seeds before any are known."""
        known = dict(self.registrars) or {seed: "" for seed in self.seeds}
        candidates = [Candidate(address, zone) for address, zone in known.items()]
        order = choose_across_zones(self.settings.node_name, candidates, len(known))
        other_seeds = [seed for seed in self.seeds if seed not in known]
        random.shuffle(other_seeds)
        order += other_seeds
        return sorted(order, key=lambda address: self.backoff_until.get(address, 0.0) > now)

    def _remove_failed_sources(self, now: float) -> None:
        for address, source in list(self.sources.items()):
            if source.link is not None and now - source.last_received_at() > SILENCE_TIMEOUT_S:
                self._replace_source(source, now, "silent")
            elif (
                source.link is not None
                and not source.is_current
                and now - source.last_current_at > STALE_TIMEOUT_S
            ):
                self._replace_source(source, now, "stale")
            elif source.link is None and source.connect_task.done():
                del self.sources[address]

    def _close_surplus_sources(self, desired: list[str]) -> None:
        """Closes sources that are no longer desired, once the desired ones are current."""
        current = self._current_sources()
        for address, source in list(self.sources.items()):
            if address in desired:
                continue
            others = [other for other in current if other is not source and other.address in desired]
            if len(others) >= min(SOURCE_COUNT, len(desired)) or not source.link:
                self._close_source(source)

    def _current_sources(self) -> list[FeedSource]:
        return [source for source in self.sources.values() if source.is_current and source.link is not None]

    def _update_freshness(self, now: float) -> None:
        """The configuration counts as fresh if a source is current and no reported entry is overdue."""
        self.fleet.fresh = bool(self._current_sources()) and self.lag.duration_s(now) <= LAG_TIMEOUT_S

    def _replace_source(self, source: FeedSource, now: float, reason: str) -> None:
        self.counters.add(f"feed.left.{reason}")
        log.info(logs.event("source-left", address=source.address, why=reason))
        self.backoff_until[source.address] = now + BACKOFF_S
        self._close_source(source)

    def _close_source(self, source: FeedSource) -> None:
        self.sources.pop(source.address, None)
        source.is_current = False
        source.connect_task.cancel()
        if source.link is not None:
            source.link.abort()

    # The primary.

    def _choose_primary(self, now: float) -> None:
        """Keeps the primary while it is current and does not lag, else chooses another and subscribes."""
        current = self._current_sources()
        lags = self._primary_lags(now)
        if self.primary in current and not lags:
            return
        others = [source for source in current if source is not self.primary] or current
        ahead = [source for source in others if source.committed_index > self.applied_index]
        chosen = self._nearest(ahead or others)
        if chosen is not self.primary:
            if self.primary is not None and self.primary.link is not None:
                self.primary.link.send(["primary", False])
            if lags:
                self.counters.add("feed.primary-lags")
            self.primary = chosen
        if chosen is not None:
            self._subscribe_as_primary(chosen, now)

    def _primary_lags(self, now: float) -> bool:
        """Whether entries are missing and the primary has made no progress for `LAG_TIMEOUT_S`."""
        if self.primary is None or self.lag.began_at is None:
            return False
        return now - max(self.lag.began_at, self.primary.last_progress_at()) > LAG_TIMEOUT_S

    def _nearest(self, sources: list[FeedSource]) -> FeedSource | None:
        """The first source in this router's zone, else the first one."""
        same_zone = [
            source for source in sources if self.registrars.get(source.address) == self.settings.zone
        ]
        return next(iter(same_zone or sources), None)

    def _subscribe_as_primary(self, source: FeedSource, now: float) -> None:
        """Requests all entries after the newest applied one."""
        source.last_feed_at = now
        if source.link is not None:
            source.link.send(["follow", self.applied_index])
            source.link.send(["primary", True])

    # Prompt events of this router.

    def publish_prompt_event(self, event: list[Any]) -> None:
        """Sends the event to the other routers. The placement of a prompt is sent at once, as other routers'
        choices depend on it; other events are batched per turn of the event loop."""
        self._unsent_prompt_events.append(event)
        if event[0] == PLACED_KIND:
            self._send_prompt_events()
        elif len(self._unsent_prompt_events) == 1:
            self.loop.call_soon(self._send_prompt_events)

    def _send_prompt_events(self) -> None:
        events, self._unsent_prompt_events = self._unsent_prompt_events, []
        if not events or not MECHANISMS.prompt_events:
            return
        if self.primary is not None and self.primary.link is not None:
            self.primary.link.send(["news", self.settings.node_name, events])

    # Connections.

    async def _connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        link = FrameLink(
            self._greeting,
            lambda link: self._on_link_up(address, link),
            self._on_message,
            self._on_link_down,
            self.counters,
        )
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self.loop.create_connection(lambda: link, host, int(port))
                # A registrar sends its hello at once; without one, another process uses the port now.
                while link.peer is None and not link.down:
                    await asyncio.sleep(HELLO_POLL_S)
        except (OSError, TimeoutError):
            self.counters.add("feed.not-up")
            self.backoff_until[address] = self.loop.time() + RECONNECT_BACKOFF_S
            link.abort()

    def _source_of(self, link: FrameLink) -> FeedSource | None:
        return next((source for source in self.sources.values() if source.link is link), None)

    def _on_link_up(self, address: str, link: FrameLink) -> None:
        source = self.sources.get(address)
        if source is None or link.peer is None or link.peer["role"] != "registrar":
            link.abort()
            return
        now = self.loop.time()
        source.link, source.last_message_at, source.last_current_at = link, now, now
        link.send(["follow", self.applied_index])

    def _on_link_down(self, link: FrameLink) -> None:
        if source := self._source_of(link):
            self.counters.add("feed.ended")
            self._close_source(source)
            self.backoff_until[source.address] = self.loop.time() + RECONNECT_BACKOFF_S

    # Messages of registrars.

    def _on_message(self, link: FrameLink, message: list[Any]) -> None:
        """Dispatches a message. Raises FrameError, which ends the link, if it cannot be applied."""
        source = self._source_of(link)
        if source is None:
            return
        now = source.last_message_at = self.loop.time()
        try:
            match message:
                case ["beat", bool(), int(), list(), int(), dict()]:
                    self._on_heartbeat(source, now, message)
                case ["entry", int(index), list(change)]:
                    self._on_entry(source, now, index, change)
                case ["state", int(index), wire]:
                    source.last_feed_at = now
                    if index > self.applied_index:
                        self._apply(index, ReplicatedConfiguration.from_wire(wire))
                case ["topic", str(name), [int(term), int(count)], payload]:
                    self._on_soft_state(name, (term, count), payload)
                case ["features", list(names)]:
                    self.confirmations.on_features(source, names, now)
                case ["confirmed", int(sent_at_us), int(index)]:
                    self.confirmations.on_confirmed(sent_at_us, index, now)
                case ["news", str(origin), list(events)]:
                    if origin != self.settings.node_name:
                        self.on_prompt_events(origin, events)
                case _:
                    self.counters.add("frames.unknown")
        except (PlumlineError, ValueError, TypeError, KeyError) as error:
            raise FrameError(f"a feed's message can't be applied: {error!r}") from error

    def _on_heartbeat(self, source: FeedSource, now: float, message: list[Any]) -> None:
        _, source.is_current, source.committed_index, registrars, router_count, loads = message
        if source.is_current:
            self.lag.on_committed(source.committed_index, self.applied_index, now)
            self.confirmations.on_heartbeat(source, now)
            self.on_fleet_loads(loads)
            source.last_current_at = now
            self.registrars = {str(address): str(zone) for address, zone in registrars}
            if router_count != self.fleet.routers:
                self.fleet.routers = router_count
                self.fleet.notify("members")
        self._update_freshness(now)
        if self.primary is None:
            self._choose_primary(now)

    def _on_entry(self, source: FeedSource, now: float, index: int, change: list[Any]) -> None:
        source.last_feed_at = now
        if index == self.applied_index + 1:
            self._apply(index, self.state.apply(change), change)
        elif index > self.applied_index + 1 and source.link is not None:
            source.link.send(["follow", self.applied_index])

    def _apply(self, index: int, state: ReplicatedConfiguration, change: list[Any] | None = None) -> None:
        """Applies the state after the entry `index`; `change`: what leads to it from the present one;
        None for a snapshot.

        A starting router exposes no state to its requests before it has all entries that the first heartbeat
        reported.
        """
        previous, self.state, self.applied_index = self.state, state, index
        self.lag.on_applied(index)
        if self.fleet.state is None and self.lag.began_at is not None:
            return
        changed = state.configuration is not previous.configuration or self.fleet.table is None
        table = self.fleet.table
        if changed and state.configuration is not None:
            table = self._route_table(state.configuration, change)
            log.info(
                logs.event("configuration", version=state.version, place=index, routes=table.route_count)
            )
        # Set together, as requests combine values from the state and from its table.
        self.fleet.state, self.fleet.table, self.fleet.applied_index = state, table, index
        self.fleet.configuration_age.on_applied(index)
        self.fleet.notify("configuration")

    def _route_table(self, document: Document, change: list[Any] | None) -> RouteTable:
        """Builds the document's route table; after an amendment only its changes are rebuilt."""
        table: RouteTable | None = self.fleet.table
        if table is not None and change is not None and change[0] == "amend":
            return table.with_amendment(document, change[2])
        return RouteTable(document, table)

    def _on_soft_state(self, name: str, version: tuple[int, int], payload: Any) -> None:  # noqa: ANN401
        if not self.soft_state.update(name, version, payload):
            return
        if name == "roster":
            earlier = self.fleet.endpoints
            self.fleet.set_roster(payload)
            departures = Departures.between(earlier, self.fleet.endpoints)
            if departures.draining or departures.gone:
                term, count = version
                log.info(logs.event("endpoints-leaving", term=term, count=count, **departures.log_fields()))
        elif name == "marks":
            self.fleet.set_marks(payload)
        elif name == "stores":
            self.fleet.set_stores(payload)
        elif name == "grants":
            self.fleet.set_grants(payload)

    # To the registrars.

    def _send_heartbeats(self) -> None:
        for source in self.sources.values():
            if source.link is not None:
                source.link.send(["heartbeat", self.applied_index, self.local_loads()])

    def _report_rollouts(self, now: float) -> None:
        """Sends the primary this router's observations of the versions on trial, if there are any."""
        primary = self.primary
        if primary is None or primary.link is None:
            return
        full = primary is not self._reported_to or now >= self._next_full_report_at
        reports = self.rollout_reports(full)
        without_tallies = {name: each._replace(tallies=()) for name, each in reports.items()}
        if not full and reports == without_tallies == self._reported:
            return
        self._reported = without_tallies
        if not reports:
            return
        if full:
            self._reported_to, self._next_full_report_at = primary, now + FULL_REPORT_INTERVAL_S
        report = RolloutReport(self.settings.node_name, self._incarnation, reports)
        primary.link.send(report.to_wire())

    async def run(self) -> None:
        """Runs until cancelled."""
        next_heartbeat_at = 0.0
        while True:
            now = self.loop.time()
            if (changed := self.settings_file.poll(now)) is not None:
                self.seeds = changed.seeds
            self.reconcile_sources(now)
            self.confirmations.tick(now, self.sources.values(), self.primary)
            self._report_rollouts(now)
            if now >= next_heartbeat_at:
                next_heartbeat_at = now + self.settings.heartbeat_interval_ms / 1000
                self._send_heartbeats()
            await asyncio.sleep(RECONCILE_INTERVAL_S)

    def close(self) -> None:
        """Closes all connections."""
        for source in list(self.sources.values()):
            self._close_source(source)
