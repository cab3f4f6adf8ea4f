"""Steps of entries that follow rows as they change."""

import random
import time

import anyio
from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.control import parts
from cardamomkeel.control import streams
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OWN = "own"
SERVICES = ("a", "b")
DATA_CENTRES = ("brest", "vannes")
STARTS = 3


class CountingView(view_lib.View):
    """Rows that count how often a target is looked at."""

    looked = 0

    def is_server_out_of_service(self, data_centre, address):
        """Counts a look at a target."""
        self.looked += 1
        return super().is_server_out_of_service(data_centre, address)


def make_targets():
    clk = clock.ManualClock()
    own_gossip = gossip.Gossip(OWN, clk, dict, lambda: None)
    return targets_lib.Targets(DATA_CENTRES[0], OWN, own_gossip, clk)


def make_row(number, start=0, data_centre=DATA_CENTRES[0], state="ready"):
    return control_pb2.InstanceRecord(
        address=f"10.0.{number // 250}.{number % 250}:80",
        instance=f"i-{number}-{start}",
        born_ms=start,
        sequence=1,
        # An address of one that is gone may be another service's.
        service=SERVICES[(number + start) % len(SERVICES)],
        data_centre=data_centre,
        slots=3,
        state=state,
    )


def send(context, *rows, whole=False):
    """Has the view take rows over, as one reply brings them."""
    view = context.view
    reply = control_pb2.FollowReply(version=view.version + 1, whole=whole)
    for key, deleted, body in rows:
        record = reply.records.add(key=key, deleted=deleted)
        if not deleted:
            name = "out" if key.startswith("out/") else "instance"
            getattr(record, name).CopyFrom(body)
    view.apply_reply(reply)


def instance(row):
    return f"instance/{row.address}", False, row


def follow(context):
    context.targets.apply_changes(context.view, context.view.pop_changes())


@given("an entry that follows {count:d} targets")
def begin(context, count):
    context.view = CountingView()
    context.targets = make_targets()
    context.count = count
    rows = [instance(make_row(number)) for number in range(count)]
    send(context, *rows, whole=True)
    follow(context)


@when("one of them says that it drains")
def drain(context):
    context.looked = context.view.looked
    context.drained = make_row(7, state="draining")
    fine = make_row(8)
    fine.slots = 2
    send(context, instance(context.drained), instance(fine))
    follow(context)


@then("the entry looks at {count:d} target of them")
def check_looks(context, count):
    # The one that drains is gone; the other one is looked at.
    assert context.view.looked - context.looked == count, context.view.looked


@then("it does not send to that one any more")
def check_gone(context):
    known = [
        target.address
        for service in SERVICES
        for target in context.targets.get(service)
    ]
    assert context.drained.address not in known
    assert len(known) == context.count - 1, known


def make_change(rng, count):
    """Returns a row that may come from a control VM at any moment."""
    number = rng.randrange(count)
    if rng.random() < 0.1:
        data_centre = rng.choice(DATA_CENTRES)
        out = control_pb2.OutRecord(data_centre=data_centre)
        return f"out/{data_centre}/", rng.random() < 0.6, out
    row = make_row(
        number,
        rng.randrange(STARTS),
        rng.choice(DATA_CENTRES),
        rng.choice(("ready", "ready", "draining", "gone")),
    )
    return f"instance/{row.address}", rng.random() < 0.1, row


@when("{changes:d} changes by chance arrive, some of them together")
def send_by_chance(context, changes):
    rng = random.Random(changes)
    for _ in range(changes):
        rows = [
            make_change(rng, context.count) for _ in range(rng.randrange(1, 4))
        ]
        send(context, *rows, whole=rng.random() < 0.02)
        if rng.random() < 0.7:
            follow(context)
    follow(context)


def describe(targets):
    """Returns what is known of each target."""
    return {
        (target.address, service): (
            target.record.instance,
            target.near,
            target.is_out,
            target.is_familiar,
        )
        for service in SERVICES
        for target in targets.get(service)
    }


