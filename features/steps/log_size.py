"""Steps for the length of the log, and for disks without room."""

import contextlib
import errno
import json
import os
import random
import re
import resource
import subprocess
import sys
from unittest import mock

from behave import given
from behave import then
from behave import when

from bench import memory
from bench import platform as platform_lib
from cardamomkeel.control import formation
from cardamomkeel.policy import log_compaction
from cardamomkeel.replication import disk
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.wire import control_pb2

KB = 1000
MB = 1_000_000
MEMBERS = {"control-1": "-", "control-2": "-"}
LOAD = """
import pathlib, sys
from bench import memory
from cardamomkeel.replication import disk
import os
before = memory.read_peak_mb(os.getpid())
folder = pathlib.Path(sys.argv[1])
stored = disk.load(folder).unwrap()
storage = disk.DiskStorage(folder, stored)
print(memory.read_peak_mb(os.getpid()) - before)
"""


# Real processes.


@given(
    "programs on the platform, control VMs with {memory_mb:d} MB of memory and "
    "{disk_mb:d} MB of disk"
)
def start_limited(context, memory_mb, disk_mb):
    limits = {"memory-mb": memory_mb, "disk-mb": disk_mb}
    context.fleet = platform_lib.Fleet(fronts=0, limits=limits)
    context.add_cleanup(context.fleet.close)
    context.fleet.start()


def make_routes(count):
    """Returns routes with random names, which compress badly."""
    rng = random.Random(1)

    def word(length):
        return "".join(
            rng.choice("abcdefghijklmnop0123") for _ in range(length)
        )

    return [
        [f"r-{word(6)}", f"{word(6)}.example", f"/{word(7)}/{word(9)}/", "safe"]
        + [2000, 600, 0, None, 2, "dossier"]
        for _ in range(count)
    ]


@when("the operator sends {changes:d} changes of {count:d} routes")
def send_changes(context, changes, count):
    routes = make_routes(count)
    context.sent_bytes = 0
    for number in range(1, changes + 1):
        routes[number][4] = 3000 + number
        config = platform_lib.make_config(number, number - 1)
        config["routes"]["rows"] = routes
        raw = json.dumps(config).encode()
        got = context.fleet.call_control("PUT", "/-/config", raw=raw)
        assert got.status_code == 200, got.text
        context.sent_bytes += len(raw)
    context.number = changes


@then("each log takes at most {mb:d} MB, and less than half of what was sent")
def check_log_sizes(context, mb):
    # The routes take a third of their text, and are logged twice.
    logged = 2 * context.sent_bytes / 3
    for vm in context.fleet.cores:
        size = (vm.folder / "data" / disk.LOG).stat().st_size
        assert size <= min(mb * MB, logged / 2), (vm.name, size, logged)


@when("all control VMs are killed and started again")
def restart_control(context):
    for vm in context.fleet.cores:
        vm.kill()
    for vm in context.fleet.cores:
        vm.start()


@then("every control VM reads back the newest change")
def check_newest(context):
    fleet = context.fleet

    def reads_newest(vm):
        got = fleet.request(vm, "GET", "/-/config")
        if got is None or got.status_code != 200:
            return False
        return int(got.json()["version"], 16) == context.number

    for vm in fleet.cores:
        fleet.wait_for(lambda vm=vm: reads_newest(vm), 20)


@then("none has used more than {mb:d} MB")
def check_memory(context, mb):
    for vm in context.fleet.cores:
        used = memory.read_peak_mb(vm.process.pid)
        assert used <= mb, (vm.name, used)


# A data folder.


def make_entry(index, size):
    """Returns a log entry of about a size, which does not compress."""
    text = random.Random(index).randbytes(size // 2).hex()
    change = control_pb2.ChangeSettings(text=text, change_id=str(index))
    command = control_pb2.Command(change_settings=change)
    return control_pb2.LogEntry(index=index, term=1, command=command)


def parse_size(number, unit):
    return int(number) * {"kB": KB, "MB": MB}[unit]


@given("a data folder with {count:d} entries of {number:d} {unit}")
def make_data_folder(context, count, number, unit):
    context.data = context.folder / "data"
    context.entry_bytes = parse_size(number, unit)
    first = members_lib.initial_members(MEMBERS)
    disk.create(context.data, "control-1.first", first, formed=True)
    open_storage(context)
    for index in range(1, count + 1):
        context.storage.append([make_entry(index, context.entry_bytes)])
    context.storage.sync()


def open_storage(context):
    context.storage = disk.DiskStorage(
        context.data, disk.load(context.data).unwrap()
    )


def measure_folder(context):
    return sum(path.stat().st_size for path in context.data.iterdir())


@contextlib.contextmanager
def limit_files(size):
    """Lets no write go beyond a length of the file, as on a full disk."""
    soft, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft, hard))


@when("a process loads it")
def load_in_process(context):
    done = subprocess.run(
        [sys.executable, "-c", LOAD, context.data],
        check=True,
        capture_output=True,
        text=True,
    )
    context.grown_mb = float(done.stdout)


@then("its memory grew by at most {mb:d} MB")
def check_growth(context, mb):
    assert context.grown_mb <= mb, context.grown_mb


@then("it has read entries {first:d} to {last:d}")
def check_read(context, first, last):
    stored = disk.load(context.data).unwrap()
    indexes = [entry.index for entry in stored.entries]
    assert indexes == list(range(first, last + 1)), indexes
    for entry in stored.entries:
        expected = make_entry(entry.index, context.entry_bytes)
        assert entry == expected, entry.index


@when("it is opened while no file may exceed {size:d} kB")
def open_limited(context, size):
    context.storage = None
    with limit_files(size * KB):
        open_storage(context)


