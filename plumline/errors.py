"""Typed errors with codes. Every failure that a caller, an operator or a client may meet has one of these.

`code` is a stable, lower-case, hyphenated word for logs, counters and answers; `status` is the HTTP status
that an HTTP interface answers with where it meets the error. Codes are part of the interface to operators
(docs/operating.md) and are not renamed.
"""


class PlumlineError(Exception):
    """The base: `code` and `status` belong to the class, `text` says what went wrong."""

    code = "internal"
    status = 500

    def __init__(self, text: str = "") -> None:
        """`text` names the value, file or address that is at fault; left out, the code stands for it."""
        super().__init__(text or self.code)
        self.text = text or self.code


class SettingsInvalidError(PlumlineError):
    """The settings file can't be read or holds a value that is not allowed.

    The text has a line for each fault. To do: correct the file; a running process keeps its settings.
    """

    code, status = "settings-invalid", 500


class ConfigurationInvalidError(PlumlineError):
    """A configuration that the operator sent is not a valid one; it has no effect.

    The text has a line for each fault. To do: correct the document and send it again.
    """

    code, status = "configuration-invalid", 400


class VersionConflictError(PlumlineError):
    """A change that builds on another version than the current one; it has no effect.

    To do: read the configuration, make the change on top of it, and send it with the version that was read.
    """

    code, status = "version-conflict", 412


class UnavailableError(PlumlineError):
    """It can't be done now; nothing is known to be wrong with the request.

    To do: try again, at another address first. The request may or may not take effect.
    """

    code, status = "unavailable", 503


class ToleranceUnattainableError(PlumlineError):
    """The registrars run in fewer zones or regions than the losses in the settings ask for.

    The core goes on with the best placement that there is, and bears the loss of single machines. To do: run
    registrars in 2 n + 1 zones (or regions) for n that may be lost at once, or ask for less.
    """

    code, status = "tolerance-unattainable", 500


class FrameError(PlumlineError):
    """Bytes on an internal connection that are no frame of this protocol.

    To do: nothing; the connection is closed and opened anew.
    """

    code, status = "frame-invalid", 400


class ProtocolVersionError(FrameError):
    """The peer's hello names another protocol or version; the text has both.

    To do: run releases side by side that are next to each other; nothing is taken from such a peer.
    """

    code = "protocol-version"


class StoreError(PlumlineError):
    """The write-ahead log of a process can't be read, written or synced.

    To do: look at the disk. The process tries again by itself, and is unhealthy until it succeeds.
    """

    code, status = "store", 500


class StoreCorruptedError(StoreError):
    """A record in the middle of the file fails its checksum: no part of the file is used.

    To do: move the file out of the data directory and start again, one machine at a time (docs/operating.md).
    """

    code = "store-damaged"


class StoreFullError(StoreError):
    """The disk has no space left; what was to be written is not durable.

    To do: free space. The process tries again by itself.
    """

    code = "store-full"
