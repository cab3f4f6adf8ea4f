"""Stores the state of a replica in the files of one data folder.

The folder holds `hard-state`, `snapshot` and `log`. Each is a sequence of
frames: length, checksum of the payload, checksum of these two fields, payload.
An incomplete frame at the end of the log is removed: it was never synced. Any
other damage is an error, because the frames after it can't be trusted.

The log is read frame by frame and never rewritten as a whole at a start, which
thus needs neither room on the disk nor a second copy in memory.
"""

import collections.abc
import contextlib
import errno
import os
import pathlib
import struct
import typing
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
TEMPORARY_SUFFIX = ".new"
# Errors of a write that a disk without room, or with a limit, reports.
NO_ROOM = frozenset([errno.ENOSPC, errno.EDQUOT, errno.EFBIG])
REMEDY = (
    "move the data folder away and start this control VM with an empty "
    "one: it joins again and learns the state from the others"
)


def _make_frame(payload: bytes) -> bytes:
    fields = CHECKED_FIELDS.pack(len(payload), zlib.crc32(payload))
    checksum = zlib.crc32(fields)
    return FRAME_HEADER.pack(*CHECKED_FIELDS.unpack(fields), checksum) + payload


def _sync_folder(folder: pathlib.Path) -> None:
    fd = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _write_temporary(
    path: pathlib.Path, chunks: collections.abc.Iterable[bytes]
) -> pathlib.Path:
    """Writes and syncs a file that is to replace another one.

    A partial file is removed: it would keep the room that later writes need.

    Returns:
        The path of the temporary file.
    """
    temporary = path.with_suffix(TEMPORARY_SUFFIX)
    try:
        with open(temporary, "wb") as file:
            file.writelines(chunks)
            file.flush()
            os.fsync(file.fileno())
    except OSError:
        _remove(temporary)
        raise
    return temporary


def _remove(path: pathlib.Path) -> None:
    with contextlib.suppress(OSError):
        path.unlink(missing_ok=True)


def _replace(path: pathlib.Path, chunks: list[bytes]) -> None:
    """Replaces a file atomically and syncs it."""
    os.replace(_write_temporary(path, chunks), path)
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
    payload = _parse_frame(raw.unwrap(), 0)
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
    # The hard state is removed first and written last: a folder without it
    # counts as empty.
    (folder / HARD_STATE).unlink(missing_ok=True)
    _sync_folder(folder)
    snapshot = control_pb2.Snapshot(members=members)
    _replace(folder / SNAPSHOT, [_make_frame(snapshot.SerializeToString())])
    _replace(folder / LOG, [])
    save_hard_state(
        folder, control_pb2.HardState(member_id=member_id, formed=formed)
    )


def save_hard_state(
    folder: pathlib.Path, hard_state: control_pb2.HardState
) -> None:
    """Replaces the term, vote and member id, and syncs them."""
    _replace(folder / HARD_STATE, [_make_frame(hard_state.SerializeToString())])


def load(
    folder: pathlib.Path,
) -> result.Result[storage.StoredState, errors.Error]:
    """Reads the files of a replica.

    Removes an incomplete last frame, log entries that another snapshot has
    replaced, and files that were not completed.
    """
    for name in (HARD_STATE, SNAPSHOT, LOG):
        _remove((folder / name).with_suffix(TEMPORARY_SUFFIX))
    hard_state = _read_single_frame(folder / HARD_STATE)
    if not isinstance(hard_state, result.Success):
        return result.Failure(hard_state.failure())
    snapshot = _read_single_frame(folder / SNAPSHOT).map(
        control_pb2.Snapshot.FromString
    )
    if not isinstance(snapshot, result.Success):
        return result.Failure(snapshot.failure())
    entries = _load_log(folder / LOG, snapshot.unwrap())
    if not isinstance(entries, result.Success):
        return result.Failure(entries.failure())
    stored = storage.StoredState(
        hard_state=control_pb2.HardState.FromString(hard_state.unwrap()),
        snapshot=snapshot.unwrap(),
        entries=entries.unwrap(),
    )
    return _check_gaps(folder / LOG, stored)


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
    path: pathlib.Path, snapshot: control_pb2.Snapshot
) -> result.Result[list[control_pb2.LogEntry], errors.Error]:
    """Returns the entries that follow a snapshot.

    After a crash between the writes of the snapshot and of the log, the log
    still holds entries that the snapshot has replaced.
    """
    try:
        file = open(path, "rb")  # noqa: SIM115
    except OSError as exc:
        return result.Failure(
            errors.StorageError(f"{path} can't be read: {exc}", REMEDY)
        )
    entries = []
    is_replaced = False
    with file:
        size = os.fstat(file.fileno()).st_size
        offset = 0
        while offset < size:
            payload = _read_frame(file, offset, size)
            if payload is None:
                if not _is_torn_tail(file, offset, size):
                    return result.Failure(_make_damage_error(path, offset))
                os.truncate(path, offset)
                break
            entry = control_pb2.LogEntry.FromString(payload)
            if entry.index > snapshot.index:
                entries.append(entry)
            elif entry.index == snapshot.index:
                is_replaced = entry.term != snapshot.term
            offset += FRAME_HEADER.size + len(payload)
    return result.Success([] if is_replaced else entries)


