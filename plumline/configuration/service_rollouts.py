"""The records of roll-outs of service versions: one a service, replicated with the configuration.

An operator orders that a service's traffic move to endpoints of a target version (`StartRollout`). The
controller of the roll-out records each stage before it acts on it (`AdvanceRollout`). Stages only go forward,
and the two last ones are final. Every replica applies the same changes in the same order.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, NamedTuple

from plumline.configuration.document import Document
from plumline.configuration.rules import NAME, Rule, fault_line, join_faults
from plumline.errors import PlumlineError

ROLLOUT_KEY = "Rollout"  # of the body of a change
NO_MODEL = {"Model": "", "Version": 0}  # the rest of that body
START_KIND = "start"  # ["start", service, target, duration_s]
ADVANCE_KIND = "advance"  # ["advance", service, target, stage, term, elapsed_ms]
MAX_DURATION_S = 7 * 24 * 3600.0
MAX_REVERTED_VERSIONS = 64  # remembered for each service, the newest

DURATION = Rule(
    f"a number of seconds above 0 and up to {MAX_DURATION_S:.0f}",
    lambda v: type(v) in (int, float) and math.isfinite(v) and 0 < v <= MAX_DURATION_S,
)


class RolloutInvalidError(PlumlineError):
    """An order that can't be read, or that names a service that is not configured."""

    code, status = "rollout-invalid", 400


class RolloutConflictError(PlumlineError):
    """Another roll-out of the service is under way, or the record has moved on."""

    code, status = "rollout-conflict", 409


class RolloutNotFoundError(PlumlineError):
    """No roll-out of the service was ever ordered."""

    code, status = "rollout-not-found", 404


class RolloutStage(StrEnum):
    """How far a roll-out is."""

    ANNOUNCED = "announced"  # ordered; nothing is sent to the target version
    CANARY = "canary"  # a bounded share of the requests, to few endpoints
    GROWING = "growing"  # a rising share, to all endpoints of the target version
    HOLDING = "holding"  # all new requests; those that still run at other versions come to their end
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
        """Whether a roll-out may go from the earlier stage to this one: forward, and from no final one."""
        stages = list(RolloutStage)
        return earlier.running and stages.index(self) > stages.index(earlier)


class StartRollout(NamedTuple):
    """An operator's order."""

    service: str
    target: str  # the version that the service's traffic is to move to
    duration_s: float  # from the order to the deadline

    @classmethod
    def from_body(cls, body: Document) -> "StartRollout":
        """The order of a request's body. Raises RolloutInvalidError, with a line for each wrong field."""
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
        """The change, as the log holds it."""
        return _change([START_KIND, *self])


class AdvanceRollout(NamedTuple):
    """A controller's decision."""

    service: str
    target: str
    stage: RolloutStage
    term: int  # of the controller's lease: the fencing token
    elapsed_ms: int  # since the order, as far as the controllers know

    def to_change(self) -> list[Any]:
        """The change, as the log holds it."""
        stage = self.stage.value
        return _change([ADVANCE_KIND, self.service, self.target, stage, self.term, self.elapsed_ms])


def _change(rollout: list[Any]) -> list[Any]:
    return ["weights", {**NO_MODEL, ROLLOUT_KEY: rollout}]


def is_rollout_change(change: Sequence[Any]) -> bool:
    """Whether the change, as the log holds it, is one of a roll-out."""
    match change:
        case ["weights", {"Rollout": _}]:
            return True
    return False


def rollout_change(body: Document) -> StartRollout | AdvanceRollout | None:
    """The change of a roll-out that the body of a change of model versions holds; None if it holds none.

    Raises RolloutInvalidError for one that is malformed.
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
    """What is recorded of one service's newest roll-out."""

    service: str
    target: str
    duration_s: float
    stage: RolloutStage = RolloutStage.ANNOUNCED
    term: int = 0  # the highest that has recorded a stage
    elapsed_ms: int = 0  # since the order, when the newest stage was recorded
    reverted: tuple[str, ...] = ()  # versions of the service that were taken back, oldest first

    def advanced(self, decision: AdvanceRollout) -> "RolloutRecord | None":
        """The record after a decision; None where the decision is not for it, or is over."""
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
        """What operators read of it."""
        return {"State": self.stage.public_name, "TargetVersion": self.target}

    def to_wire(self) -> list[Any]:
        """Plain values for a frame or a record."""
        reverted = list(self.reverted)
        return [self.target, self.duration_s, self.stage.value, self.term, self.elapsed_ms, reverted]

    @classmethod
    def from_wire(cls, service: str, wire: list[Any]) -> "RolloutRecord":
        """The record that `to_wire` gave. Raises ValueError, TypeError."""
        target, duration_s, stage, term, elapsed_ms, reverted = wire
        return cls(service, target, duration_s, RolloutStage(stage), term, elapsed_ms, tuple(reverted))


@dataclass(frozen=True, slots=True)
class ServiceRollouts:
    """The newest roll-out of each service. Never changed in place."""

    records: dict[str, RolloutRecord] = field(default_factory=dict)  # by service

    def check_start(self, order: StartRollout, services: frozenset[str]) -> bool:
        """True if this very order was taken already, False if it can be.

        `services`: those that the configuration names. Raises RolloutInvalidError, RolloutConflictError.
        """
        if order.service not in services:
            raise RolloutInvalidError(f"Service: the configuration names no service {order.service!r}")
        record = self.records.get(order.service)
        if record is None:
            return False
        if record.target == order.target:
            if record.duration_s == order.duration_s:
                return True
            raise RolloutConflictError(f"a roll-out of {order.service} to {order.target} was ordered before")
        if record.stage.running:
            raise RolloutConflictError(f"a roll-out of {order.service} to {record.target} is under way")
        return False

    def with_start(self, order: StartRollout) -> "ServiceRollouts":
        """After an order for which `check_start` gave False."""
        earlier = self.records.get(order.service)
        # A version that was taken back before may be tried again by an order of its own.
        reverted = tuple(each for each in earlier.reverted if each != order.target) if earlier else ()
        record = RolloutRecord(order.service, order.target, order.duration_s, reverted=reverted)
        return ServiceRollouts({**self.records, order.service: record})

    def check_advance(self, decision: AdvanceRollout) -> bool:
        """True if the record shows this stage already, False if it can be recorded.

        Raises RolloutConflictError where the record has moved on.
        """
        record = self.records.get(decision.service)
        if record is not None and record.target == decision.target and record.stage is decision.stage:
            return True
        if record is None or record.advanced(decision) is None:
            raise RolloutConflictError(f"the roll-out of {decision.service} has moved on")
        return False

    def with_advance(self, decision: AdvanceRollout) -> "ServiceRollouts":
        """After a decision; the same where it is not for the record any more."""
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
        """The records that `to_wire` gave. Raises ValueError, TypeError."""
        return cls({service: RolloutRecord.from_wire(service, each) for service, each in wire.items()})
