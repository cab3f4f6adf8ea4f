"""Steps for the rows of the replicated state."""

import random

from behave import given
from behave import then
from behave import when

from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

KINDS = ("instance", "entry", "target")


class CountingTables(tables_lib.Tables):
    """Tables that count the scans of all backend servers."""

    scan_count = 0

    def instances(self):
        """Counts a scan and returns the rows of all instances."""
        self.scan_count += 1
        return super().instances()


def apply(context, **command):
    context.index += 1
    command = control_pb2.Command(**command)
    return machine.apply(context.tables, command, context.index)


def announce(context, instance, address, born_ms=1):
    record = control_pb2.InstanceRecord(
        address=address,
        instance=instance,
        born_ms=born_ms,
        sequence=1,
        service="dossier",
        data_centre="brest",
        slots=3,
        state="ready",
    )
    apply(
        context,
        instances_seen=control_pb2.InstancesSeen(instances=[record]),
    )


@given("rows of {count:d} backend servers")
def add_backend_servers(context, count):
    context.tables = CountingTables()
    context.index = 0
    for number in range(count):
        announce(context, f"i-{number}", f"10.0.0.{number}:80")


@when("one of them stops and starts again at another address")
def restart_elsewhere(context):
    context.scan_count = context.tables.scan_count
    name = control_pb2.InstanceName(instance="i-7")
    apply(context, instances_gone=control_pb2.InstancesGone(instances=[name]))
    announce(context, "i-7", "10.0.1.7:80", born_ms=2)


@then("the rows of the others were not scanned")
def check_looks(context):
    assert context.scan_count == 0, context.scan_count
    assert context.tables.scan_count == 0, context.tables.scan_count


@then("the rows show the new address")
def check_moved(context):
    (row,) = context.tables.instances_by_id("i-7")
    assert (row.address, row.state) == ("10.0.1.7:80", "ready"), row
    assert context.tables.get("instance/10.0.0.7:80") is None


def change(context, rng):
    """Writes or deletes one random row."""
    kind = rng.choice(KINDS)
    key = f"{kind}/{rng.randrange(30)}"
    context.index += 1
    if rng.random() < 0.3:
        context.tables.delete(key, context.index)
        return
    bodies = {
        "instance": control_pb2.InstanceRecord(
            instance=f"i-{rng.randrange(10)}", address=key
        ),
        "entry": control_pb2.EntryRecord(name=key),
        "target": control_pb2.TargetRecord(address=key),
    }
    context.tables.put(key, context.index, **{kind: bodies[kind]})


@when("{count:d} random changes are made to rows")
def change_many(context, count):
    rng = random.Random(count)
    for _ in range(count):
        change(context, rng)


def scan_rows(tables):
    """Returns the keys by kind and the addresses by instance, by a scan."""
    live = [record for record in tables.save().records if not record.deleted]
    by_kind = {
        kind: [r.key for r in live if r.WhichOneof("body") == kind]
        for kind in KINDS
    }
    by_name = {}
    for record in live:
        if record.WhichOneof("body") == "instance":
            name = record.instance.instance
            by_name.setdefault(name, set()).add(record.instance.address)
    return by_kind, by_name


def find_rows(tables, names):
    """Returns the same as `scan_rows`, through the indexes."""
    by_kind = {kind: [r.key for r in tables.rows(kind)] for kind in KINDS}
    by_name = {
        name: {row.address for row in tables.instances_by_id(name)}
        for name in names
    }
    return by_kind, by_name


@then("the rows found by kind and name are those that a scan finds")
def check_found(context):
    scanned = scan_rows(context.tables)
    assert find_rows(context.tables, scanned[1]) == scanned
    assert all(scanned[0].values())


@then("the same rows are found in the same order after saving and loading")
def check_loaded(context):
    scanned = scan_rows(context.tables)
    loaded = tables_lib.Tables()
    loaded.load(context.tables.save())
    assert find_rows(loaded, scanned[1]) == scanned
