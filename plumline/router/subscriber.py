"""Follows the feed: keeps `Fleet` what the core has committed, from two registrars at a time.

Which two, a rendezvous hash names (of this router over the registrars, in two zones where it can); they
are also this router's watchers, to which its heartbeats go. A source that is silent or not fresh is left for
the next best.

Entries come from one of the two, the primary; the other one's beats tell the place at which the core is.
Where the primary lags behind that, and sends nothing, the other takes over. What is told is applied by
number, so nothing goes back within a life.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline import logs
from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.route_table import RouteTable
from plumline.coordination.rendezvous import Candidate, choose_across_zones
from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.errors import FrameError, PlumlineError
from plumline.routing.fleet import Fleet
from plumline.settings import Settings, SettingsFile
from plumline.wire.frames import FrameLink, hello

SOURCES = 2
LOOK = 0.2  # s between looks at the sources
CONNECT_S = 0.4  # s for a connection to come up
SILENT = 1.2  # s without a frame after which a source is left: three beats
LAG = 0.5  # s for an entry that a beat has told of to come, or a part of it: a little over a beat
STALE = 1.0  # s that a source may say that it is not fresh
SHUNNED = 2.0  # s for which a source that was left is not tried, while there are others

log = logs.logger("following")


@dataclass(slots=True)
class Source:
    address: str
    task: "asyncio.Task[None]"
    began: float
    link: FrameLink | None = None
    heard: float = 0.0
    fresh: bool = False
    fresh_at: float = 0.0  # when it last was, or when it came up
    committed: int = 0  # number of the newest entry that it told of
    progress_at: float = 0.0  # when it last sent an entry or a state, or was asked for them

    def last_word(self) -> float:
        """When the newest frame of it came; a piece of a large one is one too."""
        return max(self.heard, self.link.heard_at if self.link is not None else 0.0)

    def last_progress(self) -> float:
        return max(self.progress_at, self.link.piece_at if self.link is not None else 0.0)


@dataclass(slots=True)
class Arrears:
    """Entries that a source has told of and that are not here yet."""

    number: int = 0  # the newest of them
    since: float | None = None  # None: there are none

    def told(self, number: int, place: int, now: float) -> None:
        if number > place and self.since is None:
            self.number, self.since = number, now

    def reached(self, place: int) -> None:
        if place >= self.number:
            self.since = None

    def last_for(self, now: float) -> float:
        return 0.0 if self.since is None else now - self.since


class FeedSubscriber:
    def __init__(
        self, settings: Settings, fleet: Fleet, counters: Counters, file: SettingsFile | None = None
    ) -> None:
        """`file`: looked at now and then for other seeds."""
        self.file = file or SettingsFile(None)
        self.settings, self.fleet, self.counters = settings, fleet, counters
        self.loop = asyncio.get_running_loop()
        port = settings.internal_ports[0]
        self.seeds = settings.seeds
        self.registrars: dict[str, str] = {}  # address -> zone, as told by the newest beat
        self.topics = SoftState()
        self.sources: dict[str, Source] = {}
        self.shunned: dict[str, float] = {}
        self.state, self.place = ReplicatedConfiguration(), 0  # the newest that came
        self.news: list[list[Any]] = []  # of this router's prompts, not yet sent
        self.on_news: Callable[[str, list[Any]], None] = lambda node, events: None
        self.work: Callable[[], dict[str, list[Any]]] = dict  # this router's, for heartbeats
        self.on_work: Callable[[dict[str, list[Any]]], None] = lambda work: None  # the fleet's
        self.primary: Source | None = None  # the one over which entries come, and news come and go
        self.arrears = Arrears()
        self.greeting = hello(settings.node_name, "router", f"{settings.ip_address}:{port}", settings.zone)

    # Sources.

    def candidates(self, now: float) -> list[str]:
        """Best first: by rendezvous hash over the known registrars, before any are known over the seeds."""
        known = dict(self.registrars) or {each: "" for each in self.seeds}
        order = choose_across_zones(
            self.settings.node_name, [Candidate(a, z) for a, z in known.items()], len(known)
        )
        spare = [each for each in self.seeds if each not in known]
        random.shuffle(spare)
        order += spare
        return sorted(order, key=lambda each: self.shunned.get(each, 0.0) > now)

    def look(self, now: float) -> None:
        for address, source in list(self.sources.items()):
            if source.link is not None and now - source.last_word() > SILENT:
                self.leave(source, now, "silent")
            elif source.link is not None and not source.fresh and now - source.fresh_at > STALE:
                self.leave(source, now, "stale")
            elif source.link is None and source.task.done():
                del self.sources[address]
        wanted = self.candidates(now)[:SOURCES]
        for address in wanted:
            if address not in self.sources:
                task = self.loop.create_task(self.connect(address))
                self.sources[address] = Source(address, task, now)
        fresh = self.fresh_sources()
        for address, source in list(self.sources.items()):
            # One that is no longer wanted is kept until those that are have come up.
            others = [each for each in fresh if each is not source and each.address in wanted]
            if address not in wanted and (len(others) >= min(SOURCES, len(wanted)) or not source.link):
                self.drop(source)
        self.note_fresh(now)
        self.choose_primary(now)

    def fresh_sources(self) -> list[Source]:
        return [each for each in self.sources.values() if each.fresh and each.link is not None]

    def note_fresh(self, now: float) -> None:
        """What is known counts as the newest if a source vouches for itself and none tells of more."""
        self.fleet.fresh = bool(self.fresh_sources()) and self.arrears.last_for(now) <= LAG
        if self.fleet.fresh:
            self.fleet.fresh_at = now

    # The primary.

    def choose_primary(self, now: float) -> None:
        fresh = self.fresh_sources()
        lags = self.lags(now)
        if self.primary in fresh and not lags:
            return
        others = [each for each in fresh if each is not self.primary] or fresh
        ahead = [each for each in others if each.committed > self.place]
        chosen = self.nearest(ahead or others)
        if chosen is not self.primary:
            if self.primary is not None and self.primary.link is not None:
                self.primary.link.send(["primary", False])
            if lags:
                self.counters.add("feed.primary-lags")
            self.primary = chosen
        if chosen is not None:
            self.ask(chosen, now)

    def lags(self, now: float) -> bool:
        """Whether the primary sends nothing of what the core has committed."""
        if self.primary is None or self.arrears.since is None:
            return False
        return now - max(self.arrears.since, self.primary.last_progress()) > LAG

    def nearest(self, sources: list[Source]) -> Source | None:
        """The first in this router's own zone, else the first."""
        near = [each for each in sources if self.registrars.get(each.address) == self.settings.zone]
        return next(iter(near or sources), None)

    def ask(self, source: Source, now: float) -> None:
        """For all entries from here on."""
        source.progress_at = now
        if source.link is not None:
            source.link.send(["follow", self.place])
            source.link.send(["primary", True])

    # News of prompts.

    def tell(self, event: list[Any]) -> None:
        """To the other routers, with all else that this turn of the loop tells."""
        if not self.news:
            self.loop.call_soon(self.send_news)
        self.news.append(event)

    def send_news(self) -> None:
        news, self.news = self.news, []
        if self.primary is not None and self.primary.link is not None:
            self.primary.link.send(["news", self.settings.node_name, news])

    def leave(self, source: Source, now: float, why: str) -> None:
        self.counters.add(f"feed.left.{why}")
        log.info(logs.event("source-left", address=source.address, why=why))
        self.shunned[source.address] = now + SHUNNED
        self.drop(source)

    def drop(self, source: Source) -> None:
        self.sources.pop(source.address, None)
        source.fresh = False
        source.task.cancel()
        if source.link is not None:
            source.link.abort()

    async def connect(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        link = FrameLink(
            self.greeting, lambda link: self.up(address, link), self.heard, self.went, self.counters
        )
        try:
            async with asyncio.timeout(CONNECT_S):
                await self.loop.create_connection(lambda: link, host, int(port))
                # The hello comes at once, or the one that has the port now is not ours.
                while link.peer is None and not link.down:
                    await asyncio.sleep(CONNECT_S / 8)
        except (OSError, TimeoutError):
            self.counters.add("feed.not-up")
            self.shunned[address] = self.loop.time() + SHUNNED / 4
            link.abort()

    def source_of(self, link: FrameLink) -> Source | None:
        return next((each for each in self.sources.values() if each.link is link), None)

    def up(self, address: str, link: FrameLink) -> None:
        source = self.sources.get(address)
        if source is None or link.peer is None or link.peer["role"] != "registrar":
            link.abort()
            return
        now = self.loop.time()
        source.link, source.heard, source.fresh_at = link, now, now
        link.send(["follow", self.place])

    def went(self, link: FrameLink) -> None:
        if source := self.source_of(link):
            self.counters.add("feed.ended")
            self.drop(source)
            self.shunned[source.address] = self.loop.time() + SHUNNED / 4

    # What they say.

    def heard(self, link: FrameLink, message: list[Any]) -> None:
        source = self.source_of(link)
        if source is None:
            return
        now = source.heard = self.loop.time()
        try:
            match message:
                case ["beat", bool(fresh), int(committed), list(registrars), int(routers), dict(work)]:
                    source.fresh, source.committed = fresh, committed
                    if fresh:
                        self.arrears.told(committed, self.place, now)
                        self.on_work(work)
                        source.fresh_at = now
                        self.registrars = {str(address): str(zone) for address, zone in registrars}
                        if routers != self.fleet.routers:
                            self.fleet.routers = routers
                            self.fleet.tell("members")
                    self.note_fresh(now)
                    if self.primary is None:
                        self.choose_primary(now)
                case ["entry", int(number), list(change)]:
                    source.progress_at = now
                    if number == self.place + 1:
                        self.take(number, self.state.apply(change), change)
                    elif number > self.place + 1:
                        link.send(["follow", self.place])
                case ["state", int(number), wire]:
                    source.progress_at = now
                    if number > self.place:
                        self.take(number, ReplicatedConfiguration.from_wire(wire))
                case ["topic", str(name), [int(term), int(count)], payload]:
                    self.take_topic(name, (term, count), payload)
                case ["news", str(node), list(events)]:
                    if node != self.settings.node_name:
                        self.on_news(node, events)
                case _:
                    self.counters.add("frames.unknown")
        except (PlumlineError, ValueError, TypeError, KeyError) as error:
            raise FrameError(f"a feed's message can't be applied: {error!r}") from error

    def take(self, number: int, state: ReplicatedConfiguration, change: list[Any] | None = None) -> None:
        """The state of this number; `change`: what led to it from the present one. A router that begins shows
        none to its requests before it has all that the first beat told of."""
        known, self.state, self.place = self.state, state, number
        self.arrears.reached(number)
        if self.fleet.state is None and self.arrears.since is not None:
            return
        changed = state.configuration is not known.configuration or self.fleet.table is None
        self.fleet.state, self.fleet.place = state, number
        if changed and state.configuration is not None:
            self.fleet.table = self.table_of(state.configuration, change)
            log.info(logs.event("configuration", version=state.version, place=number))
        self.fleet.tell("configuration")

    def table_of(self, document: Document, change: list[Any] | None) -> RouteTable:
        table: RouteTable | None = self.fleet.table
        if table is not None and change is not None and change[0] == "amend":
            return table.with_amendment(document, change[2])
        return RouteTable(document, table)

    def take_topic(self, name: str, number: tuple[int, int], payload: Any) -> None:  # noqa: ANN401
        if not self.topics.update(name, number, payload):
            return
        if name == "roster":
            self.fleet.take_roster(payload)
        elif name == "marks":
            self.fleet.take_marks(payload)
        elif name == "stores":
            self.fleet.take_stores(payload)

    # Loops.

    def heartbeat(self) -> None:
        for each in self.sources.values():
            if each.link is not None:
                each.link.send(["heartbeat", self.place, self.work()])

    def hurry(self) -> None:
        """An endpoint seems to be gone: the list is worth a look."""
        for each in self.sources.values():
            if each.link is not None:
                each.link.send(["hurry"])

    async def run(self) -> None:
        beat_at = 0.0
        while True:
            now = self.loop.time()
            if (changed := self.file.poll(now)) is not None:
                self.seeds = changed.seeds
            self.look(now)
            if now >= beat_at:
                beat_at = now + self.settings.heartbeat_interval_ms / 1000
                self.heartbeat()
            await asyncio.sleep(LOOK)

    def close(self) -> None:
        for each in list(self.sources.values()):
            self.drop(each)
