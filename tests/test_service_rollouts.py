"""The records of roll-outs: what orders and stages make of them, and what is read of them."""

import itertools
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.service_rollouts import (
    AdvanceRollout,
    RolloutConflictError,
    RolloutInvalidError,
    RolloutStage,
    ServiceRollouts,
    StartRollout,
    rollout_change,
)
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError

DOCUMENT = {"Version": 1, "Services": [{"Name": "s"}, {"Name": "t"}]}
CONFIGURED = ReplicatedConfiguration().apply(["replace", 0, DOCUMENT])
ORDER = StartRollout("s", "v2", 12.0)


def advance(stage: RolloutStage, term: int = 1, target: str = "v2", elapsed_ms: int = 0) -> AdvanceRollout:
    return AdvanceRollout("s", target, stage, term, elapsed_ms)


def after(*changes: StartRollout | AdvanceRollout) -> ReplicatedConfiguration:
    state = CONFIGURED
    for change in changes:
        assert state.check(change.to_change()) is False
        state = state.apply(change.to_change())
    return state


def read(state: ReplicatedConfiguration, service: str = "s") -> dict[str, Any]:
    return state.rollouts.records[service].public_state()


def test_an_order_is_recorded_and_read_as_running() -> None:
    state = after(ORDER)
    assert read(state) == {"State": "running", "TargetVersion": "v2"}
    assert state.rollouts.records["s"].stage is RolloutStage.ANNOUNCED


def test_an_order_sent_again_has_no_effect_in_any_stage() -> None:
    state = after(ORDER)
    for stage in (RolloutStage.CANARY, RolloutStage.REVERTED):
        state = state.apply(advance(stage).to_change())
        assert state.check(ORDER.to_change()) is True
    assert read(state)["State"] == "reverted"


def test_another_order_for_the_service_waits_for_the_end_of_the_first() -> None:
    other = StartRollout("s", "v3", 12.0)
    running = after(ORDER)
    with pytest.raises(RolloutConflictError):
        running.check(other.to_change())
    with pytest.raises(RolloutConflictError):  # the same version in another time
        running.check(ORDER._replace(duration_s=20.0).to_change())
    assert running.check(StartRollout("t", "v3", 12.0).to_change()) is False
    ended = running.apply(advance(RolloutStage.REVERTED).to_change())
    assert ended.check(other.to_change()) is False
    assert ended.apply(other.to_change()).rollouts.records["s"].reverted == ("v2",)


@pytest.mark.parametrize(
    ("body", "keys"),
    [
        ({}, ["Service", "TargetVersion", "DurationS"]),
        ({"Service": "s", "TargetVersion": "v2"}, ["DurationS"]),
        ({"Service": "", "TargetVersion": "v2", "DurationS": 5}, ["Service"]),
        ({"Service": "s", "TargetVersion": 2, "DurationS": 5}, ["TargetVersion"]),
        ({"Service": "s", "TargetVersion": "v2", "DurationS": 0}, ["DurationS"]),
        ({"Service": "s", "TargetVersion": "v2", "DurationS": True}, ["DurationS"]),
        ({"Service": "s", "TargetVersion": "v2", "DurationS": 1e9}, ["DurationS"]),
        ({"Service": "s", "TargetVersion": "v2", "DurationS": float("nan")}, ["DurationS"]),
    ],
)
def test_a_wrong_order_names_its_fields_and_what_they_may_hold(body: dict[str, Any], keys: list[str]) -> None:
    with pytest.raises(RolloutInvalidError) as caught:
        StartRollout.from_body(body)
    lines = caught.value.text.splitlines()
    assert [line.partition(":")[0] for line in lines] == keys
    assert all("allowed" in line for line in lines)


def test_a_service_that_is_not_configured_is_refused_and_one_before_any_configuration_waits() -> None:
    order = StartRollout("unknown", "v2", 12.0).to_change()
    with pytest.raises(RolloutInvalidError):
        CONFIGURED.check(order)
    with pytest.raises(UnavailableError):
        ReplicatedConfiguration().check(order)


