"""Cores with one guard taken out: each must be found by the schedules, or by an example by hand."""

from collections.abc import Callable
from operator import attrgetter
from typing import Any

from plumline.coordination.acceptor_planner import AcceptorPlanner
from plumline.coordination.catch_up import CatchUpServer
from plumline.coordination.chain_planner import ChainPlanner, LocalReplica
from plumline.coordination.chain_role import ChainRole
from plumline.coordination.core import Core
from plumline.coordination.environment import Member, Message, Record
from plumline.coordination.lease.voter import Voter
from plumline.coordination.member_health import MemberAssessor, MemberHealth
from plumline.coordination.membership import MembershipReconciler, PendingHandover
from plumline.coordination.pending_replies import SubmitCallback
from plumline.coordination.replica_storage import ReplicaStorage
from plumline.coordination.replication import ChainReplica
from plumline.coordination.view import View
from plumline.coordination.view_agreement import ViewAgreement
from plumline.coordination.view_messages import Prepare
from plumline.errors import PlumlineError


def exchange(part: str, kind: type) -> Callable[[Core], None]:
    """A call that makes the part of a core one of that class."""

    def mutate(core: Core) -> None:
        attrgetter(part)(core).__class__ = kind

    return mutate


class AddsBeforeItRemoves(AcceptorPlanner):
    """An acceptor that has stopped voting stays one beside the new member, until the view after."""

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        wanted = super().desired_acceptors(now, view, chain)
        came = [each for each in wanted if each not in view.acceptors]
        addresses = [address for address, _ in came]
        kept = [each for each in view.acceptors if each[0] not in addresses]
        return (*kept, *came) if came else wanted


class AddsAFourthAcceptor(AcceptorPlanner):
    """Whoever joins the chain is an acceptor at once, also where there are enough and all are well."""

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        wanted = super().desired_acceptors(now, view, chain)
        newcomer = self.next_acceptor(now, view, chain)
        return (*view.acceptors, newcomer) if newcomer and wanted == view.acceptors else wanted


class SpreadsNobody(AcceptorPlanner):
    """Acceptors stay where they are, also with most of them in one zone."""

    def _improve_spread(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        return view.acceptors


class JudgesBeforeItHasHeard(MembershipReconciler):
    def reaches_majority(self, now: float, view: View) -> bool:
        return True


class DropsWhomItCannotReach(ChainPlanner):
    """Once a change is due, whoever is silent here goes with it, also across the chain."""

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        if super().reachable_chain(now, view) == view.chain:
            return view.chain
        return tuple(each for each in view.chain if self.members.health(now, each) is MemberHealth.HEALTHY)


class CountsOnTheUnheard(MemberAssessor):
    def answered_recently(self, now: float, member: Member) -> bool:
        return True


class LeavesAtOnce(MembershipReconciler):
    def pending_handover(self, now: float) -> PendingHandover | None:
        return None


class LeavesBeforeOthersHold(MembershipReconciler):
    def is_replicated_by_others(self, view: View) -> bool:
        return True


class LeavesItsSeat(AcceptorPlanner):
    def may_stop_voting(self, now: float, view: View) -> bool:
        return True


class GrantsAfterAccepting(Voter):
    def stop_granting(self, view: int) -> None:
        pass


class ForgetsPromises(ViewAgreement):
    def restore(self, record: Record) -> None:
        if record[0] != "promise":
            super().restore(record)


class ForgetsAccepted(ViewAgreement):
    def restore(self, record: Record) -> None:
        if record[0] != "accept":
            super().restore(record)


class TakesEntriesOfAnyView(ChainReplica):
    def on_message(self, sender: str, message: Message) -> bool:
        if message[0] in ("chain-entry", "chain-state"):
            message = [message[0], self.role.view_number, *message[2:]]
        return super().on_message(sender, message)


class TakesReportsOfAnyView(ChainReplica):
    def on_message(self, sender: str, message: Message) -> bool:
        if message[0] in ("chain-floor", "chain-report", "chain-commit"):
            message = [message[0], self.role.view_number, *message[2:]]
        return super().on_message(sender, message)


class RefusesWithoutAsking(ChainReplica):
    """A head refuses by what it holds, also where it was removed and others hold more."""

    def _refuse(self, error: PlumlineError, callback: SubmitCallback) -> None:
        callback(error)


# The guards of activation.


class CommitsBeforeActivation(ChainReplica):
    def install_view(self, view: View) -> None:
        super().install_view(view)
        if self.role.is_member():
            self.on_view_activated()


class NeverAbandons(MembershipReconciler):
    """A view that was decided is finished, whoever is lost before its chain holds all."""

    def may_abandon(self, view: View, replica: LocalReplica) -> bool:
        return False


class ActivatesWhatItAbandoned(ViewAgreement):
    """An acceptor takes part in activating a view that it has promised to abandon."""

    def on_activate(self, sender: str, view_number: int) -> None:
        self.abandoned = False
        super().on_activate(sender, view_number)


class TellsNoActivation(ViewAgreement):
    """A promise doesn't say that the acceptor has taken part in activating the view."""

    def on_prepare(self, sender: str, prepare: Prepare) -> None:
        known, self.activated = self.activated, False
        super().on_prepare(sender, prepare)
        self.activated = known


class ForgetsActivation(ViewAgreement):
    def restore(self, record: Record) -> None:
        if record[0] != "view-activated":
            super().restore(record)


class ForgetsAbandoning(ViewAgreement):
    def restore(self, record: Record) -> None:
        if record[0] != "view-abandoned":
            super().restore(record)


class KeepsWhatCameInAbandonedViews(ReplicaStorage):
    """A source keeps entries of views that were abandoned since it left the base."""

    def _kept_through(self, role: ChainRole, *, is_source: bool, has_left_base: bool) -> int:
        return self.last_index if is_source else self.committed_index


class RollsBackInTheSameView(ReplicaStorage):
    """A member that restarts takes on its role in the view once more."""

    def begin_view(self, view: View, role: ChainRole, *, is_source: bool) -> bool:
        self._rollback = self._rollback._replace(view_number=0)
        return super().begin_view(view, role, is_source=is_source)


class ServesSourcesBeforeActivation(CatchUpServer):
    """Learners get entries, and discard what they hold besides, also from a view that may be abandoned."""

    def begin_view(self, role: ChainRole, *, activated: bool) -> None:
        super().begin_view(role, activated=True)


def mutation(name: str) -> dict[str, Any]:
    """Keywords of a schedule whose cores are without that guard."""
    kind = globals()[name]
    unknown = [method for method in vars(kind) if not hasattr(kind.__base__, method)]
    assert not unknown, f"{name} changes nothing: {kind.__base__} has no {unknown}"
    parts = {
        MembershipReconciler: "membership",
        ChainPlanner: "membership.chains",
        AcceptorPlanner: "membership.acceptors",
        MemberAssessor: "membership.members",
        Voter: "lease_election.voter",
        ViewAgreement: "view_agreement",
        ChainReplica: "chain",
        ReplicaStorage: "chain.storage",
        CatchUpServer: "chain._catch_up_server",
    }
    part = next(part for base, part in parts.items() if issubclass(kind, base))
    return {"mutate": exchange(part, kind)}
