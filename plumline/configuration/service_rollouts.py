"""The records of roll-outs of service versions: one per service, replicated with the configuration.

An operator requests that a service's traffic move to endpoints of a target version (`StartRollout`). The
controller of the roll-out records each stage before it acts on it (`AdvanceRollout`).

Stages only go forward, and the last two are final. Every replica applies the same changes in the same order.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, NamedTuple

from plumline.configuration.document import Document
from plumline.configuration.rules import NAME, Rule, fault_line, join_faults
from plumline.errors import PlumlineError

ROLLOUT_KEY = "Rollout"  # key in the body of a change
# The other fields of that body: releases without roll-outs ignore version 0.
NO_MODEL = {"Model": "", "Version": 0}
START_KIND = "start"  # ["start", service, target, duration_s]
ADVANCE_KIND = "advance"  # ["advance", service, target, stage, term, elapsed_ms]
MAX_DURATION_S = 7 * 24 * 3600.0
MAX_REVERTED_VERSIONS = 64  # newest reverted versions that are remembered per service

DURATION = Rule(
    f"a number of seconds above 0 and up to {MAX_DURATION_S:.0f}",
    lambda v: type(v) in (int, float) and math.isfinite(v) and 0 < v <= MAX_DURATION_S,
)


class RolloutInvalidError(PlumlineError):
    """A request that is malformed, or that names a service that is not configured."""

    code, status = "rollout-invalid", 400


class RolloutConflictError(PlumlineError):
    """Another roll-out of the service is in progress, or a decision no longer applies to the record."""

    code, status = "rollout-conflict", 409


class RolloutNotFoundError(PlumlineError):
    """No roll-out of the service was ever requested."""

    code, status = "rollout-not-found", 404


class RolloutStage(StrEnum):
    """The stages of a roll-out, in order."""

    ANNOUNCED = "announced"  # requested; nothing is sent to the target version
    CANARY = "canary"  # a limited share of the requests is sent to few endpoints of the target version
    GROWING = "growing"  # a rising share is sent to all endpoints of the target version
    HOLDING = "holding"  # all new requests are sent to it; those running at other versions finish
    COMPLETED = "completed"
    REVERTED = "reverted"

    @property
    def running(self) -> bool:
        """Whether the roll-out has not ended."""
        return self not in (RolloutStage.COMPLETED, RolloutStage.REVERTED)

    @property
    def public_name(self) -> str:
        """The `State` that operators read: running, completed or reverted."""
        return "running" if self.running else self.value

    def may_follow(self, earlier: "RolloutStage") -> bool:
        """Whether a roll-out may go from the earlier stage to this one: forward, and not from a final one."""
        stages = list(RolloutStage)
        return earlier.running and stages.index(self) > stages.index(earlier)


class StartRollout(NamedTuple):
    """An operator's request to start a roll-out."""

    service: str
    target: str  # the version that the service's traffic moves to
    duration_s: float  # from the request to the deadline

    @classmethod
    def from_body(cls, body: Document) -> "StartRollout":
        """Parse the body of a request. Raises RolloutInvalidError, with a line for each invalid field."""
        rules = {"Service": NAME, "TargetVersion": NAME, "DurationS": DURATION}
        faults = [
            fault_line(key, body.get(key), rule.allowed)
            for key, rule in rules.items()
            if not rule.test(body.get(key))
        ]
        if faults:
            raise RolloutInvalidError(join_faults(faults))
        return cls(body["Service"], body["TargetVersion"], float(body["DurationS"]))

    def to_change(self) -> list[Any]:
        """The change in the form of the log."""
        return _change([START_KIND, *self])


class AdvanceRollout(NamedTuple):
    """A controller's decision to enter a stage."""

    service: str
    target: str
    stage: RolloutStage
    term: int  # of the controller's lease: the fencing token
    elapsed_ms: int  # since the request, as far as the controllers know

    def to_change(self) -> list[Any]:
        """The change in the form of the log."""
        stage = self.stage.value
        return _change([ADVANCE_KIND, self.service, self.target, stage, self.term, self.elapsed_ms])


def _change(rollout: list[Any]) -> list[Any]:
    return ["weights", {**NO_MODEL, ROLLOUT_KEY: rollout}]


def is_rollout_change(change: Sequence[Any]) -> bool:
    """Whether the change, in the form of the log, concerns a roll-out."""
    match change:
        case ["weights", {"Rollout": _}]:
            return True
    return False


def rollout_change(body: Document) -> StartRollout | AdvanceRollout | None:
    """The roll-out change in the body of a change of model versions; None if there is none.

    Raises RolloutInvalidError if it is malformed.
    """
    if ROLLOUT_KEY not in body:
        return None
    match body[ROLLOUT_KEY]:
        case ["start", str(service), str(target), float() | int() as duration_s]:
            return StartRollout(service, target, duration_s)
        case ["advance", str(service), str(target), str(stage), int(term), int(elapsed_ms)]:
            if stage in list(RolloutStage):
                return AdvanceRollout(service, target, RolloutStage(stage), term, elapsed_ms)
    raise RolloutInvalidError("not a change of a roll-out")


