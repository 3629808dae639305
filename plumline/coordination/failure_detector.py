"""Failure detector: decides from the echoes of periodic pings which registrars are alive.

A peer is alive if the newest ping that it echoed was *sent* recently. Messages received from a peer don't
count, so that both sides detect a one-way partition. Pings also carry the registrar's own status
(`LocalStatus`).

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
FEATURES_KIND = "features"  # of the messages with a registrar's features and failure domain
#: Feature: views with a base are supported and activated.
VIEW_ACTIVATION = "view-activation"
#: Feature: records of service version roll-outs are supported and kept.
SERVICE_ROLLOUTS = "service-rollouts"
LOCAL_FEATURES = (VIEW_ACTIVATION, SERVICE_ROLLOUTS)
FEATURES_INTERVAL_PINGS = 6  # pings between two messages that name the features
#: A peer that has sent more pings than this since it named its features runs a release without them.
MAX_PINGS_WITHOUT_FEATURES = 24
#: A peer without an echo for this long is suspected. Longer than pauses of a busy machine, and well below any
#: AcknowledgeMs.
SUSPECT_TIMEOUT_S = 0.8
STABLE_AFTER_S = 0.4  # a suspected peer must answer for this long before it may join the chain
#: A peer that no view and no setting names is removed after this long without contact. Machines come back
#: sooner.
FORGET_TIMEOUT_S = 12.0
RETAINED_PINGS = 200  # whose echoes are still accepted: 30 s at PING_INTERVAL_S

_NEVER = -1e9  # seconds; earlier than any reading of the steady clock


@dataclass(slots=True)
class Peer:
    """Another registrar: its last reported status, and the times of its echoes."""

    address: str
    incarnation: str = ""  # of its disk; empty until its first ping
    view_number: int = 0  # 0: it knows no view, or has not reported yet
    last_synced: int = 0  # number of its newest synced entry
    disk_unhealthy: bool = False  # its disk accepts no writes
    draining: bool = False  # it is shutting down
    status: ReplicaStatus = ReplicaStatus.LEARNER_NEARLY_CAUGHT_UP
    last_echoed_at: float = _NEVER  # time at which the newest echoed ping was sent
    stable_since: float = 0.0  # when it last answered again after being suspected
    discovered_at: float = 0.0  # when this registrar discovered it
    disk_healthy_since: float = 0.0  # when it last reported its disk to be healthy again
    features: frozenset[str] = frozenset()  # of its release, as last reported
    pings_without_features: int = 0  # received since its last features message
    domain: FailureDomain = UNKNOWN_DOMAIN


class FailureDetector:
    """Pings the other registrars and decides from the echoes which of them are alive."""

    def __init__(
        self, local_member: Member, environment: Environment, domain: FailureDomain = UNKNOWN_DOMAIN
    ) -> None:
        """Starts with no peers; `add_peer` adds them. `domain`: where this registrar runs."""
        self.domain = domain
        self.local_member, self.environment = local_member, environment
        self.peers: dict[str, Peer] = {}  # by address, without this registrar
        self._sent_at: dict[int, float] = {}  # nonce of a ping -> when it was sent
        self._nonce = secrets.randbits(48)  # random: echoes to an earlier process run match nothing
        self._next_ping_at = 0.0
        self._pings_sent = 0

    # Peers

    def add_peer(self, now: float, address: str) -> None:
        """Starts to ping this registrar, unless it is the local one or already known."""
        if address != self.local_member.address and address not in self.peers:
            self.peers[address] = Peer(address, discovered_at=now)

    def remove_unresponsive_peers(self, now: float, named: set[str]) -> None:
        """Removes peers whose address is not `named` and that had no contact for FORGET_TIMEOUT_S."""
        for address in list(self.peers):
            if address not in named and self.time_since_contact(now, address) > FORGET_TIMEOUT_S:
                del self.peers[address]

    # Pings and echoes

    def tick(self, now: float, local_status: LocalStatus) -> None:
        """Pings all peers with this registrar's status, every PING_INTERVAL_S."""
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
        """Makes the next tick ping, so that a new link need not wait for the interval."""
        self._next_ping_at = 0.0

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """Handles a ping, an echo or a features message; returns False for any other."""
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

    # State of one peer

    def time_since_echo(self, now: float, address: str) -> float:
        """Seconds since the newest echoed ping was sent: 0 for this registrar itself, very large if none
        was echoed."""
        if address == self.local_member.address:
            return 0.0
        peer = self.peers.get(address)
        return now - peer.last_echoed_at if peer else -_NEVER

    def time_since_contact(self, now: float, address: str) -> float:
        """As `time_since_echo`, but at most the time since the peer was discovered, as a new one had no time
        to answer."""
        if address == self.local_member.address:
            return 0.0
        peer = self.peers.get(address)
        return now - (max(peer.last_echoed_at, peer.discovered_at) if peer else _NEVER)

    def is_alive(self, now: float, address: str) -> bool:
        """Whether the peer is not suspected; a newly discovered one is not suspected yet."""
        return self.time_since_contact(now, address) < SUSPECT_TIMEOUT_S

    def is_stable(self, now: float, address: str) -> bool:
        """Whether the peer has answered, with a healthy disk, without interruption for STABLE_AFTER_S."""
        peer = self.peers.get(address)
        if peer is None or self.time_since_echo(now, address) >= SUSPECT_TIMEOUT_S:
            return False
        return now - max(peer.stable_since, peer.disk_healthy_since) >= STABLE_AFTER_S

    def has_reported_view(self, address: str) -> bool:
        """Whether it has reported a view to this process run; until then it may know a newer one."""
        peer = self.peers.get(address)
        return address == self.local_member.address or (peer is not None and peer.view_number > 0)

    def supports(self, address: str, feature: str) -> bool:
        """Whether a registrar has reported the feature, or has had no time yet to report its features."""
        peer = self.peers.get(address)
        if peer is None:
            return True
        has_named = feature in peer.features or not peer.features
        return has_named and peer.pings_without_features <= MAX_PINGS_WITHOUT_FEATURES

    def domain_of(self, address: str) -> FailureDomain:
        """The failure domain that a registrar has reported."""
        if address == self.local_member.address:
            return self.domain
        peer = self.peers.get(address)
        return peer.domain if peer is not None else UNKNOWN_DOMAIN

    # State of a quorum

    def has_quorum_contact(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these members echoed recently; this registrar counts as having done so."""
        return 2 * len(self._responsive_addresses(now, members)) > len(members)

    def has_quorum_of_reported_views(self, now: float, members: tuple[Member, ...]) -> bool:
        """Whether a majority of these members echoed recently and has reported its view."""
        responsive = self._responsive_addresses(now, members)
        return 2 * sum(map(self.has_reported_view, responsive)) > len(members)

    def _responsive_addresses(self, now: float, members: tuple[Member, ...]) -> list[str]:
        return [
            member.address
            for member in members
            if self.time_since_echo(now, member.address) < SUSPECT_TIMEOUT_S
        ]


def reported_view_number(ping: Message) -> int:
    """The view number that a ping's sender reports."""
    return ping[3]
