"""The log of one replica: a snapshot and the entries that follow it."""

from cardamomkeel import errors
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.wire import control_pb2

# Limits of one batch of entries. A megabyte takes 8 ms at 1 Gbit/s.
MAX_ENTRIES_PER_BATCH = 256
MAX_BYTES_PER_BATCH = 1_000_000


def _strip_state(snapshot: control_pb2.Snapshot) -> control_pb2.Snapshot:
    """Returns a snapshot without its state."""
    return control_pb2.Snapshot(
        index=snapshot.index, term=snapshot.term, members=snapshot.members
    )


def _check_not_committed(index: int, commit_index: int) -> None:
    """Raises StorageFailedError if a committed entry would be replaced."""
    if index > commit_index:
        return
    raise storage_lib.StorageFailedError(
        errors.StorageError(
            f"a leader sent another entry for index {index}, but "
            f"{commit_index} is committed here",
            "stop this control VM, see that no data folder was copied or "
            "restored from an older state, and start it with an empty one",
        )
    )


class Log:
    """The entries of one replica, in memory and in its storage.

    Attributes:
        snapshot: The snapshot that precedes the entries, without its state,
            which is large and seldom needed.
        snapshot_bytes: The length of the snapshot with its state.
        synced_index: The last index that is on the disk.
    """

    def __init__(
        self, stored: storage_lib.StoredState, storage: storage_lib.Storage
    ):
        self._storage = storage
        self._entries = list(stored.entries)
        self.snapshot = _strip_state(stored.snapshot)
        self.snapshot_bytes = stored.snapshot.ByteSize()
        self.synced_index = self.last_index

    @property
    def first_index(self) -> int:
        """The index of the first entry after the snapshot."""
        return self.snapshot.index + 1

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self._entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.term_at(self.last_index)

    def term_at(self, index: int) -> int:
        """Returns the term of an entry, or -1 if it is not in this log."""
        if index == self.snapshot.index:
            return self.snapshot.term
        if not self.first_index <= index <= self.last_index:
            return -1
        return self._entries[index - self.first_index].term

    def entries(self, first: int, last: int) -> list[control_pb2.LogEntry]:
        """Returns the entries from index `first` to `last`, both included."""
        start = first - self.first_index
        return self._entries[start : last - self.first_index + 1]

    def batch(self, first: int) -> list[control_pb2.LogEntry]:
        """Returns entries from index `first` on, as many as one may send."""
        last = min(self.last_index, first + MAX_ENTRIES_PER_BATCH - 1)
        batch = []
        size = 0
        for entry in self.entries(first, last):
            size += entry.ByteSize()
            if batch and size > MAX_BYTES_PER_BATCH:
                break
            batch.append(entry)
        return batch

    def find_members(self) -> control_pb2.Members:
        """Returns the newest membership."""
        return self._members_at(self.last_index)

    def _members_at(self, index: int) -> control_pb2.Members:
        for entry in reversed(self.entries(self.first_index, index)):
            if entry.HasField("members"):
                return entry.members
        return self.snapshot.members

    def has_members_after(self, index: int) -> bool:
        """Returns whether an entry after an index changes the membership."""
        later = self.entries(index + 1, self.last_index)
        return any(entry.HasField("members") for entry in later)

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end, without a sync."""
        self._storage.append(entries)
        self._entries.extend(entries)

    def truncate(self, last: int) -> None:
        """Drops the entries after index `last`."""
        del self._entries[last + 1 - self.first_index :]
        self._storage.truncate(last)
        self.synced_index = min(self.synced_index, last)

    def merge(
        self, entries: list[control_pb2.LogEntry], commit_index: int
    ) -> bool:
        """Stores entries of a leader in place of those that differ.

        Args:
            entries: Consecutive entries; the first one follows an entry of
                this log.
            commit_index: The index of the last committed entry.

        Returns:
            Whether the membership may have changed.

        Raises:
            StorageFailedError: A committed entry would be replaced.
        """
        differing = [e for e in entries if self.term_at(e.index) != e.term]
        if not differing:
            return False
        first = differing[0].index
        _check_not_committed(first, commit_index)
        replaces = first <= self.last_index
        if replaces:
            self.truncate(first - 1)
        new = [entry for entry in entries if entry.index >= first]
        self.append(new)
        return replaces or any(entry.HasField("members") for entry in new)

    def find_hint_index(self, index: int, commit_index: int) -> int:
        """Returns an index from which a leader should send entries.

        Args:
            index: The index at which the leader's log differs from this one.
            commit_index: The index of the last committed entry.
        """
        if index > self.last_index:
            return self.last_index + 1
        term = self.term_at(index)
        while index > commit_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index

    def sync(self) -> None:
        """Syncs all entries."""
        if self.synced_index < self.last_index:
            self._storage.sync()
            self.synced_index = self.last_index

    def compact(self, snapshot: control_pb2.Snapshot) -> None:
        """Compacts the log up to the index of a snapshot.

        Args:
            snapshot: The state at a committed index; this method fills in
                its members and term.

        Raises:
            OutOfSpaceError: There is no room for it; the log stays as it is.
            StorageFailedError: Another write failed.
        """
        snapshot.term = self.term_at(snapshot.index)
        snapshot.members.CopyFrom(self._members_at(snapshot.index))
        self.install(snapshot)

    def install(self, snapshot: control_pb2.Snapshot) -> None:
        """Replaces the entries up to the index of a snapshot.

        Later entries are kept only if they continue the snapshot.
        """
        remaining = []
        if self.term_at(snapshot.index) == snapshot.term:
            remaining = self.entries(snapshot.index + 1, self.last_index)
        self._storage.save_snapshot(snapshot, remaining)
        self._entries = remaining
        self.snapshot = _strip_state(snapshot)
        self.snapshot_bytes = snapshot.ByteSize()
        self.synced_index = self.last_index

    def read_state(self) -> control_pb2.State:
        """Returns the state of the newest snapshot."""
        return self.read_snapshot().state

    def read_snapshot(self) -> control_pb2.Snapshot:
        """Returns the newest snapshot, including its state."""
        return self._storage.read_snapshot()
