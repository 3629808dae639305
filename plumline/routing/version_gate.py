"""Which endpoints of a service may be sent requests while versions of it are rolled out.

An endpoint of the target version of a roll-out under way is on trial: it takes the share of the requests that
the controller's newest grant allows, and nothing without a grant that is fresh, as when this router or the
controller is cut off. A version that was reverted takes nothing, nor does one that a completed roll-out
replaced. A version that is listed without an order for it is withheld for a while, since the order may be on
its way here.

Pure; times are steady seconds.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from plumline.configuration.service_rollouts import RolloutRecord, RolloutStage
from plumline.routing.fleet import Endpoint
from plumline.routing.fleet_state import GRANT_DURATION_S, RolloutGrant

UNANNOUNCED_DELAY_S = 10.0  # s after which a version that nobody ordered is used like any other
#: Stages in which the prompts' homes are among the endpoints of the target version.
HOMES_AT_TARGET = frozenset((RolloutStage.GROWING, RolloutStage.HOLDING))


@dataclass(frozen=True, slots=True)
class ServiceTraffic:
    """Where the requests for one service may go; endpoints by id."""

    serving: frozenset[str]
    trial: frozenset[str] = frozenset()  # of the target version, as far as the grant allows them
    share: float = 0.0  # of the requests that go to those on trial
    target: str | None = None  # version on trial; None: no roll-out is under way
    stage: RolloutStage | None = None  # of the fresh grant; None: there is none
    withheld: frozenset[str] = frozenset()

    def homes(self) -> frozenset[str]:
        """The endpoints that prompts have their homes at."""
        return self.trial if self.trial and self.stage in HOMES_AT_TARGET else self.serving

    def in_use(self) -> frozenset[str]:
        """All endpoints that may be sent requests."""
        return self.serving | self.trial if self.share else self.serving

    def without_grant(self) -> "ServiceTraffic":
        """The same once the grant is over."""
        return ServiceTraffic(self.serving, target=self.target, withheld=self.withheld)


@dataclass(slots=True)
class _ServiceVersions:
    """The versions of a service that need no order."""

    established: set[str]
    unannounced_since: dict[str, float]  # by version


class VersionGate:
    """The traffic of each service, worked out anew when endpoints, records or grants change."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock()`: steady s."""
        self.clock = clock
        self._traffic: dict[str, ServiceTraffic] = {}
        self._versions: dict[str, _ServiceVersions] = {}
        self._grants: Mapping[str, RolloutGrant] = {}
        self._granted_at = -GRANT_DURATION_S
        self._look_again_at = float("inf")  # when a version has been withheld for long enough
        self._inputs: tuple[Mapping[str, list[Endpoint]], Mapping[str, RolloutRecord]] = ({}, {})

    def update(self, endpoints: Mapping[str, list[Endpoint]], records: Mapping[str, RolloutRecord]) -> None:
        """Takes the listed endpoints and the newest roll-outs, both by service."""
        self._inputs = endpoints, records
        self._look_again_at = float("inf")
        self._traffic = {
            service: self._traffic_of(service, listed, records.get(service))
            for service, listed in endpoints.items()
        }
        self._versions = {name: each for name, each in self._versions.items() if name in endpoints}

    def grant(self, grants: Mapping[str, RolloutGrant]) -> None:
        """Takes the newest grants, by service; they hold for GRANT_DURATION_S from now on."""
        self._grants, self._granted_at = grants, self.clock()
        self.update(*self._inputs)

    def traffic(self, service: str) -> ServiceTraffic | None:
        """Where requests for the service may go now; None where it has no endpoints."""
        now = self.clock()
        if now >= self._look_again_at:
            self.update(*self._inputs)
        traffic = self._traffic.get(service)
        if traffic is not None and traffic.stage is not None and not self._grants_are_fresh(now):
            traffic = self._traffic[service] = traffic.without_grant()
        return traffic

    def may_use(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may be sent a request now."""
        traffic = self.traffic(endpoint.service)
        return traffic is not None and endpoint.id in traffic.in_use()

    def _grants_are_fresh(self, now: float) -> bool:
        return now < self._granted_at + GRANT_DURATION_S

    def _traffic_of(
        self, service: str, listed: list[Endpoint], record: RolloutRecord | None
    ) -> ServiceTraffic:
        established = self._established(service, listed, record)
        serving = _ids(each for each in listed if each.version in established)
        others = [each for each in listed if each.version not in established]
        if record is None or not record.stage.running:
            return ServiceTraffic(serving, withheld=_ids(others))
        on_trial = _ids(each for each in others if each.version == record.target)
        withheld = _ids(others) - on_trial
        grant = self._grants.get(service)
        is_granted = grant is not None and grant.target == record.target
        if grant is None or not is_granted or not self._grants_are_fresh(self.clock()):
            return ServiceTraffic(serving, target=record.target, withheld=withheld | on_trial)
        usable = on_trial if grant.endpoints is None else on_trial & frozenset(grant.endpoints)
        share = grant.share if usable else 0.0
        withheld |= on_trial - usable
        return ServiceTraffic(serving, usable, share, record.target, grant.stage, withheld)

    def _established(self, service: str, listed: list[Endpoint], record: RolloutRecord | None) -> set[str]:
        """The versions that take requests without a grant."""
        present = {each.version for each in listed}
        on_offer = {each.version for each in listed if not each.draining}
        barred = _barred(record)
        known = self._versions.get(service)
        if known is None:
            known = self._versions[service] = _ServiceVersions(present - barred, {})
        if record is not None and record.stage is RolloutStage.COMPLETED and record.target in present:
            known.established = {record.target}
            known.unannounced_since.clear()
            return known.established
        self._admit_unannounced(known, present - known.established - barred)
        established = known.established - barred
        if not established & on_offer:
            # None of them is left: what remains is used, but for what was reverted or is on trial.
            known.established |= present - barred
            established = known.established - barred
        return established

    def _admit_unannounced(self, known: _ServiceVersions, unannounced: set[str]) -> None:
        """Establishes the versions that were listed for long enough without an order for them."""
        now = self.clock()
        since = {version: known.unannounced_since.get(version, now) for version in unannounced}
        for version, at in list(since.items()):
            if now >= at + UNANNOUNCED_DELAY_S:
                known.established.add(version)
                del since[version]
            else:
                self._look_again_at = min(self._look_again_at, at + UNANNOUNCED_DELAY_S)
        known.unannounced_since = since


def _barred(record: RolloutRecord | None) -> set[str]:
    """The versions that the record keeps from taking requests without a grant."""
    if record is None:
        return set()
    barred = set(record.reverted)
    if record.stage is not RolloutStage.COMPLETED:
        barred.add(record.target)
    return barred - ({record.target} if record.stage is RolloutStage.COMPLETED else set())


def _ids(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    return frozenset(each.id for each in endpoints)
