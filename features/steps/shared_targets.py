"""Steps of decisions of entries that share their targets."""

import random
import re

from behave import given
from behave import then
from behave import when

from cardamomkeel.policy import cold_rate
from cardamomkeel.policy import placement
from cardamomkeel.policy import resends
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import table as table_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

ADDRESS = "10.0.0.1:8080"
ROW = re.compile(r"(\w+) born (\d+) #(\d+) (\w+)")


def parse_row(text):
    instance, born, number, state = ROW.fullmatch(text.strip()).groups()
    return control_pb2.InstanceRecord(
        address=ADDRESS,
        instance=instance,
        born_ms=int(born),
        sequence=int(number),
        state=state,
        service="dossier",
        slots=3,
    )


def apply(context, **command):
    context.index += 1
    machine.apply(context.tables, control_pb2.Command(**command), context.index)


@given("a target known as {known}")
def know(context, known):
    context.tables = tables_lib.Tables()
    context.index = 0
    row = parse_row(known)
    context.tables.put(tables_lib.instance_key(ADDRESS), 1, instance=row)


@when("it is announced as {told}")
def announce(context, told):
    seen = control_pb2.InstancesSeen(instances=[parse_row(told)])
    apply(context, instances_seen=seen)


def end(context, silent):
    row = context.tables.instances()[0]
    name = control_pb2.InstanceName(instance=row.instance)
    gone = control_pb2.InstancesGone(instances=[name], silent=silent)
    apply(context, instances_gone=gone)


@when("it is forgotten as silent")
def forget(context):
    end(context, silent=True)
    assert not context.tables.instances()


@when("it says farewell")
def farewell(context):
    end(context, silent=False)


@then("the row is {row}")
def check_row(context, row):
    (known,) = context.tables.instances()
    wanted = parse_row(row)
    for field in ("instance", "born_ms", "sequence", "state"):
        assert getattr(known, field) == getattr(wanted, field), known


def make_route(prefix="/", parts=(("a", 1),)):
    return {
        "host": "desk.example",
        "prefix": prefix,
        "parts": [{"service": s, "weight": w} for s, w in parts],
        "idempotent": True,
        "timeout_ms": 2000,
        "objective_ms": 600,
    }


def make_table(routes):
    document = document_lib.RoutesDocument(
        routes=routes, services={"a": {}, "b": {}}
    )
    return table_lib.RouteTable(document, 1)


@given('routes of "{first}", "{second}" and "{third}" at "{host}"')
def set_routes(context, first, second, third, host):
    routes = [make_route(prefix) for prefix in (first, second, third)]
    context.table_of_routes = make_table([r | {"host": host} for r in routes])


@then("these paths have these routes")
def check_routes(context):
    for row in context.table:
        route = context.table_of_routes.match(row["host"], row["path"])
        found = "none" if route is None else route.prefix
        assert found == row["prefix"], row


@given("a route split {first:d} to {second:d}")
def split(context, first, second):
    parts = (("a", first), ("b", second))
    table = make_table([make_route("/", parts)])
    context.route = table.match("desk.example", "/x")


@then("of {count:d} requests the second service gets {share:g} within {off:g}")
def check_split(context, count, share, off):
    rng = random.Random(1)
    picked = [table_lib.pick_service(context.route, rng) for _ in range(count)]
    assert abs(picked.count("b") / count - share) < off


def read_options(table):
    return [
        placement.Option(
            index,
            row["near"] == "yes",
            int(row["slots"]),
            float(row["running"]),
            float(row["work_ms"]),
            0.0,
        )
        for index, row in enumerate(table)
    ]


@then("these targets are ranked so")
def check_ranks(context):
    ranked = placement.rank(
        read_options(context.table), 600, 2000, False, True, random.Random(1)
    )
    order = [int(context.table[option.index]["rank"]) for option in ranked]
    assert order == sorted(order), order
    assert len(order) == len(context.table.rows)


@then("these targets are no choice unless late is better than never")
def check_last_choice(context):
    options = read_options(context.table)
    rng = random.Random(1)
    assert not placement.rank(options, 600, 2000, False, True, rng)
    late = placement.rank(options, 600, 2000, True, True, rng)
    assert len(late) == len(options)


def check_windows(times, window_ms, most):
    start = 0
    for end_at, at in enumerate(times):
        while times[start] <= at - window_ms:
            start += 1
        count = end_at - start + 1
        assert count <= most, (count, at)


@given("{count:d} entries that each take all that they may from one target")
def take_cold(context, count):
    names = [f"entry-{number}" for number in range(count)]
    senders = cold_rate.pick_senders(ADDRESS, names)
    # Every entry picks the same ones, whatever order it knows them in.
    assert senders == cold_rate.pick_senders(ADDRESS, reversed(names))
    buckets = [cold_rate.Bucket(4 / len(senders), 0.0) for _ in senders]
    context.times = []
    for now in range(0, 10_000, 10):
        for bucket in buckets:
            if bucket.has(now):
                bucket.take(now)
                context.times.append(now)


@then("it gets at most {most:d} in any second where it bears 4 a second")
def check_cold(context, most):
    check_windows(context.times, 1000, most)
    assert len(context.times) > 30


@given(
    "{count:d} entries that repeat as often as they may, {rate:d} requests a "
    "second each"
)
def repeat(context, count, rate):
    shares = [
        resends.Resends(0.2, 62, 10_000, count, 0.0) for _ in range(count)
    ]
    context.requests = count * rate * 10
    context.times = []
    for now in range(0, 60_000, 1000 // rate):
        for share in shares:
            share.note_request()
            while share.take(now):
                context.times.append(now)


@then(
    "in any 10 s at most {share:g} a request and {slack:d} besides are repeated"
)
def check_repeats(context, share, slack):
    most = share * context.requests + slack
    check_windows(context.times, 10_000, most)
    assert len(context.times) > context.requests * 0.1
