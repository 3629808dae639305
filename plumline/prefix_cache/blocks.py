"""The parts that a prompt begins with, as the client names them, and sizes in tokens."""

from collections.abc import Callable, Iterable, Sequence

PrefixBlock = tuple[str, int]  # id, tokens

MOST_DIGITS = 9  # of a number of tokens that is taken for one


def parse_parts(text: str) -> list[PrefixBlock]:
    """'ID:TOKENS,...' in order; what can't be read ends the list, as nothing after it can be found kept."""
    parts = []
    for piece in text.split(","):
        name, _, tokens = piece.strip().partition(":")
        if not name or not is_whole_number(tokens):
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
    """The number that the text is, spaces around it aside; 0 if it is none."""
    text = text.strip()
    return int(text) if is_whole_number(text) else 0


def is_whole_number(text: str) -> bool:
    """Whether the text is digits alone, and not too many."""
    return text.isascii() and text.isdecimal() and len(text) <= MOST_DIGITS


def size_of(parts: Iterable[PrefixBlock]) -> int:
    """Tokens of all the parts."""
    return sum(tokens for _, tokens in parts)


def leading_tokens(parts: Iterable[PrefixBlock], is_kept: Callable[[PrefixBlock], bool]) -> int:
    """Tokens at the prompt's start that are kept: a part counts if it and all before it are."""
    total = 0
    for part in parts:
        if not is_kept(part):
            break
        total += part[1]
    return total


def common_tokens(some: Sequence[PrefixBlock], others: Sequence[PrefixBlock]) -> int:
    """Tokens of the parts that both begin with."""
    names = (name for name, _ in others)
    return leading_tokens(some, lambda part: part[0] == next(names, None))
