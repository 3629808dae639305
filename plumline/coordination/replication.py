"""The chain: entered at the head, answered from the tail.

The head orders changes; every member syncs an entry before it passes it on; the tail commits what it has
synced if the chain has copies enough, and the commit travels back up. Only committed entries reach
`applied`. What was lost is sent again after a while, so lost messages cost time only.

A predecessor's log always holds all that its successor's does; a view keeps the order of those that stay.
Who is not in the chain is a learner: it holds committed entries only, and is then admitted as the new tail.

Whoever lacks entries that are no longer kept pulls a whole state piece by piece (`snapshot_transfer`).
Entries go to a successor a window at a time, to a learner a lesson at a time, so what is on its way to a
member is bounded.
"""

from collections.abc import Callable, Iterable
from typing import Any

from plumline.coordination.environment import Environment, Member, Message, Record
from plumline.coordination.log import Entry, ReplicationLog
from plumline.coordination.read_barrier import ReadBarrier
from plumline.coordination.retry_timer import RetryTimer
from plumline.coordination.snapshot_transfer import (
    ChunkRequest,
    Snapshot,
    SnapshotChunk,
    SnapshotFetch,
    SnapshotSender,
)
from plumline.coordination.view import View
from plumline.errors import PlumlineError, UnavailableError

#: Committed entries kept in memory for those that follow; who is further behind gets the state.
RETAINED_ENTRIES = 512
RETAINED_BYTES = 4 * 1024 * 1024  # of them on the wire: about 16 MiB of memory
REPORT_INTERVAL_S = 0.2  # s between reports to the predecessor
WINDOW_BYTES = (
    1024 * 1024
)  # of entries that a successor may have been sent and not reported; one at the least
CATCH_UP_BATCH_BYTES = 128 * 1024  # of entries in one lesson; one at the least
CATCH_UP_RETRY_S = 0.8  # s at the most until the next one is asked for a lesson
SubmitCallback = Callable[[PlumlineError | None], None]  # None: committed


