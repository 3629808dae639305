"""The first view, formed once from the seeds.

The lowest seed asks all; only if every one of them answers, and none knows a view, does it found view 1.
Whoever takes part in a chain has that view on its disk, so while nothing was lost beyond what is counted, a
seed that knows one would have said so. An answer is good for the question that it names: what an earlier
life of the founder sent has no effect once another question was answered.
"""

import secrets
from collections.abc import Callable

from plumline.coordination.environment import Environment, Member, Message
from plumline.coordination.view import View, Views

ASK_EVERY = 0.1  # s between questions at the first start
#: s for which all seeds must have been empty where this is not the system's first start: then somebody may
#: still come that knows more.
LATER_START_WAIT = 4.0


class Formation:
    def __init__(
        self,
        me: Member,
        seeds: list[str],
        first_start: bool,
        environment: Environment,
        views: Views,
        known_elsewhere: Callable[[], bool],
    ) -> None:
        """`known_elsewhere`: whether a router told of a configuration that this core should know."""
        self.me, self.seeds, self.first_start = me, sorted(seeds), first_start
        self.environment, self.views, self.known_elsewhere = environment, views, known_elsewhere
        self.question = ""
        self.asked_at = -ASK_EVERY
        self.told: dict[str, str] = {}  # address of a seed -> its incarnation
        self.empty_since: float | None = None
        self.answered: tuple[str, str] | None = None  # founder and question last answered
        self.left: set[str] = set()  # questions that gave way to another: never answered again
        self.formed = False  # this life took part

    def tick(self, now: float) -> None:
        if self.views.knows_any() or not self.seeds or self.me[0] not in self.seeds:
            return
        if self.me[0] != self.seeds[0] or now < self.asked_at + ASK_EVERY * (1 if self.first_start else 3):
            return
        if len(self.told) < len(self.seeds):
            self.empty_since = None
        elif self.empty_since is None:
            self.empty_since = now
        if self.may_found(now):
            members = tuple(Member(each, self.told[each]) for each in self.seeds)
            view = View(1, members, members)
            for each in self.seeds:
                self.environment.send(each, ["found-view", self.question, view.to_wire()])
        self.question, self.told, self.asked_at = secrets.token_hex(8), {}, now
        for each in self.seeds:
            self.environment.send(each, ["found-ask", self.question])

    def may_found(self, now: float) -> bool:
        if self.empty_since is None or self.known_elsewhere():
            return False
        return self.first_start or now - self.empty_since >= LATER_START_WAIT

    def on_message(self, sender: str, message: Message) -> bool:
        match message:
            case ["found-ask", str(question)]:
                if self.views.view is not None:
                    self.environment.send(sender, ["view-decided", self.views.view.to_wire()])
                elif not self.views.knows_any() and question not in self.left:
                    if self.answered and self.answered != (sender, question):
                        self.left.add(self.answered[1])
                    self.answered = sender, question
                    self.environment.send(sender, ["found-tell", question, self.me[1]])
            case ["found-tell", str(question), str(incarnation)]:
                if question == self.question:
                    self.told[sender] = incarnation
            case ["found-view", str(question), wire]:
                if self.answered == (sender, question) and not self.views.knows_any():
                    view = View.from_wire(wire)
                    if self.me in view.acceptors:
                        self.formed = True
                        self.views.on_decided(view)
            case _:
                return False
        return True
