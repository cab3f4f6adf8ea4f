"""Steps of decisions of entries that share their targets."""

import asyncio
import random
import re
import types

from behave import given
from behave import then
from behave import when
import orjson

from cardamomkeel import clock
from cardamomkeel import metrics
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import last_byte_delay
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target_selection
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import wait_queue
from cardamomkeel.policy import cold_rate
from cardamomkeel.policy import crowding
from cardamomkeel.policy import peers
from cardamomkeel.policy import placement
from cardamomkeel.policy import resends
from cardamomkeel.policy import spent_time
from cardamomkeel.policy import work_time
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import table as table_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.settings import structs
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

IN_TIME = placement.Demand.IN_TIME
IN_ORDER = random.Random(1)
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
    content = {"routes": routes, "services": {"a": {}, "b": {}}}
    document = structs.convert(
        content, document_lib.RoutesDocument, "the test"
    ).unwrap()
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
            int(row["slots"]),
            float(row["running"]),
            float(row["work_ms"]),
            0.0,
            crowded_factor=crowding.FIRST_FACTOR,
        )
        for index, row in enumerate(table)
    ]


@then("these targets are ranked so")
def check_ranks(context):
    ranked = placement.rank(
        read_options(context.table), 600, 2000, IN_TIME, True, random.Random(1)
    )
    order = [int(context.table[option.index]["rank"]) for option in ranked]
    assert order == sorted(order), order
    assert len(order) == len(context.table.rows)


@then("these targets are no choice unless late is better than never")
def check_last_choice(context):
    options = read_options(context.table)
    rng = random.Random(1)
    assert not placement.rank(options, 600, 2000, IN_TIME, True, rng)
    late = placement.rank(options, 600, 2000, placement.Demand.LAST, True, rng)
    assert len(late) == len(options)


@then("these targets are no choice at all")
def check_no_choice(context):
    options = read_options(context.table)
    for demand in placement.Demand:
        rng = random.Random(1)
        ranked = placement.rank(options, 600, 2000, demand, True, rng)
        assert not ranked, (demand, ranked)


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


@given("a service whose routes have an objective of {objective:d} ms")
def make_work_time(context, objective):
    route = make_route("/a/") | {"objective_ms": objective}
    longer = make_route("/b/") | {"objective_ms": objective + 100}
    table = make_table([route, longer])
    context.work = work_time.WorkTime()
    context.work.guess(table.list_objectives()["a"])


@when("{answers:d} of its answers take {took:d} ms each")
def note_answers(context, answers, took):
    for _ in range(answers):
        context.work.note(took)


@then("its work is expected to take {guess:d} ms")
def check_guess(context, guess):
    assert abs(context.work.expect_ms() - guess) < 1, context.work.expect_ms()


@then("its work is expected to take between {least:d} and {most:d} ms")
def check_work(context, least, most):
    # Rounding is not what is tested.
    found = context.work.expect_ms()
    assert least - 1 <= found <= most + 1, found


@given("callers of a route that said {before} ms")
@given("callers of a route that said  ms")
def note_left(context, before=""):
    context.spent = spent_time.SpentTime()
    for told in before.split(",") if before else ():
        context.spent.note(float(told))


@given("{count:d} more that said another time each")
def note_others(context, count):
    for number in range(count):
        context.spent.note(1000.0 + number)


@then("one that says {left:d} ms has waited {spent:d} ms before")
def check_spent(context, left, spent):
    assert context.spent.note(float(left)) == spent


def rank_late(table):
    return placement.rank(
        read_options(table), 0, 2000, placement.Demand.LATE, True, IN_ORDER
    )


@then("these targets are no choice for one that is late")
def check_no_late(context):
    assert not rank_late(context.table)


@then("these are one, though the answer comes late")
def check_late(context):
    assert len(rank_late(context.table)) == len(context.table.rows)


def run_waiting(context, job):
    """Runs what needs a loop, as waiting requests do."""
    return context.loop.run_until_complete(job)


@given(
    "{count:d} requests that wait, late ones of rank 0 and others of rank 2 by "
    "turns"
)
def fill_queue(context, count):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.queue = wait_queue.WaitQueue()

    async def join():
        turns = [number % 2 == 0 for number in range(count)]
        return [
            context.queue.try_join(late, 0 if late else 2) for late in turns
        ]

    context.waiters = run_waiting(context, join())
    assert None not in context.waiters


def list_order(context):
    """Returns the waiting requests in their order."""
    return sorted(
        (w for w in context.waiters if not w.wakeup.done()),
        key=wait_queue.Waiter.sort_key,
    )


