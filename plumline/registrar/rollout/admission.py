"""Limits how many endpoints update concurrently, and selects those that start next.

An updating endpoint serves no new requests: few update at a time, but enough for the roll-out to complete in
time. The selected endpoints are spread over the zones.
"""

import math
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from plumline.registrar.rollout.endpoint_rollout import EndpointRollout, RolloutPhase
from plumline.registrar.rollout.versions import FleetVersions

INITIAL_DURATION_S = 1.2  # first estimate for one endpoint's roll-out, including the announcement
MIN_DURATION_S, MAX_DURATION_S = 0.5, 4.0  # bounds of one measured duration
DURATION_SMOOTHING = 0.3  # weight of the newest duration in the moving average
ENDPOINTS_PER_CONCURRENT_UPDATE = 3  # endpoints of a service per one that may update at a time
TARGET_SHARE = 0.5  # fraction of VersionApplyMs in which a roll-out aims to be complete
OVERDUE_SHARE = 0.75  # fraction of VersionApplyMs after which endpoints of an old version are of no use


@dataclass(slots=True)
class _ServiceCounts:
    """Serving endpoints by service, and those that may start to update now."""

    total: Counter[str] = field(default_factory=Counter)
    outdated: Counter[str] = field(default_factory=Counter)
    updating: Counter[str] = field(default_factory=Counter)  # without unresponsive ones
    updating_by_zone: Counter[tuple[str, str]] = field(default_factory=Counter)  # by service and zone
    candidates: dict[str, list[str]] = field(default_factory=dict)  # endpoint ids


class RolloutAdmission:
    """Admits endpoints to the roll-out; estimates the duration per endpoint from completed ones."""

    def __init__(self, apply_timeout_s: float) -> None:
        """`apply_timeout_s`: VersionApplyMs in s."""
        self.apply_timeout_s = apply_timeout_s
        self.expected_duration_s = INITIAL_DURATION_S

    def observe_duration(self, duration_s: float) -> None:
        """Updates the estimate with the duration of a roll-out without a retry, announcement included."""
        bounded_s = min(MAX_DURATION_S, max(MIN_DURATION_S, duration_s))
        self.expected_duration_s += DURATION_SMOOTHING * (bounded_s - self.expected_duration_s)

    def admit(
        self, versions: FleetVersions, rollouts: Mapping[str, EndpointRollout], now: float
    ) -> list[str]:
        """Returns the ids of the endpoints that may start to update now. `now`: steady s."""
        counts = _count(versions, rollouts, now)
        admitted: list[str] = []
        for service, candidates in counts.candidates.items():
            limit = self._max_concurrent(
                counts.total[service], counts.outdated[service], _oldest_change(versions, candidates), now
            )
            capacity = limit - counts.updating[service]
            admitted += _choose(versions, sorted(candidates), capacity, counts.updating_by_zone)
        return admitted

    def _max_concurrent(self, total: int, outdated: int, desired_at: float, now: float) -> int:
        """How many endpoints of a service may update concurrently: at most a third, unless overdue."""
        age_s = now - desired_at
        if age_s >= OVERDUE_SHARE * self.apply_timeout_s:
            return total
        remaining_s = TARGET_SHARE * self.apply_timeout_s - age_s
        batches = max(1, int(remaining_s / self.expected_duration_s))
        concurrency_cap = max(1, math.ceil(total / ENDPOINTS_PER_CONCURRENT_UPDATE))
        return min(concurrency_cap, math.ceil(outdated / batches))


def _count(versions: FleetVersions, rollouts: Mapping[str, EndpointRollout], now: float) -> _ServiceCounts:
    counts = _ServiceCounts()
    for endpoint_id, endpoint in versions.endpoints.items():
        if endpoint.draining:
            continue
        service, rollout = endpoint.service, rollouts.get(endpoint_id)
        counts.total[service] += 1
        if rollout is not None and rollout.updating:
            counts.updating_by_zone[service, endpoint.zone] += 1
            counts.updating[service] += not rollout.unresponsive  # else it would block the others
        if not versions.pending_update(endpoint_id):
            continue
        counts.outdated[service] += 1
        if rollout is None or (rollout.phase is RolloutPhase.BACKING_OFF and rollout.is_due(now)):
            counts.candidates.setdefault(service, []).append(endpoint_id)
    return counts


def _oldest_change(versions: FleetVersions, endpoint_ids: Sequence[str]) -> float:
    """The time (steady s) since which the oldest of the pending updates has been desired."""
    updates = [versions.pending_update(endpoint_id) for endpoint_id in endpoint_ids]
    return min(versions.desired_at[update.model] for update in updates if update)


def _choose(
    versions: FleetVersions,
    candidates: list[str],
    capacity: int,
    updating_by_zone: Counter[tuple[str, str]],
) -> list[str]:
    """Returns up to `capacity` of the candidates, each from the zone with the fewest updating endpoints."""

    def updating_in_zone(endpoint_id: str) -> int:
        endpoint = versions.endpoints[endpoint_id]
        return updating_by_zone[endpoint.service, endpoint.zone]

    chosen: list[str] = []
    while candidates and len(chosen) < capacity:
        endpoint_id = min(candidates, key=updating_in_zone)
        candidates.remove(endpoint_id)
        chosen.append(endpoint_id)
        endpoint = versions.endpoints[endpoint_id]
        updating_by_zone[endpoint.service, endpoint.zone] += 1
    return chosen
