"""Read barrier: a quorum of the acceptors confirms that a view is still the newest.

A replica that was removed from the chain may not know it yet. Before it answers a read from its own state, a
majority of the acceptors says that it has neither decided nor accepted a newer view (as with the ReadIndex
of Raft, section 6.4 of Ongaro's thesis).
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from plumline.coordination.environment import Environment, Message
from plumline.coordination.view import View

MAX_PENDING_CONFIRMATIONS = 64  # beyond that the oldest is denied
REPEAT_INTERVAL_S = 0.2  # after which acceptors that have not replied are asked again
CONFIRMATION_TIMEOUT_S = 2.0  # after which a question is denied; who asked has left before

ConfirmationCallback = Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class ViewConfirmed:
    """An acceptor's reply: it knows no view that may follow this one."""

    nonce: int  # of the check
    view_number: int

    def to_wire(self) -> Message:
        """Return the list that goes on the wire."""
        return ["view-checked", self.nonce, self.view_number]

    @classmethod
    def from_wire(cls, wire: Message) -> "ViewConfirmed | None":
        """Return the typed message; None for another kind, or fields of another type."""
        match wire:
            case ["view-checked", int(nonce), int(view_number)]:
                return cls(nonce, view_number)
        return None


@dataclass(frozen=True, slots=True)
class ViewCheck:
    """To an acceptor: reply if you know no view that may follow this one."""

    KIND: ClassVar[str] = "view-check"

    nonce: int  # tells this question's replies from others'
    view_number: int

    def to_wire(self) -> Message:
        """Return the list that goes on the wire."""
        return [self.KIND, self.nonce, self.view_number]

    @classmethod
    def from_wire(cls, wire: Message) -> "ViewCheck":
        """Return the typed message. Raises ValueError unless it has two fields."""
        _, nonce, view_number = wire
        return cls(nonce, view_number)

    def confirmed(self) -> ViewConfirmed:
        """Return the reply to it."""
        return ViewConfirmed(self.nonce, self.view_number)


@dataclass(slots=True)
class PendingConfirmation:
    """A question that is out at all acceptors of a view."""

    view: View
    callback: ConfirmationCallback
    asked_at: float  # s
    repeat_at: float
    confirmed_by: set[str] = field(default_factory=set)  # addresses of acceptors


class ReadBarrier:
    """Asks the acceptors whether a view is the newest. A denial means only that it is not known to be."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._pending: dict[int, PendingConfirmation] = {}  # by nonce, oldest first
        #: Begins at random, so that replies to an earlier process of this member match nothing.
        self._nonce = secrets.randbits(48)
        self._now = 0.0

    def tick(self, now: float) -> None:
        """Asks again where a message may have been lost, and gives up what was asked long ago."""
        self._now = now
        for nonce, question in list(self._pending.items()):
            if now - question.asked_at >= CONFIRMATION_TIMEOUT_S:
                del self._pending[nonce]
                question.callback(False)
            elif now >= question.repeat_at:
                question.repeat_at = now + REPEAT_INTERVAL_S
                self._ask(nonce, question)

    def _ask(self, nonce: int, question: PendingConfirmation) -> None:
        check = ViewCheck(nonce, question.view.number).to_wire()
        for acceptor in question.view.acceptors:
            if acceptor.address not in question.confirmed_by:
                self._environment.send(acceptor.address, check)

    def confirm(self, view: View, callback: ConfirmationCallback) -> None:
        """Call back with True once a majority of the view's acceptors knows none newer, else with False.

        The callback comes at the latest with the next view, or after CONFIRMATION_TIMEOUT_S.
        """
        self._nonce += 1
        question = PendingConfirmation(view, callback, self._now, self._now + REPEAT_INTERVAL_S)
        self._pending[self._nonce] = question
        while len(self._pending) > MAX_PENDING_CONFIRMATIONS:
            self._pending.pop(next(iter(self._pending))).callback(False)
        self._ask(self._nonce, question)

    def on_confirmed(self, sender: str, message: ViewConfirmed) -> None:
        """Count an acceptor's reply; a duplicate, or one to an earlier question, changes nothing."""
        question = self._pending.get(message.nonce)
        if question is None or message.view_number != question.view.number:
            return
        question.confirmed_by.add(sender)
        if len(question.confirmed_by) >= question.view.majority():
            del self._pending[message.nonce]
            question.callback(True)

    def deny_all(self) -> None:
        """Answer all pending questions with False: a newer view has been installed."""
        pending, self._pending = self._pending, {}
        for question in pending.values():
            question.callback(False)
