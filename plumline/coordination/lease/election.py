"""Lease elections on one node: its voter, its candidate and the dispatch of messages to them."""

from collections.abc import Iterable
from random import Random

from plumline.coordination.lease.actions import Action, Outbox
from plumline.coordination.lease.candidate import Candidate
from plumline.coordination.lease.durations import LeaseDurations
from plumline.coordination.lease.messages import (
    LeaseGrant,
    LeaseMessage,
    LeaseRefusal,
    LeaseRelease,
    LeaseRequest,
    LeaseWithdrawal,
    WireMessage,
    message_from_wire,
)
from plumline.coordination.lease.quorum import Electorate
from plumline.coordination.lease.records import TERM_RECORD_KIND, StoredRecord, TermRecord
from plumline.coordination.lease.voter import Voter


class LeaseElection:
    """One node's part, as voter and as candidate, in the elections of each lease in `durations`.

    It uses no clock, sockets or disk: `now` is the node's monotonic time in seconds, messages and records
    are passed in their wire and stored forms. After each call the owner has to take the actions from
    `take_actions` and carry them out.
    """

    def __init__(self, node: str, durations: dict[str, LeaseDurations], random: Random) -> None:
        """`node` is the address of this node; `random` generates its incarnation and its jitter."""
        self._durations = durations
        self._view = 0
        self._outbox = Outbox(node, self._deliver)
        self.voter = Voter(node, durations, self._outbox)
        self.candidate = Candidate(node, durations, self.voter, self._outbox, random)

    def restore(self, records: Iterable[StoredRecord]) -> None:
        """Replay durable records, before anything else is called. Records of other kinds are ignored."""
        self.voter.restore(
            [TermRecord.from_stored(record) for record in records if record[0] == TERM_RECORD_KIND]
        )

    def records(self) -> list[StoredRecord]:
        """The whole durable state, for a compaction of the log."""
        return [record.to_stored() for record in self.voter.records()]

    def set_view(self, now: float, number: int, voters: Iterable[str], *, created_now: bool = False) -> None:
        """Take part in view `number` from now on; a view that isn't newer is ignored.

        `voters` omits each node, including this one, whose incarnation differs from the one in the view.
        `created_now`: this process has itself just taken part in forming the first view.
        """
        if number <= self._view:
            return
        self._view = number
        electorate = Electorate(number, tuple(sorted(voters)))
        self.voter.set_view(now, electorate, created_now=created_now)
        self.candidate.set_view(now, electorate)

    def stop_granting(self, view: int) -> None:
        """See `Voter.stop_granting`."""
        self.voter.stop_granting(view)

    def campaign(self, now: float, lease: str) -> None:
        """Campaign for the lease from now on, until it is released."""
        self.candidate.campaign(now, lease)

    def release(self, now: float, lease: str) -> None:
        """Stop acting and campaigning for the lease, and release it."""
        self.candidate.release(now, lease)

    def fencing_token(self, now: float, lease: str) -> int | None:
        """The fencing token if this node may act for the lease at `now`. Call it right before each act."""
        return self.candidate.fencing_token(now, lease)

    def tick(self, now: float) -> None:
        """Do what is due, see `Candidate.tick`. To be called about ten times a second."""
        self.candidate.tick(now)

    def on_message(self, now: float, sender: str, wire: WireMessage) -> None:
        """Handle a message; one about an unknown lease is ignored.

        Raises LeaseMessageError if it is not a message of this protocol.
        """
        message = message_from_wire(wire, self._durations)
        if message is not None:
            self._deliver(now, sender, message)

    def on_synced(self, record: StoredRecord) -> None:
        """The record of a `Persist` is durable. If this isn't called, each renewal is persisted again."""
        self.voter.on_synced(TermRecord.from_stored(record))

    def take_actions(self) -> list[Action]:
        """The actions since the last call, in order."""
        return self._outbox.take()

    def _deliver(self, now: float, sender: str, message: LeaseMessage) -> None:
        match message:
            case LeaseRequest():
                self.voter.on_request(now, sender, message)
            case LeaseGrant():
                self.candidate.on_grant(now, sender, message)
            case LeaseRefusal():
                self.candidate.on_refusal(now, sender, message)
            case LeaseRelease():
                self.voter.on_release(now, sender, message)
                self.candidate.on_release(now, sender, message)
            case LeaseWithdrawal():
                self.voter.on_withdrawal(sender, message)
