"""The endpoints of a service that may get requests during roll-outs of its versions.

An endpoint of the target version of a roll-out in progress is on trial: it gets the share of requests that
the controller's newest grant allows. Without a valid grant, as when this router or the controller is
partitioned, it gets none.

A version that was reverted gets no requests, nor does one that a completed roll-out replaced. A version that
is listed without an order for it is withheld for UNANNOUNCED_DELAY_S, since the order may not have arrived.

Pure; times are steady seconds.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from plumline.configuration.service_rollouts import RolloutRecord, RolloutStage
from plumline.routing.fleet import Endpoint
from plumline.routing.fleet_state import GRANT_DURATION_S, RolloutGrant

UNANNOUNCED_DELAY_S = 10.0  # after which a version without an order is used like any other
#: Stages in which prefix homes are among the endpoints of the target version.
HOMES_AT_TARGET = frozenset((RolloutStage.GROWING, RolloutStage.HOLDING))


@dataclass(frozen=True, slots=True)
class ServiceTraffic:
    """The endpoints that may get requests for one service, by id."""

    serving: frozenset[str]
    trial: frozenset[str] = frozenset()  # of the target version, if the grant allows them
    share: float = 0.0  # of the requests, for those on trial
    target: str | None = None  # version on trial; None: no roll-out is in progress
    stage: RolloutStage | None = None  # of the valid grant; None: there is none
    withheld: frozenset[str] = frozenset()

    def homes(self) -> frozenset[str]:
        """The endpoints that may be prefix homes."""
        return self.trial if self.trial and self.stage in HOMES_AT_TARGET else self.serving

    def in_use(self) -> frozenset[str]:
        """All endpoints that may get requests."""
        return self.serving | self.trial if self.share else self.serving

    def without_grant(self) -> "ServiceTraffic":
        """The same traffic after the grant has expired."""
        return ServiceTraffic(self.serving, target=self.target, withheld=self.withheld)


@dataclass(slots=True)
class _ServiceVersions:
    """The versions of a service that get requests without a grant, and those listed without an order."""

    established: set[str]
    unannounced_since: dict[str, float]  # by version


class VersionGate:
    """The traffic of each service, recomputed when endpoints, records or grants change."""

    def __init__(self, clock: Callable[[], float]) -> None:
        """`clock()`: steady seconds."""
        self.clock = clock
        self._traffic: dict[str, ServiceTraffic] = {}
        self._versions: dict[str, _ServiceVersions] = {}
        self._grants: Mapping[str, RolloutGrant] = {}
        self._granted_at = -GRANT_DURATION_S
        self._next_update_at = float("inf")  # when the next version has been withheld for long enough
        self._inputs: tuple[Mapping[str, list[Endpoint]], Mapping[str, RolloutRecord]] = ({}, {})

    def update(self, endpoints: Mapping[str, list[Endpoint]], records: Mapping[str, RolloutRecord]) -> None:
        """Sets the listed endpoints and the newest roll-outs, both by service."""
        self._inputs = endpoints, records
        self._next_update_at = float("inf")
        self._traffic = {
            service: self._traffic_of(service, listed, records.get(service))
            for service, listed in endpoints.items()
        }
        self._versions = {name: each for name, each in self._versions.items() if name in endpoints}

    def grant(self, grants: Mapping[str, RolloutGrant]) -> None:
        """Sets the newest grants, by service; they are valid for GRANT_DURATION_S from now on."""
        self._grants, self._granted_at = grants, self.clock()
        self.update(*self._inputs)

    def traffic(self, service: str) -> ServiceTraffic | None:
        """The current traffic of the service; None if it has no endpoints."""
        now = self.clock()
        if now >= self._next_update_at:
            self.update(*self._inputs)
        traffic = self._traffic.get(service)
        if traffic is not None and traffic.stage is not None and not self._grants_are_valid(now):
            traffic = self._traffic[service] = traffic.without_grant()
        return traffic

    def may_use(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint may get a request now."""
        traffic = self.traffic(endpoint.service)
        return traffic is not None and endpoint.id in traffic.in_use()

    def _grants_are_valid(self, now: float) -> bool:
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
        if grant is None or not is_granted or not self._grants_are_valid(self.clock()):
            return ServiceTraffic(serving, target=record.target, withheld=withheld | on_trial)
        usable = on_trial if grant.endpoints is None else on_trial & frozenset(grant.endpoints)
        share = grant.share if usable else 0.0
        withheld |= on_trial - usable
        return ServiceTraffic(serving, usable, share, record.target, grant.stage, withheld)

    def _established(self, service: str, listed: list[Endpoint], record: RolloutRecord | None) -> set[str]:
        """The versions that get requests without a grant."""
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
            # No established version is left: the others are used, unless reverted or on trial.
            known.established |= present - barred
            established = known.established - barred
        return established

    def _admit_unannounced(self, known: _ServiceVersions, unannounced: set[str]) -> None:
        """Establishes the versions that were listed without an order for UNANNOUNCED_DELAY_S."""
        now = self.clock()
        since = {version: known.unannounced_since.get(version, now) for version in unannounced}
        for version, at in list(since.items()):
            if now >= at + UNANNOUNCED_DELAY_S:
                known.established.add(version)
                del since[version]
            else:
                self._next_update_at = min(self._next_update_at, at + UNANNOUNCED_DELAY_S)
        known.unannounced_since = since


def _barred(record: RolloutRecord | None) -> set[str]:
    """The versions that must not get requests without a grant, by the record."""
    if record is None:
        return set()
    barred = set(record.reverted)
    if record.stage is not RolloutStage.COMPLETED:
        barred.add(record.target)
    return barred - ({record.target} if record.stage is RolloutStage.COMPLETED else set())


def _ids(endpoints: Iterable[Endpoint]) -> frozenset[str]:
    return frozenset(each.id for each in endpoints)
