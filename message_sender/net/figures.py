"""The metrics for operators: messages ended and requests sent since the process started."""

from collections.abc import Iterable, Mapping
from enum import Enum


class End(Enum):
    """How a message ended."""

    SUCCEEDED = "succeeded"  # delivered
    DECLINED = "declined"  # rejected, or returned to the client
    ABORTED = "aborted"  # failed


class MessageCounters:
    """Counters of message ends by class, and of requests sent to receivers."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.ends = {(name, end): 0 for name in classes for end in End}
        self.forwards = 0

    def count_end(self, message_class: str, end: End) -> None:
        # A class in the journal may have been removed from the settings.
        self.ends[message_class, end] = self.ends.get((message_class, end), 0) + 1

    def count_forward(self) -> None:
        self.forwards += 1

    def lines(self, gauges: Mapping[str, int]) -> list[str]:
        counts = [f"app.results.{name}.{end.value}:{count}|c" for (name, end), count in self.ends.items()]
        levels = [f"app.{name}:{level}|g" for name, level in gauges.items()]
        return [*counts, f"app.forwards:{self.forwards}|c", *levels]
