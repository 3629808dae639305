"""Typed errors with codes. Every failure that a caller, an operator or a client may meet has one of these.

`code` is a stable, lower-case, hyphenated word for logs, counters and answers; `status` is the HTTP status
that an HTTP interface answers with where it meets the error.
"""


class PlumlineError(Exception):
    """The base: `code` and `status` belong to the class, the text says what was met."""

    code = "internal"
    status = 500

    def __init__(self, text: str = "") -> None:
        super().__init__(text or self.code)
        self.text = text or self.code


class SettingsInvalidError(PlumlineError):
    """The settings file can't be read or holds a value that is not allowed."""

    code, status = "settings-invalid", 500


class ConfigurationInvalidError(PlumlineError):
    """A configuration that the operator sent is not a valid one; it has no effect."""

    code, status = "configuration-invalid", 400


class VersionConflictError(PlumlineError):
    """A change that builds on another version than the present one."""

    code, status = "version-conflict", 412


class UnavailableError(PlumlineError):
    """It can't be done now; nothing is known to be wrong with the request."""

    code, status = "unavailable", 503


class FrameError(PlumlineError):
    """Bytes on an internal connection that are no frame of this protocol."""

    code, status = "frame-invalid", 400


class StoreError(PlumlineError):
    """The file that holds a process's durable state."""

    code, status = "store", 500


class StoreCorruptedError(StoreError):
    """A record in the middle of the file fails its checksum: the file is refused, never read by halves."""

    code = "store-damaged"


class StoreFullError(StoreError):
    """The disk takes no more bytes; what was asked for is not written."""

    code = "store-full"
