"""One registrar's share of the core: views, formation, chain, contacts and leases stepped together.

Pure: time and messages in, messages and records out. A registrar process, or a test by hand, drives it.
"""

import random
from collections.abc import Callable
from typing import Any

from plumline.coordination.contacts import SUSPECT_AFTER, Contacts
from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.formation import Formation
from plumline.coordination.keeper import Duty, Keeper
from plumline.coordination.lease import LeaseDurations, LeaseElection, Persist, Send
from plumline.coordination.replication import ChainReplica
from plumline.coordination.view import View, Views


class Core:
    """`changed` is told of each new view, `applied(number, change or None)` of each committed entry."""

    def __init__(
        self,
        me: Member,
        seeds: list[str],
        copies: int,
        first_start: bool,
        environment: Environment,
        empty: Any,  # noqa: ANN401
        load: Callable[[Any], Any],
        leases: dict[str, LeaseDurations],
        now: float,
        chance: random.Random,
        applied: Callable[[int, list[Any] | None], None],
        changed: Callable[[View], None],
        known_elsewhere: Callable[[], bool],
    ) -> None:
        self.me, self.seeds, self.environment, self.now = me, seeds, environment, now
        self.changed, self.leases = changed, tuple(leases)
        self.views = Views(me, environment, self.installed)
        self.chain = ChainReplica(me, copies, environment, empty, load, applied)
        self.contacts = Contacts(me, environment)
        self.keeper = Keeper(me, self.views, self.contacts, chance, copies)
        self.formation = Formation(me, seeds, first_start, environment, self.views, known_elsewhere)
        self.lease_election = LeaseElection(me[0], leases, now, chance)
        self.sick = False

    def set_seeds(self, seeds: list[str]) -> None:
        """The seeds of now: whom to ask. The first view is formed by those of this process's start, or never:
        machines that were exchanged may all be empty."""
        self.seeds = seeds

    # Durable state.

    def restore(self, records: list[Record]) -> None:
        """From a file's records, before the first step."""
        lease_records = []
        for record in records:
            if record[0] in ("view", "promise", "accept"):
                self.views.restore(record)
            elif record[0] == "ballot":
                lease_records.append(record)
            else:
                self.chain.restore(record)
        self.lease_election.restore(lease_records)
        if self.views.view is not None:
            self.installed(self.views.view)
            self.stop_granting_leases()

    def records(self) -> list[Record]:
        return [*self.views.records(), *self.chain.records(), *self.lease_election.records()]

    # Steps.

    def installed(self, view: View) -> None:
        self.chain.install_view(view)
        for address, _ in (*view.acceptors, *view.chain):
            self.contacts.know(self.now, address)
        voters = [address for address, _ in view.acceptors] if self.me in view.acceptors else []
        formed_now = view.number == 1 and self.formation.formed
        self.lease_election.set_view(self.now, view.number, voters, formed_now=formed_now)
        self.changed(view)

    def tick(self, now: float) -> None:
        self.now = now
        for address in self.seeds:
            self.contacts.know(now, address)
        self.formation.tick(now)
        view = self.views.view
        present = self.chain.role.is_member()
        synced = (
            self.chain.synced_index if present else min(self.chain.synced_index, self.chain.committed_index)
        )
        self.contacts.tick(
            now,
            [
                *(self.me[1], view.number if view else 0, synced),
                *(self.sick, self.keeper.leaving, self.chain.status()),
            ],
        )
        self.keeper.tick(now, self.chain.synced_index, self.chain.committed_index, self.chain.caught_up)
        self.chain.tick(now)
        self.lease_election.tick(now)
        self.perform_lease_actions()
        if view is not None:
            named = {address for address, _ in (*view.acceptors, *view.chain)} | set(self.seeds)
            self.contacts.forget(now, named)

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """False if nobody here knows the kind of message."""
        self.now = now
        if self.contacts.on_message(now, sender, message):
            if message[0] == "ping":
                self.views.heard_number(sender, message[3])
            return True
        if message[0] == "view-check":
            _, nonce, number = message
            if self.views.is_present(number) and self.views.may_accept():
                self.environment.send(sender, ["view-checked", nonce, number])
            return True
        if self.views.on_message(sender, message):
            self.stop_granting_leases()
            return True
        if self.chain.on_message(sender, message):
            return True
        if self.formation.on_message(sender, message):
            return True
        if message[0] == "ballot":
            self.lease_election.on_message(now, sender, message[1:])
            self.perform_lease_actions()
            return True
        return False

    def stop_granting_leases(self) -> None:
        """Whoever has accepted the next view votes for no lease in the present one."""
        if self.views.view is not None and self.views.accepted is not None:
            self.lease_election.stop_granting(self.views.view.number)

    def perform_lease_actions(self) -> None:
        for action in self.lease_election.take_actions():
            if isinstance(action, Send):
                self.environment.send(action.to, ["ballot", *action.message])
            else:
                self.environment.persist(
                    action.record, lambda action=action: self.lease_record_synced(action)
                )

    def lease_record_synced(self, action: Persist) -> None:
        self.lease_election.on_synced(action.record)
        for to, message in action.send_after:
            self.environment.send(to, ["ballot", *message])

    def campaign(self, now: float, lease: str) -> None:
        """Makes this registrar a candidate for the lease, until it leaves."""
        self.lease_election.campaign(now, lease)
        self.perform_lease_actions()

    def leave(self, now: float) -> None:
        """Gives all leases back and tells the others to take this registrar out."""
        self.keeper.leaving = True
        for lease in self.leases:
            self.lease_election.release(now, lease)
        self.perform_lease_actions()

    def remaining_duty(self, now: float) -> Duty | None:
        """What must still be handed over before this registrar may end; None: nothing."""
        if any(self.lease_election.fencing_token(now, lease) is not None for lease in self.leases):
            return Duty.LEASE
        return self.keeper.remaining_duty(now)

    # What others may ask.

    def fresh(self, now: float) -> bool:
        """Whether what this registrar has is the newest, as far as a majority in touch shows."""
        view = self.views.view
        if view is None or self.chain.role.is_learner():
            return False
        if not self.contacts.know_views(now, view.acceptors):
            return False
        newer = any(
            peer.view > view.number and now - peer.echoed < SUSPECT_AFTER
            for peer in self.contacts.peers.values()
        )
        return self.chain.caught_up and not newer

    def has_majority(self, now: float) -> bool:
        """Whether a majority of the acceptors answered this registrar lately."""
        view = self.views.view
        return view is not None and self.contacts.in_touch(now, view.acceptors)

    def head(self) -> str | None:
        view = self.views.view
        return view.chain[0][0] if view and view.chain else None

    def tail(self) -> str | None:
        view = self.views.view
        return view.chain[-1][0] if view and view.chain else None
