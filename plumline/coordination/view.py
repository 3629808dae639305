"""The agreed view: who accepts, and who is in the chain, by number.

View n+1 is decided by one round of Paxos among the acceptors of view n, so every change of members, also one
of the acceptors themselves, goes through the old majority and there is one history of views. What an acceptor
promises or accepts is synced before it is said. See docs/system.md.
"""

import random
import secrets
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Any

from plumline.coordination.environment import Environment, Member, Message, Record

PROPOSAL_PATIENCE = 0.5  # s without a result after which a proposal counts as lost and may be made anew
Ballot = tuple[int, str]  # round, address of the proposer
NO_BALLOT: Ballot = (0, "")


@dataclass(frozen=True, slots=True)
class View:
    """`chain` in order, head first. Both hold members: (address, incarnation)."""

    number: int
    acceptors: tuple[Member, ...]
    chain: tuple[Member, ...]

    def to_wire(self) -> list[Any]:
        return [self.number, [list(each) for each in self.acceptors], [list(each) for each in self.chain]]

    @staticmethod
    def from_wire(wire: list[Any]) -> "View":
        number, acceptors, chain = wire
        return View(number, _members_from_wire(acceptors), _members_from_wire(chain))

    def majority(self) -> int:
        return len(self.acceptors) // 2 + 1

    def position(self, member: Member) -> int | None:
        return self.chain.index(member) if member in self.chain else None


def _members_from_wire(wire: list[Any]) -> tuple[Member, ...]:
    return tuple(Member(str(address), str(incarnation)) for address, incarnation in wire)


@dataclass(slots=True)
class Proposal:
    view: View
    ballot: Ballot
    began: float
    promises: dict[str, tuple[Ballot, View] | None] = field(default_factory=dict)
    accepts: set[str] = field(default_factory=set)
    accepting: View | None = None  # the second phase: what is put to the acceptors


def ballot_from(wire: Iterable[Any]) -> Ballot:
    number, name = wire
    return int(number), str(name)


