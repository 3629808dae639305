"""Exhaustive model of one view that is not activated: two proposals of its successor, its activation by the
tail, a machine that restarts and one that loses its disk, in every order.

Three machines vote. The chain of view 2 is a and the learner c; the sources of its base are a and b. Each
request is delivered once or never, as on a cut link. Answers are delivered at once: a later one would only
show the same past state, and the requests that its receiver then sends may be delayed without limit. Each
phase reaches a majority of its own: a third acceptor adds nothing to it, and its promise can only refuse
other proposals.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import replace
from random import Random

import ormsgpack

from plumline.coordination.environment import Member, Message, Record
from plumline.coordination.view import ActivatedView, View
from plumline.coordination.view_activation import ViewActivation
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import AcceptedProposal
from tests.core_register import ViolationError

A, B, C = MEMBERS = (Member("a", "a-1"), Member("b", "b-1"), Member("c", "c-1"))
BASE = ActivatedView(1, (A, B))
CURRENT_VIEW = View(2, MEMBERS, (A, C), BASE)
ABANDONING_VIEW = View(3, MEMBERS, (B, C), BASE)
#: The views that the other proposer, a, proposes: one that abandons the view as well, and a plain successor.
OTHER_PROPOSALS = (
    View(3, MEMBERS, (A, B), BASE),
    View(3, MEMBERS, (A, C, B), ActivatedView(2, CURRENT_VIEW.chain)),
)
#: Other messages are answers, or are sent too late to matter.
REQUESTS = ("view-prepare", "view-accept", "view-activate")
QUORUMS = ("ab", "ac", "bc")
InFlight = tuple[str, str, bytes]  # to, sender, packed message


class RecordingEnvironment:
    """Collects the messages and records of one step."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.written: list[Record] = []

    def send(self, to: str, message: Message) -> None:
        self.sent.append((to, message))

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        self.written.append(record)
        done()


