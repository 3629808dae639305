"""The endpoints that get requests during roll-outs of versions."""

import pytest

from plumline.configuration.service_rollouts import RolloutRecord, RolloutStage
from plumline.routing.fleet import Endpoint
from plumline.routing.fleet_state import GRANT_DURATION_S, RolloutGrant
from plumline.routing.version_gate import UNANNOUNCED_DELAY_S, VersionGate

RUNNING = [stage for stage in RolloutStage if stage.running]


def endpoints(**versions: str) -> dict[str, list[Endpoint]]:
    return {"s": [Endpoint(id, "s", ("h", 1), "z", version=each) for id, each in versions.items()]}


def record(stage: RolloutStage, target: str = "v2", *reverted: str) -> dict[str, RolloutRecord]:
    return {"s": RolloutRecord("s", target, 12.0, stage, reverted=reverted)}


def grant(
    share: float = 0.1, *ids: str, stage: RolloutStage = RolloutStage.CANARY
) -> dict[str, RolloutGrant]:
    return {"s": RolloutGrant("v2", stage, share, ids or None)}


class Gate:
    def __init__(self) -> None:
        self.now = 100.0
        self.gate = VersionGate(lambda: self.now)

    @property
    def serving(self) -> set[str]:
        traffic = self.gate.traffic("s")
        return set(traffic.serving) if traffic else set()

    @property
    def trial(self) -> tuple[set[str], float]:
        traffic = self.gate.traffic("s")
        assert traffic is not None
        return set(traffic.trial), traffic.share


BOTH = endpoints(a="v1", b="v1", x="v2", y="v2")


def test_all_versions_get_requests_without_a_roll_out() -> None:
    gate = Gate()
    gate.gate.update(BOTH, {})
    assert gate.serving == {"a", "b", "x", "y"}


@pytest.mark.parametrize("stage", RUNNING)
def test_the_target_version_gets_no_requests_without_a_grant(stage: RolloutStage) -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(stage))
    assert gate.serving == {"a", "b"}
    assert gate.trial == (set(), 0.0)


def test_a_grant_allows_its_endpoints_a_share_until_it_expires() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.CANARY))
    gate.gate.grant(grant(0.1, "x"))
    assert gate.serving == {"a", "b"}
    assert gate.trial == ({"x"}, 0.1)
    gate.now += GRANT_DURATION_S - 0.01
    assert gate.trial == ({"x"}, 0.1)
    gate.now += 0.02
    assert gate.trial == (set(), 0.0)
    # An update of something else does not renew the grant.
    gate.gate.update(BOTH, record(RolloutStage.CANARY))
    assert gate.trial == (set(), 0.0)


def test_a_grant_for_another_version_allows_nothing() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.CANARY, "v3"))
    gate.gate.grant(grant(1.0))
    assert gate.trial == (set(), 0.0)


# Guards against requests to a reverted version: through a grant that is still valid, or as an earlier target.
def test_a_reverted_version_gets_no_requests_even_with_a_valid_grant() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.CANARY))
    gate.gate.grant(grant(0.5))
    gate.gate.update(BOTH, record(RolloutStage.REVERTED, "v2", "v2"))
    assert gate.serving == {"a", "b"}
    assert gate.trial == (set(), 0.0)
    later = endpoints(a="v1", x="v2", n="v3")
    gate.gate.update(later, record(RolloutStage.ANNOUNCED, "v3", "v2"))
    assert gate.serving == {"a"}


def test_after_completion_only_the_target_version_gets_requests() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.HOLDING))
    gate.gate.update(BOTH, record(RolloutStage.COMPLETED))
    assert gate.serving == {"x", "y"}  # the others have stopped, but are still listed
    gate.gate.update(endpoints(x="v2", n="v3"), record(RolloutStage.CANARY, "v3"))
    assert gate.serving == {"x"}


def test_a_version_listed_before_its_order_arrives_gets_no_requests() -> None:
    gate = Gate()
    gate.gate.update(endpoints(a="v1"), {})
    gate.gate.update(BOTH, {})
    assert gate.serving == {"a", "b"}
    gate.now += 1.0
    gate.gate.update(BOTH, record(RolloutStage.ANNOUNCED))
    assert gate.serving == {"a", "b"}


def test_a_version_without_an_order_is_used_after_a_delay() -> None:
    gate = Gate()
    gate.gate.update(endpoints(a="v1"), {})
    gate.gate.update(BOTH, {})
    gate.now += UNANNOUNCED_DELAY_S
    assert gate.serving == {"a", "b", "x", "y"}


def test_a_version_without_an_order_is_used_at_once_if_there_is_no_other() -> None:
    gate = Gate()
    gate.gate.update(endpoints(a="v1"), {})
    gate.gate.update(endpoints(x="v2"), {})
    assert gate.serving == {"x"}


def test_a_router_that_starts_during_a_roll_out_knows_the_version_on_trial() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.CANARY))
    assert gate.serving == {"a", "b"}
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.COMPLETED))
    assert gate.serving == {"x", "y"}


def test_prefix_homes_follow_the_stage_of_the_roll_out() -> None:
    gate = Gate()
    gate.gate.update(BOTH, record(RolloutStage.CANARY))
    gate.gate.grant(grant(0.1, "x"))
    traffic = gate.gate.traffic("s")
    assert traffic is not None and traffic.homes() == {"a", "b"}
    gate.gate.grant(grant(0.2, stage=RolloutStage.GROWING))
    traffic = gate.gate.traffic("s")
    assert traffic is not None and traffic.homes() == {"x", "y"}
