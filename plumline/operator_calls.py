"""Client side of the operators' interface: calls with retries, and the difference of two configurations."""

import asyncio
import json
import re
from collections.abc import Awaitable, Callable, Iterator
from dataclasses import dataclass
from typing import Any

from plumline.configuration.rules import parse_address
from plumline.errors import UnavailableError
from plumline.wire.calls import Answer, Caller, CallFailedError

Address = tuple[str, int]

FINAL_STATUSES = {400, 409, 412, 413, 422}
TRANSIENT_STATUSES = {408, 429}
MAX_REDIRECTS = 2
MAX_REFUSALS = 3  # a 4xx that is neither final nor transient is returned when this many have come
RESPONSE_TIMEOUT_S = 1.0  # one second is added for each MB of the request body
INITIAL_BACKOFF_S, MAX_BACKOFF_S = 0.05, 1.0


class NoClearAnswerError(UnavailableError):
    """No registrar has accepted or refused the call; it may be repeated unchanged."""

    code = "no-clear-answer"


async def call_until_answered(
    addresses: list[Address],
    call: str,
    headers: dict[str, str] | None = None,
    body: Any = None,  # noqa: ANN401
    timeout_s: float = 20.0,
    sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Answer:
    """Sends a call of the CALLS table, unchanged, to each address in turn until a final answer arrives.

    Raises NoClearAnswerError after `timeout_s` seconds.
    """
    loop, caller = asyncio.get_running_loop(), Caller()
    deadline, refusals, attempts, last_outcome = loop.time() + timeout_s, 0, 0, "none"
    try:
        while True:
            try:
                answer = await call_with_redirects(
                    caller, addresses[attempts % len(addresses)], call, headers, body
                )
            except CallFailedError as error:
                last_outcome = error.text
            else:
                status, last_outcome = answer.status, str(answer.status)
                transient = status in TRANSIENT_STATUSES or status >= 500 or 300 <= status < 400
                refusals += not transient and status >= 400
                if not transient and (status < 300 or status in FINAL_STATUSES or refusals >= MAX_REFUSALS):
                    return answer
            if loop.time() >= deadline:
                raise NoClearAnswerError(f"no clear answer in {timeout_s:g} s; the last: {last_outcome}")
            await sleep(min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** min(attempts, 10)))
            attempts += 1
    finally:
        caller.close()


async def call_with_redirects(
    caller: Caller,
    address: Address,
    call: str,
    headers: dict[str, str] | None,
    body: Any,  # noqa: ANN401
) -> Answer:
    """Sends one call to one address and follows redirects. Raises CallFailedError."""
    response_timeout_s = RESPONSE_TIMEOUT_S + (len(json.dumps(body)) / 1e6 if body is not None else 0.0)
    path = ""
    for _ in range(MAX_REDIRECTS + 1):
        answer = await caller.call(
            call, address, headers=headers, body=body, path=path, timeout_s=response_timeout_s
        )
        target = redirect_target(answer)
        if target is None:
            break
        address, path = target
    return answer


def redirect_target(answer: Answer) -> tuple[Address, str] | None:
    """The address and path that a 307 answer redirects to."""
    match = re.fullmatch(r"http://([^/]+)(/.*)", answer.headers.get("location", ""))
    target = parse_address(match[1]) if match and answer.status == 307 else None
    return (target, match[2]) if match and target else None


def error_summary(answer: Answer) -> str:
    """Code and text of an error answer."""
    body = answer.json if isinstance(answer.json, dict) else {}
    return f"{body.get('error', '')}: {body.get('text', '')}"


def listed_sections(document: dict[str, Any]) -> list[str]:
    """Keys of the sections that are lists of named objects."""
    return [
        key
        for key, items in document.items()
        if isinstance(items, list) and all(isinstance(each, dict) and "Name" in each for each in items)
    ]


@dataclass(frozen=True, slots=True)
class Difference:
    """A field that differs between two configurations; None stands for a missing value."""

    key: str
    before: Any
    after: Any


def differences(before: dict[str, Any], after: dict[str, Any]) -> Iterator[Difference]:
    """Every changed field; lists of API keys are replaced by their number."""
    named_sections = set(listed_sections(before)) & set(listed_sections(after))
    for key in dict.fromkeys([*before, *after]):
        old, new = before.get(key), after.get(key)
        if key in named_sections:
            old_items, new_items = ({each["Name"]: each for each in items} for items in (old, new))
            for name in dict.fromkeys([*old_items, *new_items]):
                yield from item_differences(f"{key}[{name}]", old_items.get(name), new_items.get(name))
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from item_differences(key, old, new)
        elif old != new:
            yield Difference(key, redact_keys(old), redact_keys(new))


def item_differences(key: str, old: Any, new: Any) -> Iterator[Difference]:  # noqa: ANN401
    """Every changed field of one item, or the item itself if one side lacks it."""
    if old is None or new is None:
        yield Difference(key, redact_keys(old), redact_keys(new))
        return
    for field in dict.fromkeys([*old, *new]):
        if old.get(field) != new.get(field):
            before, after = (redact_keys({field: each.get(field)})[field] for each in (old, new))
            if field == "ApiKeys" and old.get(field) and new.get(field):
                after += f", {len(set(new[field]) - set(old[field]))} of them new"
            yield Difference(f"{key}.{field}", before, after)


def redact_keys(value: Any) -> Any:  # noqa: ANN401
    """The value with each list of API keys, which are secrets, replaced by their number."""
    if isinstance(value, list):
        return [redact_keys(each) for each in value]
    if isinstance(value, dict):
        return {
            key: f"{len(each)} keys" if key == "ApiKeys" and isinstance(each, list) else redact_keys(each)
            for key, each in value.items()
        }
    return value


def format_value(value: Any) -> str:  # noqa: ANN401
    """The value as text for the terminal."""
    return "nothing" if value is None else json.dumps(value)