@then("it knows the targets that one knows which reads all rows at once")
def check_same(context):
    fresh = make_targets()
    fresh.apply_changes(context.view, view_lib.Changes(all_rows=True))
    assert describe(context.targets) == describe(fresh)
    assert describe(fresh)


# Control VMs.


class CountingTables(tables_lib.Tables):
    """Rows that count how often they are looked up."""

    looked_up = 0

    def changed_since(self, version):
        """Counts a look."""
        self.looked_up += 1
        return super().changed_since(version)


class Wire:
    """Reads what is sent on a stream as its asker does."""

    def __init__(self):
        self.joiner = parts.Joiner()
        self.addresses = set()

    async def send_message(self, message):
        """Takes a message."""
        reply = self.joiner.take(message)
        if reply is not None:
            self.addresses |= {r.instance.address for r in reply.records}


@given("a control VM with {rows:d} rows that {count:d} streams lack")
def make_streams(context, rows, count):
    context.tables = CountingTables()
    for number in range(rows):
        row = make_row(number)
        key = tables_lib.instance_key(row.address)
        context.tables.put(key, number + 1, instance=row)
    batches = parts.Batches(lambda: context.tables)
    context.wires = [Wire() for _ in range(count)]
    context.streams = [
        streams.Stream(wire, batches, clock.ManualClock())
        for wire in context.wires
    ]


@when("each stream sends them")
def send_rows(context):
    async def write(stream):
        stream.take(control_pb2.FollowRequest(number=1))
        with anyio.move_on_after(0.05):
            await stream.write(1000.0)

    async def write_all():
        async with anyio.create_task_group() as tasks:
            for stream in context.streams:
                tasks.start_soon(write, stream)

    anyio.run(write_all)


@then("they were looked up once")
def check_once(context):
    assert context.tables.looked_up == 1, context.tables.looked_up


@then("every stream has sent all {rows:d} rows")
def check_all(context, rows):
    sent = [len(wire.addresses) for wire in context.wires]
    assert sent == [rows] * len(context.wires), sent


class TimedWire:
    """Keeps when rows were sent."""

    def __init__(self):
        self.sent = []

    async def send_message(self, message):
        """Keeps the rows of a message."""
        rows = [record.instance for record in message.records]
        self.sent.append((time.monotonic(), rows))


@given("a control VM whose entries get rows every {pause:d} ms at most")
def make_paced(context, pause):
    context.tables = tables_lib.Tables()
    context.pause = pause


def put(context, row):
    tables = context.tables
    key = tables_lib.instance_key(row.address)
    tables.put(key, tables.version + 1, instance=row)
    context.stream.wake.notify()


def send_while(context, change):
    """Sends rows on a stream while some of them change."""
    context.wire = TimedWire()
    context.stream = streams.Stream(
        context.wire,
        parts.Batches(lambda: context.tables),
        clock.MonotonicClock(),
    )
    context.stream.pause_ms = context.pause
    # An entry that has just been sent what there was.
    put(context, make_row(0))
    context.stream.take(control_pb2.FollowRequest(number=1))

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(context.stream.write, 1000.0)
            await anyio.sleep(0.02)
            context.wire.sent.clear()
            await change()
            await anyio.sleep(1.5 * context.pause / 1000)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@when("{count:d} backend servers announce themselves within {within:d} ms")
def announce_many(context, count, within):
    async def change():
        for number in range(1, count + 1):
            put(context, make_row(number))
            await anyio.sleep(within / 1000 / count)

    context.announced = count
    send_while(context, change)


@then("their rows are sent in at most {count:d} parts")
def check_parts(context, count):
    sent = [row for _, rows in context.wire.sent for row in rows]
    assert len(sent) == context.announced, len(sent)
    assert len(context.wire.sent) <= count, context.wire.sent


@when("one of them drains")
def drain_one(context):
    async def change():
        context.drained_at = time.monotonic()
        put(context, make_row(3, state="draining"))

    send_while(context, change)


@then("its row is sent within {within:d} ms")
def check_at_once(context, within):
    at, (row,) = context.wire.sent[0]
    assert row.state == "draining", row
    assert at - context.drained_at < within / 1000
