"""Which registrars answer: pings counted by their echo, so a cut in one direction is seen from both sides."""

import secrets
from dataclasses import dataclass
from typing import Any

from plumline.coordination.environment import Environment, Member, Message

PING_EVERY = 0.15  # s
SUSPECT_AFTER = 0.8  # s without an echo; a bound on pauses of a busy machine, well under any AcknowledgeMs
STEADY_FOR = 0.4  # s that a peer must have answered without a gap before it is taken in
GONE_AFTER = 12.0  # s of silence after which an acceptor no longer counts: longer than machines stay away


@dataclass(slots=True)
class Peer:
    """What a registrar last told of itself. Times are the local steady clock's."""

    address: str
    incarnation: str = ""
    view: int = 0  # number
    synced: int = 0  # entries
    sick: bool = False  # its disk takes no writes
    leaving: bool = False
    present: int = 0  # as ChainReplica.status tells
    echoed: float = -1e9  # sending time of the newest ping of ours that it echoed
    steady_since: float = 0.0
    first_known: float = 0.0
    well_since: float = 0.0  # when its disk was last told to be well again


class Contacts:
    def __init__(self, me: Member, environment: Environment) -> None:
        self.me, self.environment = me, environment
        self.peers: dict[str, Peer] = {}
        self.sent: dict[int, float] = {}
        self.nonce = secrets.randbits(48)  # an echo to an earlier life is none
        self.ping_at = 0.0

    def know(self, now: float, address: str) -> None:
        if address != self.me[0] and address not in self.peers:
            self.peers[address] = Peer(address, first_known=now)

    def forget(self, now: float, wanted: set[str]) -> None:
        """Drops peers that nobody names any more and that don't answer."""
        for address in list(self.peers):
            if address not in wanted and self.unheard_for(now, address) > GONE_AFTER:
                del self.peers[address]

    def tick(self, now: float, told: list[Any]) -> None:
        """`told`: [incarnation, view number, synced, sick, leaving, in the chain]."""
        if now < self.ping_at:
            return
        self.ping_at = now + PING_EVERY
        self.nonce += 1
        self.sent[self.nonce] = now
        self.sent.pop(self.nonce - 200, None)
        for address in self.peers:
            self.environment.send(address, ["ping", self.nonce, *told])

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        match message:
            case ["ping", int(nonce), str(incarnation), int(), int(), bool(sick), bool(), int()]:
                self.know(now, sender)
                if peer := self.peers.get(sender):
                    if peer.sick and not sick:
                        peer.well_since = now
                    peer.incarnation, peer.sick = incarnation, sick
                    _, _, _, peer.view, peer.synced, _, peer.leaving, peer.present = message
                    self.environment.send(sender, ["pong", nonce])
            case ["pong", int(nonce)]:
                peer, at = self.peers.get(sender), self.sent.get(nonce)
                if peer is not None and at is not None:
                    if at - peer.echoed > SUSPECT_AFTER:
                        peer.steady_since = now
                    peer.echoed = max(peer.echoed, at)
            case _:
                return False
        return True

    def silent_for(self, now: float, address: str) -> float:
        """Seconds since the sending of the newest ping that was echoed; 0 for this registrar itself."""
        if address == self.me[0]:
            return 0.0
        peer = self.peers.get(address)
        return now - peer.echoed if peer else 1e9

    def unheard_for(self, now: float, address: str) -> float:
        """The same, but a peer just learned of counts as heard then: it had no time to answer."""
        peer = self.peers.get(address)
        since = max(peer.echoed, peer.first_known) if peer else -1e9
        return 0.0 if address == self.me[0] else now - since

    def alive(self, now: float, address: str) -> bool:
        return self.unheard_for(now, address) < SUSPECT_AFTER

    def steady(self, now: float, address: str) -> bool:
        peer = self.peers.get(address)
        if peer is None or self.silent_for(now, address) >= SUSPECT_AFTER:
            return False
        return now - max(peer.steady_since, peer.well_since) >= STEADY_FOR

    def in_touch(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these, this one counted if it is one, echoed lately."""
        return 2 * len(self.answering(now, members)) > len(members)

    def know_views(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these echoed lately and has told its view to this life of the process."""
        return 2 * sum(map(self.told, self.answering(now, members))) > len(members)

    def answering(self, now: float, members: tuple[Member, ...]) -> list[str]:
        """The addresses of those that echoed lately."""
        return [address for address, _ in members if self.silent_for(now, address) < SUSPECT_AFTER]

    def told(self, address: str) -> bool:
        """Whether it has told a view to this life of the process: before that, it may know a newer one."""
        peer = self.peers.get(address)
        return address == self.me[0] or (peer is not None and peer.view > 0)