class State:
    """One state of the model; a step yields another state."""

    def __init__(self, agreement_class: type[ViewAgreement]) -> None:
        self.agreement_class = agreement_class
        self.machines: dict[str, ViewAgreement] = {}  # without the one that has lost its disk
        self.disks: dict[str, tuple[bytes, ...]] = {}
        self.in_flight: frozenset[InFlight] = frozenset()
        self.activation = ViewActivation(RecordingEnvironment())
        self.accepted: frozenset[tuple[str, AcceptedProposal]] = frozenset()  # ever, by acceptor
        self.activating: frozenset[str] = frozenset()  # acceptors that ever helped to activate the view
        self.may_restart = self.may_lose_disk = True
        self.quorums: dict[tuple[str, str], str] = {}  # by sender and kind of request

    @classmethod
    def initial(cls, agreement_class: type[ViewAgreement], other: View, quorums: tuple[str, ...]) -> "State":
        state = cls(agreement_class)
        phases = [("b", "view-prepare"), ("b", "view-accept"), ("a", "view-prepare"), ("a", "view-accept")]
        state.quorums = dict(zip([*phases, ("c", "view-activate")], quorums, strict=True))
        records = [["view-base", 2, BASE.to_wire()], ["view", CURRENT_VIEW.to_wire_without_base()]]
        for member in MEMBERS:
            state.disks[member.address] = tuple(ormsgpack.packb(record) for record in records)
            state.machines[member.address] = state.restored(member)
        state.activation.begin_view(CURRENT_VIEW)
        disk = RecordingEnvironment()
        for name, view in (("b", ABANDONING_VIEW), ("a", other)):
            agreement = state.machines[name]
            agreement.proposer_name, agreement.environment = name, disk
            agreement.propose(0.0, Random(1), view)
            state.collect(name, disk)
        for name in state.quorums["c", "view-activate"]:
            state.in_flight |= {(name, "c", ormsgpack.packb(["view-activate", 2]))}
        return state

    def restored(self, member: Member) -> ViewAgreement:
        agreement = self.agreement_class(member, RecordingEnvironment(), lambda view: None)
        agreement.proposer_name = f"{member.address}'"
        for record in self.disks[member.address]:
            agreement.restore(ormsgpack.unpackb(record))
        return agreement

    def copy(self) -> "State":
        other = State.__new__(State)
        other.__dict__.update(self.__dict__)
        other.machines, other.disks = dict(self.machines), dict(self.disks)
        return other

    def copy_machine(self, name: str, disk: RecordingEnvironment) -> ViewAgreement:
        """A copy of the machine, which can be changed without affecting other states."""
        old = self.machines[name]
        agreement = self.machines[name] = object.__new__(type(old))
        agreement.__dict__.update(old.__dict__)
        if old.proposal is not None:
            agreement.proposal = replace(
                old.proposal, promises=dict(old.proposal.promises), acceptances=set(old.proposal.acceptances)
            )
        agreement.environment = disk
        return agreement

    def collect(self, sender: str, disk: RecordingEnvironment) -> None:
        """Adds the messages and records of a machine to the state, and delivers its answers."""
        self.disks[sender] += tuple(ormsgpack.packb(record) for record in disk.written)
        for to, message in disk.sent:
            if message[0] in REQUESTS:
                if to in self.quorums[sender, message[0]]:
                    self.in_flight |= {(to, sender, ormsgpack.packb(message))}
            elif message[0] in ("view-activated", "view-abandoned"):
                activation = ViewActivation(RecordingEnvironment())
                activation.__dict__.update(self.activation.__dict__)
                activation._acknowledged_by = set(self.activation._acknowledged_by)
                activation.on_message(sender, message)
                self.activation = activation
            elif message[0] != "view-decided" and to in self.machines:
                self.deliver(to, sender, message)

    def deliver(self, to: str, sender: str, message: Message) -> None:
        disk = RecordingEnvironment()
        agreement = self.copy_machine(to, disk)
        agreement.on_message(sender, message)
        if agreement.accepted is not None:
            self.accepted |= {(to, agreement.accepted)}
        if agreement._activating:
            self.activating |= {to}
        self.collect(to, disk)

    def steps(self) -> Iterator["State"]:
        for each in self.in_flight:
            to, sender, packed = each
            state = self.copy()
            state.in_flight -= {each}
            if to in state.machines:
                state.deliver(to, sender, ormsgpack.unpackb(packed))
                yield state
        for member in MEMBERS:
            name = member.address
            if name not in self.machines:
                continue
            if self.may_restart:
                state = self.copy()
                state.may_restart = False
                state.machines[name] = state.restored(member)
                yield state
            if self.may_lose_disk:
                state = self.copy()
                state.may_lose_disk = False
                del state.machines[name]
                yield state

    def key(self) -> object:
        machines = [
            (
                name,
                each.promised,
                each.accepted,
                each.activated,
                each.abandoned,
                each.proposal
                and (
                    each.proposal.number,
                    each.proposal.chosen_view,
                    tuple(sorted(each.proposal.promises.items(), key=lambda item: item[0])),
                ),
            )
            for name, each in self.machines.items()
        ]
        flags = (self.may_restart, self.may_lose_disk)
        acknowledged = frozenset(self.activation._acknowledged_by)
        return (tuple(machines), self.in_flight, self.accepted, self.activating, acknowledged, flags)

    def check(self) -> None:
        """At most one successor is chosen, and none that abandons an activated view."""
        votes = Counter(accepted for _, accepted in self.accepted)
        chosen = {accepted.view for accepted, count in votes.items() if count >= CURRENT_VIEW.majority()}
        if len(chosen) > 1:
            raise ViolationError(f"more than one successor is chosen: {chosen}")
        activated = self.activation.is_activated() or len(self.activating) >= CURRENT_VIEW.majority()
        if activated and any(view.abandons_its_predecessor() for view in chosen):
            raise ViolationError(f"the view is activated, and abandoned by {chosen}")


def explore(agreement_class: type[ViewAgreement], other: View, quorums: tuple[str, ...]) -> Counter[str]:
    """Visits all states that these majorities allow; counts them, and those with an outcome."""
    first = State.initial(agreement_class, other, quorums)
    seen, waiting, counts = {first.key()}, [first], Counter[str]()
    while waiting:
        state = waiting.pop()
        state.check()
        counts["states"] += 1
        counts["activated"] += state.activation.is_activated()
        counts["accepted"] += len(state.accepted) > 1
        for following in state.steps():
            key = following.key()
            if key not in seen:
                seen.add(key)
                waiting.append(following)
    return counts