@then("those of rank 2 go first")
def check_in_time_first(context):
    first = context.waiters[1]
    assert context.queue.is_first(first)
    assert [w.priority for w in list_order(context)] == [2, 2, 2, 0, 0, 0]


@when("the one that goes first has become late")
def become_late(context):
    context.queue.mark_late(context.waiters[1])


@then("it goes behind those of rank 0")
def check_behind(context):
    assert context.queue.is_first(context.waiters[3])
    assert list_order(context)[-1] is context.waiters[1]


@then("another one in time takes the place of the last, a late one does not")
def check_place(context):
    async def join():
        last = context.waiters[1]
        assert context.queue.try_join(True, 2) is None
        assert not last.wakeup.done()
        assert context.queue.try_join(False, 2) is not None
        assert last.wakeup.result() is False

    run_waiting(context, join())


def hear(context):
    context.number += 1
    raw = orjson.dumps(["other", 1, context.number, {}])
    context.gossip._receive(raw)  # noqa: SLF001


@given("an entry that hears another one every {every_ms:d} ms")
def make_gossip(context, every_ms):
    context.clock = clock.ManualClock()
    context.gossip = gossip.Gossip("own", context.clock, dict, lambda: None)
    context.gossip.set_peers({"other": "127.0.0.1:1"})
    context.number = 0
    for _ in range(3):
        hear(context)
        context.clock.advance(every_ms)
    hear(context)
    context.heard_at = context.clock.now()


@then("after {silent_ms:d} ms without it the other is {named} to callers")
def check_named(context, silent_ms, named):
    context.clock.advance(context.heard_at + silent_ms - context.clock.now())
    assert context.gossip.is_unresponsive("other") == (named == "not named")
    assert not context.gossip.is_unresponsive("own")


@when("it is heard again")
def hear_again(context):
    hear(context)
    context.heard_at = context.clock.now()


class FullTargets:
    """Targets of which none is free for a request that can be in time."""

    def expect_ms(self, _service):
        """Returns how long work takes."""
        return 250.0

    def has_near_target(self, _service):
        """Tells that there are some near."""
        return True

    def get(self, _service):
        """Returns what is known."""
        return ["a target"]

    def rank(self, _service, _without, _useful, _left, demand, _far, _rng):
        """Returns one for a request that is late."""
        if demand is placement.Demand.LATE:
            return [types.SimpleNamespace(is_cold=lambda _: False)]
        return []


def make_request_context(spent_ms):
    req = messages.Request("GET", "/", [], b"", 0.0)
    order = sending.OutgoingRequest(req, b"r-1", True, 4000.0)
    route = make_table([make_route("/")]).match("desk.example", "/")
    return request_context.RequestContext(order, route, "a", 4000.0, spent_ms)


