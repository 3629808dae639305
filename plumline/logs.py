"""Log lines of an event and its key=value fields on standard error. None per request: there are counters."""

import sys

try:
    import picologging as logging
except ImportError:  # a machine for which there is no build of it
    import logging

FORMAT = "level=%(levelname)s part=%(name)s %(message)s"
_NEEDS_QUOTES = frozenset(" \"'=")


def configure(level: str = "INFO") -> None:
    """Send lines of `level` (a name as in logging) and above to standard error, whatever was set before."""
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT))
    root.addHandler(handler)
    root.setLevel(getattr(logging, level.upper()))


def logger(name: str) -> logging.Logger:
    """The logger of a part of the program; `name` is the `part` of its lines."""
    return logging.getLogger(name)


def event(name: str, /, **fields: object) -> str:
    """The message `event=NAME key=value ...`; a value with spaces, quotes or line ends is quoted."""
    return " ".join(f"{key}={_field_value(value)}" for key, value in {"event": name, **fields}.items())


def _field_value(value: object) -> str:
    text = str(value)
    return text if text and text.isprintable() and not _NEEDS_QUOTES & set(text) else repr(text)
