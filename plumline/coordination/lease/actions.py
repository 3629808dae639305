"""What a lease election asks its owner to do: messages to send and records to make durable."""

from collections.abc import Callable
from typing import NamedTuple

from plumline.coordination.lease.messages import LeaseMessage, WireMessage
from plumline.coordination.lease.quorum import Electorate
from plumline.coordination.lease.records import StoredRecord, TermRecord


class Send(NamedTuple):
    """Send `message` to the node `to`. The protocol tolerates loss, delay and duplication."""

    to: str
    message: WireMessage


class Persist(NamedTuple):
    """Make `record` durable; only then send `send_after` and call `LeaseElection.on_synced(record)`.

    A message in `send_after` that is addressed to this node goes to its own `LeaseElection.on_message`.
    """

    record: StoredRecord
    send_after: list[Send]


Action = Send | Persist


class Outbox:
    """Collects the actions of one node in order. A message to the node itself is delivered at once."""

    def __init__(self, node: str, deliver_locally: Callable[[float, str, LeaseMessage], None]) -> None:
        """`deliver_locally` takes the time, the sender and the message."""
        self._node = node
        self._deliver_locally = deliver_locally
        self._actions: list[Action] = []

    def send(self, now: float, to: str, message: LeaseMessage) -> None:
        """Send a message that doesn't depend on a durable record."""
        if to == self._node:
            self._deliver_locally(now, to, message)
        else:
            self._actions.append(Send(to, message.to_wire()))

    def broadcast(self, now: float, electorate: Electorate, message: LeaseMessage) -> None:
        """Send a message to all voters, to this node last.

        A refusal by this node may make it withdraw the request, and the withdrawal must follow the requests.
        """
        for voter in electorate.voters:
            if voter != self._node:
                self._actions.append(Send(voter, message.to_wire()))
        if self._node in electorate.voters:
            self._deliver_locally(now, self._node, message)

    def persist(self, record: TermRecord, to: str, message: LeaseMessage) -> None:
        """Make a record durable, then send a message."""
        self._actions.append(Persist(record.to_stored(), [Send(to, message.to_wire())]))

    def take(self) -> list[Action]:
        """The actions since the last call, in order."""
        actions, self._actions = self._actions, []
        return actions
