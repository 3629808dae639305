"""Failure detector: which registrars are alive, by the echoes of periodic pings.

A peer counts as alive by the time at which the newest ping that it echoed was *sent* from here. Hearing
from a peer is not enough, so that a partition in one direction is noticed on both of its sides. Pings also
carry what a registrar reports of itself (`LocalStatus`).

All times are seconds on the local steady clock.
"""

import secrets
from dataclasses import dataclass
from typing import Any

from plumline.coordination.environment import Environment, Member, Message
from plumline.coordination.loss_tolerance import UNKNOWN_DOMAIN, FailureDomain
from plumline.coordination.replica_status import LocalStatus, ReplicaStatus

PING_KIND = "ping"  # of the messages that carry a registrar's status
PING_INTERVAL_S = 0.15
FEATURES_KIND = "features"  # of the messages that name what a registrar's release can do, and where it runs
#: Views with a base are understood, and activated.
VIEW_ACTIVATION = "view-activation"
#: Records of roll-outs of service versions are understood and kept.
SERVICE_ROLLOUTS = "service-rollouts"
LOCAL_FEATURES = (VIEW_ACTIVATION, SERVICE_ROLLOUTS)
FEATURES_INTERVAL_PINGS = 6  # between two messages that name them
#: A peer that has sent so many pings without naming its features is of a release that has none.
MAX_PINGS_WITHOUT_FEATURES = 24
#: Without an echo for so long a peer is suspected: above the pauses of a busy machine, well under any
#: AcknowledgeMs.
SUSPECT_TIMEOUT_S = 0.8
STABLE_AFTER_S = 0.4  # a peer that was silent must answer for so long before it may join the chain
#: A peer that no view and no setting names is dropped after so long a silence; machines come back sooner.
FORGET_TIMEOUT_S = 12.0
RETAINED_PINGS = 200  # whose echoes are still recognised: half a minute of them

_NEVER = -1e9  # s; before any reading of the steady clock


@dataclass(slots=True)
class Peer:
    """Another registrar: what it last reported of itself, and how it answers."""

    address: str
    incarnation: str = ""  # of its disk; empty until it has reported anything
    view_number: int = 0  # of its view; 0: it knows none, or has not reported yet
    last_synced: int = 0  # number of its newest synced entry
    disk_unhealthy: bool = False  # its disk takes no writes
    draining: bool = False  # it is about to end
    status: ReplicaStatus = ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
    last_echoed_at: float = _NEVER  # sending time of the newest ping that it echoed
    stable_since: float = 0.0  # when it answered again after a silence
    discovered_at: float = 0.0  # when this registrar first learned of it
    disk_healthy_since: float = 0.0  # when it last reported its disk to be healthy again
    features: frozenset[str] = frozenset()  # of its release, as it named them last
    pings_without_features: int = 0  # received since then
    domain: FailureDomain = UNKNOWN_DOMAIN