class Views:
    """Acceptor, proposer and learner of views. `installed` is called with each newly decided view, once it is
    on the disk."""

    def __init__(self, me: Member, environment: Environment, installed: Callable[[View], None]) -> None:
        self.me, self.environment, self.installed = me, environment, installed
        self.name = f"{me[0]}/{secrets.token_hex(4)}"  # of ballots: no two lives share one
        self.view: View | None = None
        self.promised: Ballot = NO_BALLOT  # for the instance after `view`
        self.accepted: tuple[Ballot, View] | None = None
        self.proposal: Proposal | None = None
        self.highest_round = 0  # ever seen
        self.retry_at = 0.0
        self.pending: View | None = None  # decided, being written

    # Durable state.

    def restore(self, record: Record) -> None:
        match record:
            case ["view", wire]:
                self.set_view(View.from_wire(wire))
            case ["promise", instance, ballot] if self.is_next(instance):
                self.promised = max(self.promised, ballot_from(ballot))
            case ["accept", instance, ballot, wire] if self.is_next(instance):
                self.promised = max(self.promised, ballot_from(ballot))
                self.accepted = ballot_from(ballot), View.from_wire(wire)
        self.highest_round = max(self.highest_round, self.promised[0])

    def records(self) -> list[Record]:
        """What `restore` needs to come to the present state."""
        found: list[Record] = []
        if self.view is not None:
            found.append(["view", self.view.to_wire()])
            if self.promised > NO_BALLOT:
                found.append(["promise", self.view.number + 1, list(self.promised)])
            if self.accepted:
                ballot, view = self.accepted
                found.append(["accept", self.view.number + 1, list(ballot), view.to_wire()])
        if self.pending is not None:
            found.append(["view", self.pending.to_wire()])
        return found

    def set_view(self, view: View) -> None:
        self.view, self.promised, self.accepted, self.proposal = view, NO_BALLOT, None, None

    def knows_any(self) -> bool:
        return self.view is not None or self.pending is not None

    def is_next(self, instance: int) -> bool:
        return self.view is not None and instance == self.view.number + 1

    def may_accept(self) -> bool:
        return self.view is not None and self.me in self.view.acceptors

    # Proposing.

    def propose(self, now: float, chance: random.Random, view: View) -> None:
        """Puts `view`, the successor of the present one, to the acceptors; another may be decided instead."""
        if self.view is None or view.number != self.view.number + 1 or not self.may_accept():
            return
        if now < self.retry_at or (self.proposal and now - self.proposal.began < PROPOSAL_PATIENCE):
            return
        self.highest_round += 1
        self.proposal = Proposal(view, (self.highest_round, self.name), now)
        self.retry_at = now + PROPOSAL_PATIENCE * chance.uniform(0.6, 1.4)
        for address, _ in self.view.acceptors:
            self.environment.send(address, ["view-prepare", view.number, list(self.proposal.ballot)])

    def on_promise(self, sender: str, instance: int, ballot: Ballot, accepted: Any) -> None:  # noqa: ANN401
        proposal = self.proposal
        if proposal is None or not self.is_next(instance) or ballot != proposal.ballot or proposal.accepting:
            return
        assert self.view is not None
        told = None if accepted is None else (ballot_from(accepted[0]), View.from_wire(accepted[1]))
        proposal.promises[sender] = told
        if len(proposal.promises) < self.view.majority():
            return
        found = [each for each in proposal.promises.values() if each is not None]
        proposal.accepting = max(found, key=lambda each: each[0])[1] if found else proposal.view
        request = ["view-accept", instance, list(ballot), proposal.accepting.to_wire()]
        for address, _ in self.view.acceptors:
            self.environment.send(address, request)

    def on_accepted(self, sender: str, instance: int, ballot: Ballot) -> None:
        proposal = self.proposal
        if proposal is None or not self.is_next(instance) or ballot != proposal.ballot:
            return
        assert self.view is not None
        proposal.accepts.add(sender)
        if len(proposal.accepts) >= self.view.majority() and proposal.accepting:
            everyone = {a for a, _ in (*self.view.acceptors, *proposal.accepting.chain)}
            everyone |= {a for a, _ in proposal.accepting.acceptors} | {a for a, _ in self.view.chain}
            decided = ["view-decided", proposal.accepting.to_wire()]
            self.proposal = None
            for address in sorted(everyone):
                self.environment.send(address, decided)

    # Accepting.

    def on_prepare(self, sender: str, instance: int, ballot: Ballot) -> None:
        if not self.is_next(instance):
            self.out_of_step(sender, instance)
            return
        self.highest_round = max(self.highest_round, ballot[0])
        if not self.may_accept():
            return
        if ballot <= self.promised:
            self.environment.send(sender, ["view-refused", instance, list(self.promised)])
            return
        self.promised = ballot
        reply = ["view-promise", instance, list(ballot), self.told_accepted()]
        self.environment.persist(
            ["promise", instance, list(ballot)], lambda: self.environment.send(sender, reply)
        )

    def told_accepted(self) -> list[Any] | None:
        return [list(self.accepted[0]), self.accepted[1].to_wire()] if self.accepted else None

    def on_accept(self, sender: str, instance: int, ballot: Ballot, view: View) -> None:
        if not self.is_next(instance):
            self.out_of_step(sender, instance)
            return
        if not self.may_accept():
            return
        if ballot < self.promised:
            self.environment.send(sender, ["view-refused", instance, list(self.promised)])
            return
        self.promised, self.accepted = ballot, (ballot, view)
        self.environment.persist(
            ["accept", instance, list(ballot), view.to_wire()],
            lambda: self.environment.send(sender, ["view-accepted", instance, list(ballot)]),
        )

    def out_of_step(self, sender: str, instance: int) -> None:
        """One of the two lacks a view."""
        if self.view is not None and instance <= self.view.number:
            self.environment.send(sender, ["view-decided", self.view.to_wire()])
        else:
            self.environment.send(sender, ["view-ask"])

    # Learning.

    def on_decided(self, view: View) -> None:
        known = self.pending or self.view
        if known is not None and view.number <= known.number:
            return
        self.pending = view

        def done() -> None:
            if self.pending is view:
                self.pending = None
            if self.view is None or view.number > self.view.number:
                self.set_view(view)
                self.installed(view)

        self.environment.persist(["view", view.to_wire()], done)

    def heard_number(self, sender: str, number: int) -> None:
        """A peer told the number of its view: whoever has the older one asks."""
        if number > (self.view.number if self.view else 0):
            self.environment.send(sender, ["view-ask"])

    def is_present(self, number: int) -> bool:
        """Whether this acceptor knows of nothing that may follow view `number`."""
        return self.view is not None and self.view.number == number and self.accepted is None

    def on_message(self, sender: str, message: Message) -> bool:
        """True if the message was one of these."""
        match message:
            case ["view-prepare", int(instance), ballot]:
                self.on_prepare(sender, instance, ballot_from(ballot))
            case ["view-promise", int(instance), ballot, accepted]:
                self.on_promise(sender, instance, ballot_from(ballot), accepted)
            case ["view-accept", int(instance), ballot, wire]:
                self.on_accept(sender, instance, ballot_from(ballot), View.from_wire(wire))
            case ["view-accepted", int(instance), ballot]:
                self.on_accepted(sender, instance, ballot_from(ballot))
            case ["view-refused", int(instance), ballot]:
                self.highest_round = max(self.highest_round, ballot_from(ballot)[0])
            case ["view-decided", wire]:
                self.on_decided(View.from_wire(wire))
            case ["view-ask"]:
                if self.view is not None:
                    self.environment.send(sender, ["view-decided", self.view.to_wire()])
            case _:
                return False
        return True
