"""Activation of a view: a majority of its acceptors records, when its tail asks, that the chain is complete.

The chain then holds all entries committed before, no successor can abandon the view
(`plumline.coordination.view_agreement`), and the tail starts to commit.
"""

from plumline.coordination.environment import Environment, Message
from plumline.coordination.view import View
from plumline.coordination.view_messages import Abandoned, Activate, Activated, decode_message

RETRY_INTERVAL_S = 0.2  # between requests to the acceptors that have not answered


class ViewActivation:
    """The tail's side of activation, for the newest view."""

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._view: View | None = None
        self._acknowledged_by: set[str] = set()  # addresses of acceptors
        self._next_request_at = 0.0
        #: An acceptor has promised to abandon the view. Others may still form a majority to activate it.
        self.refused = False

    def begin_view(self, view: View) -> None:
        """Starts over for a new view, discarding the answers for the previous one."""
        self._view, self._acknowledged_by = view, set()
        self._next_request_at, self.refused = 0.0, False

    def is_activated(self) -> bool:
        """Whether a majority of the view's acceptors has recorded the activation."""
        return self._view is not None and len(self._acknowledged_by) >= self._view.majority()

    def request(self, now: float) -> None:
        """Sends the request to acceptors that have not answered, at most every RETRY_INTERVAL_S."""
        if self._view is None or now < self._next_request_at or self.is_activated():
            return
        self._next_request_at = now + RETRY_INTERVAL_S
        message = Activate(self._view.number).to_wire()
        for acceptor in self._view.acceptors:
            if acceptor.address not in self._acknowledged_by:
                self._environment.send(acceptor.address, message)

    def on_message(self, sender: str, message: Message) -> bool:
        """Records an acceptor's answer; returns whether the message was one."""
        match decode_message(message):
            case Activated(view_number):
                if self._is_acceptor_of(view_number, sender):
                    self._acknowledged_by.add(sender)
            case Abandoned(view_number):
                self.refused |= self._is_acceptor_of(view_number, sender)
            case _:
                return False
        return True

    def _is_acceptor_of(self, view_number: int, address: str) -> bool:
        if self._view is None or self._view.number != view_number:
            return False
        return any(acceptor.address == address for acceptor in self._view.acceptors)
