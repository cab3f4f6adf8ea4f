"""Stores the state of a replica in the files of one data folder.

The folder holds `hard-state`, `snapshot` and `log`. Each is a sequence of
frames: length, checksum of the payload, checksum of these two fields, payload.
An incomplete frame at the end of the log is removed: it was never synced. Any
other damage is an error, because the frames after it can't be trusted.
"""

import collections.abc
import contextlib
import os
import pathlib
import struct
import zlib

from returns import result

from cardamomkeel import errors
from cardamomkeel.replication import storage
from cardamomkeel.wire import control_pb2

FRAME_HEADER = struct.Struct("<III")
CHECKED_FIELDS = struct.Struct("<II")
HARD_STATE = "hard-state"
SNAPSHOT = "snapshot"
LOG = "log"
REMEDY = (
    "move the data folder away and start this control VM with an empty "
    "one: it joins again and learns the state from the others"
)


def _make_frame(payload: bytes) -> bytes:
    fields = CHECKED_FIELDS.pack(len(payload), zlib.crc32(payload))
    checksum = zlib.crc32(fields)
    return FRAME_HEADER.pack(*CHECKED_FIELDS.unpack(fields), checksum) + payload


def _read_payload_length(raw: bytes, offset: int) -> int | None:
    """Returns the payload length, or None if the header is damaged."""
    if offset + FRAME_HEADER.size > len(raw):
        return None
    length, _, checksum = FRAME_HEADER.unpack_from(raw, offset)
    if checksum != zlib.crc32(raw[offset : offset + CHECKED_FIELDS.size]):
        return None
    return length


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _replace(path: pathlib.Path, content: bytes) -> None:
    """Replaces a file atomically and syncs it."""
    temporary = path.with_suffix(".new")
    with open(temporary, "wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
    _sync_folder(path.parent)


def _read_file(path: pathlib.Path) -> result.Result[bytes, errors.Error]:
    try:
        return result.Success(path.read_bytes())
    except FileNotFoundError:
        return result.Failure(errors.StorageError(f"{path} is missing", REMEDY))
    except OSError as exc:
        return result.Failure(
            errors.StorageError(f"{path} can't be read: {exc}", REMEDY)
        )


def _read_single_frame(
    path: pathlib.Path,
) -> result.Result[bytes, errors.Error]:
    """Returns the payload of a file that consists of one frame."""
    raw = _read_file(path)
    if not isinstance(raw, result.Success):
        return raw
    payload = _read_payload(raw.unwrap(), 0)
    if payload is None or FRAME_HEADER.size + len(payload) != len(raw.unwrap()):
        return result.Failure(_make_damage_error(path, 0))
    return result.Success(payload)


def _make_damage_error(path: pathlib.Path, offset: int) -> errors.StorageError:
    return errors.StorageError(f"{path} is damaged at byte {offset}", REMEDY)


def is_empty(folder: pathlib.Path) -> bool:
    """Returns whether a data folder holds no replica."""
    return not (folder / HARD_STATE).exists()


def create(
    folder: pathlib.Path,
    member_id: str,
    members: control_pb2.Members,
    formed: bool,
) -> None:
    """Writes the files of a new replica.

    Args:
        folder: The data folder.
        member_id: The id of the new replica.
        members: The initial members of the group; none for a replica that
            joins an existing group.
        formed: Whether the id is certain to be new.
    """
    folder.mkdir(parents=True, exist_ok=True)
    snapshot = control_pb2.Snapshot(members=members)
    _replace(folder / SNAPSHOT, _make_frame(snapshot.SerializeToString()))
    _replace(folder / LOG, b"")
    # The hard state is written last: a folder without it counts as empty.
    save_hard_state(
        folder, control_pb2.HardState(member_id=member_id, formed=formed)
    )


def save_hard_state(
    folder: pathlib.Path, hard_state: control_pb2.HardState
) -> None:
    """Replaces the term, vote and member id, and syncs them."""
    _replace(folder / HARD_STATE, _make_frame(hard_state.SerializeToString()))


def load(
    folder: pathlib.Path,
) -> result.Result[storage.StoredState, errors.Error]:
    """Reads the files of a replica and removes an incomplete last frame."""
    hard_state = _read_single_frame(folder / HARD_STATE)
    if not isinstance(hard_state, result.Success):
        return result.Failure(hard_state.failure())
    snapshot = _read_single_frame(folder / SNAPSHOT)
    if not isinstance(snapshot, result.Success):
        return result.Failure(snapshot.failure())
    entries = _load_log(folder / LOG)
    if not isinstance(entries, result.Success):
        return result.Failure(entries.failure())
    last = control_pb2.Snapshot.FromString(snapshot.unwrap())
    stored = storage.StoredState(
        hard_state=control_pb2.HardState.FromString(hard_state.unwrap()),
        snapshot=last,
        entries=_entries_after(last, entries.unwrap()),
    )
    return _check_gaps(folder / LOG, stored)


def _entries_after(
    snapshot: control_pb2.Snapshot, entries: list[control_pb2.LogEntry]
) -> list[control_pb2.LogEntry]:
    """Returns the entries that follow a snapshot.

    After a crash between the writes of the snapshot and of the log, the log
    still holds entries that the snapshot has replaced.
    """
    for entry in entries:
        if entry.index == snapshot.index and entry.term != snapshot.term:
            return []
    return [entry for entry in entries if entry.index > snapshot.index]


def _check_gaps(
    path: pathlib.Path, stored: storage.StoredState
) -> result.Result[storage.StoredState, errors.Error]:
    expected = stored.snapshot.index + 1
    for entry in stored.entries:
        if entry.index != expected:
            return result.Failure(
                errors.StorageError(
                    f"{path} holds entry {entry.index} where {expected} "
                    "should be",
                    REMEDY,
                )
            )
        expected += 1
    return result.Success(stored)


def _load_log(
    path: pathlib.Path,
) -> result.Result[list[control_pb2.LogEntry], errors.Error]:
    content = _read_file(path)
    if not isinstance(content, result.Success):
        return content
    raw = content.unwrap()
    entries = []
    offset = 0
    while offset < len(raw):
        payload = _read_payload(raw, offset)
        if payload is None:
            if not _is_torn_tail(raw, offset):
                return result.Failure(_make_damage_error(path, offset))
            os.truncate(path, offset)
            break
        entries.append(control_pb2.LogEntry.FromString(payload))
        offset += FRAME_HEADER.size + len(payload)
    return result.Success(entries)


def _read_payload(raw: bytes, offset: int) -> bytes | None:
    length = _read_payload_length(raw, offset)
    if length is None:
        return None
    start = offset + FRAME_HEADER.size
    payload = raw[start : start + length]
    _, checksum, _ = FRAME_HEADER.unpack_from(raw, offset)
    if len(payload) < length or checksum != zlib.crc32(payload):
        return None
    return payload


def _is_torn_tail(raw: bytes, offset: int) -> bool:
    """Returns whether the bad frame at an offset is the last of the log."""
    length = _read_payload_length(raw, offset)
    if length is not None:
        return offset + FRAME_HEADER.size + length >= len(raw)
    # The length can't be trusted, so synced frames may follow: look for a
    # valid frame at each later offset.
    return not any(
        _read_payload(raw, later) is not None
        for later in range(offset + 1, len(raw) - FRAME_HEADER.size + 1)
    )


class DiskStorage:
    """Storage in a data folder written by `create` and read by `load`.

    After a failed write or sync the content of the disk is unknown, so every
    later call fails too.
    """

    def __init__(self, folder: pathlib.Path, stored: storage.StoredState):
        """Rewrites the log with the loaded entries.

        This removes an incomplete frame at the end of the log.

        Args:
            folder: The data folder.
            stored: The state that `load` returned.

        Raises:
            StorageFailedError: The log can't be written.
        """
        self._folder = folder
        self._log = open(folder / LOG, "r+b")  # noqa: SIM115
        self._first_index = stored.snapshot.index + 1
        self._frame_ends: list[int] = []
        self._error: errors.Error | None = None
        with self._fail_stop():
            self._write_log(stored.entries)

    @contextlib.contextmanager
    def _fail_stop(self) -> collections.abc.Iterator[None]:
        if self._error is not None:
            raise storage.StorageFailedError(self._error)
        try:
            yield
        except OSError as exc:
            self._error = errors.StorageError(
                f"{self._folder} can't be written: {exc}",
                "free or mend the disk and start this control VM again",
            )
            raise storage.StorageFailedError(self._error) from exc

    def _write_log(self, entries: list[control_pb2.LogEntry]) -> None:
        frames = [_make_frame(e.SerializeToString()) for e in entries]
        self._log.close()
        _replace(self._folder / LOG, b"".join(frames))
        self._log = open(self._folder / LOG, "r+b")  # noqa: SIM115
        self._frame_ends = []
        end = 0
        for frame in frames:
            end += len(frame)
            self._frame_ends.append(end)
        self._log.seek(end)

    def save_hard_state(self, hard_state: control_pb2.HardState) -> None:
        """Replaces the term, vote and member id, and syncs them."""
        with self._fail_stop():
            save_hard_state(self._folder, hard_state)

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end of the log."""
        with self._fail_stop():
            end = self._frame_ends[-1] if self._frame_ends else 0
            for entry in entries:
                frame = _make_frame(entry.SerializeToString())
                self._log.write(frame)
                end += len(frame)
                self._frame_ends.append(end)

    def truncate(self, last_index: int) -> None:
        """Drops the entries after an index."""
        with self._fail_stop():
            kept_count = max(0, last_index - self._first_index + 1)
            end = self._frame_ends[kept_count - 1] if kept_count else 0
            del self._frame_ends[kept_count:]
            self._log.flush()
            self._log.truncate(end)
            self._log.seek(end)

    def save_snapshot(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> None:
        """Replaces the snapshot and the entries that follow it, and syncs."""
        with self._fail_stop():
            frame = _make_frame(snapshot.SerializeToString())
            _replace(self._folder / SNAPSHOT, frame)
            self._first_index = snapshot.index + 1
            self._write_log(entries)

    def read_snapshot(self) -> control_pb2.Snapshot:
        """Returns the newest snapshot, including its state."""
        content = _read_single_frame(self._folder / SNAPSHOT)
        if not isinstance(content, result.Success):
            self._error = content.failure()
            raise storage.StorageFailedError(self._error)
        return control_pb2.Snapshot.FromString(content.unwrap())

    def sync(self) -> None:
        """Returns once all earlier writes are on the disk."""
        with self._fail_stop():
            self._log.flush()
            os.fdatasync(self._log.fileno())
