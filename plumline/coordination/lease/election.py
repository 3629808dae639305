"""Leases won by ballots: a pure state machine, stepped by hand, without clock, sockets or disk.

A candidate asks all voters (the acceptors of the present view); a majority of grants makes it the holder
until `lease_s` after it ASKED. A voter keeps a grant until `lease_s + lock_delay_s` after it granted, so
that the next holder can't begin before the delay is over. What keeps two holders apart when views change:

- A voter grants only in its own present view, and only to asks of that view.
- View n+1 is decided by a majority of n's voters that have each taken in view n (`set_view`) before, and a
  voter that accepts it grants nothing more in n, renewals included (`stop_granting`). So no majority of n
  can be had once n+1 exists, and what n's voters granted is over by lease and rest after that.
- A voter that has just started, become a voter or missed a view doesn't know what was promised: it abstains
  for lease and rest. A renewal by the present holder passes, as it proves that nobody else holds.
- So a majority of a view that holds such a newcomer can't elect while an earlier view's grants last. One
  of old voters alone may, and where it need not meet each majority of the earlier view, all abstain too.
- Terms begin with the view's number, so they rise from view to view even where a disk and its terms were
  lost; a machine without its disk is a voter again only in a later view. Within a view the voters' synced
  terms keep them rising. A term names one life of one candidate.

Messages are lists: ["ask", lease, view, term, life, round, renewal], ["grant", lease, view, term, round],
["refuse", lease, view, highest term, round, wait_s], ["release", lease, term, life], ["withdraw", lease,
term, life]. Durable records: ["ballot", lease, term, candidate].
"""

from dataclasses import dataclass, field
from random import Random
from typing import Any, NamedTuple

from plumline.errors import PlumlineError

TERM_BITS = 20  # terms of one view: more than a million
BACKOFF_S = (0.1, 0.4)
RANK_S = 0.08
ROUND_S = 1.0
KEPT_ROUNDS = 4

Message = list[Any]


class LeaseMessageError(PlumlineError):
    """A message that is none of this protocol; nothing of it was applied."""

    code, status = "ballot-message-invalid", 400


class LeaseDurations(NamedTuple):
    """What a lease is lent for, in seconds: how long, and how long nobody holds it between two holders."""

    lease_s: float
    lock_delay_s: float


class Send(NamedTuple):
    """Send `message` to the node `to`; it may be lost. Never to oneself."""

    to: str
    message: Message


class Persist(NamedTuple):
    """Sync `record`; only then send `send_after` (what is addressed to oneself goes to `on_message`) and call
    `on_synced(record)`."""

    record: list[Any]
    send_after: list[tuple[str, Message]]


Action = Send | Persist


@dataclass(slots=True)
class _Vote:
    """What this voter has promised for one lease."""

    term: int = 0
    candidate: str = ""  # "node/life" of `term`
    synced: int = 0  # highest term known to be on disk
    holder: str = ""  # node that the promise binds to
    until: float = 0.0
    before: float = 0.0  # until when an earlier promise to the same node binds
    abstain_until: float = 0.0


@dataclass(slots=True)
class _Round:
    asked_at: float
    term: int
    granted: set[str] = field(default_factory=set)
    refused: dict[str, float] = field(default_factory=dict)  # voter -> seconds it said to wait


@dataclass(slots=True)
class _Candidacy:
    campaigning: bool = False
    term: int = 0  # asked for or held; 0: neither
    held_until: float = 0.0
    holding: bool = False
    asked_at: float = 0.0
    next_try: float = 0.0
    seen: int = 0  # highest term told by voters of one's own views, or asked for
    rounds: dict[int, _Round] = field(default_factory=dict)


def majority(voters: int) -> int:
    """How many of so many voters are more than half."""
    return voters // 2 + 1


def _old_voters_meet(earlier: frozenset[str], voters: frozenset[str]) -> bool:
    """Whether each majority of `voters` that has only voters of the earlier view in it shares one with each
    majority of that view. A majority with a newcomer in it doesn't count: newcomers abstain."""
    needed = majority(len(voters))
    return len(earlier & voters) < needed or needed + majority(len(earlier)) > len(earlier)


