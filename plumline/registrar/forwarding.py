"""Relays operators' requests to the head or the tail of the chain, from whichever registrar they reach.

Pure: times and messages in, messages and answers out. A registrar's process, or a test by hand, drives it.

Each request is answered once, and soon: a caller leaves after a second of silence. Where no majority is in
touch, the answer is at once that another registrar should be asked.
"""

import secrets
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from plumline.coordination.core import Core
from plumline.errors import (
    ConfigurationInvalidError,
    PlumlineError,
    UnavailableError,
    VersionConflictError,
)

#: s for the head or the tail to answer; with the ways to and from the caller well under its second.
FORWARD_TIMEOUT_S = 0.75
#: Callers wait longer for large bodies, and these take longer to read, to sync and to pass on.
LARGE_BODY_BYTES_PER_S = 1_000_000
ERROR_TYPES_BY_CODE = {
    each.code: each for each in (ConfigurationInvalidError, VersionConflictError, UnavailableError)
}

Change = list[Any]
#: An error, or None and the result.
ResultCallback = Callable[[PlumlineError | None, Any], None]


@dataclass(slots=True)
class PendingRequest:
    """A question that is out. Times are steady s."""

    to: str  # address of the registrar that was asked
    deadline: float
    outcome: ResultCallback


class RequestForwarder:
    """Asks the head or the tail for the requests that arrived here, and answers those that others ask."""

    def __init__(self, core: Core, send: Callable[[str, list[Any]], None]) -> None:
        """`send(address, message)`: to a registrar, also to this one."""
        self.core, self.send = core, send
        self.pending: dict[str, PendingRequest] = {}

    # Requests that arrived here.

    def submit(self, now: float, change: Change, size: int, outcome: ResultCallback) -> None:
        """A change, for the head. `size`: bytes of its body."""
        self._ask(
            now,
            self.core.head(),
            ["submit", change],
            FORWARD_TIMEOUT_S + size / LARGE_BODY_BYTES_PER_S,
            outcome,
        )

    def read(self, now: float, outcome: ResultCallback) -> None:
        """The configuration, from the tail; the result is None where there is none yet."""
        self._ask(now, self.core.tail(), ["read"], FORWARD_TIMEOUT_S, outcome)

    def _ask(
        self, now: float, to: str | None, question: list[Any], patience_s: float, outcome: ResultCallback
    ) -> None:
        if (error := self._out_of_reach(now, to)) is not None or to is None:
            outcome(error, None)
            return
        key = secrets.token_hex(8)
        self.pending[key] = PendingRequest(to, now + patience_s, outcome)
        self.send(to, ["ask", key, question])

    def _out_of_reach(self, now: float, to: str | None) -> UnavailableError | None:
        """Why no answer can be had from that registrar now; None if it may come."""
        if to is None:
            return UnavailableError("no view of the core is known yet")
        if not self.core.has_quorum_contact(now):
            return UnavailableError("this registrar is cut off from the majority; ask another")
        if to != self.core.me[0] and not self.core.failure_detector.is_alive(now, to):
            return UnavailableError(f"{to} is silent; ask another")
        return None

    def tick(self, now: float) -> None:
        """Answers what has waited long enough, or waits for a registrar that can't be reached any more."""
        for key, question in list(self.pending.items()):
            error = self._out_of_reach(now, question.to)
            if error is None and now >= question.deadline:
                error = UnavailableError("no answer within the core; whether it was taken is not known")
            if error is not None:
                del self.pending[key]
                question.outcome(error, None)

    # Between registrars.

    def on_message(self, now: float, sender: str, message: list[Any]) -> bool:
        """False if the message is none of the forwarder's."""
        match message:
            case ["ask", str(key), ["submit", list(change)]]:
                self._on_submit(now, sender, key, change)
            case ["ask", str(key), ["read"]]:
                self._on_read(now, sender, key)
            case ["answer", str(key), str() | None as code, str(text), result]:
                self._on_answer(sender, key, code, text, result)
            case _:
                return False
        return True

    def _on_submit(self, now: float, sender: str, key: str, change: Change) -> None:
        # Without a quorum the change would wait here, to be dropped or taken late.
        if not self.core.has_quorum_contact(now):
            self._answer(sender, key, UnavailableError("the head is cut off from the majority"), None)
            return

        def submitted(error: PlumlineError | None) -> None:
            self._answer(sender, key, error, {"taken": True})

        self.core.chain.submit(change, submitted)

    def _on_read(self, now: float, sender: str, key: str) -> None:
        if not self.core.has_quorum_contact(now):
            self._answer(sender, key, UnavailableError("the tail is cut off from the majority"), None)
            return

        def found(state: Any) -> None:  # noqa: ANN401
            if state is None:
                self._answer(sender, key, UnavailableError("not a tail that may answer"), None)
            else:
                self._answer(sender, key, None, state.configuration)

        self.core.chain.read(found)

    def _answer(self, to: str, key: str, error: PlumlineError | None, result: Any) -> None:  # noqa: ANN401
        if error is None:
            self.send(to, ["answer", key, None, "", result])
        else:
            self.send(to, ["answer", key, error.code, error.text, None])

    def _on_answer(self, sender: str, key: str, code: str | None, text: str, result: Any) -> None:  # noqa: ANN401
        question = self.pending.get(key)
        if question is None or question.to != sender:
            return  # it came too late, or was not asked
        del self.pending[key]
        if code is None:
            question.outcome(None, result)
        else:
            question.outcome(ERROR_TYPES_BY_CODE.get(code, UnavailableError)(text), None)
