"""Read barrier: a quorum of the acceptors confirms that a view is still the newest.

A replica may not know yet that it was removed from the chain. So before it answers a read from its own state,
a majority of the acceptors must confirm that they have neither decided nor accepted a newer view (like the
ReadIndex of Raft, section 6.4 of Ongaro's thesis).
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import ClassVar

from plumline.coordination.environment import Environment, Message
from plumline.coordination.view import View

MAX_PENDING_CONFIRMATIONS = 64  # when exceeded, the oldest one is denied
RESEND_INTERVAL_S = 0.2  # before the check is resent to acceptors that have not replied
CONFIRMATION_TIMEOUT_S = 2.0  # before a confirmation is denied; its caller has given up by then

ConfirmationCallback = Callable[[bool], None]


@dataclass(frozen=True, slots=True)
class ViewConfirmed:
    """An acceptor's reply: it knows no view that may follow this one."""

    nonce: int  # of the check
    view_number: int

    def to_wire(self) -> Message:
        """Return the wire form."""
        return ["view-checked", self.nonce, self.view_number]

    @classmethod
    def from_wire(cls, wire: Message) -> "ViewConfirmed | None":
        """Return the typed message, or None if its kind is another or a field has the wrong type."""
        match wire:
            case ["view-checked", int(nonce), int(view_number)]:
                return cls(nonce, view_number)
        return None


@dataclass(frozen=True, slots=True)
class ViewCheck:
    """To an acceptor: reply if you know no view that may follow this one."""

    KIND: ClassVar[str] = "view-check"

    nonce: int  # identifies the replies to this check
    view_number: int

    def to_wire(self) -> Message:
        """Return the wire form."""
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
    """A check that was sent to the acceptors of a view and has no majority of replies yet."""

    view: View
    callback: ConfirmationCallback
    started_at: float  # s
    resend_at: float  # s
    confirmed_by: set[str] = field(default_factory=set)  # addresses of acceptors


class ReadBarrier:
    """Asks the acceptors whether a view is the newest. A denial only means that this is not known."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._pending: dict[int, PendingConfirmation] = {}  # by nonce, oldest first
        #: Starts at a random value, so that replies to an earlier process of this member match no check.
        self._nonce = secrets.randbits(48)
        self._now = 0.0

    def tick(self, now: float) -> None:
        """Resend checks whose messages may have been lost, and deny confirmations that have timed out."""
        self._now = now
        for nonce, confirmation in list(self._pending.items()):
            if now - confirmation.started_at >= CONFIRMATION_TIMEOUT_S:
                del self._pending[nonce]
                confirmation.callback(False)
            elif now >= confirmation.resend_at:
                confirmation.resend_at = now + RESEND_INTERVAL_S
                self._send_checks(nonce, confirmation)

    def _send_checks(self, nonce: int, confirmation: PendingConfirmation) -> None:
        check = ViewCheck(nonce, confirmation.view.number).to_wire()
        for acceptor in confirmation.view.acceptors:
            if acceptor.address not in confirmation.confirmed_by:
                self._environment.send(acceptor.address, check)

    def confirm(self, view: View, callback: ConfirmationCallback) -> None:
        """Call back with True once a majority of the view's acceptors confirms it as the newest, else False.

        It is called at the latest when a newer view is installed or after CONFIRMATION_TIMEOUT_S.
        """
        self._nonce += 1
        confirmation = PendingConfirmation(view, callback, self._now, self._now + RESEND_INTERVAL_S)
        self._pending[self._nonce] = confirmation
        while len(self._pending) > MAX_PENDING_CONFIRMATIONS:
            self._pending.pop(next(iter(self._pending))).callback(False)
        self._send_checks(self._nonce, confirmation)

    def on_confirmed(self, sender: str, message: ViewConfirmed) -> None:
        """Count an acceptor's reply; a duplicate, or one to an earlier check, is ignored."""
        confirmation = self._pending.get(message.nonce)
        if confirmation is None or message.view_number != confirmation.view.number:
            return
        confirmation.confirmed_by.add(sender)
        if len(confirmation.confirmed_by) >= confirmation.view.majority():
            del self._pending[message.nonce]
            confirmation.callback(True)

    def deny_all(self) -> None:
        """Deny all pending confirmations, as a newer view has been installed."""
        pending, self._pending = self._pending, {}
        for confirmation in pending.values():
            confirmation.callback(False)
