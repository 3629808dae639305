"""Simulated operator: sends configuration changes and model versions until a definite response."""

import asyncio
import json
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import count
from typing import Any

from plumline.errors import UnavailableError
from plumline.lab import JSON, CallError, Clock, Headers, fetch

FINAL_STATUSES = {400, 409, 412, 413, 422}
TRANSIENT_STATUSES = {408, 429}
MAX_REDIRECTS = 2
MAX_REFUSALS = 3  # number of 4xx responses, neither final nor transient, that end a call
RESPONSE_TIMEOUT_S = 1.0
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0


@dataclass(frozen=True, slots=True)
class CallResult:
    """The definite response to a call, the number of attempts and the seconds they took."""

    status: int
    body: bytes
    attempts: int
    seconds: float

    @property
    def taken(self) -> bool:
        """Whether the call succeeded."""
        return 200 <= self.status < 300


class Operator:
    """Calls the registrars at their ControlPlane `addresses`.

    Errors of all calls: UnavailableError without a definite response within `timeout_s` seconds.
    """

    def __init__(
        self,
        addresses: list[str],
        timeout_s: float = 20.0,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        clock: Clock = time.monotonic,
    ) -> None:
        self.addresses, self.timeout_s, self.sleep, self.clock = list(addresses), timeout_s, sleep, clock

    async def replace(self, document: dict[str, Any], based_on: int) -> CallResult:
        """Replaces the configuration of version `based_on`."""
        return await self._change("/Configuration.Replace", document, based_on)

    async def amend(self, document: dict[str, Any], based_on: int) -> CallResult:
        """Changes items by name in the configuration of version `based_on`."""
        return await self._change("/Configuration.Amend", document, based_on)

    async def version_put(self, model: str, version: int) -> CallResult:
        """Announces a new version of a model."""
        body = json.dumps({"Model": model, "Version": version}).encode()
        return await self.call_until_answered("POST", "/version-put", [JSON], body)

    async def read(self) -> dict[str, Any]:
        """Returns the latest configuration."""
        result = await self.call_until_answered("GET", "/Configuration.Read")
        if not result.taken:
            raise UnavailableError(f"read answered {result.status}")
        return json.loads(result.body)

    async def _change(self, path: str, document: dict[str, Any], based_on: int) -> CallResult:
        headers = [JSON, ("Based-On-Version", str(based_on))]
        return await self.call_until_answered("POST", path, headers, json.dumps(document).encode())

    async def call_until_answered(
        self, method: str, path: str, headers: Headers = (), body: bytes = b""
    ) -> CallResult:
        """Sends a call unchanged to each address in turn until it gets a definite response."""
        began, refusals = self.clock(), 0
        response_timeout_s = RESPONSE_TIMEOUT_S + len(body) / 1_000_000
        for attempts in count(1):
            first = self.addresses[(attempts - 1) % len(self.addresses)]
            status, answer = await self._send(first, method, path, headers, body, response_timeout_s)
            transient = status == 0 or status in TRANSIENT_STATUSES or status >= 500 or 300 <= status < 400
            refusals += not transient and status >= 400
            if not transient and (status < 300 or status in FINAL_STATUSES or refusals >= MAX_REFUSALS):
                return CallResult(status, answer, attempts, self.clock() - began)
            if self.clock() - began > self.timeout_s:
                break
            await self.sleep(min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts, 10)))
        raise UnavailableError(f"{path}: no clear answer, last {status}")

    async def _send(
        self, address: str, method: str, path: str, headers: Headers, body: bytes, response_timeout_s: float
    ) -> tuple[int, bytes]:
        """Returns status and body after following redirects; status 0 without a response."""
        for _ in range(MAX_REDIRECTS + 1):
            try:
                status, got, answer = await fetch(address, method, path, headers, body, response_timeout_s)
            except CallError:
                return 0, b""
            location = got.get("location", "")
            if status != 307 or not location.startswith("http://"):
                return status, answer
            address, _, rest = location.removeprefix("http://").partition("/")
            path = "/" + rest
        return status, answer
