"""The records of roll-outs: how requests and stages change them, and what operators read."""

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
START = StartRollout("s", "v2", 12.0)


def advance(stage: RolloutStage, term: int = 1, target: str = "v2", elapsed_ms: int = 0) -> AdvanceRollout:
    return AdvanceRollout("s", target, stage, term, elapsed_ms)


def state_after(*changes: StartRollout | AdvanceRollout) -> ReplicatedConfiguration:
    state = CONFIGURED
    for change in changes:
        assert state.check(change.to_change()) is False
        state = state.apply(change.to_change())
    return state


def public_state_of(state: ReplicatedConfiguration, service: str = "s") -> dict[str, Any]:
    return state.rollouts.records[service].public_state()


def test_a_request_is_recorded_and_read_as_running() -> None:
    state = state_after(START)
    assert public_state_of(state) == {"State": "running", "TargetVersion": "v2"}
    assert state.rollouts.records["s"].stage is RolloutStage.ANNOUNCED


def test_a_repeated_request_has_no_effect_in_any_stage() -> None:
    state = state_after(START)
    for stage in (RolloutStage.CANARY, RolloutStage.REVERTED):
        state = state.apply(advance(stage).to_change())
        assert state.check(START.to_change()) is True
    assert public_state_of(state)["State"] == "reverted"


def test_another_request_for_the_service_conflicts_until_the_first_has_ended() -> None:
    other = StartRollout("s", "v3", 12.0)
    running = state_after(START)
    with pytest.raises(RolloutConflictError):
        running.check(other.to_change())
    with pytest.raises(RolloutConflictError):  # the same version with another duration
        running.check(START._replace(duration_s=20.0).to_change())
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
def test_an_invalid_request_is_rejected_with_the_fields_and_their_allowed_values(
    body: dict[str, Any], keys: list[str]
) -> None:
    with pytest.raises(RolloutInvalidError) as caught:
        StartRollout.from_body(body)
    lines = caught.value.text.splitlines()
    assert [line.partition(":")[0] for line in lines] == keys
    assert all("allowed" in line for line in lines)


def test_an_unknown_service_is_rejected_and_one_before_any_configuration_is_unavailable() -> None:
    order = StartRollout("unknown", "v2", 12.0).to_change()
    with pytest.raises(RolloutInvalidError):
        CONFIGURED.check(order)
    with pytest.raises(UnavailableError):
        ReplicatedConfiguration().check(order)


@pytest.mark.parametrize(("earlier", "later"), list(itertools.product(RolloutStage, RolloutStage)))
def test_stages_only_go_forward_and_the_last_ones_are_final(
    earlier: RolloutStage, later: RolloutStage
) -> None:
    state = state_after(START)
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
    state = state_after(START, advance(RolloutStage.CANARY, term=5))
    for late in (advance(RolloutStage.GROWING, term=4), advance(RolloutStage.COMPLETED, 9, target="v1")):
        with pytest.raises(RolloutConflictError):
            state.check(late.to_change())
        assert state.apply(late.to_change()).rollouts == state.rollouts


def test_a_state_with_roll_outs_survives_serialization_and_one_without_has_the_earlier_form() -> None:
    state = state_after(
        START, advance(RolloutStage.REVERTED, 3, elapsed_ms=1500), StartRollout("s", "v3", 9.5)
    )
    assert ReplicatedConfiguration.from_wire(state.to_wire()) == state
    assert "rollouts" not in CONFIGURED.to_wire()
    assert ReplicatedConfiguration.from_wire(CONFIGURED.to_wire()).rollouts == ServiceRollouts()


def test_a_release_without_roll_outs_ignores_their_changes() -> None:
    """Such a release applies only Model and Version of the change, and version 0 is never newer."""
    for change in (START, advance(RolloutStage.CANARY)):
        kind, body = change.to_change()
        assert (kind, body["Model"], body["Version"]) == ("weights", "", 0)
        assert rollout_change(body) == change


def test_a_malformed_change_of_a_roll_out_is_rejected() -> None:
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
def test_a_final_stage_remains_until_the_next_request(
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
