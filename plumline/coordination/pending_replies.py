"""Replies of the head to callers, delayed until the entry that they depend on is committed."""

from collections.abc import Callable
from typing import NamedTuple

from plumline.errors import PlumlineError, UnavailableError

#: Called with None once the change is committed, or with the error.
SubmitCallback = Callable[[PlumlineError | None], None]


class PendingReply(NamedTuple):
    """A caller's callback, and the result to pass to it."""

    callback: SubmitCallback
    error: PlumlineError | None


class PendingReplies:
    """The replies to send when entries are committed."""

    def __init__(self) -> None:
        self._by_index: dict[int, list[PendingReply]] = {}

    def add(self, index: int, callback: SubmitCallback, error: PlumlineError | None) -> None:
        """Reply with `error`, or None, once the entry `index` is committed."""
        self._by_index.setdefault(index, []).append(PendingReply(callback, error))

    def release_through(self, committed_index: int) -> None:
        """Send the replies that depend on entries up to this one."""
        if not self._by_index:  # always so on replicas other than the head
            return
        for index in [index for index in self._by_index if index <= committed_index]:
            for reply in self._by_index.pop(index):
                reply.callback(reply.error)

    def fail_all(self) -> None:
        """Reply with UnavailableError to all callers: the outcomes can no longer be known here."""
        pending, self._by_index = self._by_index, {}
        for replies in pending.values():
            for reply in replies:
                reply.callback(
                    UnavailableError("the chain changed; whether the change is in force is not known")
                )
