"""The age of a router's configuration, and how old it may be for each decision that depends on it.

The age counts from the newest moment for which it is certain that every change acknowledged before it has
been applied. A router that is cut off, or that has been frozen, can't know of later changes. Past an age it
no longer takes the decisions that such a change may have made wrong. The registrars don't wait for that: a
change holds at every router once it is older than the limit, whether or not the router can be reached.

Times are steady seconds.
"""

import math
from dataclasses import dataclass, field
from typing import NamedTuple

from plumline.settings import Bounds

#: Of each bound. The rest is a reserve for clocks that run at different rates.
LIMIT_SHARE = 0.9
MAX_UNAPPLIED_CONFIRMATIONS = 16  # that wait for entries; when exceeded, the oldest one is discarded


class AgeLimits(NamedTuple):
    """The greatest age, in s, at which the configuration is used for a decision.

    A request that was sent later than the bound after an acknowledgement is decided by a configuration that
    contains the change, since the age counts from before the acknowledgement otherwise.
    """

    configuration_s: float  # which tenants share the prefix cache; which routes and keys do not exist
    keys_s: float  # which tenant an API key belongs to; infinite where keys may outlive their removal

    @classmethod
    def from_bounds(cls, bounds: Bounds) -> "AgeLimits":
        """The limits that the settings' bounds allow."""
        return cls(
            configuration_s=bounds.configuration_apply_ms / 1000 * LIMIT_SHARE,
            keys_s=bounds.revocation_ms / 1000 * LIMIT_SHARE if bounds.revocation_closed else math.inf,
        )


class _UnappliedConfirmation(NamedTuple):
    index: int
    requested_at: float


@dataclass(slots=True)
class ConfigurationAge:
    """How old the applied configuration may be, by the confirmations of registrars."""

    confirmed_at: float = -math.inf  # every change acknowledged before this moment has been applied
    _unapplied: list[_UnappliedConfirmation] = field(default_factory=list)

    @property
    def is_confirmed(self) -> bool:
        """Whether there has been a confirmation at all."""
        return self.confirmed_at > -math.inf

    def seconds(self, now: float) -> float:
        """The greatest possible age."""
        return now - self.confirmed_at

    def on_confirmed(self, requested_at: float, index: int, applied_index: int) -> None:
        """A registrar has confirmed that the entries up to `index` have all changes that were acknowledged
        before `requested_at`."""
        if index <= applied_index:
            self.confirmed_at = max(self.confirmed_at, requested_at)
            return
        self._unapplied.append(_UnappliedConfirmation(index, requested_at))
        del self._unapplied[:-MAX_UNAPPLIED_CONFIRMATIONS]

    def on_applied(self, applied_index: int) -> None:
        """The entries up to this index have been applied."""
        unapplied, self._unapplied = self._unapplied, []
        for confirmation in unapplied:
            self.on_confirmed(confirmation.requested_at, confirmation.index, applied_index)
