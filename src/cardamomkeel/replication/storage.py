"""What a replica asks of its storage."""

import dataclasses
import typing

from cardamomkeel import errors
from cardamomkeel.wire import control_pb2


@dataclasses.dataclass
class StoredState:
    """All that a replica had written before it stopped."""

    hard_state: control_pb2.HardState
    snapshot: control_pb2.Snapshot
    entries: list[control_pb2.LogEntry]


class StorageFailedError(Exception):
    """The storage can't keep what it was given; the replica has to end.

    Attributes:
        error: What went wrong and what to do about it.
    """

    def __init__(self, error: errors.Error):
        super().__init__(str(error))
        self.error = error


class Storage(typing.Protocol):
    """Keeps the log over restarts.

    Each method raises StorageFailedError where the storage does not do what
    it was asked for, and from then on for every call.

    Nothing counts as kept before `sync` has returned.
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
        """Replaces the snapshot and the entries that follow it, and syncs."""
        ...

    def read_snapshot(self) -> control_pb2.Snapshot:
        """Returns the newest snapshot, state included."""
        ...

    def sync(self) -> None:
        """Returns once all that was written is on the disk."""
        ...


class MemoryStorage:
    """Storage that lasts as long as the object, for tests.

    Attributes:
        stored: What has been synced.
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
        """Returns the newest snapshot, state included."""
        return self.stored.snapshot

    def sync(self) -> None:
        """Makes what was written part of `stored`."""
        self.stored.entries = list(self._entries)