class LeaseElection:
    """One node's part, as voter and as candidate, in the ballots of every lease in `durations`."""

    def __init__(self, node: str, durations: dict[str, LeaseDurations], now: float, random: Random) -> None:
        self.node = node
        self._durations = durations
        self._random = random
        self._life = random.getrandbits(48)
        self._round = 0
        self._view = 0
        self._voters: list[str] = []
        self._suspended_view = -1  # in which this voter grants no more
        # number, voters, when its successor was learned
        self._earlier: list[tuple[int, frozenset[str], float]] = []
        self._votes = {name: _Vote() for name in durations}
        self._candidacies = {name: _Candidacy() for name in durations}
        self._actions: list[Action] = []

    # What the owner calls

    def restore(self, records: list[list[Any]]) -> None:
        """Replay durable records, others than ballots' left aside; before anything else is called."""
        for record in records:
            if record[0] != "ballot" or record[1] not in self._votes:
                continue
            _, name, term, candidate = record
            vote = self._votes[name]
            if term > vote.term:
                vote.term, vote.candidate, vote.synced = term, candidate, term

    def records(self) -> list[list[Any]]:
        """The whole durable state, for a rewrite of the file."""
        return [
            ["ballot", name, vote.term, vote.candidate] for name, vote in self._votes.items() if vote.term
        ]

    def set_view(self, now: float, number: int, voters: list[str], *, formed_now: bool = False) -> None:
        """The present view. `voters` leaves out a node whose incarnation is not the view's (also this one).
        `formed_now`: this process has itself just taken part in forming the first view."""
        if number <= self._view:
            return
        fresh = formed_now and number == 1 and not any(vote.term for vote in self._votes.values())
        new = frozenset(voters)
        self._earlier.append((self._view, frozenset(self._voters), now))
        # No majority of an earlier view could be had since this node learned the last one, and what they had
        # granted until then it has taken into account, or abstained for.
        knows = self.node in self._voters and self._view == number - 1
        for name, (lease_s, lock_delay_s) in self._durations.items():
            vote = self._votes[name]
            if fresh:
                vote.abstain_until = now
            elif not knows:
                vote.abstain_until = now + lease_s + lock_delay_s
            else:
                vote.abstain_until = max(
                    vote.abstain_until, self._outlasting(number, new, lease_s + lock_delay_s)
                )
        longest = max((sum(durations) for durations in self._durations.values()), default=0.0)
        while len(self._earlier) > 2 and self._earlier[1][2] + longest <= now:
            del self._earlier[0]
        for name, candidacy in self._candidacies.items():
            candidacy.rounds.clear()
            if not candidacy.holding:
                self._give_back(now, name, held=False)  # to the voters that were asked
        self._view, self._voters = number, sorted(voters)
        for candidacy in self._candidacies.values():
            if not candidacy.holding:
                self._wait(now, candidacy)

    def stop_granting(self, view: int) -> None:
        """This voter has accepted the successor of `view`, which may be decided without its learning so: it
        grants nothing more in `view`. To be called before the acceptance is told, and after a restart."""
        self._suspended_view = max(self._suspended_view, view)

    def campaign(self, now: float, name: str) -> None:
        """Stand for the lease from now on, until it is released."""
        candidacy = self._candidacies[name]
        if not candidacy.campaigning:
            candidacy.campaigning = True
            self._wait(now, candidacy)

    def fencing_token(self, now: float, name: str) -> int | None:
        """The fencing token if this node may act for the lease at `now`. Ask right before each act."""
        candidacy = self._candidacies[name]
        return candidacy.term if candidacy.holding and now < candidacy.held_until else None

    def release(self, now: float, name: str) -> None:
        """Stop acting and standing; the voters need only the rest before they choose another."""
        candidacy = self._candidacies[name]
        candidacy.campaigning = False
        self._give_back(now, name, held=self.fencing_token(now, name) is not None)

    def tick(self, now: float) -> None:
        """Renew, ask, give up. To be called about ten times a second."""
        for name, candidacy in self._candidacies.items():
            lease_s = self._durations[name].lease_s
            if candidacy.holding and now >= candidacy.held_until:
                candidacy.holding = False
                candidacy.term = 0
                candidacy.rounds.clear()
                self._back_off(now, candidacy, 0.0)
            if not candidacy.campaigning or not self._voters:
                continue
            if candidacy.holding:
                if now >= candidacy.asked_at + lease_s / 6 and now >= candidacy.held_until - lease_s * 2 / 3:
                    self._ask(now, name, renewal=True)
            elif candidacy.term:
                if now >= candidacy.asked_at + min(ROUND_S, lease_s / 3):
                    self._give_back(now, name, held=False)
                    self._back_off(now, candidacy, 0.0)
            elif now >= candidacy.next_try:
                candidacy.term = self._next_term(name)
                self._ask(now, name, renewal=False)

    def on_message(self, now: float, sender: str, message: Message) -> None:
        """A message came. LeaseMessageError: it is none; unknown leases are passed over."""
        try:
            kind, name, *fields = message
            if name not in self._durations:
                return
            match kind, fields:
                case "ask", [int(view), int(term), int(life), int(number), bool(renewal)]:
                    self._on_ask(now, sender, name, view, term, life, number, renewal)
                case "grant", [int(view), int(term), int(number)]:
                    self._on_grant(now, sender, name, view, term, number)
                case "refuse", [int(view), int(term), int(number), float(wait_s)]:
                    self._on_refuse(now, sender, name, view, term, number, wait_s)
                case "release", [int(term), int(life)]:
                    self._on_release(now, sender, name, term, life)
                case "withdraw", [int(term), int(life)]:
                    self._on_withdraw(sender, name, term, life)
                case _:
                    raise LeaseMessageError(f"no such message: {kind!r}")
        except (TypeError, ValueError) as error:
            raise LeaseMessageError(str(error)) from error

    def on_synced(self, record: list[Any]) -> None:
        """The record of a Persist is on disk: renewals of its term need no other. If this isn't called, each
        renewal is persisted."""
        vote = self._votes[record[1]]
        vote.synced = max(vote.synced, record[2])

    def take_actions(self) -> list[Action]:
        """What is to be done since the last call, in order."""
        actions, self._actions = self._actions, []
        return actions

    # Voter

    def _promise_s(self, name: str) -> float:
        lease_s, lock_delay_s = self._durations[name]
        return lease_s + lock_delay_s

    def _outlasting(self, number: int, voters: frozenset[str], promise_s: float) -> float:
        """Until when grants of an earlier view may bind whose majorities need not meet one of `voters`."""
        until = 0.0
        last = len(self._earlier) - 1
        for place, (earlier, of_earlier, _) in enumerate(self._earlier):
            # Majorities of `earlier` ended before its successor was learned; the entry after it is taken as
            # the bound, which is later.
            ended = self._earlier[min(place + 1, last)][2]
            if earlier and not _old_voters_meet(of_earlier, voters):
                until = max(until, ended + promise_s)
        return until

    def _grants(self, view: int) -> bool:
        """Whether this node may grant anything in `view`."""
        return view == self._view and view > self._suspended_view and self.node in self._voters

    def _free(self, now: float, vote: _Vote, sender: str) -> bool:
        return vote.holder in ("", sender) or now >= vote.until

    def _abstains(self, now: float, vote: _Vote) -> bool:
        return now < vote.abstain_until

    def _on_ask(
        self, now: float, sender: str, name: str, view: int, term: int, life: int, number: int, renewal: bool
    ) -> None:
        vote = self._votes[name]
        candidate = f"{sender}/{life:x}"
        wait_s = 0.0
        if not self._free(now, vote, sender):
            wait_s = vote.until - now
        if self._abstains(now, vote) and not renewal:
            wait_s = max(wait_s, vote.abstain_until - now)
        in_turn = term > vote.term or (term == vote.term and candidate == vote.candidate)
        if not self._grants(view) or wait_s > 0.0 or not in_turn:
            self._reply(now, sender, ["refuse", name, self._view, vote.term, number, wait_s])
            return
        if vote.holder != sender:
            vote.before = 0.0
        elif term > vote.term:
            vote.before = max(vote.before, vote.until)
        vote.holder, vote.until = sender, now + self._promise_s(name)
        vote.term, vote.candidate = term, candidate
        grant = ["grant", name, view, term, number]
        if vote.synced >= term:
            self._reply(now, sender, grant)
        else:
            self._actions.append(Persist(["ballot", name, term, candidate], [(sender, grant)]))

    def _on_release(self, now: float, sender: str, name: str, term: int, life: int) -> None:
        vote = self._votes[name]
        candidacy = self._candidacies[name]
        if vote.term == term and vote.candidate == f"{sender}/{life:x}":
            vote.until = max(vote.before, min(vote.until, now + self._durations[name].lock_delay_s))
        if sender != self.node and candidacy.campaigning and not candidacy.term:
            self._wait(now + self._durations[name].lock_delay_s, candidacy)

    def _on_withdraw(self, sender: str, name: str, term: int, life: int) -> None:
        """Never held under this term: only what was promised earlier binds."""
        vote = self._votes[name]
        if vote.term == term and vote.candidate == f"{sender}/{life:x}":
            vote.until = vote.before

    # Candidate

    def _reply(self, now: float, to: str, message: Message) -> None:
        if to == self.node:
            self.on_message(now, to, message)
        else:
            self._actions.append(Send(to, message))

    def _to_voters(self, now: float, message: Message) -> None:
        for voter in self._voters:
            if voter != self.node:
                self._actions.append(Send(voter, list(message)))
        # Oneself last: one's own refusal may withdraw what was asked, and that must follow the asks.
        if self.node in self._voters:
            self.on_message(now, self.node, list(message))

    def _wait(self, now: float, candidacy: _Candidacy) -> None:
        """Candidates come one by one, in the order of their names."""
        rank = sum(voter < self.node for voter in self._voters)
        candidacy.next_try = now + RANK_S * (rank + self._random.random())

    def _back_off(self, now: float, candidacy: _Candidacy, wait_s: float) -> None:
        candidacy.next_try = now + wait_s + self._random.uniform(*BACKOFF_S)

    def _next_term(self, name: str) -> int:
        """Above all that is known. Each is asked for once in a life: were one used again, a late withdrawal
        could free what had been promised anew."""
        candidacy = self._candidacies[name]
        candidacy.seen = max(candidacy.seen, self._votes[name].term, self._view << TERM_BITS) + 1
        return candidacy.seen

    def _ask(self, now: float, name: str, *, renewal: bool) -> None:
        candidacy = self._candidacies[name]
        self._round += 1
        number = self._round << 48 | self._life >> 1  # another life's answers never fit
        number &= (1 << 62) - 1
        candidacy.asked_at = now
        candidacy.rounds[number] = _Round(now, candidacy.term)
        while len(candidacy.rounds) > KEPT_ROUNDS:
            del candidacy.rounds[next(iter(candidacy.rounds))]
        self._to_voters(now, ["ask", name, self._view, candidacy.term, self._life, number, renewal])

    def _lease_start(self, asked_at: float, now: float) -> float:
        return asked_at

    def _on_grant(self, now: float, sender: str, name: str, view: int, term: int, number: int) -> None:
        candidacy = self._candidacies[name]
        current = candidacy.rounds.get(number)
        if current is None or view != self._view or term != candidacy.term or sender not in self._voters:
            return
        current.granted.add(sender)
        if len(current.granted) < majority(len(self._voters)):
            return
        if candidacy.holding and now >= candidacy.held_until:
            return  # lapsed: only a new term may follow
        until = self._lease_start(current.asked_at, now) + self._durations[name].lease_s
        if now < until:
            candidacy.holding = True
            candidacy.held_until = max(candidacy.held_until, until)
            for older in [key for key, each in candidacy.rounds.items() if each.asked_at < current.asked_at]:
                del candidacy.rounds[older]

    def _on_refuse(
        self, now: float, sender: str, name: str, view: int, term: int, number: int, wait_s: float
    ) -> None:
        candidacy = self._candidacies[name]
        current = candidacy.rounds.get(number)
        if view == self._view:
            candidacy.seen = max(candidacy.seen, term)
        if current is None or sender not in self._voters:
            return
        current.refused[sender] = wait_s
        needed = majority(len(self._voters))
        if candidacy.holding or len(self._voters) - len(current.refused) >= needed:
            return
        # By when a majority might be free: those not yet heard of count as free now.
        waits = sorted([0.0] * (len(self._voters) - len(current.refused)) + list(current.refused.values()))
        self._give_back(now, name, held=False)
        self._back_off(now, candidacy, waits[needed - 1])

    def _give_back(self, now: float, name: str, *, held: bool) -> None:
        """Forget the term; the voters hear that it was released, or that it was never held."""
        candidacy = self._candidacies[name]
        term, was_holding = candidacy.term, candidacy.holding
        candidacy.term, candidacy.holding, candidacy.held_until = 0, False, 0.0
        candidacy.rounds.clear()
        if not term:
            return
        if held:
            self._to_voters(now, ["release", name, term, self._life])
        elif not was_holding:
            self._to_voters(now, ["withdraw", name, term, self._life])
