"""Steps of the rows of the replicated state."""

import random

from behave import given
from behave import then
from behave import when

from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

KINDS = ("instance", "entry", "target")


class CountingTables(tables_lib.Tables):
    """Rows that count how often all backend servers are looked through."""

    looked_through = 0

    def instances(self):
        """Counts a look."""
        self.looked_through += 1
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
def begin(context, count):
    context.tables = CountingTables()
    context.index = 0
    for number in range(count):
        announce(context, f"i-{number}", f"10.0.0.{number}:80")


@when("one of them says farewell and starts anew at another address")
def move(context):
    context.looked_through = context.tables.looked_through
    name = control_pb2.InstanceName(instance="i-7")
    apply(context, instances_gone=control_pb2.InstancesGone(instances=[name]))
    announce(context, "i-7", "10.0.1.7:80", born_ms=2)


@then("no row of others was looked at")
def check_looks(context):
    assert context.looked_through == 0, context.looked_through
    assert context.tables.looked_through == 0, context.tables.looked_through


@then("the rows tell that it moved")
def check_moved(context):
    (row,) = context.tables.instances_by_id("i-7")
    assert (row.address, row.state) == ("10.0.1.7:80", "ready"), row
    assert context.tables.get("instance/10.0.0.7:80") is None


def change(context, rng):
    """Makes one change to a row."""
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


@when("{count:d} changes by chance are made to rows")
def change_many(context, count):
    rng = random.Random(count)
    for _ in range(count):
        change(context, rng)


def look_through(tables):
    """Returns the live rows of each kind, and those of each name."""
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


def find(tables, names):
    """Returns the same as the rows tell it."""
    by_kind = {kind: [r.key for r in tables.rows(kind)] for kind in KINDS}
    by_name = {
        name: {row.address for row in tables.instances_by_id(name)}
        for name in names
    }
    return by_kind, by_name


@then("what is found by kind and name is what a look through all rows finds")
def check_found(context):
    looked = look_through(context.tables)
    assert find(context.tables, looked[1]) == looked
    assert all(looked[0].values())


@then("it is the same in the same order where the rows were saved and loaded")
def check_loaded(context):
    looked = look_through(context.tables)
    loaded = tables_lib.Tables()
    loaded.load(context.tables.save())
    assert find(loaded, looked[1]) == looked
