"""Every order of what may happen to one view that is not activated: two proposals of its successor, its
activation by the tail, a machine that restarts and one that loses its disk.

Three machines vote. The chain of view 2 is a and the learner c, the sources of its base are a and b. A
message that is sent is delivered once or never, which is also what a cut link makes of it. Answers come at
once: one that comes later shows what was, and what its receiver sends then may come as late as it likes. Each
phase reaches one majority of its own: a third acceptor adds nothing to a majority, and what it has promised
can only refuse others.
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
PRESENT = View(2, MEMBERS, (A, C), BASE)
ABANDONING = View(3, MEMBERS, (B, C), BASE)
#: What the other proposer, a, wants: to abandon the view as well, or to go on from it.
OTHER_PROPOSALS = (
    View(3, MEMBERS, (A, B), BASE),
    View(3, MEMBERS, (A, C, B), ActivatedView(2, PRESENT.chain)),
)
REQUESTS = (
    "view-prepare",
    "view-accept",
    "view-activate",
)  # the others are answers, or come too late to matter

QUORUMS = ("ab", "ac", "bc")
InFlight = tuple[str, str, bytes]  # to, sender, packed message


class Disk:
    """Where the machines of one step send and write."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, Message]] = []
        self.written: list[Record] = []

    def send(self, to: str, message: Message) -> None:
        self.sent.append((to, message))

    def persist(self, record: Record, done: Callable[[], None]) -> None:
        self.written.append(record)
        done()


class State:
    """One state of the model; a step makes another of it."""

    def __init__(self, kind: type[ViewAgreement]) -> None:
        self.kind = kind
        self.machines: dict[str, ViewAgreement] = {}  # without who has lost its disk
        self.disks: dict[str, tuple[bytes, ...]] = {}
        self.in_flight: frozenset[InFlight] = frozenset()
        self.activation = ViewActivation(Disk())
        self.accepted: frozenset[tuple[str, AcceptedProposal]] = frozenset()  # ever, by acceptor
        self.activating: frozenset[str] = frozenset()  # acceptors that ever took part
        self.may_restart = self.may_lose_a_disk = True
        self.quorums: dict[tuple[str, str], str] = {}  # by sender and kind of request

    @classmethod
    def initial(cls, kind: type[ViewAgreement], other: View, quorums: tuple[str, ...]) -> "State":
        state = cls(kind)
        phases = [("b", "view-prepare"), ("b", "view-accept"), ("a", "view-prepare"), ("a", "view-accept")]
        state.quorums = dict(zip([*phases, ("c", "view-activate")], quorums, strict=True))
        records = [["view-base", 2, BASE.to_wire()], ["view", PRESENT.to_wire_without_base()]]
        for member in MEMBERS:
            state.disks[member.address] = tuple(ormsgpack.packb(record) for record in records)
            state.machines[member.address] = state.restored(member)
        state.activation.begin_view(PRESENT)
        disk = Disk()
        for name, view in (("b", ABANDONING), ("a", other)):
            agreement = state.machines[name]
            agreement.proposer_name, agreement.environment = name, disk
            agreement.propose(0.0, Random(1), view)
            state.collect(name, disk)
        for name in state.quorums["c", "view-activate"]:
            state.in_flight |= {(name, "c", ormsgpack.packb(["view-activate", 2]))}
        return state

    def restored(self, member: Member) -> ViewAgreement:
        agreement = self.kind(member, Disk(), lambda view: None)
        agreement.proposer_name = f"{member.address}'"
        for record in self.disks[member.address]:
            agreement.restore(ormsgpack.unpackb(record))
        return agreement

    def copy(self) -> "State":
        other = State.__new__(State)
        other.__dict__.update(self.__dict__)
        other.machines, other.disks = dict(self.machines), dict(self.disks)
        return other

    def own(self, name: str, disk: Disk) -> ViewAgreement:
        """The machine, to be changed in this state alone."""
        old = self.machines[name]
        agreement = self.machines[name] = object.__new__(type(old))
        agreement.__dict__.update(old.__dict__)
        if old.proposal is not None:
            agreement.proposal = replace(
                old.proposal, promises=dict(old.proposal.promises), acceptances=set(old.proposal.acceptances)
            )
        agreement.environment = disk
        return agreement

    def collect(self, sender: str, disk: Disk) -> None:
        """Takes in what a machine has sent and written; answers are delivered."""
        self.disks[sender] += tuple(ormsgpack.packb(record) for record in disk.written)
        for to, message in disk.sent:
            if message[0] in REQUESTS:
                if to in self.quorums[sender, message[0]]:
                    self.in_flight |= {(to, sender, ormsgpack.packb(message))}
            elif message[0] in ("view-activated", "view-abandoned"):
                activation = ViewActivation(Disk())
                activation.__dict__.update(self.activation.__dict__)
                activation._acknowledged_by = set(self.activation._acknowledged_by)
                activation.on_message(sender, message)
                self.activation = activation
            elif message[0] != "view-decided" and to in self.machines:
                self.deliver(to, sender, message)

    def deliver(self, to: str, sender: str, message: Message) -> None:
        disk = Disk()
        agreement = self.own(to, disk)
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
            if self.may_lose_a_disk:
                state = self.copy()
                state.may_lose_a_disk = False
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
        flags = (self.may_restart, self.may_lose_a_disk)
        acknowledged = frozenset(self.activation._acknowledged_by)
        return (tuple(machines), self.in_flight, self.accepted, self.activating, acknowledged, flags)

    def check(self) -> None:
        """At most one successor is chosen, and none that abandons an activated view."""
        votes = Counter(accepted for _, accepted in self.accepted)
        chosen = {accepted.view for accepted, count in votes.items() if count >= PRESENT.majority()}
        if len(chosen) > 1:
            raise ViolationError(f"chosen are {chosen}")
        activated = self.activation.is_activated() or len(self.activating) >= PRESENT.majority()
        if activated and any(view.abandons_its_predecessor() for view in chosen):
            raise ViolationError(f"activated and abandoned by {chosen}")


def explore(kind: type[ViewAgreement], other: View, quorums: tuple[str, ...]) -> Counter[str]:
    """Visits all states that these majorities allow and counts them, and those with an outcome."""
    first = State.initial(kind, other, quorums)
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
