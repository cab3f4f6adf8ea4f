"""The kinds of error, each with a message and a remedy."""

import dataclasses
import typing


@dataclasses.dataclass(frozen=True)
class Error:
    """What went wrong and what to do about it.

    Attributes:
        message: What went wrong, with the names and values concerned.
        remedy: What the reader can do about it.
    """

    kind: typing.ClassVar[str] = "error"
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.message}; {self.remedy}"


class SettingsError(Error):
    """Settings that can't be read or don't fit together."""

    kind: typing.ClassVar[str] = "settings"


class StorageError(Error):
    """Files of the data folder that can't be trusted."""

    kind: typing.ClassVar[str] = "storage"


@dataclasses.dataclass(frozen=True)
class RequestError(Error):
    """A request that is refused for what it says."""

    kind: typing.ClassVar[str] = "request"
    status: int = 400


class UnavailableError(Error):
    """Nothing can serve the request now."""

    kind: typing.ClassVar[str] = "unavailable"


class ConflictError(Error):
    """A change was made from an older state than the one in force."""

    kind: typing.ClassVar[str] = "conflict"


@dataclasses.dataclass(frozen=True)
class AnnouncementError(Error):
    """An announcement of a backend server that is refused."""

    kind: typing.ClassVar[str] = "announcement"
    status: int = 400


@dataclasses.dataclass(frozen=True)
class TooEarlyError(AnnouncementError):
    """An announcement beyond the budget for measuring."""

    kind: typing.ClassVar[str] = "too-early"
    status: int = 429
    retry_after_ms: int = 0
