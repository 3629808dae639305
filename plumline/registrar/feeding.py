"""The feed to routers: a numbered history of changes from a place on, soft topics, and beats."""

import math
from dataclasses import dataclass, field
from typing import Any

from plumline.coordination.chain import Chain
from plumline.coordination.topics import Topics
from plumline.counters import Counters
from plumline.errors import FrameError
from plumline.routing.shares import summed
from plumline.wire.frames import FrameLink, pack

SILENT_HEARTBEATS = 3  # of its interval, after which a follower no longer counts as alive

#: By service: ms of endpoints' time a second for short and for long requests; then, where shares are
#: reserved, what the tenants ask for (routing.shares.Told).
Work = dict[str, list[Any]]


def is_rates(rates: Any) -> bool:  # noqa: ANN401
    """Whether it has the shape of what `Work` holds for a service; a sum checks the tenants' part."""
    if not isinstance(rates, list) or not 2 <= len(rates) <= 3:
        return False
    return all(type(each) in (int, float) and 0 <= each < math.inf for each in rates[:2])


@dataclass(slots=True)
class Follower:
    link: FrameLink
    node: str
    place: int = -1  # number of the newest entry it was sent; -1: it has not asked yet
    heard: float = 0.0
    work: Work = field(default_factory=dict)
    primary: bool = False  # takes its news of prompts from here


class Feed:
    """Routers that follow this registrar. They are also those that it watches: `alive` names them."""

    def __init__(self, chain: Chain, topics: Topics, counters: Counters, heartbeat_s: float) -> None:
        self.chain, self.topics, self.counters = chain, topics, counters
        self.patience = SILENT_HEARTBEATS * heartbeat_s
        self.followers: dict[FrameLink, Follower] = {}
        self.told_place = 0  # the highest that a follower has had from anyone

    def came(self, link: FrameLink, now: float) -> None:
        assert link.peer is not None
        self.followers[link] = Follower(link, link.peer["node"], heard=now)

    def went(self, link: FrameLink) -> None:
        self.followers.pop(link, None)

    def heard(self, link: FrameLink, message: list[Any], now: float) -> None:
        follower = self.followers.get(link)
        if follower is None:
            return
        follower.heard = now
        match message:
            case ["follow", int(place)]:
                self.told_place = max(self.told_place, place)
                follower.place = place
                self.catch_up(follower)
                for each in self.topics.messages():
                    link.send(each)
            case ["primary", bool(primary)]:
                follower.primary = primary
            case ["heartbeat", int(), dict(work)]:
                if not all(map(is_rates, work.values())):
                    raise FrameError("a heartbeat with a malformed rate")
                follower.work = work
            case _:
                raise FrameError(f"a follower does not say {message[0]!r}")

    def catch_up(self, follower: Follower) -> None:
        """A follower that is ahead gets nothing: its place is never taken back."""
        chain = self.chain
        if follower.place < 0 or follower.place >= chain.committed:
            return
        if not chain.log or chain.log[0][0] > follower.place + 1:
            follower.link.send(["state", chain.committed, chain.state.to_wire(history=False)])
        else:
            for number, change in chain.log:
                if follower.place < number <= chain.committed:
                    follower.link.send(["entry", number, change])
        follower.place = chain.committed

    def applied(self, number: int, change: list[Any] | None) -> None:
        """A committed entry, or with None a whole state."""
        data = pack(["entry", number, change]) if change is not None and self.followers else b""
        for follower in self.followers.values():
            if follower.place < 0:
                continue
            if change is not None and follower.place == number - 1:
                follower.link.send_packed("entry", data)
                follower.place = number
            elif follower.place < number:
                self.catch_up(follower)

    def tell_topic(self, name: str) -> None:
        told = self.topics.told[name]
        self.send_all(["topic", name, list(told.number), told.payload])

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

    def beat(self, fresh: bool, registrars: list[list[str]], routers: dict[str, Work]) -> None:
        """`registrars`: [address, zone] of those that can be followed; `routers`: all that are alive."""
        work: Work = {}
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
        self.send_all(["beat", fresh, self.chain.committed, registrars, count, work])

    def alive(self, now: float) -> dict[str, Work]:
        """The work of each follower that was heard of late, by name."""
        return {each.node: each.work for each in self.followers.values() if now - each.heard < self.patience}