@then("it takes entry {index:d}")
def check_takes(context, index):
    context.storage.append([make_entry(index, context.entry_bytes)])
    context.storage.sync()


def try_call(context, call):
    """Calls the storage, and keeps its error."""
    context.bytes_before = measure_folder(context)
    context.error = None
    try:
        call()
    except storage_lib.StorageFailedError as exc:
        context.error = exc


@when(
    "an entry of {size:d} kB is appended while no file may exceed {most:d} kB"
)
def append_limited(context, size, most):
    def append():
        context.storage.append([make_entry(21, size * KB)])
        context.storage.sync()

    with limit_files(most * KB):
        try_call(context, append)


@when("an entry of {size:d} kB is appended and its sync fails")
def append_unsynced(context, size):
    def append():
        context.storage.append([make_entry(21, size * KB)])
        context.storage.sync()

    failing = mock.Mock(side_effect=OSError(errno.EIO, "sync failed"))
    with mock.patch.object(disk.os, "fdatasync", failing):
        try_call(context, append)


@then("the storage has failed")
def check_failed(context):
    assert context.error is not None
    try_call(context, context.storage.sync)
    assert context.error is not None


@then("the folder takes as many bytes as before")
def check_bytes(context):
    assert measure_folder(context) == context.bytes_before, list(
        context.data.iterdir()
    )


def save_snapshot(context, size, index):
    snapshot = control_pb2.Snapshot(index=index, term=1)
    snapshot.state.records.add(key="x" * size)
    remaining = [
        entry
        for entry in disk.load(context.data).unwrap().entries
        if entry.index > index
    ]
    context.storage.save_snapshot(snapshot, remaining)


@when(
    "a snapshot of {size:d} kB up to entry {index:d} is saved while no file "
    "may exceed {most:d} kB"
)
def save_snapshot_limited(context, size, index, most):
    with limit_files(most * KB):
        try_call(context, lambda: save_snapshot(context, size * KB, index))


@when("a snapshot of {size:d} kB up to entry {index:d} is saved")
def save_snapshot_with_room(context, size, index):
    save_snapshot(context, size * KB, index)


@then("it is refused for lack of room")
def check_out_of_space(context):
    assert isinstance(context.error, storage_lib.OutOfSpaceError), context.error


@given("partial files beside the snapshot, the log and the hard state")
def add_partial_files(context):
    for name in (disk.SNAPSHOT, disk.LOG, disk.HARD_STATE):
        (context.data / f"{name}.new").write_bytes(bytes(1000))


@then("the folder holds {count:d} files")
def check_file_count(context, count):
    names = sorted(path.name for path in context.data.iterdir())
    assert len(names) == count, names


@given("the data folder of an initial member that has not formed a group")
def make_initial(context):
    context.data = context.folder / "data"
    first = members_lib.initial_members(MEMBERS)
    disk.create(context.data, "control-1.first", first, formed=False)


@when(
    "the folder of a joining member is created in its place, and write "
    "{number:d} fails"
)
def create_joining_failing(context, number):
    replace = os.replace
    writes = 0

    def fail_at(source, path):
        nonlocal writes
        writes += 1
        if writes == number:
            raise OSError(errno.ENOSPC, "no room")
        replace(source, path)

    with (
        mock.patch.object(disk.os, "replace", fail_at),
        contextlib.suppress(OSError),
    ):
        formation.create_joining(context.data, "control-1")


@then("it counts as empty or is that of a joining member")
def check_empty_or_joining(context):
    if disk.is_empty(context.data):
        return
    stored = disk.load(context.data).unwrap()
    assert stored.hard_state.formed, stored
    assert not stored.hard_state.member_id.endswith(".first"), stored


# The decision.


@given("a VM with {memory_mb:d} MB of memory and {disk_mb:d} MB of disk")
def derive_limits(context, memory_mb, disk_mb):
    context.limits = log_compaction.derive_limits(memory_mb * MB, disk_mb * MB)


@given("a snapshot of {size:d} kB")
def set_snapshot(context, size):
    context.snapshot_bytes = size * KB


@then("{entries:d} entries of {size:d} kB {outcome} if {need} needs them")
def check_due(context, entries, size, outcome, need):
    backlog = log_compaction.Backlog(entries, size * KB, context.snapshot_bytes)
    is_due = log_compaction.is_due(
        backlog, context.limits, 0.0, need == "a member"
    )
    assert is_due == (outcome == "are replaced"), is_due


# A group of one.


@when("commands of {first:d}, {second:d} and {third:d} kB are proposed")
def propose_long(context, first, second, third):
    commands = [
        make_entry(index, size * KB).command
        for index, size in enumerate((first, second, third))
    ]

    async def propose():
        return [await context.vm.node.propose([cmd]) for cmd in commands]

    context.results = [r[0] for r in context.loop_thread.run(propose())]


@then("the commands end with {statuses}")
def check_statuses(context, statuses):
    # A change of another revision conflicts, and is logged all the same.
    names = [
        control_pb2.Status.Name(done.status).removeprefix("STATUS_")
        for done in context.results
    ]
    expected = re.split(", | and ", statuses)
    logged = {"OK": {"OK", "CONFLICT"}, "REFUSED": {"REFUSED"}}
    for name, wanted in zip(names, expected, strict=True):
        assert name in logged[wanted], names


@then("the last result names the limit of {limit:d} bytes")
def check_message(context, limit):
    assert str(limit) in context.results[-1].message, context.results[-1]


@then("the log takes less than {size:d} kB")
def check_log_bytes(context, size):
    entries = context.vm.node.replica.log.entries(1, 100)
    assert sum(entry.ByteSize() for entry in entries) < size * KB