def _parse_header(header: bytes) -> tuple[int, int] | None:
    """Returns the length and checksum of a payload; None if damaged."""
    if len(header) < FRAME_HEADER.size:
        return None
    length, payload_checksum, checksum = FRAME_HEADER.unpack(header)
    if checksum != zlib.crc32(header[: CHECKED_FIELDS.size]):
        return None
    return length, payload_checksum


def _parse_frame(raw: bytes, offset: int) -> bytes | None:
    """Returns the payload of the frame at an offset; None if damaged."""
    start = offset + FRAME_HEADER.size
    header = _parse_header(raw[offset:start])
    if header is None:
        return None
    length, checksum = header
    payload = raw[start : start + length]
    if len(payload) < length or checksum != zlib.crc32(payload):
        return None
    return payload


def _read_frame(file: typing.BinaryIO, offset: int, size: int) -> bytes | None:
    """Returns the payload of a frame of a file; None if damaged."""
    file.seek(offset)
    header = _parse_header(file.read(FRAME_HEADER.size))
    if header is None:
        return None
    length, checksum = header
    if offset + FRAME_HEADER.size + length > size:
        return None
    payload = file.read(length)
    return payload if checksum == zlib.crc32(payload) else None


def _is_torn_tail(file: typing.BinaryIO, offset: int, size: int) -> bool:
    """Returns whether the bad frame at an offset is the last of the log."""
    file.seek(offset)
    header = _parse_header(file.read(FRAME_HEADER.size))
    if header is not None:
        return offset + FRAME_HEADER.size + header[0] >= size
    # The length can't be trusted, so synced frames may follow: look for a
    # valid frame at each later offset.
    file.seek(offset)
    rest = file.read()
    for later in range(1, len(rest) - FRAME_HEADER.size + 1):
        length = FRAME_HEADER.unpack_from(rest, later)[0]
        # Most offsets are no frame by their length alone.
        if later + FRAME_HEADER.size + length > len(rest):
            continue
        if _parse_frame(rest, later) is not None:
            return False
    return True


def _read_frame_ends(file: typing.BinaryIO) -> list[int]:
    """Returns the offsets at which the frames of a valid log end."""
    ends = []
    end = 0
    while header := os.pread(file.fileno(), FRAME_HEADER.size, end):
        end += FRAME_HEADER.size + FRAME_HEADER.unpack(header)[0]
        ends.append(end)
    return ends


