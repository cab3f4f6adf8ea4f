"""Storage of a replica in files of one data folder.

The folder holds `hard-state`, `snapshot` and `log`. Each is a run of frames:
length, checksum of the payload, payload. A torn frame at the end of the log
is cut off, since nothing that was synced can be torn; any other damage is
refused, since what follows it can't be trusted.
"""

import os
import pathlib
import struct
import zlib

from returns import result

from cardamomkeel import errors
from cardamomkeel.replication import storage
from cardamomkeel.wire import control_pb2

FRAME = struct.Struct("<II")
HARD_STATE = "hard-state"
SNAPSHOT = "snapshot"
LOG = "log"


def _frame(payload: bytes) -> bytes:
    return FRAME.pack(len(payload), zlib.crc32(payload)) + payload


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _replace(path: pathlib.Path, content: bytes) -> None:
    """Writes a file so that either the old or the new one is found."""
    draft = path.with_suffix(".new")
    with open(draft, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(draft, path)
    _sync_folder(path.parent)


def _read_one(path: pathlib.Path) -> result.Result[bytes, errors.Error]:
    raw = path.read_bytes()
    payload = raw[FRAME.size :]
    if len(raw) >= FRAME.size:
        length, checksum = FRAME.unpack_from(raw)
        if length == len(payload) and checksum == zlib.crc32(payload):
            return result.Success(payload)
    return result.Failure(_damaged(path, 0))


def _damaged(path: pathlib.Path, offset: int) -> errors.StorageError:
    return errors.StorageError(
        f"{path} is damaged at byte {offset}",
        "move the data folder away and start this control VM with an empty "
        "one: it joins again and learns the state from the others",
    )


def is_empty(folder: pathlib.Path) -> bool:
    """Tells whether a data folder holds no replica."""
    return not (folder / HARD_STATE).exists()


def create(
    folder: pathlib.Path, member_id: str, members: control_pb2.Members
) -> None:
    """Writes the files of a replica that has seen nothing yet."""
    folder.mkdir(parents=True, exist_ok=True)
    snapshot = control_pb2.Snapshot(members=members)
    _replace(folder / SNAPSHOT, _frame(snapshot.SerializeToString()))
    _replace(folder / LOG, b"")
    # The hard state is last: a folder without it counts as empty.
    hard_state = control_pb2.HardState(member_id=member_id)
    _replace(folder / HARD_STATE, _frame(hard_state.SerializeToString()))


def load(
    folder: pathlib.Path,
) -> result.Result[storage.Stored, errors.Error]:
    """Reads what a replica had written, and cuts off a torn last frame."""
    hard_state = _read_one(folder / HARD_STATE)
    if not isinstance(hard_state, result.Success):
        return result.Failure(hard_state.failure())
    snapshot = _read_one(folder / SNAPSHOT)
    if not isinstance(snapshot, result.Success):
        return result.Failure(snapshot.failure())
    entries = _load_log(folder / LOG)
    if not isinstance(entries, result.Success):
        return result.Failure(entries.failure())
    last = control_pb2.Snapshot.FromString(snapshot.unwrap())
    stored = storage.Stored(
        hard_state=control_pb2.HardState.FromString(hard_state.unwrap()),
        snapshot=last,
        entries=[e for e in entries.unwrap() if e.index > last.index],
    )
    return _check_gaps(folder / LOG, stored)


def _check_gaps(
    path: pathlib.Path, stored: storage.Stored
) -> result.Result[storage.Stored, errors.Error]:
    expected = stored.snapshot.index + 1
    for entry in stored.entries:
        if entry.index != expected:
            return result.Failure(
                errors.StorageError(
                    f"{path} holds entry {entry.index} where {expected} "
                    "should be",
                    _damaged(path, 0).remedy,
                )
            )
        expected += 1
    return result.Success(stored)


def _load_log(
    path: pathlib.Path,
) -> result.Result[list[control_pb2.LogEntry], errors.Error]:
    raw = path.read_bytes()
    entries = []
    offset = 0
    while offset < len(raw):
        payload = _frame_at(raw, offset)
        if payload is None:
            if not _is_torn_tail(raw, offset):
                return result.Failure(_damaged(path, offset))
            os.truncate(path, offset)
            break
        entries.append(control_pb2.LogEntry.FromString(payload))
        offset += FRAME.size + len(payload)
    return result.Success(entries)


def _frame_at(raw: bytes, offset: int) -> bytes | None:
    start = offset + FRAME.size
    if start > len(raw):
        return None
    length, checksum = FRAME.unpack_from(raw, offset)
    payload = raw[start : start + length]
    if len(payload) < length or checksum != zlib.crc32(payload):
        return None
    return payload


def _is_torn_tail(raw: bytes, offset: int) -> bool:
    """Tells whether the bad frame at an offset is the last of the log."""
    start = offset + FRAME.size
    if start > len(raw):
        return True
    length, _ = FRAME.unpack_from(raw, offset)
    return start + length >= len(raw)


class DiskStorage:
    """Storage in a data folder that `create` made and `load` has read."""

    def __init__(self, folder: pathlib.Path, stored: storage.Stored):
        self._folder = folder
        self._log = open(folder / LOG, "r+b")  # noqa: SIM115
        self._first = stored.snapshot.index + 1
        self._ends: list[int] = []
        self._rewrite_if_needed(stored)

    def _rewrite_if_needed(self, stored: storage.Stored) -> None:
        """Drops entries that the snapshot covers and finds frame ends."""
        self._write_log(stored.entries)

    def _write_log(self, entries: list[control_pb2.LogEntry]) -> None:
        frames = [_frame(e.SerializeToString()) for e in entries]
        self._log.close()
        _replace(self._folder / LOG, b"".join(frames))
        self._log = open(self._folder / LOG, "r+b")  # noqa: SIM115
        self._ends = []
        end = 0
        for frame in frames:
            end += len(frame)
            self._ends.append(end)
        self._log.seek(end)

    def save_hard_state(self, hard_state: control_pb2.HardState) -> None:
        """Replaces the term, vote and member id, and syncs them."""
        _replace(
            self._folder / HARD_STATE, _frame(hard_state.SerializeToString())
        )

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end of the log."""
        end = self._ends[-1] if self._ends else 0
        for entry in entries:
            frame = _frame(entry.SerializeToString())
            self._log.write(frame)
            end += len(frame)
            self._ends.append(end)

    def truncate(self, last_index: int) -> None:
        """Drops the entries after an index."""
        keep = max(0, last_index - self._first + 1)
        end = self._ends[keep - 1] if keep else 0
        del self._ends[keep:]
        self._log.flush()
        self._log.truncate(end)
        self._log.seek(end)

    def save_snapshot(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> None:
        """Replaces the snapshot and the entries that follow it, and syncs."""
        _replace(self._folder / SNAPSHOT, _frame(snapshot.SerializeToString()))
        self._first = snapshot.index + 1
        self._write_log(entries)

    def sync(self) -> None:
        """Returns once all that was written is on the disk."""
        self._log.flush()
        os.fdatasync(self._log.fileno())
