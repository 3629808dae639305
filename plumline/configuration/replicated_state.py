"""The replicated state machine: the configuration, the model versions, and the changes to them.

The chain orders the changes; every replica applies them in this order and comes to the same state. A change
is a plain list that a frame carries:
["replace", based_on, body], ["amend", based_on, body] or ["weights", {"Model": str, "Version": int}]; those
of roll-outs of service versions are of the last kind, see `service_rollouts`.
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
WEIGHTS_VERSION = integer(1)


class ReplicatedStateInvalidError(PlumlineError):
    """A state that came over the wire, or from a disk, has not the form of one."""

    code, status = "state-invalid", 500


@dataclass(slots=True, frozen=True)
class ReplicatedConfiguration:
    """The state. Never changed in place; `apply` gives the next one, which shares what stays as it was."""

    configuration: Document | None = None  # None until the operator has sent the first one
    weight_versions: dict[str, int] = field(default_factory=dict)  # model -> newest named version
    shared_cache_generation: int = 0  # rises when a tenant leaves the prefix cache that tenants share
    history: History = field(default_factory=History)  # the changes that led here, to recognise repeats
    departed_tenants: frozenset[str] = frozenset()  # no longer listed, with prompts in the shared cache
    rollouts: ServiceRollouts = field(default_factory=ServiceRollouts)  # of service versions

    @property
    def version(self) -> int:
        """The configuration's version; 0 if there is none."""
        return self.configuration["Version"] if self.configuration else 0

    def check(self, change: Change) -> bool:
        """True if exactly this change was applied already (it has no effect), False if it can be applied.

        Raises ConfigurationInvalidError, VersionConflictError, RolloutInvalidError or RolloutConflictError
        where no later state will accept the change; UnavailableError where that can't be known: it builds on
        a version that has been forgotten, on one that is not in place yet, or on a model that no
        configuration names yet.
        """
        match list(change):
            case ["weights", dict(named)]:
                return self._check_weights(named)
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
        """Whether this very change was applied; UnavailableError where nobody can tell."""
        if type(based_on) is not int:
            return False
        if based_on > self.version:
            raise UnavailableError(f"version {based_on} is not in place yet; {self.version} is")
        if based_on == self.version:
            return False
        found = self.history.match(based_on, change_digest(kind, based_on, body))
        if found is HistoryMatch.FORGOTTEN:
            raise UnavailableError(f"what was taken on top of version {based_on} is not remembered")
        return found is HistoryMatch.APPLIED

    def _check_weights(self, named: Document) -> bool:
        if (rollout := rollout_change(named)) is not None:
            return self._check_rollout(rollout)
        model, version = named.get("Model"), named.get("Version")
        if not NAME.test(model):
            raise ConfigurationInvalidError(fault_line("Model", model, NAME.allowed))
        if not WEIGHTS_VERSION.test(version):
            raise ConfigurationInvalidError(fault_line("Version", version, WEIGHTS_VERSION.allowed))
        if version <= self.weight_versions.get(model, 0):
            return True  # a late resend is answered like the first time
        known = model_names(self.configuration)
        if known and model not in known:
            # Not a refusal: a late copy would be accepted once a configuration names the model.
            raise UnavailableError(f"the configuration names no model {model} yet")
        return False

    def _check_rollout(self, change: StartRollout | AdvanceRollout) -> bool:
        if isinstance(change, AdvanceRollout):
            return self.rollouts.check_advance(change)
        if self.configuration is None:
            raise UnavailableError("there is no configuration yet")
        return self.rollouts.check_start(change, service_names(self.configuration))

    def apply(self, change: Change) -> "ReplicatedConfiguration":
        """The state after a change for which `check` gave False on this very state; the same one on a repeat.

        Validity isn't checked again (every member of the chain applies what its head has checked), but a
        change on top of another version raises VersionConflictError all the same.
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
        if version <= self.weight_versions.get(model, 0):
            return self
        return replace(self, weight_versions={**self.weight_versions, model: version})

    def _with_document_change(self, kind: str, based_on: int, body: Document) -> "ReplicatedConfiguration":
        digest = change_digest(kind, based_on, body)
        if self.history.match(based_on, digest) is HistoryMatch.APPLIED:
            return self
        require_base_version(self.configuration, based_on)
        new = merge_amendment(self.configuration, body) if kind == "amend" and self.configuration else body
        # A tenant that becomes isolated must not find its prompts in the cache that it shared before.
        sharing = self.departed_tenants | tenant_names(self.configuration, isolated=False)
        generation, departed = self.shared_cache_generation, sharing - tenant_names(new, isolated=False)
        if sharing & tenant_names(new, isolated=True):
            generation, departed = generation + 1, frozenset[str]()
        return replace(
            self,
            configuration=new,
            shared_cache_generation=generation,
            history=self.history.with_change(based_on, digest),
            departed_tenants=departed,
        )

    def to_wire(self, history: bool = True) -> dict[str, Any]:
        """Plain dicts and lists for a frame or a record; they share the state's own and must not be changed.

        Without `history` for a subscriber, which never has to recognise a repeat.
        """
        wire = {
            "configuration": self.configuration,
            "versions": self.weight_versions,
            "wall": self.shared_cache_generation,
            "history": (self.history if history else History(horizon=self.version)).to_wire(),
            "departed": sorted(self.departed_tenants),
        }
        if self.rollouts.records:
            wire["rollouts"] = self.rollouts.to_wire()
        return wire

    @classmethod
    def from_wire(cls, wire: object) -> "ReplicatedConfiguration":
        """The state that `to_wire` gave, now or in an earlier release. Raises ReplicatedStateInvalidError."""
        match wire:
            case {
                "configuration": dict() | None as configuration,
                "versions": dict(weight_versions),
                "wall": int(generation),
                "departed": list(departed),
            }:
                history = _history_from_wire(wire)
                rollouts = _rollouts_from_wire(wire)
                return cls(configuration, weight_versions, generation, history, frozenset(departed), rollouts)
        raise ReplicatedStateInvalidError(
            "not a state: configuration, versions, wall, history and departed are needed"
        )


def _history_from_wire(wire: dict[str, Any]) -> History:
    match wire:
        case {"taken": dict(versions_by_digest)}:  # as earlier releases stored it
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
