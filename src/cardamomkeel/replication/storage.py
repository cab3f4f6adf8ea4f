"""The storage that a replica keeps its log, vote and snapshot in."""

import dataclasses
import typing

from cardamomkeel import errors
from cardamomkeel.wire import control_pb2


@dataclasses.dataclass
class StoredState:
    """The state that a replica had synced before it stopped."""

    hard_state: control_pb2.HardState
    snapshot: control_pb2.Snapshot
    entries: list[control_pb2.LogEntry]


class StorageFailedError(Exception):
    """A read or write of the storage failed; the replica has to stop.

    Attributes:
        error: What went wrong and what to do about it.
    """

    def __init__(self, error: errors.Error):
        super().__init__(str(error))
        self.error = error


class OutOfSpaceError(StorageFailedError):
    """There is no room for a snapshot; the storage can still be used."""


class Storage(typing.Protocol):
    """Keeps the log, vote and snapshot across restarts.

    Each method raises StorageFailedError when a read or write fails; after
    that every call raises it, except after an OutOfSpaceError.

    Entries are durable only after `sync` has returned.
    """

    def save_hard_state(self, hard_state: control_pb2.HardState) -> None:
        """Replaces the term, vote and member id, and syncs them."""
        ...

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end of the log."""
        ...

    def truncate(self, last_index: int) -> None:
        """Drops the entries after an index."""
        ...

    def save_snapshot(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> None:
        """Replaces the snapshot and the entries that follow it, and syncs.

        Raises:
            OutOfSpaceError: There is no room for both; nothing was changed.
            StorageFailedError: Another write failed.
        """
        ...

    def read_snapshot(self) -> control_pb2.Snapshot:
        """Returns the newest snapshot, including its state."""
        ...

    def sync(self) -> None:
        """Returns once all earlier writes are on the disk."""
        ...


class MemoryStorage:
    """Storage that lasts as long as the object, for tests.

    Attributes:
        stored: The state that has been synced.
    """

    def __init__(self, stored: StoredState):
        self.stored = stored
        self._entries = list(stored.entries)

    def save_hard_state(self, hard_state: control_pb2.HardState) -> None:
        """Replaces the term, vote and member id."""
        self.stored.hard_state = hard_state

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end of the log."""
        self._entries.extend(entries)

    def truncate(self, last_index: int) -> None:
        """Drops the entries after an index."""
        self._entries = [e for e in self._entries if e.index <= last_index]

    def save_snapshot(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> None:
        """Replaces the snapshot and the entries that follow it."""
        self.stored.snapshot = snapshot
        self._entries = list(entries)
        self.sync()

    def read_snapshot(self) -> control_pb2.Snapshot:
        """Returns the newest snapshot, including its state."""
        return self.stored.snapshot

    def sync(self) -> None:
        """Copies the appended entries to `stored`."""
        self.stored.entries = list(self._entries)
