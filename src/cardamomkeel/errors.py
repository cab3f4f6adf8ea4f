"""The kinds of errors; each error has a message and a remedy."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Error:
    """An error as it is shown to a caller or an operator.

    Attributes:
        kind: The name of the kind, for log lines.
        message: What went wrong, with the names and values concerned.
        remedy: What the reader can do about it.
    """

    kind: typing.ClassVar[str] = "error"
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class SettingsError(Error):
    """Settings that can't be read or contradict each other."""

    kind: typing.ClassVar[str] = "settings"


class StorageError(Error):
    """Files of the data folder that are damaged or can't be read."""

    kind: typing.ClassVar[str] = "storage"


@dataclasses.dataclass(frozen=True)
class RequestError(Error):
    """A request that is refused because of its content.

    Attributes:
        status: The HTTP status of the answer.
    """

    kind: typing.ClassVar[str] = "request"
    status: int = 400


class UnavailableError(Error):
    """A request that nothing can serve at present."""

    kind: typing.ClassVar[str] = "unavailable"


class ConflictError(Error):
    """A change that is based on an older state than the one in force."""

    kind: typing.ClassVar[str] = "conflict"


@dataclasses.dataclass(frozen=True)
class AnnouncementError(Error):
    """A refused announcement of a backend server.

    Attributes:
        status: The HTTP status of the answer.
    """

    kind: typing.ClassVar[str] = "announcement"
    status: int = 400


@dataclasses.dataclass(frozen=True)
class TooEarlyError(AnnouncementError):
    """An announcement that exceeds the budget for measuring load.

    Attributes:
        retry_after_ms: When the backend server may announce itself again.
    """

    kind: typing.ClassVar[str] = "too-early"
    status: int = 429
    retry_after_ms: int = 0
