"""One registrar's share of the core: views, formation, chain, contacts and leases stepped together.

Pure: time and messages in, messages and records out. A registrar process, or a test by hand, drives it.
"""

import random
from collections.abc import Callable
from typing import Any

from plumline.coordination.ballot import Ballots, Persist, Send, Terms
from plumline.coordination.contacts import SUSPECT_AFTER, Contacts
from plumline.coordination.effects import Effects, Member, Message, Record
from plumline.coordination.formation import Formation
from plumline.coordination.keeper import Duty, Keeper
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
        effects: Effects,
        empty: Any,  # noqa: ANN401
        load: Callable[[Any], Any],
        leases: dict[str, Terms],
        now: float,
        chance: random.Random,
        applied: Callable[[int, list[Any] | None], None],
        changed: Callable[[View], None],
        known_elsewhere: Callable[[], bool],
    ) -> None:
        self.me, self.seeds, self.effects, self.now = me, seeds, effects, now
        self.changed, self.leases = changed, tuple(leases)
        self.views = Views(me, effects, self.installed)
        self.chain = ChainReplica(me, copies, effects, empty, load, applied)
        self.contacts = Contacts(me, effects)
        self.keeper = Keeper(me, self.views, self.contacts, chance, copies)
        self.formation = Formation(me, seeds, first_start, effects, self.views, known_elsewhere)
        self.ballots = Ballots(me[0], leases, now, chance)
        self.sick = False

    def set_seeds(self, seeds: list[str]) -> None:
        """The seeds of now: whom to ask. The first view is formed by those of this process's start, or never:
        machines that were exchanged may all be empty."""
        self.seeds = seeds

    # Durable state.

    def restore(self, records: list[Record]) -> None:
        """From a file's records, before the first step."""
        ballots = []
        for record in records:
            if record[0] in ("view", "promise", "accept"):
                self.views.restore(record)
            elif record[0] == "ballot":
                ballots.append(record)
            else:
                self.chain.restore(record)
        self.ballots.restore(ballots)
        if self.views.view is not None:
            self.installed(self.views.view)
            self.suspend_grants()

    def records(self) -> list[Record]:
        return [*self.views.records(), *self.chain.records(), *self.ballots.records()]

    # Steps.

    def installed(self, view: View) -> None:
        self.chain.install(view)
        for address, _ in (*view.acceptors, *view.chain):
            self.contacts.know(self.now, address)
        voters = [address for address, _ in view.acceptors] if self.me in view.acceptors else []
        formed_now = view.number == 1 and self.formation.formed
        self.ballots.set_view(self.now, view.number, voters, formed_now=formed_now)
        self.changed(view)

    def tick(self, now: float) -> None:
        self.now = now
        for address in self.seeds:
            self.contacts.know(now, address)
        self.formation.tick(now)
        view = self.views.view
        present = self.chain.position is not None
        synced = self.chain.synced if present else min(self.chain.synced, self.chain.committed)
        self.contacts.tick(
            now,
            [
                *(self.me[1], view.number if view else 0, synced),
                *(self.sick, self.keeper.leaving, self.chain.standing()),
            ],
        )
        self.keeper.tick(now, self.chain.synced, self.chain.committed, self.chain.caught_up)
        self.chain.tick(now)
        self.ballots.tick(now)
        self.flush_ballots()
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
                self.effects.send(sender, ["view-checked", nonce, number])
            return True
        if self.views.on_message(sender, message):
            self.suspend_grants()
            return True
        if self.chain.on_message(sender, message):
            return True
        if self.formation.on_message(sender, message):
            return True
        if message[0] == "ballot":
            self.ballots.on_message(now, sender, message[1:])
            self.flush_ballots()
            return True
        return False

    def suspend_grants(self) -> None:
        """Whoever has accepted the next view votes for no lease in the present one."""
        if self.views.view is not None and self.views.accepted is not None:
            self.ballots.suspend_grants(self.views.view.number)

    def flush_ballots(self) -> None:
        for action in self.ballots.take_actions():
            if isinstance(action, Send):
                self.effects.send(action.to, ["ballot", *action.message])
            else:
                self.effects.persist(action.record, lambda action=action: self.ballot_synced(action))

    def ballot_synced(self, action: Persist) -> None:
        self.ballots.on_synced(action.record)
        for to, message in action.send_after:
            self.effects.send(to, ["ballot", *message])

    def wish(self, now: float, lease: str, wanted: bool) -> None:
        """Whether this registrar stands for the lease; unset, it is given back."""
        self.ballots.wish(now, lease, wanted)
        self.flush_ballots()

    def leave(self, now: float) -> None:
        """Gives all leases back and tells the others to take this registrar out."""
        self.keeper.leaving = True
        for lease in self.leases:
            self.wish(now, lease, False)

    def remaining_duty(self, now: float) -> Duty | None:
        """What must still be handed over before this registrar may end; None: nothing."""
        if any(self.ballots.holds(lease, now) is not None for lease in self.leases):
            return Duty.LEASE
        return self.keeper.remaining_duty(now)

    # What others may ask.

    def fresh(self, now: float) -> bool:
        """Whether what this registrar has is the newest, as far as a majority in touch shows."""
        view = self.views.view
        if view is None or self.chain.position is None:
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
