"""The operators' interface from a caller's side: calls until a clear answer, and what would change."""

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

FINAL = {400, 409, 412, 413, 422}
PASSING = {408, 429}
REDIRECTS = 2
REFUSALS = 3  # a 4xx that is neither final nor passing stops the call at this one
SILENCE_S = 1.0  # s to wait for an answer, and one more for each MB that goes out
PAUSE_S, LONGEST_PAUSE_S = 0.05, 1.0


class NoClearAnswerError(UnavailableError):
    """No registrar has said yes or no; the call may be repeated unchanged."""

    code = "no-clear-answer"


async def settle(
    addresses: list[Address],
    call: str,
    headers: dict[str, str] | None = None,
    body: Any = None,  # noqa: ANN401
    patience_s: float = 20.0,
    pause: Callable[[float], Awaitable[None]] = asyncio.sleep,
) -> Answer:
    """Sends a call of the table, unchanged, to one address after the other until it is clearly answered.

    NoClearAnswerError once `patience_s` seconds are over.
    """
    loop, caller = asyncio.get_running_loop(), Caller()
    ends, refusals, tries, last = loop.time() + patience_s, 0, 0, "none"
    try:
        while True:
            try:
                answer = await ask(caller, addresses[tries % len(addresses)], call, headers, body)
            except CallFailedError as error:
                last = error.text
            else:
                status, last = answer.status, str(answer.status)
                passing = status in PASSING or status >= 500 or 300 <= status < 400
                refusals += not passing and status >= 400
                if not passing and (status < 300 or status in FINAL or refusals >= REFUSALS):
                    return answer
            if loop.time() >= ends:
                raise NoClearAnswerError(f"no clear answer in {patience_s:g} s; the last: {last}")
            await pause(min(LONGEST_PAUSE_S, PAUSE_S * 2 ** min(tries, 10)))
            tries += 1
    finally:
        caller.close()


async def ask(
    caller: Caller,
    address: Address,
    call: str,
    headers: dict[str, str] | None,
    body: Any,  # noqa: ANN401
) -> Answer:
    """One call to one address, and on to where it redirects. Errors: CallFailedError."""
    silence_s = SILENCE_S + (len(json.dumps(body)) / 1e6 if body is not None else 0.0)
    path = ""
    for _ in range(REDIRECTS + 1):
        answer = await caller.call(call, address, headers=headers, body=body, path=path, timeout_s=silence_s)
        place = redirected(answer)
        if place is None:
            break
        address, path = place
    return answer


def redirected(answer: Answer) -> tuple[Address, str] | None:
    """Address and path that a 307 names."""
    found = re.fullmatch(r"http://([^/]+)(/.*)", answer.headers.get("location", ""))
    place = parse_address(found[1]) if found and answer.status == 307 else None
    return (place, found[2]) if found and place else None


def told(answer: Answer) -> str:
    """Code and text of an error's answer."""
    body = answer.json if isinstance(answer.json, dict) else {}
    return f"{body.get('error', '')}: {body.get('text', '')}"


def listed_sections(document: dict[str, Any]) -> list[str]:
    """The sections that are lists of objects with names."""
    return [
        key
        for key, items in document.items()
        if isinstance(items, list) and all(isinstance(each, dict) and "Name" in each for each in items)
    ]


@dataclass(frozen=True, slots=True)
class Difference:
    """A field that two configurations have otherwise; null stands for what is not there."""

    key: str
    before: Any
    after: Any


def differences(before: dict[str, Any], after: dict[str, Any]) -> Iterator[Difference]:
    """Every changed field, with the number of keys in place of the keys."""
    named = set(listed_sections(before)) & set(listed_sections(after))
    for key in dict.fromkeys([*before, *after]):
        old, new = before.get(key), after.get(key)
        if key in named:
            old_items, new_items = ({each["Name"]: each for each in items} for items in (old, new))
            for name in dict.fromkeys([*old_items, *new_items]):
                yield from item_differences(f"{key}[{name}]", old_items.get(name), new_items.get(name))
        elif isinstance(old, dict) and isinstance(new, dict):
            yield from item_differences(key, old, new)
        elif old != new:
            yield Difference(key, hidden(old), hidden(new))


def item_differences(key: str, old: Any, new: Any) -> Iterator[Difference]:  # noqa: ANN401
    """Every changed field of one item, or the item as a whole where one side hasn't got it."""
    if old is None or new is None:
        yield Difference(key, hidden(old), hidden(new))
        return
    for field in dict.fromkeys([*old, *new]):
        if old.get(field) != new.get(field):
            before, after = (hidden({field: each.get(field)})[field] for each in (old, new))
            if field == "ApiKeys" and old.get(field) and new.get(field):
                after += f", {len(set(new[field]) - set(old[field]))} of them new"
            yield Difference(f"{key}.{field}", before, after)


def hidden(value: Any) -> Any:  # noqa: ANN401
    """The value with the number of keys in place of the keys, which are secrets."""
    if isinstance(value, list):
        return [hidden(each) for each in value]
    if isinstance(value, dict):
        return {
            key: f"{len(each)} keys" if key == "ApiKeys" and isinstance(each, list) else hidden(each)
            for key, each in value.items()
        }
    return value


def shown(value: Any) -> str:  # noqa: ANN401
    """The value as text for people."""
    return "nothing" if value is None else json.dumps(value)