class FailureDetector:
    """Pings the other registrars and judges from the echoes which of them are alive."""

    def __init__(
        self, local_member: Member, environment: Environment, domain: FailureDomain = UNKNOWN_DOMAIN
    ) -> None:
        """Starts with no peers; `add_peer` names them. `domain`: where this registrar runs."""
        self.domain = domain
        self.local_member, self.environment = local_member, environment
        self.peers: dict[str, Peer] = {}  # by address, without this registrar
        self._sent_at: dict[int, float] = {}  # nonce of a ping -> when it was sent
        self._nonce = secrets.randbits(48)  # so that echoes to an earlier life of this process match nothing
        self._next_ping_at = 0.0
        self._pings_sent = 0

    # Peers

    def add_peer(self, now: float, address: str) -> None:
        """Begins to ping this registrar, if it is another one and not known yet."""
        if address != self.local_member.address and address not in self.peers:
            self.peers[address] = Peer(address, discovered_at=now)

    def remove_unresponsive_peers(self, now: float, named: set[str]) -> None:
        """Drops the peers that are not `named` (addresses) and have been silent for FORGET_TIMEOUT_S."""
        for address in list(self.peers):
            if address not in named and self.time_since_contact(now, address) > FORGET_TIMEOUT_S:
                del self.peers[address]

    # Pings and echoes

    def tick(self, now: float, local_status: LocalStatus) -> None:
        """Pings all peers with this registrar's status, if it is time to."""
        if now < self._next_ping_at:
            return
        self._next_ping_at = now + PING_INTERVAL_S
        self._nonce += 1
        self._sent_at[self._nonce] = now
        self._sent_at.pop(self._nonce - RETAINED_PINGS, None)
        report = local_status.to_wire()
        names_features = self._pings_sent % FEATURES_INTERVAL_PINGS == 0
        self._pings_sent += 1
        for address, peer in self.peers.items():
            if names_features or not peer.features:
                self.environment.send(address, [FEATURES_KIND, list(LOCAL_FEATURES), *self.domain])
            self.environment.send(address, [PING_KIND, self._nonce, *report])

    def ping_soon(self) -> None:
        """Lets the next step ping: a link has come up, and a start should not wait for the interval."""
        self._next_ping_at = 0.0

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """Whether the message was a ping or an echo, and is dealt with."""
        match message:
            case ["ping", int(nonce), str(), int(), int(), bool(), bool(), int()]:
                self._on_ping(now, sender, nonce, message)
            case ["pong", int(nonce)]:
                self._on_echo(now, sender, nonce)
            case ["features", list(names), str(zone), str(region), *_]:
                self._on_features(now, sender, names, FailureDomain(zone, region))
            case _:
                return False
        return True

    def _on_ping(self, now: float, sender: str, nonce: int, message: Message) -> None:
        self.add_peer(now, sender)
        peer = self.peers.get(sender)
        if peer is None:
            return  # from this registrar itself
        peer.pings_without_features += 1
        was_unhealthy = peer.disk_unhealthy
        _, _, peer.incarnation, peer.view_number, peer.last_synced, unhealthy, peer.draining, status = message
        peer.disk_unhealthy, peer.status = unhealthy, ReplicaStatus(status)
        if was_unhealthy and not unhealthy:
            peer.disk_healthy_since = now
        self.environment.send(sender, ["pong", nonce])

    def _on_features(self, now: float, sender: str, names: list[Any], domain: FailureDomain) -> None:
        self.add_peer(now, sender)
        if peer := self.peers.get(sender):
            peer.features = frozenset(name for name in names if isinstance(name, str))
            peer.pings_without_features = 0
            peer.domain = domain

    def _on_echo(self, now: float, sender: str, nonce: int) -> None:
        peer, sent_at = self.peers.get(sender), self._sent_at.get(nonce)
        if peer is None or sent_at is None:
            return
        if sent_at - peer.last_echoed_at > SUSPECT_TIMEOUT_S:
            peer.stable_since = now
        peer.last_echoed_at = max(peer.last_echoed_at, sent_at)

    # Judgements about one peer

    def time_since_echo(self, now: float, address: str) -> float:
        """Seconds since the newest echoed ping was sent: 0 for this registrar itself, huge if there is
        none."""
        if address == self.local_member.address:
            return 0.0
        peer = self.peers.get(address)
        return now - peer.last_echoed_at if peer else -_NEVER

    def time_since_contact(self, now: float, address: str) -> float:
        """As `time_since_echo`, but a peer that was just discovered counts from then: it had no time to
        answer."""
        if address == self.local_member.address:
            return 0.0
        peer = self.peers.get(address)
        return now - (max(peer.last_echoed_at, peer.discovered_at) if peer else _NEVER)

    def is_alive(self, now: float, address: str) -> bool:
        """Whether the peer is not suspected; one that was just discovered is not yet."""
        return self.time_since_contact(now, address) < SUSPECT_TIMEOUT_S

    def is_stable(self, now: float, address: str) -> bool:
        """Whether the peer has answered, and its disk been healthy, without a gap for STABLE_AFTER_S."""
        peer = self.peers.get(address)
        if peer is None or self.time_since_echo(now, address) >= SUSPECT_TIMEOUT_S:
            return False
        return now - max(peer.stable_since, peer.disk_healthy_since) >= STABLE_AFTER_S

    def has_reported_view(self, address: str) -> bool:
        """Whether it has reported a view to this life of the process; before that it may know a newer one."""
        peer = self.peers.get(address)
        return address == self.local_member.address or (peer is not None and peer.view_number > 0)

    def supports(self, address: str, feature: str) -> bool:
        """Whether a registrar's release has the feature, as it has named it or had no time yet to do so."""
        peer = self.peers.get(address)
        if peer is None:
            return True
        has_named = feature in peer.features or not peer.features
        return has_named and peer.pings_without_features <= MAX_PINGS_WITHOUT_FEATURES

    def domain_of(self, address: str) -> FailureDomain:
        """Where a registrar runs, as it has told."""
        if address == self.local_member.address:
            return self.domain
        peer = self.peers.get(address)
        return peer.domain if peer is not None else UNKNOWN_DOMAIN

    # Judgements about a quorum

    def has_quorum_contact(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these members, this registrar included if it is one, echoed lately."""
        return 2 * len(self._responsive_addresses(now, members)) > len(members)

    def has_quorum_of_reported_views(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these members echoed lately and has reported its view."""
        responsive = self._responsive_addresses(now, members)
        return 2 * sum(map(self.has_reported_view, responsive)) > len(members)

    def _responsive_addresses(self, now: float, members: tuple[Member, ...]) -> list[str]:
        return [
            member.address
            for member in members
            if self.time_since_echo(now, member.address) < SUSPECT_TIMEOUT_S
        ]


def reported_view_number(ping: Message) -> int:
    """The number of the view that a ping's sender reports."""
    return ping[3]
