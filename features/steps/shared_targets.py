"""Steps for decisions of entries that share their targets."""

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
from cardamomkeel.gateway import overload
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target_selection
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import wait_queue
from cardamomkeel.policy import caller_wait
from cardamomkeel.policy import cold_start_rate
from cardamomkeel.policy import peers
from cardamomkeel.policy import placement
from cardamomkeel.policy import resend_budget
from cardamomkeel.policy import saturation
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
def add_known_target(context, known):
    context.tables = tables_lib.Tables()
    context.index = 0
    row = parse_row(known)
    context.tables.put(tables_lib.instance_key(ADDRESS), 1, instance=row)


@when("it is announced as {announced}")
def announce(context, announced):
    seen = control_pb2.InstancesSeen(instances=[parse_row(announced)])
    apply(context, instances_seen=seen)


def remove_target(context, silent):
    row = context.tables.instances()[0]
    name = control_pb2.InstanceName(instance=row.instance)
    gone = control_pb2.InstancesGone(instances=[name], silent=silent)
    apply(context, instances_gone=gone)


@when("it is removed as unresponsive")
def remove_unresponsive(context):
    remove_target(context, silent=True)
    assert not context.tables.instances()


@when("it announces that it leaves")
def announce_leaving(context):
    remove_target(context, silent=False)


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
            saturation_factor=saturation.INITIAL_FACTOR,
        )
        for index, row in enumerate(table)
    ]


@then("these targets are ranked in this order")
def check_ranks(context):
    ranked = placement.rank(
        read_options(context.table), 600, 2000, IN_TIME, True, random.Random(1)
    )
    order = [int(context.table[option.index]["rank"]) for option in ranked]
    assert order == sorted(order), order
    assert len(order) == len(context.table.rows)


@then("these targets are selectable only as a last resort")
def check_last_resort(context):
    options = read_options(context.table)
    rng = random.Random(1)
    assert not placement.rank(options, 600, 2000, IN_TIME, True, rng)
    late = placement.rank(
        options, 600, 2000, placement.Demand.LAST_RESORT, True, rng
    )
    assert len(late) == len(options)


@then("these targets are never selectable")
def check_never_selectable(context):
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


@given("{count:d} entries that each send all that they may to one target")
def send_in_cold_start(context, count):
    names = [f"entry-{number}" for number in range(count)]
    senders = cold_start_rate.select_senders(ADDRESS, names)
    # Every entry picks the same senders, in whatever order it knows them.
    assert senders == cold_start_rate.select_senders(ADDRESS, reversed(names))
    buckets = [
        cold_start_rate.TokenBucket(4 / len(senders), 0.0) for _ in senders
    ]
    context.times = []
    for now in range(0, 10_000, 10):
        for bucket in buckets:
            if bucket.has_token(now):
                bucket.acquire(now)
                context.times.append(now)


@then("it gets at most {most:d} in any second where it sustains 4 a second")
def check_cold(context, most):
    check_windows(context.times, 1000, most)
    assert len(context.times) > 30


def make_resend_budgets(count):
    return [
        resend_budget.ResendBudget(0.2, 62, 10_000, random.Random(seed))
        for seed in range(count)
    ]


