"""Typed errors with codes, for every failure that a caller, an operator or a client can observe.

`code` is a stable, lower-case, hyphenated word for logs, counters and responses; `status` is the HTTP status
with which an HTTP interface reports the error. Codes are part of the operators' interface (docs/operating.md)
and must not be renamed.
"""


class PlumlineError(Exception):
    """Base class: `code` and `status` are class attributes, `text` describes the failure."""

    code = "internal"
    status = 500

    def __init__(self, text: str = "") -> None:
        """`text` names the value, file or address at fault; it defaults to the code."""
        super().__init__(text or self.code)
        self.text = text or self.code


class SettingsInvalidError(PlumlineError):
    """The settings file can't be read or holds a value that is not allowed.

    The text has a line for each fault. Remedy: correct the file; a running process keeps its settings.
    """

    code, status = "settings-invalid", 500


class ConfigurationInvalidError(PlumlineError):
    """A configuration that an operator sent is invalid; it has no effect.

    The text has a line for each fault. Remedy: correct the document and send it again.
    """

    code, status = "configuration-invalid", 400


class VersionConflictError(PlumlineError):
    """A change is based on a version that is not the current one; it has no effect.

    Remedy: read the configuration, apply the change to it, and send it with the version that was read.
    """

    code, status = "version-conflict", 412


class UnavailableError(PlumlineError):
    """The request can't be served now; no fault in it is known.

    Remedy: retry, at another address first. The failed request may or may not take effect.
    """

    code, status = "unavailable", 503


class ToleranceUnattainableError(PlumlineError):
    """The registrars run in fewer zones or regions than the tolerated losses in the settings require.

    The core continues with the best available placement and tolerates the loss of single machines.

    Remedy: run registrars in 2 n + 1 zones (or regions) to tolerate the loss of n at once, or configure a
    lower tolerance.
    """

    code, status = "tolerance-unattainable", 500


class FrameError(PlumlineError):
    """Bytes on an internal connection are not a frame of this protocol.

    Remedy: none needed; the connection is closed and reopened.
    """

    code, status = "frame-invalid", 400


class ProtocolVersionError(FrameError):
    """The peer's hello names another protocol or version; the text has both.

    Remedy: run only consecutive releases side by side; no messages are accepted from such a peer.
    """

    code = "protocol-version"


class StoreError(PlumlineError):
    """The write-ahead log of a process can't be read, written or synced.

    Remedy: check the disk. The process retries by itself and is unhealthy until it succeeds.
    """

    code, status = "store", 500


class StoreCorruptedError(StoreError):
    """A record in the middle of the file fails its checksum: no part of the file is used.

    Remedy: move the file out of the data directory and restart, one machine at a time (docs/operating.md).
    """

    code = "store-damaged"


class StoreFullError(StoreError):
    """The disk has no space left; the record that was being written is not durable.

    Remedy: free space. The process retries by itself.
    """

    code = "store-full"
