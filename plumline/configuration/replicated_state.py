"""The replicated state machine: the configuration, the model versions, and the changes to them.

The chain orders the changes; every replica applies them in this order and reaches the same state. A change
is a list of one of these forms, as a frame carries it:

- ["replace", based_on, body]
- ["amend", based_on, body]
- ["weights", {"Model": str, "Version": int}]; also for roll-outs of service versions, see `service_rollouts`
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from plumline.configuration.amendment import (
    amend_document,
    merge_amendment,
    replace_document,
    require_base_version,
)
from plumline.configuration.document import Document, change_digest
from plumline.configuration.history import History, HistoryInvalidError, HistoryMatch
from plumline.configuration.rules import NAME, fault_line, integer
from plumline.configuration.service_rollouts import (
    AdvanceRollout,
    ServiceRollouts,
    StartRollout,
    rollout_change,
)
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError

Change = Sequence[Any]
MODEL_VERSION = integer(1)


class ReplicatedStateInvalidError(PlumlineError):
    """A state from the wire or from disk is malformed."""

    code, status = "state-invalid", 500


@dataclass(slots=True, frozen=True)
class ReplicatedConfiguration:
    """The state. Immutable; `apply` returns the next state, which shares what hasn't changed."""

    configuration: Document | None = None  # None until the operator has sent the first one
    model_versions: dict[str, int] = field(default_factory=dict)  # model -> newest announced version
    shared_cache_generation: int = 0  # rises when a tenant leaves the prefix cache that tenants share
    history: History = field(default_factory=History)  # recent changes, to recognise repeats
    departed_tenants: frozenset[str] = frozenset()  # removed tenants with prompts in the shared cache
    rollouts: ServiceRollouts = field(default_factory=ServiceRollouts)  # of service versions

    @property
    def version(self) -> int:
        """The configuration's version; 0 if there is none."""
        return self.configuration["Version"] if self.configuration else 0

    def check(self, change: Change) -> bool:
        """True if exactly this change was applied already (it has no effect), False if it can be applied.

        Raises ConfigurationInvalidError, VersionConflictError, RolloutInvalidError or RolloutConflictError
        if no later state will accept the change.

        Raises UnavailableError if that is unknown: the change builds on a version that is no longer in the
        history or not in place yet, or names a model that no configuration lists yet.
        """
        match list(change):
            case ["weights", dict(body)]:
                return self._check_weights(body)
            case ["replace", based_on, dict(body)]:
                if self._is_repeat("replace", based_on, body):
                    return True
                replace_document(self.configuration, based_on, body)
                return False
            case ["amend", based_on, dict(body)]:
                if self._is_repeat("amend", based_on, body):
                    return True
                amend_document(self.configuration, based_on, body)
                return False
        raise ConfigurationInvalidError("the change: not allowed; allowed: replace, amend or weights")

    def _is_repeat(self, kind: str, based_on: object, body: Document) -> bool:
        """Whether exactly this change was applied; raises UnavailableError if that is unknown."""
        if type(based_on) is not int:
            return False
        if based_on > self.version:
            raise UnavailableError(f"version {based_on} is not in place yet; {self.version} is")
        if based_on == self.version:
            return False
        result = self.history.match(based_on, change_digest(kind, based_on, body))
        if result is HistoryMatch.FORGOTTEN:
            raise UnavailableError(f"what was taken on top of version {based_on} is not remembered")
        return result is HistoryMatch.APPLIED

    def _check_weights(self, body: Document) -> bool:
        if (rollout := rollout_change(body)) is not None:
            return self._check_rollout(rollout)
        model, version = body.get("Model"), body.get("Version")
        if not NAME.test(model):
            raise ConfigurationInvalidError(fault_line("Model", model, NAME.allowed))
        if not MODEL_VERSION.test(version):
            raise ConfigurationInvalidError(fault_line("Version", version, MODEL_VERSION.allowed))
        if version <= self.model_versions.get(model, 0):
            return True  # a delayed duplicate gets the same answer as the first
        known = model_names(self.configuration)
        if known and model not in known:
            # Not a rejection: a delayed duplicate would be accepted once a configuration lists the model.
            raise UnavailableError(f"the configuration names no model {model} yet")
        return False

    def _check_rollout(self, change: StartRollout | AdvanceRollout) -> bool:
        if isinstance(change, AdvanceRollout):
            return self.rollouts.check_advance(change)
        if self.configuration is None:
            raise UnavailableError("there is no configuration yet")
        return self.rollouts.check_start(change, service_names(self.configuration))

    def apply(self, change: Change) -> "ReplicatedConfiguration":
        """The state after a change for which `check` returned False on this state; unchanged on a repeat.

        Validity isn't checked again, since every member of the chain applies what its head has checked. A
        change on top of another version still raises VersionConflictError.
        """
        if change[0] == "weights":
            if (rollout := rollout_change(change[1])) is not None:
                return self._with_rollout(rollout)
            return self._with_weights(change[1]["Model"], change[1]["Version"])
        kind, based_on, body = change
        return self._with_document_change(kind, based_on, body)

    def _with_rollout(self, change: StartRollout | AdvanceRollout) -> "ReplicatedConfiguration":
        if isinstance(change, StartRollout):
            return replace(self, rollouts=self.rollouts.with_start(change))
        advanced = self.rollouts.with_advance(change)
        return self if advanced is self.rollouts else replace(self, rollouts=advanced)

    def _with_weights(self, model: str, version: int) -> "ReplicatedConfiguration":
        if version <= self.model_versions.get(model, 0):
            return self
        return replace(self, model_versions={**self.model_versions, model: version})

    def _with_document_change(self, kind: str, based_on: int, body: Document) -> "ReplicatedConfiguration":
        digest = change_digest(kind, based_on, body)
        if self.history.match(based_on, digest) is HistoryMatch.APPLIED:
            return self
        require_base_version(self.configuration, based_on)
        new = merge_amendment(self.configuration, body) if kind == "amend" and self.configuration else body
        # Prompts of a tenant that becomes isolated must not be found in the formerly shared cache.
        sharing_tenants = self.departed_tenants | tenant_names(self.configuration, isolated=False)
        generation, departed = (
            self.shared_cache_generation,
            sharing_tenants - tenant_names(new, isolated=False),
        )
        if sharing_tenants & tenant_names(new, isolated=True):
            generation, departed = generation + 1, frozenset[str]()
        return replace(
            self,
            configuration=new,
            shared_cache_generation=generation,
            history=self.history.with_change(based_on, digest),
            departed_tenants=departed,
        )

    def to_wire(self, history: bool = True) -> dict[str, Any]:
        """Plain dicts and lists for a frame or a record; they are shared with the state: don't modify them.

        `history` is False for a subscriber, which never has to recognise a repeat.
        """
        wire = {
            "configuration": self.configuration,
            "versions": self.model_versions,
            "wall": self.shared_cache_generation,
            "history": (self.history if history else History(horizon=self.version)).to_wire(),
            "departed": sorted(self.departed_tenants),
        }
        if self.rollouts.records:
            wire["rollouts"] = self.rollouts.to_wire()
        return wire

    @classmethod
    def from_wire(cls, wire: object) -> "ReplicatedConfiguration":
        """The inverse of `to_wire`, also of earlier releases. Raises ReplicatedStateInvalidError."""
        match wire:
            case {
                "configuration": dict() | None as configuration,
                "versions": dict(model_versions),
                "wall": int(generation),
                "departed": list(departed),
            }:
                history = _history_from_wire(wire)
                rollouts = _rollouts_from_wire(wire)
                return cls(configuration, model_versions, generation, history, frozenset(departed), rollouts)
        raise ReplicatedStateInvalidError(
            "not a state: configuration, versions, wall, history and departed are needed"
        )


