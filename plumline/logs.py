"""Log lines of key=value words on standard error. No line per request: there are counters."""

import sys
from typing import Any

try:
    import picologging as logging
except ImportError:  # a machine for which there is no build of it
    import logging

FORMAT = "level=%(levelname)s part=%(name)s %(message)s"


def configure(level: str = "INFO") -> None:
    """Sends lines of `level` (a name as in logging) and above to standard error, whatever was set before."""
    root = logging.getLogger()
    for handler in list(root.handlers):
        root.removeHandler(handler)
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(logging.Formatter(FORMAT))
    root.addHandler(handler)
    root.setLevel(getattr(logging, level.upper()))


def logger(name: str) -> Any:  # noqa: ANN401
    """The logger of a part of the program, of the same interface as logging.Logger."""
    return logging.getLogger(name)


def words(event: str, **values: object) -> str:
    """`event=... key=value ...`; a value with spaces, quotes or line ends is quoted."""
    return " ".join(f"{key}={_word(value)}" for key, value in {"event": event, **values}.items())


def _word(value: object) -> str:
    text = str(value)
    return text if text and text.isprintable() and not set(text) & set(" \"'=") else repr(text)
