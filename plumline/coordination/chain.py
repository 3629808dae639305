"""The chain: entered at the head, answered from the tail.

The head orders changes; every member syncs an entry before it passes it on; the tail commits what it has
synced if the chain has copies enough, and the commit travels back up. Only committed entries reach
`applied`. Everything is repeated on the tick until it has happened, so lost messages cost time only.

A predecessor's log always holds all that its successor's does; a view keeps the order of those that stay.
Who is not in the chain is a learner: it holds committed entries only, and is then admitted as the new tail.
"""

import secrets
from collections import deque
from collections.abc import Callable
from typing import Any

from plumline.coordination.effects import Effects, Member, Message, Record
from plumline.coordination.view import View
from plumline.errors import PlumlineError, UnavailableError

#: Committed entries kept in memory for those that follow; who is further behind gets the state.
KEPT_ENTRIES = 512
TICK = 0.2  # s between reports to the predecessor
Answer = Callable[[PlumlineError | None], None]  # None: committed


class Chain:
    """`state` is any object with check(change) -> bool (True: taken before), apply(change) -> state,
    to_wire(); `load` makes one from the wire. check raises PlumlineError for what may not be applied."""

    def __init__(
        self,
        me: Member,
        copies: int,
        effects: Effects,
        empty: Any,  # noqa: ANN401
        load: Callable[[Any], Any],
        applied: Callable[[int, list[Any] | None], None],
    ) -> None:
        """`applied(number, change)` for each committed entry in order; with None where a whole state came."""
        self.me, self.copies, self.effects, self.load, self.applied = me, copies, effects, load, applied
        self.view: View | None = None
        self.position: int | None = None  # in the chain; None: learner
        self.log: deque[tuple[int, list[Any]]] = deque()  # consecutive, the newest is `last`
        self.state = empty  # committed
        self.newest = empty  # with all entries of the log
        self.committed = self.last = self.synced = 0
        self.caught_up = False  # holds all that this view's predecessor held as it began
        self.stale = False  # was taken out with uncommitted entries, to be dropped
        self.floor: int | None = None  # number from which on it is
        self.life = 0  # rises when entries are dropped or replaced: what was being written counts no more
        self.waiting: dict[int, list[tuple[Answer, PlumlineError | None]]] = {}
        self.reported = -1  # `last` that the successor told on its newest report
        self.tick_at = 0.0
        self.checks: dict[int, tuple[set[str], Callable[[bool], None]]] = {}  # by nonce
        self.nonce = secrets.randbits(48)  # what was sent to an earlier life answers nothing in this one
        self.lessons = -1

    # Durable state.

    def restore(self, record: Record) -> None:
        match record:
            case ["base", int(number), wire]:
                self.state = self.newest = self.load(wire)
                self.log.clear()
                self.committed = self.last = self.synced = number
            case ["entry", int(number), change, int(committed)] if number == self.last + 1:
                self.log.append((number, change))
                self.newest = self.newest.apply(change)
                self.last = self.synced = number
                self.advance(min(committed, self.synced), quiet=True)
            case ["caught-up", bool(caught_up)]:
                self.caught_up = caught_up
            case ["stale"]:
                self.stale = True
            case ["drop", int(number)]:
                self.stale = False
                self.drop_after(number)

    def records(self) -> list[Record]:
        found: list[Record] = [["base", self.committed, self.state.to_wire()]]
        found += [["entry", n, change, self.committed] for n, change in self.log if n > self.committed]
        found.append(["caught-up", self.caught_up])
        if self.stale:
            found.append(["stale"])
        return found

    def drop_after(self, number: int) -> None:
        """Forgets entries that may never have been committed."""
        self.life += 1
        while self.log and self.log[-1][0] > number:
            self.log.pop()
        self.last = min(self.last, max(number, self.committed))
        self.synced = min(self.synced, self.last)
        self.newest = self.state
        for n, change in self.log:
            if n > self.committed:
                self.newest = self.newest.apply(change)

    # The view.

    def install(self, view: View) -> None:
        was_head = self.is_head()
        self.view, self.position = view, view.position(self.me)
        self.floor, self.reported = None, -1
        if (view.number == 1 and self.position is not None) or self.position is None:
            self.set_caught_up(self.position is not None)
        self.tick_at = 0.0
        self.fail_checks()
        if was_head and self.position != 0:
            self.fail_waiting()
        if self.position is None:
            if self.last > self.committed and not self.stale:
                self.stale = True
                self.effects.persist(["stale"], lambda: None)
            return
        if self.stale:
            self.drop_uncommitted()
        self.report()
        self.commit_if_tail()

    def drop_uncommitted(self) -> None:
        """Once others tell what was committed, or this registrar joins the chain. Not as soon as it is taken
        out: the old tail may commit for a moment yet what then only it would have on its disk."""
        if self.stale:
            self.stale = False
            self.effects.persist(["drop", self.committed], lambda: None)
            self.drop_after(self.committed)

    def set_caught_up(self, caught_up: bool) -> None:
        """Kept while it stays in the chain, also on the disk: a chain may lose its head as it restarts."""
        if caught_up != self.caught_up:
            self.caught_up = caught_up
            self.effects.persist(["caught-up", caught_up], lambda: None)

    def fail_checks(self) -> None:
        checks, self.checks = self.checks, {}
        for _, answer in checks.values():
            answer(False)

    def fail_waiting(self) -> None:
        waiting, self.waiting = self.waiting, {}
        for answers in waiting.values():
            for answer, _ in answers:
                answer(UnavailableError("the chain changed; whether the change is in force is not known"))

    def is_head(self) -> bool:
        return self.position == 0

    def is_tail(self) -> bool:
        return self.view is not None and self.position == len(self.view.chain) - 1

    def neighbour(self, step: int) -> str | None:
        if self.view is None or self.position is None:
            return None
        at = self.position + step
        return self.view.chain[at][0] if 0 <= at < len(self.view.chain) else None

    def number(self) -> int:
        return self.view.number if self.view else 0

    def can_commit(self) -> bool:
        return self.view is not None and len(self.view.chain) >= self.copies

    # Changes.

    def submit(self, change: list[Any], answer: Answer) -> None:
        """At the head. `answer(None)` once it is committed, also if the same was taken before; else an error.
        An error that rests on an entry not yet committed waits for that one."""
        if not self.is_head() or not self.can_commit():
            answer(UnavailableError("this chain can't commit now"))
            return
        error: PlumlineError | None = None
        try:
            taken = self.newest.check(change)
        except PlumlineError as found:
            taken, error = True, found
        if not taken:
            self.append(self.last + 1, change)
        if self.committed >= self.last:
            if error is None:
                answer(None)
            else:  # a head that was taken out may know too little to refuse anything
                told = UnavailableError("this chain may not be the present one")
                self.confirm(lambda present: answer(error if present else told))
        else:
            self.waiting.setdefault(self.last, []).append((answer, error))

    def append(self, number: int, change: list[Any]) -> None:
        self.newest = self.newest.apply(change)
        self.log.append((number, change))
        self.last = number
        life = self.life

        def done() -> None:
            if life == self.life:
                self.synced = number
                self.pass_on(number, change)
                self.check_floor()
                self.commit_if_tail()

        self.effects.persist(["entry", number, change, self.committed], done)

    def pass_on(self, number: int, change: list[Any]) -> None:
        if (successor := self.neighbour(1)) and self.reported >= 0:
            self.effects.send(successor, ["chain-entry", self.number(), number, change])

    def commit_if_tail(self) -> None:
        if self.is_tail() and self.caught_up and self.can_commit():
            self.advance(self.synced)
            if predecessor := self.neighbour(-1):
                self.effects.send(predecessor, ["chain-commit", self.number(), self.committed])

    def advance(self, number: int, quiet: bool = False) -> None:
        """Commits up to `number`, which is synced here."""
        number = min(number, self.synced)
        if number <= self.committed:
            return
        for n, change in self.log:
            if self.committed < n <= number:
                self.state = self.state.apply(change)
                self.committed = n
                if not quiet:
                    self.applied(n, change)
        if self.committed == self.last:
            self.state = self.newest
        while len(self.log) > KEPT_ENTRIES and self.log[0][0] <= self.committed:
            self.log.popleft()
        for n in [each for each in self.waiting if each <= self.committed]:
            for answer, error in self.waiting.pop(n):
                answer(error)

    # Reports to the predecessor; what it sends for them.

    def tick(self, now: float) -> None:
        if now >= self.tick_at:
            self.tick_at = now + TICK
            if self.position is None:
                self.learn()
            else:
                self.report()
                self.commit_if_tail()

    def report(self) -> None:
        if predecessor := self.neighbour(-1):
            told = ["chain-report", self.number(), self.last, self.committed, self.caught_up]
            self.effects.send(predecessor, told)

    def on_report(self, sender: str, last: int, committed: int, caught_up: bool) -> None:
        again = self.reported == last
        first, self.reported = self.reported < 0, last
        if self.caught_up and not caught_up:
            self.effects.send(sender, ["chain-floor", self.number(), self.synced])
        if first or again:
            self.send_after(sender, last)
        if committed > self.committed:
            self.advance(committed)
            if predecessor := self.neighbour(-1):
                self.effects.send(predecessor, ["chain-commit", self.number(), self.committed])

    def send_after(self, to: str, last: int) -> None:
        """What a successor lacks and is synced here."""
        if last >= self.synced:
            return
        if not self.log or self.log[0][0] > last + 1:
            self.effects.send(to, ["chain-state", self.number(), self.committed, self.state.to_wire()])
            last = self.committed
        for n, change in self.log:
            if last < n <= self.synced:
                self.effects.send(to, ["chain-entry", self.number(), n, change])

    def take_state(self, number: int, wire: Any) -> None:  # noqa: ANN401
        """A whole committed state in place of entries that are no longer at hand."""
        if number <= self.last:
            self.advance(number)  # what follows it may be on its way to the tail already
            return
        self.life += 1
        self.log.clear()
        self.state = self.newest = self.load(wire)
        self.committed = self.last = number
        self.applied(number, None)
        life = self.life

        def done() -> None:
            if life == self.life:
                self.synced = number
                self.check_floor()
                self.commit_if_tail()

        self.effects.persist(["base", number, wire], done)

    def check_floor(self) -> None:
        if self.floor is not None and self.synced >= self.floor and not self.caught_up:
            self.set_caught_up(True)
            self.commit_if_tail()

    # Learning, outside the chain: committed entries only, from the tail.

    def learn(self) -> None:
        if self.view is not None and self.view.chain:
            self.lessons += 1  # each in turn, from the tail on: one may be gone
            teacher, _ = self.view.chain[-1 - self.lessons % len(self.view.chain)]
            self.effects.send(teacher, ["chain-learn", self.number(), self.committed])

    def on_learn(self, sender: str, place: int) -> None:
        if place >= self.committed:
            return
        if not self.log or self.log[0][0] > place + 1:
            told = ["chain-lesson", self.number(), self.committed, self.state.to_wire(), []]
            self.effects.send(sender, told)
        else:
            missing = [[n, change] for n, change in self.log if place < n <= self.committed]
            self.effects.send(sender, ["chain-lesson", self.number(), place, None, missing])

    def on_lesson(self, number: int, wire: Any, entries: list[Any]) -> None:  # noqa: ANN401
        self.drop_uncommitted()
        if wire is not None:
            self.take_state(number, wire)
        life = self.life
        for n, change in entries:
            if n != self.last + 1:
                continue
            self.newest = self.newest.apply(change)
            self.log.append((n, change))
            self.last = self.committed = n
            self.state = self.newest
            self.applied(n, change)
            self.effects.persist(["entry", n, change, n], lambda n=n: self.lesson_synced(n, life))
        while len(self.log) > KEPT_ENTRIES:
            self.log.popleft()

    def lesson_synced(self, number: int, life: int) -> None:
        if life == self.life:
            self.synced = max(self.synced, number)
            self.check_floor()
            self.commit_if_tail()

    # Reads.

    def read(self, answer: Callable[[Any], None]) -> None:
        """At the tail: `answer(state)` once a majority of acceptors knows no newer view; `answer(None)`
        where this is not a tail that may say."""
        certain = self.can_commit() or self.committed == self.synced
        if not self.is_tail() or not self.caught_up or not certain or self.view is None:
            answer(None)
            return
        self.confirm(lambda present: answer(self.state if present else None))

    def confirm(self, answer: Callable[[bool], None]) -> None:
        """`answer(True)` once a majority of acceptors has said that it knows no newer view."""
        if self.view is None:
            answer(False)
            return
        self.nonce += 1
        self.checks[self.nonce] = set(), answer
        while len(self.checks) > 64:
            self.checks.pop(next(iter(self.checks)))[1](False)
        for address, _ in self.view.acceptors:
            self.effects.send(address, ["view-check", self.nonce, self.view.number])

    def on_checked(self, sender: str, nonce: int, number: int) -> None:
        if self.view is None or number != self.view.number or nonce not in self.checks:
            return
        told, answer = self.checks[nonce]
        told.add(sender)
        if len(told) >= self.view.majority():
            del self.checks[nonce]
            answer(True)

    # Messages.

    def on_message(self, sender: str, message: Message) -> bool:
        match message:
            case ["chain-entry", number, int(n), change]:
                if number == self.number() and sender == self.neighbour(-1) and n == self.last + 1:
                    self.append(n, change)
            case ["chain-state", number, int(n), wire]:
                if number == self.number() and sender == self.neighbour(-1):
                    self.take_state(n, wire)
            case ["chain-floor", number, int(n)]:
                if number == self.number() and sender == self.neighbour(-1):
                    self.floor = n if self.floor is None else self.floor
                    self.check_floor()
            case ["chain-report", number, int(last), int(committed), bool(caught_up)]:
                if number == self.number() and sender == self.neighbour(1):
                    self.on_report(sender, last, committed, caught_up)
            case ["chain-commit", number, int(n)]:
                if number == self.number() and sender == self.neighbour(1) and n > self.committed:
                    self.advance(n)
                    if predecessor := self.neighbour(-1):
                        self.effects.send(predecessor, ["chain-commit", self.number(), self.committed])
            case ["chain-learn", number, int(place)]:
                if number == self.number() and self.position is not None:
                    self.on_learn(sender, place)
            case ["chain-lesson", number, int(n), wire, list(entries)]:
                if number == self.number() and self.position is None:
                    self.on_lesson(n, wire, entries)
            case ["view-checked", int(nonce), int(number)]:
                self.on_checked(sender, nonce, number)
            case _:
                return False
        return True
