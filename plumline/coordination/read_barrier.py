"""Questions to the acceptors whether a view is still the present one."""

import secrets
from collections.abc import Callable
from dataclasses import dataclass, field

from plumline.coordination.environment import Environment
from plumline.coordination.view import View

MAX_PENDING_READS = 64  # questions that wait for their answers; the oldest is answered with no beyond that


@dataclass(slots=True)
class PendingConfirmation:
    """Asked of all acceptors of a view; the acceptors that have said yes."""

    view: View
    answer: Callable[[bool], None]
    confirmed: set[str] = field(default_factory=set)


class ReadBarrier:
    """`answer(True)` once a majority of acceptors has said that it knows no newer view."""

    def __init__(self, effects: Environment) -> None:
        self.effects = effects
        self.open: dict[int, PendingConfirmation] = {}  # by nonce
        self.nonce = secrets.randbits(48)  # what was sent to an earlier life answers nothing in this one

    def ask(self, view: View, answer: Callable[[bool], None]) -> None:
        self.nonce += 1
        self.open[self.nonce] = PendingConfirmation(view, answer)
        while len(self.open) > MAX_PENDING_READS:
            self.open.pop(next(iter(self.open))).answer(False)
        for address, _ in view.acceptors:
            self.effects.send(address, ["view-check", self.nonce, view.number])

    def on_checked(self, sender: str, nonce: int, number: int) -> None:
        question = self.open.get(nonce)
        if question is None or number != question.view.number:
            return
        question.confirmed.add(sender)
        if len(question.confirmed) >= question.view.majority():
            del self.open[nonce]
            question.answer(True)

    def deny_all(self) -> None:
        """A newer view has come."""
        questions, self.open = self.open, {}
        for each in questions.values():
            each.answer(False)