@given(
    "{count:d} entries that resend as often as they may, {rate:d} requests a "
    "second each"
)
def resend_often(context, count, rate):
    shares = make_resend_budgets(count)
    context.requests = count * rate * 10
    context.times = []
    for now in range(0, 60_000, 1000 // rate):
        for share in shares:
            share.record_request(now)
            while share.try_acquire(now, count):
                context.times.append(now)
    assert len(context.times) > context.requests * 0.1


@given("{count:d} entries that serve {rate:d} requests a second in all")
def set_request_rate(context, count, rate):
    context.budgets = make_resend_budgets(count)
    context.rate = rate


@when("{part:d} in 100 of their requests fail from second {start:d} to {end:d}")
def fail_requests(context, part, start, end):
    rng = random.Random(1)
    context.requests = context.rate * 10
    context.times = []
    context.failed_requests = 0
    now = 0.0
    while now < end * 1000:
        now += rng.expovariate(context.rate / 1000)
        budget = rng.choice(context.budgets)
        budget.record_request(now)
        if now < start * 1000 or rng.random() * 100 >= part:
            continue
        context.failed_requests += 1
        if budget.try_acquire(now, len(context.budgets)):
            context.times.append(now)


@then("at least {least:d} in 100 of the failed requests are resent")
def check_resent(context, least):
    share = 100 * len(context.times) / context.failed_requests
    print(f"{share:.1f} in 100 were resent")
    assert share >= least, share


@then("in any 10 s at most {share:g} a request and {slack:d} more are resent")
def check_repeats(context, share, slack):
    most = share * context.requests + slack
    check_windows(context.times, 10_000, most)


@given("a route with an objective of {objective:d} ms")
def make_work_time(context, objective):
    service = work_time.ServiceWork()
    context.work = service.get("desk.example", "/a/", objective)
    # Another route of the service has no influence.
    for _ in range(20):
        other = service.get("desk.example", "/b/", objective + 100)
        other.record(2.0 * objective)


@when("{answers:d} of its answers take {took:d} ms each")
def note_answers(context, answers, took):
    for _ in range(answers):
        context.work.record(took)


@then("its work is expected to take {guess:d} ms")
def check_guess(context, guess):
    assert abs(context.work.expect_ms() - guess) < 1, context.work.expect_ms()


@then("its work is expected to take between {least:d} and {most:d} ms")
def check_work(context, least, most):
    # Rounding is not what is tested.
    found = context.work.expect_ms()
    assert least - 1 <= found <= most + 1, found


@given("callers of a route with remaining times of {before} ms")
@given("callers of a route with remaining times of  ms")
def note_remaining_times(context, before=""):
    context.spent = caller_wait.CallerWaitEstimator()
    for remaining_ms in before.split(",") if before else ():
        context.spent.observe(float(remaining_ms))


@given("{count:d} more with other times")
def note_other_times(context, count):
    for number in range(count):
        context.spent.observe(1000.0 + number)


@then("one with {left:d} ms remaining has waited {spent:d} ms before")
def check_spent(context, left, spent):
    assert context.spent.observe(float(left)) == spent


def rank_late(table):
    return placement.rank(
        read_options(table), 0, 2000, placement.Demand.LATE, True, IN_ORDER
    )


@then("these targets are not selectable for a late request")
def check_not_selectable_late(context):
    assert not rank_late(context.table)


@then("these are selectable, though the answer is late")
def check_selectable_late(context):
    assert len(rank_late(context.table)) == len(context.table.rows)


def run_in_loop(context, job):
    """Runs a coroutine that needs an event loop."""
    return context.loop.run_until_complete(job)


# Of a new request that may wait for 100 ms: a first attempt at time 0, which
# would wait too long behind six others.
FILLS_AT_6 = (False, 100.0, 0.0, lambda ahead: 0.0 if ahead < 6 else 101.0)


@given(
    "{count:d} waiting requests, late ones of priority 0 and others of "
    "priority 2 by turns"
)
def fill_queue(context, count):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.queue = wait_queue.WaitQueue()

    async def join():
        turns = [number % 2 == 0 for number in range(count)]
        return [
            context.queue.try_join(*(late, 0 if late else 2), *FILLS_AT_6)
            for late in turns
        ]

    context.waiters = run_in_loop(context, join())
    assert None not in context.waiters


def list_order(context):
    """Returns the waiting requests in their order."""
    return sorted(
        (w for w in context.waiters if not w.wakeup.done()),
        key=wait_queue.Waiter.sort_key,
    )


@then("those of priority 2 are first")
def check_in_time_first(context):
    first = context.waiters[1]
    assert context.queue.is_first(first)
    assert [w.priority for w in list_order(context)] == [2, 2, 2, 0, 0, 0]


@when("the first one becomes late")
def become_late(context):
    context.queue.mark_late(context.waiters[1], 100.0, 0.0)


@then("it waits behind those of priority 0")
def check_waits_behind(context):
    assert context.queue.is_first(context.waiters[3])
    assert list_order(context)[-1] is context.waiters[1]


@then("another one in time displaces the last, a late one does not")
def check_displaced(context):
    async def join():
        last = context.waiters[1]
        assert context.queue.try_join(True, 2, *FILLS_AT_6) is None
        assert not last.is_displaced
        # A wakeup that it has not seen yet doesn't hide that it is displaced.
        last.wakeup.set_result(None)
        assert context.queue.try_join(False, 2, *FILLS_AT_6) is not None
        assert not await context.queue.wait(last, 10.0)

    run_in_loop(context, join())


def receive_datagram(context):
    context.number += 1
    raw = orjson.dumps(["other", 1, context.number, {}])
    context.gossip._receive(raw)  # noqa: SLF001


@given("an entry that another one sends to every {every_ms:d} ms")
def make_gossip(context, every_ms):
    context.clock = clock.ManualClock()
    context.gossip = gossip.Gossip("own", context.clock, lambda: None)
    context.gossip.set_peers({"other": "127.0.0.1:1"})
    context.number = 0
    for _ in range(3):
        receive_datagram(context)
        context.clock.advance(every_ms)
    receive_datagram(context)
    context.received_at = context.clock.now()


@then("after {silent_ms:d} ms without it the other is {listed} to callers")
def check_listed(context, silent_ms, listed):
    context.clock.advance(context.received_at + silent_ms - context.clock.now())
    assert context.gossip.is_unresponsive("other") == (listed == "not listed")
    assert not context.gossip.is_unresponsive("own")


@when("the other sends again")
def receive_again(context):
    receive_datagram(context)
    context.received_at = context.clock.now()


class FullTargets:
    """Targets that are free for late requests only."""

    choice = None

    def expect_ms(self, _service, _route):
        """Returns the expected work time."""
        return 250.0

    def has_near_target(self, _service):
        """Returns that a target is near."""
        return True

    def may_leave(self, _service):
        """Returns that there is no target in another data centre."""
        return False

    def time_to_return_ms(self, _service, _excluded):
        """Returns that a target takes requests now."""
        return 0.0

    def slot_interval_ms(self, _service, _route):
        """Returns that the objective allows a wait behind five others."""
        return 70.0

    def rank(self, _service, _route, _without, _useful, _left, demand, *_):
        """Returns a target for a late request, none for others."""
        if demand is placement.Demand.LATE:
            return [types.SimpleNamespace(is_cold=lambda _: False)]
        return []


def make_request_context(spent_ms):
    req = messages.Request("GET", "/", [], b"", 0.0)
    route = make_table([make_route("/")]).match("desk.example", "/")
    order = sending.OutgoingRequest(req, b"r-1", route, 4000.0 - spent_ms)
    return request_context.RequestContext(order, route, "a", 4000.0, spent_ms)


def make_overload(targets, clk):
    return overload.Overload(targets, metrics.Metrics(), clk, IN_ORDER)


@given("an entry with a full queue of requests, all in time")
def fill_entry_queue(context):
    context.loop = asyncio.new_event_loop()
    context.add_cleanup(context.loop.close)
    context.selector = target_selection.TargetSelector(
        *(FullTargets(), None, clock.ManualClock(), IN_ORDER),
        make_overload(FullTargets(), clock.ManualClock()),
    )
    context.selector._needs_probe = lambda *_: False  # noqa: SLF001
    context.waiting = [
        context.loop.create_task(
            context.selector.select(make_request_context(0.0))
        )
        for _ in range(6)
    ]
    run_in_loop(context, asyncio.sleep(0.01))
    assert not any(task.done() for task in context.waiting)


@when("a slot is free for a late request, and one arrives")
def send_late_request(context):
    context.request = make_request_context(3000.0)
    context.placed = run_in_loop(
        context, context.selector.select(context.request)
    )


@then("it is rejected at once since too many wait")
def check_too_many(context):
    for task in context.waiting:
        task.cancel()
    ended = asyncio.gather(*context.waiting, return_exceptions=True)
    run_in_loop(context, ended)
    assert context.placed is None, context.placed
    assert context.request.reason == "too many requests wait"


@given("a data centre of {count:d} entries")
def make_names(context, count):
    context.names = [f"entry-{number}" for number in range(count)]
    context.ring = {
        name: peers.pick(name, set(context.names) - {name})
        for name in context.names
    }


@then("each sends to {count:d} others, and receives from those that send to it")
def check_peers(context, count):
    for name, found in context.ring.items():
        assert len(found.sends_to) == count, (name, found)
        assert name not in found.sends_to
        senders = {
            other for other, one in context.ring.items() if name in one.sends_to
        }
        assert found.receives_from == senders, (
            name,
            found.receives_from,
            senders,
        )


@when("one that sent to the first and is no peer of it now is lost")
def lose_former_peer(context):
    own = context.names[0]
    context.clock = clock.ManualClock()
    context.gossip = gossip.Gossip(own, context.clock, lambda: None)
    addresses = dict.fromkeys(context.names[1:], "127.0.0.1:1")
    context.gossip.set_peers(addresses)
    far = set(addresses) - context.ring[own].receives_from
    context.former_peer = min(far)
    raw = orjson.dumps([context.former_peer, 1, 1, {}])
    context.gossip._receive(raw)  # noqa: SLF001
    context.clock.advance(5000)


@then("it is listed to callers until control has removed it")
def check_former_peer(context):
    assert not context.gossip.is_unresponsive(context.former_peer)


class SlowedTargets:
    """Targets whose machines are slowed in spans of time, and their prober.

    Attributes:
        targets: The targets of an entry.
        probes: How many probes were sent.
    """

    SPAN_MS = 150.0
    PROBE_MS = 1.0
    SLOTS = 6

    def __init__(self, clk, slowed):
        self._clock = clk
        self._slowed = slowed
        self.targets = None
        self.probes = 0

    def is_slowed(self, address):
        """Returns whether the machine of a target is slowed now."""
        span = int(self._clock.now() // self.SPAN_MS)
        return random.Random(f"{address} {span}").random() < self._slowed

    async def probe(self, targets):
        """Records the load and the slowdown of targets."""
        self._clock.advance(self.PROBE_MS)
        for target in targets:
            self.probes += 1
            slow = 500 if self.is_slowed(target.address) else 100
            busy = random.Random(f"{target.address} {self.probes}")
            reported = f"{busy.randrange(1, 4)},0,{self.SLOTS},{slow}"
            self.targets.record_load(target, reported.encode())


@given(
    "{count:d} targets near an entry, each slowed by a factor of 5 in "
    "{slowed:d} % of the time"
)
def make_slowed_targets(context, count, slowed):
    context.clock = clock.ManualClock()
    context.slowed_targets = SlowedTargets(context.clock, slowed / 100)
    own_gossip = gossip.Gossip("own", context.clock, lambda: None)
    targets = targets_lib.Targets("brest", "own", own_gossip, context.clock)
    instances = {}
    for number in range(count):
        row = control_pb2.InstanceRecord(
            address=f"10.0.0.{number}:8080",
            instance=f"i-{number}",
            service="a",
            data_centre="brest",
            slots=SlowedTargets.SLOTS,
            state="ready",
        )
        instances[row.address] = row
    table = make_table([make_route()])
    view = view_lib.View(table=table, instances=instances)
    targets.apply_changes(view, view.pop_changes())
    context.slowed_targets.targets = targets
    context.selector = target_selection.TargetSelector(
        *(targets, context.slowed_targets, context.clock, random.Random(1)),
        make_overload(targets, context.clock),
    )


def make_current_request_context(context):
    """Returns the context of a request that arrives now, in time."""
    now = context.clock.now()
    ctx = make_request_context(0.0)
    ctx.outgoing = sending.OutgoingRequest(
        messages.Request("GET", "/", [], b"", now),
        b"r-1",
        ctx.route,
        now + 2000.0,
    )
    ctx.useful_until = now + 600.0
    return ctx


@given("no answers to probes arrive")
def lose_answers(context):
    async def probe(_targets):
        context.clock.advance(load_probes.PROBE_TIMEOUT_MS)

    context.slowed_targets.probe = probe


@then("a request that can be in time finds {what} target")
def check_no_target(context, what):
    async def choose():
        return await context.selector.try_select(
            make_current_request_context(context), placement.Demand.IN_TIME
        )

    context.clock.advance(SlowedTargets.SPAN_MS)
    found = asyncio.run(choose())
    assert (found is None) == (what == "no"), found


@when(
    "{count:d} requests are placed too far apart to share the answers of probes"
)
def place_many(context, count):
    async def place():
        slowed = 0
        for _ in range(count):
            context.clock.advance(SlowedTargets.SPAN_MS)
            ctx = make_current_request_context(context)
            target = await context.selector.select(ctx)
            slowed += context.slowed_targets.is_slowed(target.address)
        return slowed

    context.count = count
    context.slowed = asyncio.run(place())


@then("at most {most:g} probes were sent for a request")
def check_probes(context, most):
    each = context.slowed_targets.probes / context.count
    assert each <= most, each


@then("at most {most:d} % were sent to a target that was slowed then")
def check_slowed(context, most):
    assert context.slowed <= most / 100 * context.count, context.slowed


class FailingProber:
    """Counts probes, which fail at once."""

    def __init__(self):
        self.probes = 0

    async def probe(self, _targets):
        """Counts a probe."""
        self.probes += 1


@given("a target whose probes fail at once")
def make_failing_prober(context):
    context.prober = FailingProber()


@when("the last byte of a request to it is held back")
def hold_back_last_byte(context):
    clk = clock.MonotonicClock()
    target = types.SimpleNamespace(
        has_fresh_load=lambda _: False, is_down=lambda _: False
    )
    delay = last_byte_delay.LastByteDelay(
        context.prober, 250_000.0, metrics.Metrics(), clk
    )
    asyncio.run(delay.wait(target, 4000))


@then("it was probed at most {most:d} times")
def check_probe_count(context, most):
    assert 1 <= context.prober.probes <= most, context.prober.probes
