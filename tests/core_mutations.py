"""Cores with one guard removed, which the random schedules or a scripted test must detect."""

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


def replace_class(part: str, kind: type) -> Callable[[Core], None]:
    """Returns a function that changes the class of this part of a core."""

    def mutate(core: Core) -> None:
        attrgetter(part)(core).__class__ = kind

    return mutate


class AddsBeforeItRemoves(AcceptorPlanner):
    """Adds the new acceptor in one view, and removes the one that stopped voting only in the next."""

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        desired = super().desired_acceptors(now, view, chain)
        added = [each for each in desired if each not in view.acceptors]
        addresses = [address for address, _ in added]
        kept = [each for each in view.acceptors if each[0] not in addresses]
        return (*kept, *added) if added else desired


class AddsAFourthAcceptor(AcceptorPlanner):
    """A member that joins the chain becomes an acceptor at once, even if enough healthy ones exist."""

    def desired_acceptors(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        desired = super().desired_acceptors(now, view, chain)
        newcomer = self.next_acceptor(now, view, chain)
        return (*view.acceptors, newcomer) if newcomer and desired == view.acceptors else desired


class NeverSpreadsAcceptors(AcceptorPlanner):
    """Acceptors are not spread, even with most of them in one zone."""

    def _improve_spread(self, now: float, view: View, chain: tuple[Member, ...]) -> tuple[Member, ...]:
        return view.acceptors


class IgnoresMissingQuorum(MembershipReconciler):
    def reaches_majority(self, now: float, view: View) -> bool:
        return True


class RemovesAllUnreachableMembers(ChainPlanner):
    """A view change also removes members that only this registrar cannot reach, not just its neighbours."""

    def reachable_chain(self, now: float, view: View) -> tuple[Member, ...]:
        if super().reachable_chain(now, view) == view.chain:
            return view.chain
        return tuple(each for each in view.chain if self.members.health(now, each) is MemberHealth.HEALTHY)


class CountsSilentMembers(MemberAssessor):
    def answered_recently(self, now: float, member: Member) -> bool:
        return True


class EndsWithoutHandover(MembershipReconciler):
    def pending_handover(self, now: float) -> PendingHandover | None:
        return None


class EndsBeforeOthersCaughtUp(MembershipReconciler):
    def is_replicated_by_others(self, view: View) -> bool:
        return True


class StopsVotingAtOnce(AcceptorPlanner):
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


class RefusesWithoutConfirmation(ChainReplica):
    """A head refuses a change by its own state, even if it was removed and others have newer entries."""

    def _refuse(self, error: PlumlineError, callback: SubmitCallback) -> None:
        callback(error)


# Guards of activation


class CommitsBeforeActivation(ChainReplica):
    def install_view(self, view: View) -> None:
        super().install_view(view)
        if self.role.is_member():
            self.on_view_activated()


class NeverAbandons(MembershipReconciler):
    """A decided view is never abandoned, even if members are lost before its chain is complete."""

    def may_abandon(self, view: View, replica: LocalReplica) -> bool:
        return False


class ActivatesAbandonedView(ViewAgreement):
    """An acceptor helps to activate a view that it has promised to abandon."""

    def on_activate(self, sender: str, view_number: int) -> None:
        self.abandoned = False
        super().on_activate(sender, view_number)


class OmitsActivationFromPromise(ViewAgreement):
    """A promise does not report that the acceptor has helped to activate the view."""

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


class KeepsEntriesOfAbandonedViews(ReplicaStorage):
    """A source keeps entries of views that were abandoned after it left the base."""

    def _kept_through(self, role: ChainRole, *, is_source: bool, has_left_base: bool) -> int:
        return self.last_index if is_source else self.committed_index


class RollsBackInTheSameView(ReplicaStorage):
    """A restarted member rolls back its log again in the same view."""

    def begin_view(self, view: View, role: ChainRole, *, is_source: bool) -> bool:
        self._rollback = self._rollback._replace(view_number=0)
        return super().begin_view(view, role, is_source=is_source)


class ServesSourcesBeforeActivation(CatchUpServer):
    """Learners are served before activation, so they discard entries for a view that may be abandoned."""

    def begin_view(self, role: ChainRole, *, activated: bool) -> None:
        super().begin_view(role, activated=True)


def mutation(name: str) -> dict[str, Any]:
    """Keyword arguments for a schedule whose cores lack that guard."""
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
    return {"mutate": replace_class(part, kind)}
