"""Steps for refusals at the door, the order of a queue, and hangs."""

import asyncio
import random
import types

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel import metrics
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import hang_watch
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import overload
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import wait_queue
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2
from features import virtual_time


@given("an entry whose requests have waited {waited_ms:d} ms for a target")
def make_overload(context, waited_ms):
    context.clock = clock.ManualClock()
    targets = types.SimpleNamespace(
        expect_ms=lambda *_: 250.0, get=lambda _: []
    )
    context.overload = overload.Overload(
        targets, metrics.Metrics(), context.clock, random.Random(1)
    )
    for _ in range(20):
        context.overload.get("a").wait.record(waited_ms, 0.0)


@when(
    "one arrives that was sent {spent:d} ms ago, with an objective of "
    "{objective:d} ms and 250 ms of work"
)
def admit(context, spent, objective):
    req = messages.Request("GET", "/", [], b"", 0.0)
    route = virtual_time.make_route("/", float(objective), 0)
    outgoing = sending.OutgoingRequest(req, b"r", route, 4000.0)
    ctx = request_context.RequestContext(
        outgoing, route, "a", 4000.0, float(spent)
    )
    context.refusal = asyncio.run(context.overload.admit(ctx))


@then("it is admitted")
def check_admitted(context):
    assert context.refusal is None, context.refusal


@then("it is refused, to return within {most:d} ms")
def check_refused(context, most):
    assert context.refusal.status == 503
    assert 250.0 <= context.refusal.retry_after_ms <= most


@given('waiting requests in the order "{names}"')
def queue_requests(context, names):
    async def join():
        queue = wait_queue.WaitQueue()
        for name in names.split(", "):
            kind, rank = name.split()
            waiter = queue.try_join(
                *(kind == "late", int(rank), kind == "returned"),
                *(100.0, 0.0, lambda _: 0.0),
            )
            context.waiters.append((name, waiter))

    context.waiters = []
    asyncio.run(join())


@then('they are served in the order "{names}"')
def check_order(context, names):
    context.waiters.sort(key=lambda pair: pair[1].sort_key())
    assert [name for name, _ in context.waiters] == names.split(", ")


@given('a target that reports "{load}" and never answers')
def make_hanging(context, load):
    context.loop = virtual_time.VirtualLoop()
    own = gossip.Gossip("own", context.loop, lambda: None)
    targets = targets_lib.Targets("brest", "own", own, context.loop)
    row = control_pb2.InstanceRecord(address="10.0.0.1:80", service="a")
    row.state = "ready"
    view = view_lib.View(instances={row.address: row})
    targets.apply_changes(view, view_lib.Changes(all_rows=True))
    (context.target,) = targets.get("a")

    async def probe(probed):
        await asyncio.sleep(0.001)
        targets.record_load(probed[0], load.encode())

    context.watch = hang_watch.HangWatch(
        types.SimpleNamespace(probe=probe), metrics.Metrics(), context.loop
    )
    context.loop.run_until_complete(probe([context.target]))


@when("the entry waits for its answer and asks after {after_ms:d} ms")
def wait_for_answer(context, after_ms):
    async def wait():
        answer = context.loop.create_future()
        async with asyncio.timeout(2):
            await context.watch.wait(
                answer, context.target, after_ms, lambda: False
            )

    context.began = context.loop.now()
    try:
        context.loop.run_until_complete(wait())
    except (TimeoutError, hang_watch.HungError) as exc:
        context.end = "not hung" if isinstance(exc, TimeoutError) else "hung"


@then("the request ends as {end} after {least:d} to {most:d} ms")
def check_end(context, end, least, most):
    assert context.end == end, context.end
    took_ms = context.loop.now() - context.began
    assert least <= round(took_ms) <= most, took_ms


@then("the target gets {what}")
def check_next(context, what):
    held = what != "requests as before"
    now = context.loop.now()
    assert context.target.may_take_more(now) is not held
    assert context.target.may_take_more(now + 1000.0)
    context.target.running = 1
    assert context.target.may_take_more(now + 1000.0) is not held
