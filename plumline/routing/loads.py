"""What this router has at each endpoint, and which parts of prompts it sent where. Times: steady seconds."""

import math
from collections import OrderedDict
from dataclasses import dataclass

Part = tuple[str, int]  # id, tokens

PARTS_KEPT = 20_000  # (salt, part) pairs remembered
PLACES_KEPT = 8  # endpoints remembered for one part
PART_AGE = 60.0  # s after which a part may have given way at an endpoint
EXCESS_WEIGHT = 0.2  # of the newest first piece
EXCESS_AGE = 3.0  # s in which what was seen fades


def parse_parts(text: str) -> list[Part]:
    """'ID:TOKENS,...' in order; what can't be read ends the list, as nothing after it can be found kept."""
    parts = []
    for piece in text.split(","):
        name, _, tokens = piece.strip().partition(":")
        if not name or not (tokens.isascii() and tokens.isdecimal()) or len(tokens) > 9:
            break
        parts.append((name, int(tokens)))
    return parts


def prompt_tokens(counts: str) -> int:
    """The prompt's size out of 'prompt,max_out'; 0 if it can't be read."""
    return whole_number(counts.partition(",")[0])


def output_tokens(counts: str) -> int:
    """The most that is put out, of the same; 0 if it can't be read."""
    return whole_number(counts.partition(",")[2])


def whole_number(text: str) -> int:
    text = text.strip()
    return int(text) if text.isascii() and text.isdecimal() and len(text) <= 9 else 0


@dataclass(slots=True)
class Load:
    running: int = 0
    unread: float = 0.0
    excess_ms: float = 0.0
    seen_at: float = 0.0

    def excess(self, now: float) -> float:
        if not self.excess_ms:
            return 0.0
        return self.excess_ms * math.exp(-max(now - self.seen_at, 0.0) / EXCESS_AGE)

    def first_piece(self, now: float, excess_ms: float) -> None:
        left = self.excess(now)
        self.excess_ms = left + (max(excess_ms, 0.0) - left) * EXCESS_WEIGHT
        self.seen_at = now


class Affinity:
    """Bounded, least lately used first: (salt, part id) -> {endpoint id: when it was sent there}."""

    def __init__(self, most: int = PARTS_KEPT) -> None:
        self.most = most
        self.parts: OrderedDict[tuple[str, str], dict[str, float]] = OrderedDict()

    def sent(self, salt: str, parts: list[Part], endpoint: str, now: float) -> None:
        for name, _ in parts:
            places = self.parts.setdefault((salt, name), {})
            self.parts.move_to_end((salt, name))
            places.pop(endpoint, None)
            places[endpoint] = now
            if len(places) > PLACES_KEPT:
                del places[next(iter(places))]
        while len(self.parts) > self.most:
            self.parts.popitem(last=False)

    def kept(self, salt: str, parts: list[Part], endpoint: str, now: float) -> int:
        """Tokens at the prompt's start that `endpoint` likely keeps: a part counts if all before it do."""
        total = 0
        for name, tokens in parts:
            at = self.parts.get((salt, name), {}).get(endpoint)
            if at is None or now - at > PART_AGE:
                break
            total += tokens
        return total

    def seen(self, salt: str, parts: list[Part]) -> int:
        """Tokens at the prompt's start sent anywhere under this salt: the store likely holds them."""
        total = 0
        for name, tokens in parts:
            if (salt, name) not in self.parts:
                break
            total += tokens
        return total
