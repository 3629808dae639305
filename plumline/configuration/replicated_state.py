"""The state that the chain replicates, and the changes to it.

A change is a plain list that a frame carries:
["replace", based_on, body], ["amend", based_on, body] or ["weights", {"Model": str, "Version": int}].
"""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from plumline.configuration import NAME, fault, whole
from plumline.configuration.document import Document, amended, conflict, digest, merged, replaced
from plumline.configuration.history import History, HistoryInvalidError, HistoryMatch
from plumline.errors import ConfigurationInvalidError, PlumlineError, UnavailableError

Change = Sequence[Any]
WEIGHTS_VERSION = whole(1)


class ReplicatedStateInvalidError(PlumlineError):
    """A state that came over the wire, or from a disk, has not the form of one."""

    code, status = "state-invalid", 500


@dataclass(slots=True, frozen=True)
class ReplicatedConfiguration:
    """Never changed in place; `apply` gives the next one, which shares what stays as it was."""

    configuration: Document | None = None
    weight_versions: dict[str, int] = field(
        default_factory=dict
    )  # model -> newest named version of its weights
    shared_cache_generation: int = 0  # rises when a tenant leaves the prefix cache that tenants share
    history: History = field(default_factory=History)  # the changes that led here, for their repeats
    departed_tenants: frozenset[str] = (
        frozenset()
    )  # tenants no longer listed whose parts lie in the shared pool

    @property
    def version(self) -> int:
        """The configuration's version; 0 if there is none."""
        return self.configuration["Version"] if self.configuration else 0

    def check(self, change: Change) -> bool:
        """True if exactly this change was taken already (it has no effect), False if it can be applied.

        Otherwise ConfigurationInvalidError or VersionConflictError: no later state will take the change.
        UnavailableError where that can't be said: it builds on a version that has been forgotten, on one that
        is not in place yet, or on a model that no configuration names yet.
        """
        match list(change):
            case ["weights", dict(named)]:
                return self._check_weights(named)
            case ["replace", based_on, dict(body)]:
                if self._is_repeat("replace", based_on, body):
                    return True
                replaced(self.configuration, based_on, body)
                return False
            case ["amend", based_on, dict(body)]:
                if self._is_repeat("amend", based_on, body):
                    return True
                amended(self.configuration, based_on, body)
                return False
        raise ConfigurationInvalidError("the change: not allowed; allowed: replace, amend or weights")

    def _is_repeat(self, kind: str, based_on: Any, body: Document) -> bool:  # noqa: ANN401
        """Whether this very change was taken; UnavailableError where nobody can say."""
        if type(based_on) is not int:
            return False
        if based_on > self.version:
            raise UnavailableError(f"version {based_on} is not in place yet; {self.version} is")
        if based_on == self.version:
            return False
        found = self.history.match(based_on, digest(kind, based_on, body))
        if found is HistoryMatch.FORGOTTEN:
            raise UnavailableError(f"what was taken on top of version {based_on} is not remembered")
        return found is HistoryMatch.APPLIED

    def apply(self, change: Change) -> "ReplicatedConfiguration":
        """The state after a change for which `check` gave False on this very state; the same one on a repeat.

        Validity isn't checked again (every member of the chain applies what its head has checked), but a
        change on top of another version raises VersionConflictError all the same.
        """
        kind = change[0]
        if kind == "weights":
            model, version = change[1]["Model"], change[1]["Version"]
            if version <= self.weight_versions.get(model, 0):
                return self
            return replace(self, weight_versions={**self.weight_versions, model: version})
        _, based_on, body = change
        change_digest = digest(kind, based_on, body)
        if self.history.match(based_on, change_digest) is HistoryMatch.APPLIED:
            return self
        conflict(self.configuration, based_on)
        new = merged(self.configuration, body) if kind == "amend" and self.configuration else body
        history = self.history.with_change(based_on, change_digest)
        pooled = self.departed_tenants | tenant_names(self.configuration, isolated=False)
        if pooled & tenant_names(new, isolated=True):
            generation, departed = self.shared_cache_generation + 1, frozenset[str]()
        else:
            generation, departed = self.shared_cache_generation, pooled - tenant_names(new, isolated=False)
        return replace(
            self,
            configuration=new,
            shared_cache_generation=generation,
            history=history,
            departed_tenants=departed,
        )

    def _check_weights(self, named: Document) -> bool:
        model, version = named.get("Model"), named.get("Version")
        if not NAME.test(model):
            raise ConfigurationInvalidError(fault("Model", model, NAME.allowed))
        if not WEIGHTS_VERSION.test(version):
            raise ConfigurationInvalidError(fault("Version", version, WEIGHTS_VERSION.allowed))
        if version <= self.weight_versions.get(model, 0):
            return True  # a late resend is answered like the first time
        known = model_names(self.configuration)
        if known and model not in known:
            # No refusal: a late copy would be taken once a configuration names the model.
            raise UnavailableError(f"the configuration names no model {model} yet")
        return False

    def to_wire(self, history: bool = True) -> dict[str, Any]:
        """Plain dicts and lists for a frame; they share the state's own and must not be changed.

        Without `history` for who only follows: it never has to tell a repeat.
        """
        return {
            "configuration": self.configuration,
            "versions": self.weight_versions,
            "wall": self.shared_cache_generation,
            "history": (self.history if history else History(horizon=self.version)).to_wire(),
            "departed": sorted(self.departed_tenants),
        }

    @classmethod
    def from_wire(cls, wire: Any) -> "ReplicatedConfiguration":  # noqa: ANN401
        """The state that `to_wire` gave, now or in an earlier release. Raises ReplicatedStateInvalidError."""
        match wire:
            case {
                "configuration": dict() | None as configuration,
                "versions": dict(versions),
                "wall": int(wall),
                "departed": list(departed),
            }:
                history = cls._history_from_wire(wire)
                return cls(configuration, versions, wall, history, frozenset(departed))
        raise ReplicatedStateInvalidError(
            "not a state: configuration, versions, wall, history and departed are needed"
        )

    @staticmethod
    def _history_from_wire(wire: dict[str, Any]) -> History:
        match wire:
            case {"taken": dict(taken)}:
                return History.from_versions(taken)
            case {"history": list(history)}:
                try:
                    return History.from_wire(history)
                except HistoryInvalidError as error:
                    raise ReplicatedStateInvalidError(error.text) from error
        raise ReplicatedStateInvalidError("a state without its history")


def tenant_names(document: Document | None, isolated: bool) -> frozenset[str]:
    """Names of the tenants that are, or are not, Isolated."""
    listed = document.get("Tenants", ()) if document else ()
    return frozenset(each["Name"] for each in listed if bool(each.get("Isolated")) is isolated)


def model_names(document: Document | None) -> frozenset[str]:
    """Names of all models that the services' engines list."""
    found: set[str] = set()
    for service in document.get("Services", ()) if document else ():
        found.update(each["Name"] for each in (service.get("Engine") or {}).get("Models") or ())
    return frozenset(found)
