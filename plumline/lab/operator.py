"""The operator: changes of the configuration and named versions, sent until they are clearly answered."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from plumline.errors import UnavailableError
from plumline.lab import JSON, CallError, Clock, Headers, fetch

FINAL = {400, 409, 412, 413, 422}
PASSING = {408, 429}
REDIRECTS = 2
REFUSALS = 3  # a 4xx that is neither final nor passing stops the call at this one
SILENCE_S = 1.0
BACKOFF_S, LONGEST_BACKOFF_S = 0.05, 1.0


@dataclass(frozen=True, slots=True)
class Verdict:
    """The answer that settled a call; `tries` counts the sends, `seconds` the time taken."""

    status: int
    body: bytes
    tries: int
    seconds: float

    @property
    def taken(self) -> bool:
        """Whether the call was answered with success."""
        return 200 <= self.status < 300


class Operator:
    """`addresses`: the registrars' ControlPlane addresses. Errors of all calls: UnavailableError when
    `patience` seconds have brought no clear answer."""

    def __init__(
        self,
        addresses: list[str],
        patience: float = 20.0,
        pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
        clock: Clock = time.monotonic,
    ) -> None:
        self.addresses, self.patience, self.pause, self.clock = list(addresses), patience, pause, clock

    async def replace(self, document: dict[str, Any], based_on: int) -> Verdict:
        """Puts a whole configuration in place of the version it is based on."""
        return await self._change("/Configuration.Replace", document, based_on)

    async def amend(self, document: dict[str, Any], based_on: int) -> Verdict:
        """Changes items by name, on top of the version it is based on."""
        return await self._change("/Configuration.Amend", document, based_on)

    async def version_put(self, model: str, version: int) -> Verdict:
        """Names a new version of a model's weights."""
        body = json.dumps({"Model": model, "Version": version}).encode()
        return await self.settle("POST", "/version-put", [JSON], body)

    async def read(self) -> dict[str, Any]:
        """The newest configuration in full."""
        verdict = await self.settle("GET", "/Configuration.Read")
        if not verdict.taken:
            raise UnavailableError(f"read answered {verdict.status}")
        return json.loads(verdict.body)

    async def _change(self, path: str, document: dict[str, Any], based_on: int) -> Verdict:
        headers = [JSON, ("Based-On-Version", str(based_on))]
        return await self.settle("POST", path, headers, json.dumps(document).encode())

    async def settle(self, method: str, path: str, headers: Headers = (), body: bytes = b"") -> Verdict:
        """One call, sent unchanged to one address after the other until it is settled."""
        began, refusals = self.clock(), 0
        silence = SILENCE_S + len(body) / 1_000_000
        for tries in count(1):
            first = self.addresses[(tries - 1) % len(self.addresses)]
            status, answer = await self._send(first, method, path, headers, body, silence)
            passing = status == 0 or status in PASSING or status >= 500 or 300 <= status < 400
            refusals += not passing and status >= 400
            if not passing and (status < 300 or status in FINAL or refusals >= REFUSALS):
                return Verdict(status, answer, tries, self.clock() - began)
            if self.clock() - began > self.patience:
                break
            await self.pause(min(LONGEST_BACKOFF_S, BACKOFF_S * 2 ** min(tries, 10)))
        raise UnavailableError(f"{path}: no clear answer, last {status}")

    async def _send(
        self, address: str, method: str, path: str, headers: Headers, body: bytes, silence: float
    ) -> tuple[int, bytes]:
        """Status and body, redirects followed; status 0 if no answer came."""
        for _ in range(REDIRECTS + 1):
            try:
                status, got, answer = await fetch(address, method, path, headers, body, silence)
            except CallError:
                return 0, b""
            place = got.get("location", "")
            if status != 307 or not place.startswith("http://"):
                return status, answer
            address, _, rest = place.removeprefix("http://").partition("/")
            path = "/" + rest
        return status, answer