def _history_from_wire(wire: dict[str, Any]) -> History:
    match wire:
        case {"taken": dict(versions_by_digest)}:  # the form of earlier releases
            return History.from_versions(versions_by_digest)
        case {"history": list(history)}:
            try:
                return History.from_wire(history)
            except HistoryInvalidError as error:
                raise ReplicatedStateInvalidError(error.text) from error
    raise ReplicatedStateInvalidError("a state without its history")


def _rollouts_from_wire(wire: dict[str, Any]) -> ServiceRollouts:
    """The roll-outs of a state; earlier releases stored none."""
    try:
        return ServiceRollouts.from_wire(wire.get("rollouts", {}))
    except (ValueError, TypeError, AttributeError) as error:
        raise ReplicatedStateInvalidError(f"not the roll-outs of a state: {error}") from error


def service_names(document: Document | None) -> frozenset[str]:
    """Names of the services that the document lists."""
    services = document.get("Services", ()) if document else ()
    return frozenset(service["Name"] for service in services)


def tenant_names(document: Document | None, isolated: bool) -> frozenset[str]:
    """Names of the tenants that are, or are not, Isolated."""
    tenants = document.get("Tenants", ()) if document else ()
    return frozenset(tenant["Name"] for tenant in tenants if bool(tenant.get("Isolated")) is isolated)


def model_names(document: Document | None) -> frozenset[str]:
    """Names of all models that the services' engines list."""
    found: set[str] = set()
    for service in document.get("Services", ()) if document else ():
        models = (service.get("Engine") or {}).get("Models") or ()
        found.update(model["Name"] for model in models)
    return frozenset(found)
