"""Read barrier: a quorum of the acceptors confirms that a view is still the newest.

A replica that was removed from the chain may not know it yet. Before it answers a read from its own state, a
majority of the acceptors says that it has neither decided nor accepted a newer view (as with the ReadIndex
of Raft, section 6.4 of Ongaro's thesis).
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from plumline.coordination.environment import Environment
from plumline.coordination.view import View

MAX_PENDING_CONFIRMATIONS = 64  # beyond that the oldest is denied

ConfirmationCallback = Callable[[bool], None]


@dataclass(slots=True)
class PendingConfirmation:
    """A question that is out at all acceptors of a view."""

    view: View
    callback: ConfirmationCallback
    confirmed_by: set[str] = field(default_factory=set)  # addresses of acceptors


class ReadBarrier:
    """Asks the acceptors whether a view is the newest. A denial means only that it is not known to be."""

    def __init__(self, effects: Environment) -> None:
        self.effects = effects
        self.pending: dict[int, PendingConfirmation] = {}  # by nonce, oldest first
        #: Begins at random, so that replies to an earlier process of this member match nothing.
        self.nonce = secrets.randbits(48)

    def confirm(self, view: View, callback: ConfirmationCallback) -> None:
        """Call back with True once a majority of the view's acceptors knows none newer, else with False.

        The callback comes at the latest with the next view; there is no timeout.
        """
        self.nonce += 1
        self.pending[self.nonce] = PendingConfirmation(view, callback)
        while len(self.pending) > MAX_PENDING_CONFIRMATIONS:
            self.pending.pop(next(iter(self.pending))).callback(False)
        for address, _ in view.acceptors:
            self.effects.send(address, ["view-check", self.nonce, view.number])

    def on_confirmed(self, sender: str, nonce: int, view_number: int) -> None:
        """An acceptor knows no view newer than this one."""
        question = self.pending.get(nonce)
        if question is None or view_number != question.view.number:
            return
        question.confirmed_by.add(sender)
        if len(question.confirmed_by) >= question.view.majority():
            del self.pending[nonce]
            question.callback(True)

    def deny_all(self) -> None:
        """Answer all pending questions with False: a newer view has been installed."""
        pending, self.pending = self.pending, {}
        for question in pending.values():
            question.callback(False)
