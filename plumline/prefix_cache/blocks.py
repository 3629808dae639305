"""The parts of a prompt's prefix, as named by the client, and sizes in tokens."""

from collections.abc import Callable, Iterable, Sequence

PrefixBlock = tuple[str, int]  # id, tokens

MAX_DIGITS = 9  # of a valid number of tokens


def parse_parts(text: str) -> list[PrefixBlock]:
    """Parses 'ID:TOKENS,...'. A malformed item ends the list, since no part after it can be found cached."""
    parts = []
    for piece in text.split(","):
        name, _, tokens = piece.strip().partition(":")
        if not name or not is_whole_number(tokens):
            break
        parts.append((name, int(tokens)))
    return parts


def prompt_tokens(counts: str) -> int:
    """The prompt's size in 'prompt,max_out'; 0 if it is malformed."""
    return whole_number(counts.partition(",")[0])


def output_tokens(counts: str) -> int:
    """The maximum output in 'prompt,max_out'; 0 if it is malformed."""
    return whole_number(counts.partition(",")[2])


def whole_number(text: str) -> int:
    """Parses a number with optional surrounding spaces; 0 if the text is none."""
    text = text.strip()
    return int(text) if is_whole_number(text) else 0


def is_whole_number(text: str) -> bool:
    """Whether the text consists of at most MAX_DIGITS digits."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_DIGITS


def size_of(parts: Iterable[PrefixBlock]) -> int:
    """Total tokens of the parts."""
    return sum(tokens for _, tokens in parts)


def leading_tokens(parts: Iterable[PrefixBlock], is_cached: Callable[[PrefixBlock], bool]) -> int:
    """Tokens at the prompt's start that are cached: a part counts if it and all before it are."""
    total = 0
    for part in parts:
        if not is_cached(part):
            break
        total += part[1]
    return total


def common_tokens(some: Sequence[PrefixBlock], others: Sequence[PrefixBlock]) -> int:
    """Tokens of the leading parts that both have in common."""
    names = (name for name, _ in others)
    return leading_tokens(some, lambda part: part[0] == next(names, None))