@dataclass(frozen=True, slots=True)
class RolloutRecord:
    """The state of one service's newest roll-out."""

    service: str
    target: str
    duration_s: float
    stage: RolloutStage = RolloutStage.ANNOUNCED
    term: int = 0  # the highest term that has recorded a stage
    elapsed_ms: int = 0  # from the request until the newest stage was recorded
    reverted: tuple[str, ...] = ()  # versions of the service that were rolled back, oldest first

    def advanced(self, decision: AdvanceRollout) -> "RolloutRecord | None":
        """The record after a decision; None if the decision is for another target or is outdated."""
        if decision.target != self.target or decision.term < self.term:
            return None
        if not decision.stage.may_follow(self.stage):
            return None
        reverted = self.reverted
        if decision.stage is RolloutStage.REVERTED and self.target not in reverted:
            reverted = (*reverted, self.target)[-MAX_REVERTED_VERSIONS:]
        return replace(
            self,
            stage=decision.stage,
            term=decision.term,
            elapsed_ms=max(self.elapsed_ms, decision.elapsed_ms),
            reverted=reverted,
        )

    def public_state(self) -> Document:
        """The part of the record that operators can read."""
        return {"State": self.stage.public_name, "TargetVersion": self.target}

    def to_wire(self) -> list[Any]:
        """Plain values for a frame or a record."""
        reverted = list(self.reverted)
        return [self.target, self.duration_s, self.stage.value, self.term, self.elapsed_ms, reverted]

    @classmethod
    def from_wire(cls, service: str, wire: list[Any]) -> "RolloutRecord":
        """The inverse of `to_wire`. Raises ValueError, TypeError."""
        target, duration_s, stage, term, elapsed_ms, reverted = wire
        return cls(service, target, duration_s, RolloutStage(stage), term, elapsed_ms, tuple(reverted))


@dataclass(frozen=True, slots=True)
class ServiceRollouts:
    """The newest roll-out of each service. Immutable."""

    records: dict[str, RolloutRecord] = field(default_factory=dict)  # by service

    def check_start(self, request: StartRollout, services: frozenset[str]) -> bool:
        """True if exactly this request was recorded already, False if it can be recorded.

        `services`: those that the configuration lists. Raises RolloutInvalidError, RolloutConflictError.
        """
        if request.service not in services:
            raise RolloutInvalidError(f"Service: the configuration names no service {request.service!r}")
        record = self.records.get(request.service)
        if record is None:
            return False
        if record.target == request.target:
            if record.duration_s == request.duration_s:
                return True
            raise RolloutConflictError(
                f"a roll-out of {request.service} to {request.target} was ordered before"
            )
        if record.stage.running:
            raise RolloutConflictError(f"a roll-out of {request.service} to {record.target} is under way")
        return False

    def with_start(self, request: StartRollout) -> "ServiceRollouts":
        """The roll-outs after a request for which `check_start` returned False."""
        earlier = self.records.get(request.service)
        # A version that was rolled back before may be requested again.
        reverted = (
            tuple(version for version in earlier.reverted if version != request.target) if earlier else ()
        )
        record = RolloutRecord(request.service, request.target, request.duration_s, reverted=reverted)
        return ServiceRollouts({**self.records, request.service: record})

    def check_advance(self, decision: AdvanceRollout) -> bool:
        """True if the record shows this stage already, False if it can be recorded.

        Raises RolloutConflictError if the decision no longer applies to the record.
        """
        record = self.records.get(decision.service)
        if record is not None and record.target == decision.target and record.stage is decision.stage:
            return True
        if record is None or record.advanced(decision) is None:
            raise RolloutConflictError(f"the roll-out of {decision.service} has moved on")
        return False

    def with_advance(self, decision: AdvanceRollout) -> "ServiceRollouts":
        """The roll-outs after a decision; unchanged if the decision doesn't apply to the record any more."""
        record = self.records.get(decision.service)
        advanced = record.advanced(decision) if record else None
        if advanced is None:
            return self
        return ServiceRollouts({**self.records, decision.service: advanced})

    def to_wire(self) -> dict[str, Any]:
        """Plain values for a frame or a record."""
        return {service: record.to_wire() for service, record in self.records.items()}

    @classmethod
    def from_wire(cls, wire: dict[str, Any]) -> "ServiceRollouts":
        """The inverse of `to_wire`. Raises ValueError, TypeError."""
        return cls({service: RolloutRecord.from_wire(service, record) for service, record in wire.items()})
