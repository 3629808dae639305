"""Structured log lines (event and key=value fields) on standard error. Requests are counted, not logged."""

import sys

try:
    import picologging as logging
except ImportError:  # picologging has no build for this platform
    import logging

FORMAT = "level=%(levelname)s part=%(name)s %(message)s"
_NEEDS_QUOTES = frozenset(" \"'=")


def configure(level: str = "INFO") -> None:
    """Logs `level` (a level name of `logging`) and above to standard error; replaces earlier handlers."""
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT))
    root.addHandler(handler)
    root.setLevel(getattr(logging, level.upper()))


def logger(name: str) -> logging.Logger:
    """The logger of one component; `name` is the `part` field of its lines."""
    return logging.getLogger(name)


def event(name: str, /, **fields: object) -> str:
    """The message `event=NAME key=value ...`; values with spaces, quotes or line breaks are quoted."""
    return " ".join(f"{key}={_field_value(value)}" for key, value in {"event": name, **fields}.items())


def _field_value(value: object) -> str:
    text = str(value)
    return text if text and text.isprintable() and not _NEEDS_QUOTES & set(text) else repr(text)