class DiskStorage:
    """Storage in a data folder written by `create` and read by `load`.

    After a failed write or sync the content of the disk is unknown, so every
    later call fails too. A snapshot without room is an exception, since it is
    written beside the files in use.
    """

    def __init__(self, folder: pathlib.Path, stored: storage.StoredState):
        """Opens the log and syncs what `load` has read.

        Args:
            folder: The data folder.
            stored: The state that `load` returned.

        Raises:
            StorageFailedError: The log can't be opened or synced.
        """
        self._folder = folder
        self._first_index = stored.snapshot.index + 1
        self._error: errors.Error | None = None
        # Where the first entry begins, and where each of them ends.
        self._start = 0
        self._frame_ends: list[int] = []
        self._synced_end = 0
        self._log: typing.BinaryIO | None = None
        with self._fail_stop():
            self._open_log(len(stored.entries))

    @contextlib.contextmanager
    def _fail_stop(self) -> collections.abc.Iterator[None]:
        if self._error is not None:
            raise storage.StorageFailedError(self._error)
        try:
            yield
        except OSError as exc:
            self._error = self._make_error(exc)
            self._discard_unsynced()
            raise storage.StorageFailedError(self._error) from exc

    def _make_error(self, exc: OSError) -> errors.StorageError:
        return errors.StorageError(
            f"{self._folder} can't be written: {exc}",
            "free or mend the disk and start this control VM again",
        )

    def _discard_unsynced(self) -> None:
        """Cuts the log after the last synced entry, and closes it.

        After a failed sync the next start may read entries from the page cache
        that are not on the disk, and would count them as synced.
        """
        if self._log is None:
            return
        with contextlib.suppress(OSError):
            self._log.truncate(self._synced_end)
        self._log.close()

    def _open_log(self, entry_count: int) -> None:
        """Opens the log, whose last entries are in use.

        Entries in front of them were replaced by the snapshot; they are
        removed if none is in use, else with the next snapshot.
        """
        # Unbuffered, so that no bytes of a failed write are written later.
        self._log = open(self._folder / LOG, "r+b", buffering=0)  # noqa: SIM115
        ends = _read_frame_ends(self._log)
        if not entry_count:
            self._log.truncate(0)
            ends = []
        replaced_count = len(ends) - entry_count
        self._start = ends[replaced_count - 1] if replaced_count else 0
        self._frame_ends = ends[replaced_count:]
        self._log.seek(self._end)
        # The last process may have ended before it synced them.
        os.fdatasync(self._log.fileno())
        self._synced_end = self._end

    @property
    def _end(self) -> int:
        """The offset at which the next entry is written."""
        return self._frame_ends[-1] if self._frame_ends else self._start

    def save_hard_state(self, hard_state: control_pb2.HardState) -> None:
        """Replaces the term, vote and member id, and syncs them."""
        with self._fail_stop():
            save_hard_state(self._folder, hard_state)

    def append(self, entries: list[control_pb2.LogEntry]) -> None:
        """Adds entries to the end of the log."""
        with self._fail_stop():
            frames = [_make_frame(e.SerializeToString()) for e in entries]
            self._write(b"".join(frames))
            for frame in frames:
                self._frame_ends.append(self._end + len(frame))

    def _write(self, data: bytes) -> None:
        rest = memoryview(data)
        while rest:
            rest = rest[self._log.write(rest) :]

    def truncate(self, last_index: int) -> None:
        """Drops the entries after an index."""
        with self._fail_stop():
            kept_count = max(0, last_index - self._first_index + 1)
            del self._frame_ends[kept_count:]
            self._log.truncate(self._end)
            self._log.seek(self._end)
            self._synced_end = min(self._synced_end, self._end)

    def save_snapshot(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> None:
        """Replaces the snapshot and the entries that follow it, and syncs.

        Raises:
            OutOfSpaceError: The disk has no room for both; nothing was changed.
            StorageFailedError: Another write failed.
        """
        with self._fail_stop():
            written = self._write_beside(snapshot, entries)
            for temporary, path in written:
                os.replace(temporary, path)
                _sync_folder(self._folder)
            self._log.close()
            self._first_index = snapshot.index + 1
            self._open_log(len(entries))

    def _write_beside(
        self,
        snapshot: control_pb2.Snapshot,
        entries: list[control_pb2.LogEntry],
    ) -> list[tuple[pathlib.Path, pathlib.Path]]:
        """Writes a snapshot and a log beside those in use.

        Returns:
            The temporary path and the final path of each, in the order in which
            they have to replace those in use.
        """
        contents = {
            SNAPSHOT: [_make_frame(snapshot.SerializeToString())],
            LOG: (_make_frame(e.SerializeToString()) for e in entries),
        }
        written = []
        try:
            for name, chunks in contents.items():
                path = self._folder / name
                written.append((_write_temporary(path, chunks), path))
        except OSError as exc:
            for temporary, _ in written:
                _remove(temporary)
            if exc.errno in NO_ROOM:
                raise storage.OutOfSpaceError(self._make_error(exc)) from exc
            raise
        return written

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
            os.fdatasync(self._log.fileno())
            self._synced_end = self._end