class ChainReplica:
    """`state` is any object with check(change) -> bool (True: taken before), apply(change) -> state,
    to_wire(); `load` makes one from the wire. check raises PlumlineError for what may not be applied."""

    def __init__(
        self,
        me: Member,
        copies: int,
        effects: Environment,
        empty: Any,  # noqa: ANN401
        load: Callable[[Any], Any],
        applied: Callable[[int, list[Any] | None], None],
    ) -> None:
        """`applied(number, change)` for each committed entry in order; with None where a whole state came."""
        self.me, self.copies, self.effects, self.load, self.applied = me, copies, effects, load, applied
        self.view: View | None = None
        self.position: int | None = None  # in the chain; None: learner
        self.log = ReplicationLog()  # the newest is `last`
        self.state = empty  # committed
        self.latest_state = empty  # with all entries of the log
        self.committed_index = self.last_index = self.synced_index = 0
        self.caught_up = False  # holds all that this view's predecessor held as it began
        self.stale = False  # was taken out with uncommitted entries, to be dropped
        self.floor: int | None = None  # number from which on it is
        self.life = 0  # rises when entries are dropped or replaced: what was being written counts no more
        self.waiting: dict[int, list[tuple[SubmitCallback, PlumlineError | None]]] = {}
        self.reported = -1  # `last` that the successor told on its newest report; -1: it hasn't
        self.sent = -1  # the newest entry that the successor was sent
        self.resend = RetryTimer()  # for the successor to take what it was sent
        self.unreported = 0  # bytes taken since the newest report
        self.now = self.tick_at = 0.0
        self.snapshots = SnapshotSender(
            lambda: (self.committed_index, self.state.to_wire()),
            lambda number: number == self.committed_index or self.log.continues_from(number),
        )
        self.transfer = SnapshotFetch()
        self.near = False  # the newest lesson left nothing over
        self.read_barrier = ReadBarrier(effects)
        self.lessons = -1

    # Durable state.

    def restore(self, record: Record) -> None:
        match record:
            case ["base", int(number), wire]:
                self.state = self.latest_state = self.load(wire)
                self.log.clear()
                self.committed_index = self.last_index = self.synced_index = number
            case ["entry", int(number), change, int(committed)] if number == self.last_index + 1:
                self.log.append(number, change)
                self.latest_state = self.latest_state.apply(change)
                self.last_index = self.synced_index = number
                self.advance(min(committed, self.synced_index), quiet=True)
            case ["caught-up", bool(caught_up)]:
                self.caught_up = caught_up
            case ["stale"]:
                self.stale = True
            case ["drop", int(number)]:
                self.stale = False
                self.drop_after(number)

    def records(self) -> list[Record]:
        found: list[Record] = [["base", self.committed_index, self.state.to_wire()]]
        found += [
            ["entry", each.index, each.change, self.committed_index]
            for each in self.log.between(self.committed_index, self.last_index)
        ]
        found.append(["caught-up", self.caught_up])
        if self.stale:
            found.append(["stale"])
        return found

    def drop_after(self, number: int) -> None:
        """Forgets entries that may never have been committed."""
        self.life += 1
        self.log.truncate_after(number)
        self.last_index = min(self.last_index, max(number, self.committed_index))
        self.synced_index = min(self.synced_index, self.last_index)
        self.latest_state = self.state
        for each in self.log.between(self.committed_index, self.last_index):
            self.latest_state = self.latest_state.apply(each.change)

    # The view.

    def install(self, view: View) -> None:
        was_head = self.is_head()
        self.view, self.position = view, view.position(self.me)
        self.floor, self.reported, self.sent = None, -1, -1
        self.resend, self.near = RetryTimer(), False
        self.transfer.begin_view()
        if (view.number == 1 and self.position is not None) or self.position is None:
            self.set_caught_up(self.position is not None)
        self.tick_at = 0.0
        self.read_barrier.deny_all()
        if was_head and self.position != 0:
            self.fail_waiting()
        if self.position is None:
            if self.last_index > self.committed_index and not self.stale:
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
            self.effects.persist(["drop", self.committed_index], lambda: None)
            self.drop_after(self.committed_index)

    def set_caught_up(self, caught_up: bool) -> None:
        """Kept while it stays in the chain, also on the disk: a chain may lose its head as it restarts."""
        if caught_up != self.caught_up:
            self.caught_up = caught_up
            self.effects.persist(["caught-up", caught_up], lambda: None)

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

    def view_number(self) -> int:
        return self.view.number if self.view else 0

    def can_commit(self) -> bool:
        return self.view is not None and len(self.view.chain) >= self.copies

    # Changes.

    def submit(self, change: list[Any], answer: SubmitCallback) -> None:
        """At the head. `answer(None)` once it is committed, also if the same was taken before; else an error.
        An error that rests on an entry not yet committed waits for that one."""
        if not self.is_head() or not self.can_commit():
            answer(UnavailableError("this chain can't commit now"))
            return
        error: PlumlineError | None = None
        try:
            taken = self.latest_state.check(change)
        except PlumlineError as found:
            taken, error = True, found
        if not taken:
            self.append(self.last_index + 1, change)
        if self.committed_index >= self.last_index:
            if error is None:
                answer(None)
            else:  # a head that was taken out may know too little to refuse anything
                told = UnavailableError("this chain may not be the present one")
                self.confirm(lambda present: answer(error if present else told))
        else:
            self.waiting.setdefault(self.last_index, []).append((answer, error))

    def append(self, number: int, change: list[Any]) -> None:
        self.latest_state = self.latest_state.apply(change)
        entry = self.log.append(number, change)
        self.last_index = number
        life = self.life

        def done() -> None:
            if life == self.life:
                self.synced_index = number
                self.push()
                self.note_taken(entry.size)
                self.check_floor()
                self.commit_if_tail()

        self.effects.persist(["entry", number, change, self.committed_index], done)

    def note_taken(self, size: int) -> None:
        """Reports before the predecessor's window is used up."""
        self.unreported += size
        if self.unreported >= WINDOW_BYTES // 2:
            self.report()

    def commit_if_tail(self) -> None:
        if self.is_tail() and self.caught_up and self.can_commit():
            self.advance(self.synced_index)
            if predecessor := self.neighbour(-1):
                self.effects.send(predecessor, ["chain-commit", self.view_number(), self.committed_index])

    def advance(self, number: int, quiet: bool = False) -> None:
        """Commits up to `number`, which is synced here."""
        number = min(number, self.synced_index)
        if number <= self.committed_index:
            return
        for each in list(self.log.between(self.committed_index, number)):
            newest = each.index == self.last_index
            self.state = self.latest_state if newest else self.state.apply(each.change)
            self.committed_index = each.index
            if not quiet:
                self.applied(each.index, each.change)
        self.trim()
        for n in [each for each in self.waiting if each <= self.committed_index]:
            for answer, error in self.waiting.pop(n):
                answer(error)

    def trim(self) -> None:
        self.log.trim(self.committed_index, RETAINED_ENTRIES, RETAINED_BYTES)

    # Reports to the predecessor; what it sends for them.

    def tick(self, now: float) -> None:
        self.now = now
        self.snapshots.tick(now)
        if now >= self.tick_at:
            self.tick_at = now + REPORT_INTERVAL_S
            if self.position is None:
                self.learn()
            else:
                self.pull_again()
                self.report()
                self.commit_if_tail()

    def report(self) -> None:
        self.unreported = 0
        if predecessor := self.neighbour(-1):
            told = ["chain-report", self.view_number(), self.last_index, self.committed_index, self.caught_up]
            self.effects.send(predecessor, told)

    def on_report(self, sender: str, last: int, committed: int, caught_up: bool) -> None:
        if self.reported < 0:
            self.sent = last
        self.reported = min(self.reported, last)  # it may have lost in a restart what it had not synced
        self.note_reported(last)
        if self.caught_up and not caught_up:
            self.effects.send(sender, ["chain-floor", self.view_number(), self.synced_index])
        if last < self.sent and self.resend.may_send(self.now):
            self.resend.start(self.now)
            self.sent = last  # some of it was lost
        self.push()
        if committed > self.committed_index:
            self.advance(committed)
            if predecessor := self.neighbour(-1):
                self.effects.send(predecessor, ["chain-commit", self.view_number(), self.committed_index])

    def note_reported(self, last: int) -> None:
        """The successor has all entries up to this one."""
        self.sent = max(self.sent, last)
        if last > self.reported:
            self.reported = last
            self.resend.on_reply(self.now)
            if self.sent > last:
                self.resend.start(self.now)

    def push(self) -> None:
        """Sends the successor what it lacks and is synced here, as far as its window reaches."""
        successor = self.neighbour(1)
        if successor is None or self.reported < 0 or self.sent >= self.synced_index:
            return
        if not self.log.continues_from(self.sent):
            self.effects.send(successor, ["chain-behind", self.view_number()])
            return
        room = WINDOW_BYTES - self.log.bytes_between(self.reported, self.sent)
        entries = list(self.log.between(self.sent, self.synced_index))
        if self.sent > self.reported and entries[0].size > room:
            return
        for each in first_bytes(entries, room):
            self.effects.send(successor, ["chain-entry", self.view_number(), each.index, each.change])
            self.sent = each.index
        if not self.resend.awaiting_reply:
            self.resend.start(self.now)

    def take_state(self, number: int, wire: Any) -> None:  # noqa: ANN401
        """A whole committed state in place of entries that are no longer at hand."""
        if number <= self.last_index:
            self.advance(number)  # what follows it may be on its way to the tail already
            return
        state = self.load(wire)
        self.life += 1
        self.log.clear()
        self.state = self.latest_state = state
        self.committed_index = self.last_index = number
        self.applied(number, None)
        life = self.life

        def done() -> None:
            if life == self.life:
                self.synced_index = number
                self.report()
                self.push()
                self.check_floor()
                self.commit_if_tail()

        self.effects.persist(["base", number, wire], done)

    def check_floor(self) -> None:
        if self.floor is not None and self.synced_index >= self.floor and not self.caught_up:
            self.set_caught_up(True)
            self.commit_if_tail()

    # Whole states, for a successor or a learner.

    def pull(self, source: str) -> None:
        """Asks for the piece that is wanted next."""
        self.ask_piece(source, self.transfer.request(self.now, source))

    def ask_piece(self, source: str, wanted: ChunkRequest) -> None:
        self.effects.send(
            source, ["chain-pull", self.view_number(), wanted.index, wanted.digest, wanted.offset]
        )

    def pull_again(self) -> None:
        """In the chain: a state that the predecessor was asked for and did not send on."""
        if (
            self.transfer.in_progress
            and self.transfer.may_request(self.now)
            and (predecessor := self.neighbour(-1))
        ):
            self.pull(predecessor)

    def on_behind(self, sender: str) -> None:
        """The predecessor no longer keeps what is lacking here."""
        if self.transfer.may_request(self.now):
            self.pull(sender)

    def on_pull(self, sender: str, wanted: ChunkRequest) -> None:
        chunk = self.snapshots.chunk_for(self.now, wanted)
        self.effects.send(sender, ["chain-piece", self.view_number(), *chunk.to_wire()])

    def on_piece(self, sender: str, wire: list[Any]) -> None:
        """Only a state from beyond what is held here is of use."""
        try:
            match self.transfer.on_chunk(
                self.now, sender, SnapshotChunk.from_wire(wire), self.committed_index
            ):
                case Snapshot() as whole:
                    if self.position is None:
                        self.drop_uncommitted()
                    self.take_state(whole.id.index, whole.unpack())
                    if self.position is None:
                        self.ask_lesson(sender)
                case ChunkRequest() as wanted:
                    self.ask_piece(sender, wanted)
        except PlumlineError:
            self.transfer.reset()

    # Learning, outside the chain: committed entries only, from the tail.

    def learn(self) -> None:
        if self.view is None or not self.view.chain or not self.transfer.may_request(self.now):
            return
        if self.transfer.in_progress and self.in_chain(self.transfer.source):
            self.pull(self.transfer.source)
            return
        self.lessons += 1  # each in turn, from the tail on: one may be gone
        teacher, _ = self.view.chain[-1 - self.lessons % len(self.view.chain)]
        if self.transfer.in_progress:
            self.pull(teacher)
        else:
            self.ask_lesson(teacher)

    def in_chain(self, address: str) -> bool:
        return self.view is not None and any(address == each for each, _ in self.view.chain)

    def ask_lesson(self, teacher: str) -> None:
        self.transfer.source = teacher
        self.transfer.timer.start(self.now, CATCH_UP_RETRY_S)
        self.effects.send(teacher, ["chain-learn", self.view_number(), self.committed_index])

    def on_learn(self, sender: str, place: int) -> None:
        if place < self.committed_index and not self.log.continues_from(place):
            self.on_pull(sender, ChunkRequest())
            return
        entries = list(first_bytes(list(self.log.between(place, self.committed_index)), CATCH_UP_BATCH_BYTES))
        more = bool(entries) and entries[-1].index < self.committed_index
        told = [[each.index, each.change] for each in entries]
        self.effects.send(sender, ["chain-lesson", self.view_number(), more, told])

    def on_lesson(self, sender: str, more: bool, entries: list[Any]) -> None:
        if self.transfer.awaits_reply_from(sender):
            self.transfer.timer.on_reply(self.now)
            self.near = not more
        if entries:
            self.drop_uncommitted()
        life = self.life
        for n, change in entries:
            if n != self.last_index + 1:
                continue
            self.latest_state = self.latest_state.apply(change)
            self.log.append(n, change)
            self.last_index = self.committed_index = n
            self.state = self.latest_state
            self.applied(n, change)
            self.effects.persist(["entry", n, change, n], lambda n=n: self.lesson_synced(n, life, sender))
        self.trim()

    def lesson_synced(self, number: int, life: int, teacher: str) -> None:
        if life != self.life:
            return
        self.synced_index = max(self.synced_index, number)
        self.check_floor()
        self.commit_if_tail()
        level = self.near or self.synced_index < self.last_index
        if self.position is None and not level and not self.transfer.timer.awaiting_reply:
            self.ask_lesson(teacher)

    def status(self) -> int:
        """What its pings tell: 2 in the chain and caught up, 1 in the chain, 0 a learner that holds all but a
        lesson, -1 one that lacks more."""
        if self.position is not None:
            return 1 + int(self.caught_up)
        return 0 if self.near and not self.transfer.in_progress else -1

    # Reads.

    def read(self, answer: Callable[[Any], None]) -> None:
        """At the tail: `answer(state)` once a majority of acceptors knows no newer view; `answer(None)`
        where this is not a tail that may say."""
        certain = self.can_commit() or self.committed_index == self.synced_index
        if not self.is_tail() or not self.caught_up or not certain or self.view is None:
            answer(None)
            return
        self.confirm(lambda present: answer(self.state if present else None))

    def confirm(self, answer: Callable[[bool], None]) -> None:
        """`answer(True)` once a majority of acceptors has said that it knows no newer view."""
        if self.view is None:
            answer(False)
        else:
            self.read_barrier.confirm(self.view, answer)

    # Messages.

    def on_message(self, sender: str, message: Message) -> bool:
        match message:
            case ["chain-entry", number, int(n), change]:
                if number == self.view_number() and sender == self.neighbour(-1) and n == self.last_index + 1:
                    self.append(n, change)
            case ["chain-behind", number]:
                if number == self.view_number() and sender == self.neighbour(-1):
                    self.on_behind(sender)
            case ["chain-pull", number, int(n), str(digest), int(offset)]:
                if number == self.view_number() and self.position is not None:
                    self.on_pull(sender, ChunkRequest(n, digest, offset))
            case ["chain-piece", number, *wire]:
                if number == self.view_number() and (self.position is None or sender == self.neighbour(-1)):
                    self.on_piece(sender, wire)
            case ["chain-floor", number, int(n)]:
                if number == self.view_number() and sender == self.neighbour(-1):
                    self.floor = n if self.floor is None else self.floor
                    self.check_floor()
            case ["chain-report", number, int(last), int(committed), bool(caught_up)]:
                if number == self.view_number() and sender == self.neighbour(1):
                    self.on_report(sender, last, committed, caught_up)
            case ["chain-commit", number, int(n)]:
                if number == self.view_number() and sender == self.neighbour(1) and n > self.committed_index:
                    if self.reported >= 0:
                        self.note_reported(n)
                        self.push()
                    self.advance(n)
                    if predecessor := self.neighbour(-1):
                        self.effects.send(
                            predecessor, ["chain-commit", self.view_number(), self.committed_index]
                        )
            case ["chain-learn", number, int(place)]:
                if number == self.view_number() and self.position is not None:
                    self.on_learn(sender, place)
            case ["chain-lesson", number, bool(more), list(entries)]:
                if number == self.view_number() and self.position is None:
                    self.on_lesson(sender, more, entries)
            case ["view-checked", int(nonce), int(number)]:
                self.read_barrier.on_confirmed(sender, nonce, number)
            case _:
                return False
        return True


def first_bytes(entries: Iterable[Entry], most: int) -> Iterable[Entry]:
    """The first of the entries, and those that follow while all are no longer than `most` bytes."""
    taken = 0
    for each in entries:
        taken += each.size
        if taken > most and taken > each.size:
            return
        yield each
