"""Steps for the data folder of a control VM, without processes."""

import errno
import os
from unittest import mock

from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel.replication import disk
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.wire import control_pb2


def make_entry(index):
    """Returns a log entry that is large enough to damage its payload."""
    change = control_pb2.ChangeSettings(text="x" * 40, change_id=str(index))
    command = control_pb2.Command(change_settings=change)
    return control_pb2.LogEntry(index=index, term=1, command=command)


@given("a data folder with {count:d} entries, the last {unsynced:d} not synced")
def make_data_folder(context, count, unsynced):
    context.data = context.folder / "data"
    first = members_lib.initial_members({"control-1": "-"})
    disk.create(context.data, "control-1.first", first, formed=True)
    context.storage = disk.DiskStorage(
        context.data, disk.load(context.data).unwrap()
    )
    context.frame_ends = []
    for index in range(1, count + 1):
        context.storage.append([make_entry(index)])
        context.storage.sync()
        context.frame_ends.append((context.data / disk.LOG).stat().st_size)
    context.unsynced = unsynced


def overwrite(path, offset, content):
    raw = bytearray(path.read_bytes())
    raw[offset : offset + len(content)] = content
    path.write_bytes(raw)


@when('the log is damaged by "{damage}"')
def damage_log(context, damage):
    log = context.data / disk.LOG
    last, middle = context.frame_ends[-2], context.frame_ends[9]
    size = context.frame_ends[-1] - last
    damaged_bytes = b"\xff\xfe\xfd"
    damages = {
        "cut in the last payload": lambda: os.truncate(log, last + 20),
        "cut in the last header": lambda: os.truncate(log, last + 5),
        "zeros for the last": lambda: overwrite(log, last, bytes(size)),
        "payload in the middle": lambda: overwrite(
            log, middle + 20, damaged_bytes
        ),
        "length in the middle": lambda: overwrite(log, middle, b"\x02"),
        "large length in middle": lambda: overwrite(log, middle + 2, b"\x7f"),
        "first header": lambda: overwrite(log, 0, damaged_bytes),
        "log deleted": lambda: os.unlink(log),
        "snapshot flipped": lambda: overwrite(
            context.data / disk.SNAPSHOT, 14, damaged_bytes
        ),
        "hard state flipped": lambda: overwrite(
            context.data / disk.HARD_STATE, 14, damaged_bytes
        ),
    }
    damages[damage]()


@when(
    "only the file of a snapshot of index {index:d} and another term is written"
)
def replace_snapshot(context, index):
    snapshot = control_pb2.Snapshot(index=index, term=2)
    replace = os.replace

    def crash_before_log(source, path):
        if path.name == disk.LOG:
            raise OSError(errno.EIO, "crash")
        replace(source, path)

    with mock.patch.object(disk.os, "replace", crash_before_log):
        try:
            context.storage.save_snapshot(snapshot, [])
        except storage_lib.StorageFailedError:
            return
    raise AssertionError("both files were written")


@then('it reads as "{outcome}"')
def check_reads(context, outcome):
    loaded = disk.load(context.data)
    if outcome == "refused":
        assert not isinstance(loaded, result.Success), loaded
        assert "data folder away" in loaded.failure().remedy
        return
    assert isinstance(loaded, result.Success), loaded
    _, first, _, last = outcome.split()
    indexes = [entry.index for entry in loaded.unwrap().entries]
    assert indexes == list(range(int(first), int(last) + 1)), indexes


@when('"{call}" fails with {error} once')
def fail_once(context, call, error):
    number = getattr(errno, error)
    failing = mock.Mock(side_effect=OSError(number, os.strerror(number)))
    with mock.patch.object(disk.os, call, failing):
        context.errors = [try_write(context.storage, call)]
    context.errors.append(try_write(context.storage, call))


def try_write(storage, call):
    """Returns the error of a write, or None."""
    try:
        if call == "fsync":
            storage.save_hard_state(control_pb2.HardState(term=9))
        else:
            storage.append([make_entry(21)])
            storage.sync()
    except storage_lib.StorageFailedError as exc:
        return exc
    return None


@then("the storage refuses that write and every later one")
def check_refusals(context):
    assert all(context.errors), context.errors
    assert "mend the disk" in str(context.errors[0])
