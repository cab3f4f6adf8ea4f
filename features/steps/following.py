"""Steps for entries that apply rows as they change."""

import random
import time

import anyio
from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.control import row_batches
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
    """A view that counts how often a target is examined."""

    examined_count = 0

    def is_server_out_of_service(self, data_centre, address):
        """Counts one examination of a target."""
        self.examined_count += 1
        return super().is_server_out_of_service(data_centre, address)


def make_targets():
    clk = clock.ManualClock()
    own_gossip = gossip.Gossip(OWN, clk, lambda: None)
    return targets_lib.Targets(DATA_CENTRES[0], OWN, own_gossip, clk)


def make_row(number, start=0, data_centre=DATA_CENTRES[0], state="ready"):
    return control_pb2.InstanceRecord(
        address=f"10.0.{number // 250}.{number % 250}:80",
        instance=f"i-{number}-{start}",
        born_ms=start,
        sequence=1,
        # Another service may reuse the address of a removed target.
        service=SERVICES[(number + start) % len(SERVICES)],
        data_centre=data_centre,
        slots=3,
        state=state,
    )


def send(context, *rows, whole=False):
    """Applies rows to the view in one reply, as a stream would."""
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
def make_entry(context, count):
    context.view = CountingView()
    context.targets = make_targets()
    context.count = count
    rows = [instance(make_row(number)) for number in range(count)]
    send(context, *rows, whole=True)
    follow(context)


@when("one of them announces that it drains")
def drain(context):
    context.examined_before = context.view.examined_count
    context.drained = make_row(7, state="draining")
    fine = make_row(8)
    fine.slots = 2
    send(context, instance(context.drained), instance(fine))
    follow(context)


@then("the entry examines {count:d} of its targets")
def check_examined(context, count):
    # The draining target is removed, so only the other changed one is examined.
    assert context.view.examined_count - context.examined_before == count, (
        context.view.examined_count
    )


@then("it no longer sends to that target")
def check_not_sent_to(context):
    known = [
        target.address
        for service in SERVICES
        for target in context.targets.get(service)
    ]
    assert context.drained.address not in known
    assert len(known) == context.count - 1, known


def make_change(rng, count):
    """Returns a random row that a control VM may send at any time."""
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


@when("{changes:d} random changes arrive, some of them together")
def send_random_changes(context, changes):
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
    """Returns the state of each target, by address and service."""
    return {
        (target.address, service): (
            target.record.instance,
            target.near,
            target.is_out,
            target.is_preferred,
        )
        for service in SERVICES
        for target in targets.get(service)
    }


@then("it has the same targets as an entry that reads all rows at once")
def check_same(context):
    fresh = make_targets()
    fresh.apply_changes(context.view, view_lib.Changes(all_rows=True))
    assert describe(context.targets) == describe(fresh)
    assert describe(fresh)


# Control VMs.


class CountingTables(tables_lib.Tables):
    """Tables that count how often changed rows are looked up."""

    lookups = 0

    def changed_since(self, version):
        """Counts one lookup."""
        self.lookups += 1
        return super().changed_since(version)


class RowCollector:
    """Receives the messages of a stream as an entry does."""

    def __init__(self):
        self.assembler = row_batches.ReplyAssembler()
        self.addresses = set()

    async def send_message(self, message):
        """Stores the addresses of the rows in a message."""
        reply = self.assembler.add_reply(message)
        if reply is not None:
            self.addresses |= {r.instance.address for r in reply.records}


@given("a control VM with {rows:d} rows that {count:d} streams lack")
def make_streams(context, rows, count):
    context.tables = CountingTables()
    for number in range(rows):
        row = make_row(number)
        key = tables_lib.instance_key(row.address)
        context.tables.put(key, number + 1, instance=row)
    batches = row_batches.RowBatches(lambda: context.tables)
    context.wires = [RowCollector() for _ in range(count)]
    context.streams = [
        streams.Stream(wire, batches, clock.ManualClock())
        for wire in context.wires
    ]


@when("each stream sends them")
def send_rows(context):
    async def write(stream):
        stream.accept(control_pb2.FollowRequest(number=1))
        with anyio.move_on_after(0.05):
            await stream.write(1000.0)

    async def write_all():
        async with anyio.create_task_group() as tasks:
            for stream in context.streams:
                tasks.start_soon(write, stream)

    anyio.run(write_all)


@then("they were looked up once")
def check_prepared_once(context):
    assert context.tables.lookups == 1, context.tables.lookups


@then("every stream has sent all {rows:d} rows")
def check_all_sent(context, rows):
    sent = [len(wire.addresses) for wire in context.wires]
    assert sent == [rows] * len(context.wires), sent


class MessageLog:
    """Records the rows of each message with the time of sending."""

    def __init__(self):
        self.sent = []

    async def send_message(self, message):
        """Records the rows of one message."""
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
    """Sends rows on a stream while a coroutine changes some of them."""
    context.wire = MessageLog()
    context.stream = streams.Stream(
        context.wire,
        row_batches.RowBatches(lambda: context.tables),
        clock.MonotonicClock(),
    )
    context.stream.pause_ms = context.pause
    # The entry has just received all rows.
    put(context, make_row(0))
    context.stream.accept(control_pb2.FollowRequest(number=1))

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
def check_sent_soon(context, within):
    at, (row,) = context.wire.sent[0]
    assert row.state == "draining", row
    assert at - context.drained_at < within / 1000