@pytest.mark.parametrize(("earlier", "later"), list(itertools.product(RolloutStage, RolloutStage)))
def test_stages_only_go_forward_and_the_last_ones_are_final(
    earlier: RolloutStage, later: RolloutStage
) -> None:
    state = after(ORDER)
    if earlier is not RolloutStage.ANNOUNCED:
        state = state.apply(advance(earlier).to_change())
    order = list(RolloutStage)
    decision = advance(later).to_change()
    if later is earlier:
        assert state.check(decision) is True
        assert state.apply(decision).rollouts == state.rollouts
    elif earlier.running and order.index(later) > order.index(earlier):
        assert state.check(decision) is False
        assert state.apply(decision).rollouts.records["s"].stage is later
    else:
        with pytest.raises(RolloutConflictError):
            state.check(decision)
        assert state.apply(decision).rollouts == state.rollouts


def test_a_decision_of_an_earlier_term_or_for_another_target_changes_nothing() -> None:
    state = after(ORDER, advance(RolloutStage.CANARY, term=5))
    for late in (advance(RolloutStage.GROWING, term=4), advance(RolloutStage.COMPLETED, 9, target="v1")):
        with pytest.raises(RolloutConflictError):
            state.check(late.to_change())
        assert state.apply(late.to_change()).rollouts == state.rollouts


def test_a_state_with_roll_outs_keeps_its_form_and_one_without_is_stored_as_before() -> None:
    state = after(ORDER, advance(RolloutStage.REVERTED, 3, elapsed_ms=1500), StartRollout("s", "v3", 9.5))
    assert ReplicatedConfiguration.from_wire(state.to_wire()) == state
    assert "rollouts" not in CONFIGURED.to_wire()
    assert ReplicatedConfiguration.from_wire(CONFIGURED.to_wire()).rollouts == ServiceRollouts()


def test_a_release_without_roll_outs_finds_no_effect_in_their_changes() -> None:
    """It applies a change of model versions by model and version alone, and version 0 is never newer."""
    for change in (ORDER, advance(RolloutStage.CANARY)):
        kind, body = change.to_change()
        assert (kind, body["Model"], body["Version"]) == ("weights", "", 0)
        assert rollout_change(body) == change


def test_a_malformed_change_of_a_roll_out_is_refused() -> None:
    for wrong in (["start"], ["start", "s", "v2", "12"], ["advance", "s", "v2", "no stage", 1, 0], 5):
        with pytest.raises(RolloutInvalidError):
            CONFIGURED.check(["weights", {"Model": "", "Version": 0, "Rollout": wrong}])


CHANGES = st.one_of(
    st.builds(StartRollout, st.just("s"), st.sampled_from(["v1", "v2"]), st.sampled_from([5.0, 9.0])),
    st.builds(
        AdvanceRollout,
        st.just("s"),
        st.sampled_from(["v1", "v2"]),
        st.sampled_from(list(RolloutStage)),
        st.integers(1, 4),
        st.integers(0, 3),
    ),
)


@given(st.lists(CHANGES, max_size=30))
def test_whatever_comes_in_what_order_an_end_stays_until_the_next_order(
    changes: list[StartRollout | AdvanceRollout],
) -> None:
    state = CONFIGURED
    for change in changes:
        before = state.rollouts.records.get("s")
        try:
            repeated = state.check(change.to_change())
        except PlumlineError as error:
            assert isinstance(error, (RolloutConflictError, ConfigurationInvalidError))
            repeated = True
        if repeated:
            if isinstance(change, AdvanceRollout):
                assert state.apply(change.to_change()).rollouts == state.rollouts
            continue
        state = state.apply(change.to_change())
        now = state.rollouts.records["s"]
        if before is not None and not before.stage.running:
            assert isinstance(change, StartRollout)
            assert now.stage is RolloutStage.ANNOUNCED
        if before is not None and before.stage.running:
            assert now.target == before.target
            assert now.term >= before.term
