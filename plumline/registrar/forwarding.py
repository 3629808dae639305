"""Forwards operators' requests to the head or the tail of the chain, from whichever registrar they reach.

Does no I/O and reads no clock: it is passed times and messages by a registrar's process or a test.

Each request is answered exactly once and in time: a caller disconnects after 1 s without a response. Without
contact to a majority, requests fail at once, with the advice to ask another registrar.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass

from plumline.configuration.document import Document
from plumline.configuration.replicated_state import ReplicatedConfiguration
from plumline.configuration.service_rollouts import (
    RolloutConflictError,
    RolloutInvalidError,
    RolloutNotFoundError,
    is_rollout_change,
)
from plumline.coordination.core import Core
from plumline.coordination.environment import Message
from plumline.coordination.failure_detector import SERVICE_ROLLOUTS
from plumline.coordination.log import Change
from plumline.errors import (
    ConfigurationInvalidError,
    PlumlineError,
    UnavailableError,
    VersionConflictError,
)
from plumline.registrar.forwarding_messages import (
    ForwardedRead,
    ForwardedRequest,
    ForwardedWrite,
    ForwardingResponse,
    forwarding_message_from_wire,
)

#: s for the head or the tail to respond. With the transit times to and from the caller this stays well below
#: the 1 s that the caller waits.
FORWARD_TIMEOUT_S = 0.75
#: s after which a read is forwarded again, as its message or the response may have been lost. A change is not
#: forwarded again, as it may be large; the operator retries it.
READ_REPEAT_INTERVAL_S = 0.25
#: By this the time-out grows with the body: large bodies take longer to read, sync and forward, and callers
#: wait longer for them.
LARGE_BODY_BYTES_PER_S = 1_000_000
ERROR_TYPES_BY_CODE = {
    error_type.code: error_type
    for error_type in (
        ConfigurationInvalidError,
        VersionConflictError,
        UnavailableError,
        RolloutInvalidError,
        RolloutConflictError,
        RolloutNotFoundError,
    )
}
#: The result of an acknowledged change, on the wire and in the operator's response.
ACKNOWLEDGED = {"taken": True}
KEY_BYTES = 8  # of a request's random key

#: Called with an error, or with None and the result: ACKNOWLEDGED, or the document that was read (None: there
#: is no configuration yet).
ResultCallback = Callable[[PlumlineError | None, Document | None], None]


@dataclass(slots=True)
class PendingRequest:
    """A request that was forwarded and has no response yet. Times are in s, steady."""

    address: str  # of the registrar that it was forwarded to
    deadline: float
    on_result: ResultCallback
    read: ForwardedRead | None = None  # forwarded again at `repeat_at`
    repeat_at: float = 0.0


class RequestForwarder:
    """Forwards the requests that arrived here, and serves those that other registrars forward."""

    def __init__(self, core: Core, send: Callable[[str, Message], None]) -> None:
        """`send(address, message)` sends to a registrar, which may be this one."""
        self.core, self.send = core, send
        self.pending: dict[str, PendingRequest] = {}

    # Requests that arrived here.

    def submit(self, now: float, change: Change, body_bytes: int, on_result: ResultCallback) -> None:
        """Forwards a change to the head. `body_bytes`: size of the operator's request."""
        timeout_s = FORWARD_TIMEOUT_S + body_bytes / LARGE_BODY_BYTES_PER_S
        request = ForwardedWrite(_new_key(), change)
        self._forward(now, self.core.head_address(), request, timeout_s, on_result)

    def read(self, now: float, on_result: ResultCallback, rollout_of: str | None = None) -> None:
        """Forwards a read of the configuration, or of the roll-out of a service, to the tail.

        The result is None if there is no configuration yet.
        """
        request = ForwardedRead(_new_key(), rollout_of)
        self._forward(now, self.core.tail_address(), request, FORWARD_TIMEOUT_S, on_result)

    def _forward(
        self,
        now: float,
        address: str | None,
        request: ForwardedRequest,
        timeout_s: float,
        on_result: ResultCallback,
    ) -> None:
        error = self._unreachable_error(now, address)
        if error is not None or address is None:
            on_result(error, None)
            return
        pending = PendingRequest(address, now + timeout_s, on_result)
        if isinstance(request, ForwardedRead):
            pending.read, pending.repeat_at = request, now + READ_REPEAT_INTERVAL_S
        self.pending[request.key] = pending
        self.send(address, request.to_wire())

    def _unreachable_error(self, now: float, address: str | None) -> UnavailableError | None:
        """The error if that registrar can't be reached now; None if it may respond."""
        if address is None:
            return UnavailableError("no view of the core is known yet")
        if not self.core.has_quorum_contact(now):
            return UnavailableError("this registrar is cut off from the majority; ask another")
        if address != self.core.local_member.address and not self.core.failure_detector.is_alive(
            now, address
        ):
            return UnavailableError(f"{address} is silent; ask another")
        return None

    def tick(self, now: float) -> None:
        """Repeats reads, and fails requests that have timed out or whose registrar can't be reached."""
        for key, request in list(self.pending.items()):
            error = self._unreachable_error(now, request.address)
            if error is None and now >= request.deadline:
                error = UnavailableError("no answer within the core; whether it was taken is not known")
            if error is not None:
                del self.pending[key]
                request.on_result(error, None)
            elif request.read is not None and now >= request.repeat_at:
                request.repeat_at = now + READ_REPEAT_INTERVAL_S
                self.send(request.address, request.read.to_wire())

    def fail_pending(self) -> None:
        """Fails every pending request, as this registrar shuts down; the operator is told to ask another."""
        for key, request in list(self.pending.items()):
            del self.pending[key]
            request.on_result(UnavailableError("this registrar ends; ask another whether it was taken"), None)

    # Between registrars.

    def on_message(self, now: float, sender: str, message: Message) -> bool:
        """Handles a message of forwarding; returns False for a message of any other kind."""
        match forwarding_message_from_wire(message):
            case ForwardedWrite() as write:
                self._on_write(now, sender, write)
            case ForwardedRead() as read:
                self._on_read(now, sender, read)
            case ForwardingResponse() as response:
                self._on_response(sender, response)
            case _:
                return False
        return True

    def _on_write(self, now: float, sender: str, write: ForwardedWrite) -> None:
        # Without a quorum the change would wait here, to be dropped or applied late.
        if not self.core.has_quorum_contact(now):
            error = UnavailableError("the head is cut off from the majority")
            self._respond(sender, write.key, error)
            return
        if is_rollout_change(write.change) and not self._all_support_rollouts():
            error = UnavailableError("a registrar of an earlier release would not keep the roll-out")
            self._respond(sender, write.key, error)
            return

        def on_committed(error: PlumlineError | None) -> None:
            self._respond(sender, write.key, error, ACKNOWLEDGED)

        self.core.chain.submit(write.change, on_committed)

    def _on_read(self, now: float, sender: str, read: ForwardedRead) -> None:
        if not self.core.has_quorum_contact(now):
            error = UnavailableError("the tail is cut off from the majority")
            self._respond(sender, read.key, error)
            return

        def on_read(state: ReplicatedConfiguration | None) -> None:
            if state is None:
                self._respond(sender, read.key, UnavailableError("not a tail that may answer"))
            elif read.service is None:
                self._respond(sender, read.key, None, state.configuration)
            elif (record := state.rollouts.records.get(read.service)) is not None:
                self._respond(sender, read.key, None, record.public_state())
            else:
                error = RolloutNotFoundError(f"no roll-out of {read.service!r} was ordered")
                self._respond(sender, read.key, error)

        self.core.chain.read(on_read)

    def _all_support_rollouts(self) -> bool:
        detector = self.core.failure_detector
        return all(detector.supports(address, SERVICE_ROLLOUTS) for address in detector.peers)

    def _respond(
        self, address: str, key: str, error: PlumlineError | None, result: Document | None = None
    ) -> None:
        if error is None:
            response = ForwardingResponse(key, None, "", result)
        else:
            response = ForwardingResponse(key, error.code, error.text, None)
        self.send(address, response.to_wire())

    def _on_response(self, sender: str, response: ForwardingResponse) -> None:
        request = self.pending.get(response.key)
        if request is None or request.address != sender:
            return  # too late, or from a registrar that the request was not forwarded to
        del self.pending[response.key]
        if response.error_code is None:
            request.on_result(None, response.result)
        else:
            error_type = ERROR_TYPES_BY_CODE.get(response.error_code, UnavailableError)
            request.on_result(error_type(response.error_text), None)


def _new_key() -> str:
    return secrets.token_hex(KEY_BYTES)
