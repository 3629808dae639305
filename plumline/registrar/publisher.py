"""The feed to routers: a numbered history of changes from a place on, soft topics, and beats.

Entries go to the followers that have chosen this registrar as their primary. A follower that has not taken
yet what it was sent gets no more of them: once it has, it gets all that it lacks, as entries or as one
snapshot, whichever is shorter. Nothing is sent to it while this registrar may not know the newest.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from plumline.configuration.difference import replace_as_amend
from plumline.configuration.document import Document
from plumline.coordination.replication import ChainReplica
from plumline.coordination.soft_state import SoftState
from plumline.counters import Counters
from plumline.errors import FrameError
from plumline.registrar.publish_buffer import PublishBuffer
from plumline.routing.shares import summed
from plumline.wire.frames import FrameLink, pack

MAX_MISSED_HEARTBEATS = 3  # of its interval, after which a follower no longer counts as alive

#: By service: ms of endpoints' time a second for short and for long requests; then, where shares are
#: reserved, what the tenants ask for (routing.shares.Told).
ServiceLoads = dict[str, list[Any]]


def is_load_report(rates: Any) -> bool:  # noqa: ANN401
    """Whether it has the shape of what `ServiceLoads` holds for a service; a sum checks the tenants' part."""
    if not isinstance(rates, list) or not 2 <= len(rates) <= 3:
        return False
    return all(type(each) in (int, float) and 0 <= each < math.inf for each in rates[:2])


@dataclass(slots=True)
class Subscriber:
    """A router on its link."""

    link: FrameLink
    node: str
    place: int = -1  # number of the newest entry it has or was sent; -1: it has not said yet
    heard: float = 0.0
    work: ServiceLoads = field(default_factory=dict)
    primary: bool = False  # takes entries, and news of prompts, from here
    has_topics: bool = False  # was sent all soft topics that were known


class FeedPublisher:
    """Routers that follow this registrar. They are also those that it watches: `alive` names them."""

    def __init__(
        self,
        chain: ChainReplica,
        topics: SoftState,
        counters: Counters,
        heartbeat_s: float,
        may_feed: Callable[[], bool] = lambda: True,
    ) -> None:
        """`may_feed`: whether this registrar surely knows the newest entries."""
        self.chain, self.topics, self.counters, self.may_feed = chain, topics, counters, may_feed
        self.patience = MAX_MISSED_HEARTBEATS * heartbeat_s
        self.followers: dict[FrameLink, Subscriber] = {}
        self.told_place = 0  # the highest that a follower has had from anyone
        self.backlog = PublishBuffer(lambda: (chain.committed_index, chain.state))
        self.configuration: tuple[int, Document | None] = (-1, None)  # after the entry of that number

    def came(self, link: FrameLink, now: float) -> None:
        assert link.peer is not None
        self.followers[link] = Subscriber(link, link.peer["node"], heard=now)
        link.on_drained = self.drained

    def went(self, link: FrameLink) -> None:
        self.followers.pop(link, None)

    def drained(self, link: FrameLink) -> None:
        if follower := self.followers.get(link):
            self.catch_up(follower)

    def heard(self, link: FrameLink, message: list[Any], now: float) -> None:
        follower = self.followers.get(link)
        if follower is None:
            return
        follower.heard = now
        match message:
            case ["follow", int(place)]:
                self.follow(follower, place)
            case ["primary", bool(primary)]:
                follower.primary = primary
                self.catch_up(follower)
            case ["heartbeat", int(), dict(work)]:
                if not all(map(is_load_report, work.values())):
                    raise FrameError("a heartbeat with a malformed rate")
                follower.work = work
            case _:
                raise FrameError(f"a follower does not say {message[0]!r}")

    # Entries.

    def follow(self, follower: Subscriber, place: int) -> None:
        self.told_place = max(self.told_place, place)
        if follower.place >= 0 and follower.link.busy and follower.primary:
            return  # what it asks for is on its way
        follower.place = place
        self.tell_topics(follower)
        self.catch_up(follower)

    def tell_topics(self, follower: Subscriber) -> None:
        """All soft topics, once, and not while this registrar may know old ones only."""
        if follower.place < 0 or follower.has_topics or not self.may_feed():
            return
        follower.has_topics = True
        for each in self.topics.messages():
            follower.link.send(each)

    def catch_up(self, follower: Subscriber) -> None:
        """A follower that is ahead gets nothing: its place is never taken back."""
        if not follower.primary or follower.place < 0 or follower.link.busy or not self.may_feed():
            return
        if self.backlog.newest != self.chain.committed_index:
            self.backlog.restart(self.chain.committed_index)
        for each in self.backlog.messages(follower.place):
            follower.link.send_packed(each.kind, each.data, ordered=True)
            follower.place = each.number

    def catch_all_up(self) -> None:
        for follower in list(self.followers.values()):
            self.tell_topics(follower)
            self.catch_up(follower)

    def applied(self, number: int, change: list[Any] | None) -> None:
        """A committed entry, or with None a whole state."""
        before, document = self.configuration
        if change is None:
            self.backlog.restart(number)
        else:
            self.backlog.add(number, replace_as_amend(document, change) if before == number - 1 else change)
        self.configuration = number, self.chain.state.configuration
        self.catch_all_up()

    # What all followers are told.

    def tell_topic(self, name: str) -> None:
        told = self.topics.values[name]
        self.send_all(["topic", name, list(told.version), told.value])

    def send_all(self, message: list[Any]) -> None:
        if self.followers:
            data = pack(message)
            for follower in list(self.followers.values()):
                if follower.place >= 0:
                    follower.link.send_packed(message[0], data)

    def pass_news(self, message: list[Any], origin: FrameLink | None = None) -> None:
        """What a router tells of its prompts, to those that take their news from here."""
        data = pack(message)
        for follower in list(self.followers.values()):
            if follower.primary and follower.link is not origin:
                follower.link.send_packed("news", data)

    def beat(self, fresh: bool, registrars: list[list[str]], routers: dict[str, ServiceLoads]) -> None:
        """`registrars`: [address, zone] of those that can be followed; `routers`: all that are alive."""
        work: ServiceLoads = {}
        demands: dict[str, list[Any]] = {}
        for each in routers.values():
            for service, (short, long, *demand) in each.items():
                known = work.setdefault(service, [0.0, 0.0])
                work[service] = [round(known[0] + short, 1), round(known[1] + long, 1)]
                if demand:
                    demands.setdefault(service, []).append(demand[0])
        for service, told in demands.items():
            if (demand := summed(told)) is not None:
                work[service].append(demand)
        count = max(len(routers), 1)
        self.send_all(["beat", fresh, self.chain.committed_index, registrars, count, work])
        self.catch_all_up()

    def alive(self, now: float) -> dict[str, ServiceLoads]:
        """The work of each follower that was heard of late, by name."""
        return {each.node: each.work for each in self.followers.values() if now - each.heard < self.patience}
