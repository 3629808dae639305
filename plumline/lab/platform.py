"""Simulated platform: lists endpoints by `GET /instances`, with a lag, in pages, at a limited rate."""

import time
from collections import deque
from collections.abc import Callable, Mapping
from typing import Any

from plumline.lab import Call, Clock, Server

Entry = dict[str, Any]  # one of `Instances`
Source = Callable[[], Mapping[str, Any]]  # returns an endpoint's current entry


class Platform:
    """The platform's instance list.

    `lag_ms`: age of the list; `rate`: calls per second from all callers, 429 beyond; `crashed_s`: seconds
    that a crashed endpoint stays listed. Times are in seconds of `clock`.
    """

    def __init__(
        self,
        lag_ms: float = 300,
        rate: float = 50,
        page: int = 50,
        crashed_s: float = 5,
        clock: Clock = time.monotonic,
    ) -> None:
        self.lag_ms, self.rate, self.page, self.crashed_s, self.clock = lag_ms, rate, page, crashed_s, clock
        self.down = False
        self.server = Server(self._handle)
        self._sources: dict[str, Source] = {}
        self._states: dict[str, str] = {}
        self._crashed: dict[str, float] = {}  # id -> time at which it leaves the list
        self._last: dict[str, Entry] = {}  # id -> latest entry
        self._history: deque[tuple[float, list[Entry]]] = deque([(float("-inf"), [])])
        self._calls: deque[float] = deque()

    def add(self, source: Source) -> None:
        """Adds an endpoint; `source` is its `entry` method."""
        name = source()["Identifier"]
        self._sources[name], self._states[name] = source, "ready"
        self.refresh()

    def drain(self, name: str) -> None:
        """Marks an endpoint as `draining`; it stays listed."""
        self._states[name] = "draining"
        self.refresh()

    def end(self, name: str) -> None:
        """Removes an endpoint immediately, as after a planned end."""
        self._sources.pop(name, None)
        self._states.pop(name, None)
        self.refresh()

    def crash(self, name: str) -> None:
        """Marks an endpoint as crashed: its latest entry stays listed for `crashed_s`."""
        self._crashed[name] = self.clock() + self.crashed_s
        self.refresh()

    def refresh(self) -> None:
        """Records the current list; also called before each response."""
        now = self.clock()
        for name in [name for name, removed_at in self._crashed.items() if removed_at <= now]:
            del self._crashed[name]
            self._sources.pop(name, None)
            self._states.pop(name, None)
        entries = []
        for name, source in self._sources.items():
            if name not in self._crashed or name not in self._last:
                self._last[name] = dict(source())
            entries.append(self._last[name] | {"State": self._states[name]})
        if entries != self._history[-1][1]:
            self._history.append((now, entries))
        while len(self._history) > 1 and self._history[1][0] <= now - self.lag_ms / 1000:
            self._history.popleft()

    def listed(self) -> list[Entry]:
        """Returns the list that callers see, `lag_ms` old."""
        self.refresh()
        return self._history[0][1]

    async def _handle(self, call: Call) -> None:
        now = self.clock()
        while self._calls and self._calls[0] <= now - 1:
            self._calls.popleft()
        if self.down:
            return call.reset()
        if (call.method, call.path) != ("GET", "/instances"):
            return call.answer(404)
        if len(self._calls) >= self.rate:
            return call.answer(429)
        self._calls.append(now)
        zone, token = call.query.get("Zone"), call.query.get("PageToken", "p-0")
        start = int(token[2:]) if token[:2] == "p-" and token[2:].isdigit() else 0
        entries = [entry for entry in self.listed() if zone in (None, entry["Zone"])]
        end = start + self.page
        token_after = f"p-{end}" if end < len(entries) else None
        call.answer_json(200, {"Instances": entries[start:end], "NextToken": token_after})