@given("an entry at which as many requests wait as may, all in time")
def fill_entry(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.selector = target_selection.TargetSelector(
        FullTargets(), None, clock.ManualClock(), IN_ORDER
    )
    context.selector._needs_probe = lambda *_: False  # noqa: SLF001
    context.waiting = [
        context.loop.create_task(
            context.selector.select(make_request_context(0.0))
        )
        for _ in range(wait_queue.MAX_WAITING_REQUESTS)
    ]
    run_waiting(context, asyncio.sleep(0.01))
    assert not any(task.done() for task in context.waiting)


@when("a slot is free for a request that is late, and one comes")
def come_late(context):
    context.request = make_request_context(3000.0)
    context.placed = run_waiting(
        context, context.selector.select(context.request)
    )


@then("it is told at once that too many wait")
def check_too_many(context):
    for task in context.waiting:
        task.cancel()
    ended = asyncio.gather(*context.waiting, return_exceptions=True)
    run_waiting(context, ended)
    assert context.placed is None, context.placed
    assert context.request.reason == "too many requests wait"


@given("a data centre of {count:d} entries")
def make_names(context, count):
    context.names = [f"entry-{number}" for number in range(count)]
    context.ring = {
        name: peers.pick(name, set(context.names) - {name})
        for name in context.names
    }


@then("each tells {count:d} others, and hears just those that tell it")
def check_peers(context, count):
    for name, found in context.ring.items():
        assert len(found.told) == count, (name, found)
        assert name not in found.told
        tellers = {
            other for other, one in context.ring.items() if name in one.told
        }
        assert found.heard == tellers, (name, found.heard, tellers)


@when("one that told the first and is no peer of it now is lost")
def lose_far_entry(context):
    own = context.names[0]
    context.clock = clock.ManualClock()
    context.gossip = gossip.Gossip(own, context.clock, dict, lambda: None)
    addresses = dict.fromkeys(context.names[1:], "127.0.0.1:1")
    context.gossip.set_peers(addresses)
    far = set(addresses) - context.ring[own].heard
    context.far = min(far)
    raw = orjson.dumps([context.far, 1, 1, {}])
    context.gossip._receive(raw)  # noqa: SLF001
    context.clock.advance(5000)


@then("it is named to callers until control has dropped it")
def check_far(context):
    assert not context.gossip.is_unresponsive(context.far)


class World:
    """Targets whose machines are slowed for spans of time, and their asker."""

    SPAN_MS = 150.0
    QUESTION_MS = 1.0
    SLOTS = 6

    def __init__(self, clk, slowed):
        self._clock = clk
        self._slowed = slowed
        self.targets = None
        self.questions = 0

    def is_slowed(self, address):
        """Tells whether a target's machine is slowed now."""
        span = int(self._clock.now() // self.SPAN_MS)
        return random.Random(f"{address} {span}").random() < self._slowed

    async def probe(self, asked):
        """Has targets tell how busy and slow they are."""
        self._clock.advance(self.QUESTION_MS)
        for target in asked:
            self.questions += 1
            slow = 500 if self.is_slowed(target.address) else 100
            busy = random.Random(f"{target.address} {self.questions}")
            told = f"{busy.randrange(1, 4)},0,{self.SLOTS},{slow}"
            self.targets.record_load(target, told.encode())


@given(
    "{count:d} targets near an entry, each slowed five times for {slowed:d} in "
    "100 of the time"
)
def make_world(context, count, slowed):
    context.clock = clock.ManualClock()
    context.world = World(context.clock, slowed / 100)
    own_gossip = gossip.Gossip("own", context.clock, dict, lambda: None)
    targets = targets_lib.Targets("brest", "own", own_gossip, context.clock)
    instances = {}
    for number in range(count):
        row = control_pb2.InstanceRecord(
            address=f"10.0.0.{number}:8080",
            instance=f"i-{number}",
            service="a",
            data_centre="brest",
            slots=World.SLOTS,
            state="ready",
        )
        instances[row.address] = row
    table = make_table([make_route()])
    view = view_lib.View(table=table, instances=instances)
    targets.apply_changes(view, view.pop_changes())
    context.world.targets = targets
    context.selector = target_selection.TargetSelector(
        targets, context.world, context.clock, random.Random(1)
    )


def make_current_request_context(context):
    """Returns a request that has just come and can be in time."""
    now = context.clock.now()
    ctx = make_request_context(0.0)
    ctx.outgoing = sending.OutgoingRequest(
        messages.Request("GET", "/", [], b"", now), b"r-1", True, now + 2000.0
    )
    ctx.useful_until = now + 600.0
    return ctx


@given("nothing that they tell arrives")
def mute(context):
    async def probe(_targets):
        context.clock.advance(load_probes.PROBE_TIMEOUT_MS)

    context.world.probe = probe


@then("a request that can be in time finds {what} target")
def check_no_target(context, what):
    async def choose():
        return await context.selector.try_select(
            make_current_request_context(context), placement.Demand.IN_TIME
        )

    context.clock.advance(World.SPAN_MS)
    found = asyncio.run(choose())
    assert (found is None) == (what == "no"), found


@when(
    "{count:d} requests are placed, of which no two ask the same target in time"
)
def place_many(context, count):
    async def place():
        slowed = 0
        for _ in range(count):
            context.clock.advance(World.SPAN_MS)
            ctx = make_current_request_context(context)
            target = await context.selector.select(ctx)
            slowed += context.world.is_slowed(target.address)
        return slowed

    context.count = count
    context.slowed = asyncio.run(place())


@then("at most {most:g} questions were asked for a request")
def check_questions(context, most):
    each = context.world.questions / context.count
    assert each <= most, each


@then("at most {most:d} in 100 were sent to a target that was slowed then")
def check_slowed(context, most):
    assert context.slowed <= most / 100 * context.count, context.slowed


class FailingProber:
    """Asks a target whose questions fail at once."""

    def __init__(self):
        self.questions = 0

    async def probe(self, _targets):
        """Counts a question."""
        self.questions += 1


@given("a target whose questions fail at once")
def make_failing_prober(context):
    context.prober = FailingProber()


@when("the end of a request to it is kept back")
def hold(context):
    clk = clock.MonotonicClock()
    target = types.SimpleNamespace(
        has_fresh_load=lambda _: False, is_down=lambda _: False
    )
    delay = last_byte_delay.LastByteDelay(
        context.prober, 250_000.0, metrics.Metrics(), clk
    )
    asyncio.run(delay.wait(target, 4000))


@then("it was asked at most {most:d} times")
def check_asked(context, most):
    assert 1 <= context.prober.questions <= most, context.prober.questions
