"""Steps for how an entry tells that a service is short of room."""

import asyncio
import copy
import random
import types

from behave import given
from behave import then
from behave import when

from cardamomkeel import metrics
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import overload
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target_selection
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2
from features import virtual_time


def make_entry(context, places):
    """Makes an entry with a target of 4 slots in each of some places."""
    context.loop = virtual_time.VirtualLoop()
    context.add_cleanup(context.loop.close)
    own = gossip.Gossip("own", context.loop, lambda: None)
    context.targets = targets_lib.Targets("brest", "own", own, context.loop)
    view = view_lib.View()
    for number, place in enumerate(places):
        address = f"10.0.0.{number}:80"
        view.instances[address] = control_pb2.InstanceRecord(
            address=address,
            service="a",
            state="ready",
            data_centre=place,
            slots=4,
        )
    context.targets.apply_changes(view, view_lib.Changes(all_rows=True))
    for target in context.targets.get("a"):
        target.reports_load = False
    rng = random.Random(1)
    context.overload = overload.Overload(
        context.targets, metrics.Metrics(), context.loop, rng
    )
    context.selector = target_selection.TargetSelector(
        context.targets, None, context.loop, rng, context.overload
    )


def make_request(context, objective_ms, rank=0):
    """Returns the context of a request that has just arrived."""
    now = context.loop.now()
    req = messages.Request("GET", "/", [], b"", now)
    route = virtual_time.make_route("/", objective_ms, rank)
    outgoing = sending.OutgoingRequest(req, b"r", route, now + 2000.0)
    return request_context.RequestContext(outgoing, route, "a", 2000.0, 0.0)


@given("an entry whose near targets are full, and those elsewhere {elsewhere}")
def make_full_entry(context, elsewhere):
    places = ["brest"] if elsewhere == "none" else ["brest", "vannes"]
    make_entry(context, places)
    for target in context.targets.get("a"):
        if target.near or elsewhere == "full":
            target.running = target.slots


@when(
    "{count:d} requests with an objective of {objective:g} ms arrive together"
)
def select_together(context, count, objective):
    async def select():
        target = await context.selector.select(make_request(context, objective))
        if target is not None:
            target.running += 1
        return target

    async def select_all():
        return await asyncio.gather(*(select() for _ in range(count)))

    context.placed = context.loop.run_until_complete(select_all())


@then("{count:d} of them get a target")
def check_placed(context, count):
    found = sum(target is not None for target in context.placed)
    assert found == count, context.placed


@then("the service is {state} of room")
def check_short(context, state):
    assert context.overload.is_short("a") == (state == "short")


@given(
    "an entry whose requests wait {waits} ms at the head of the queue, one "
    "each 300 ms"
)
def record_waits(context, waits):
    make_entry(context, ["brest"])
    context.loop.run_until_complete(asyncio.sleep(1.0))
    for waited in waits.split(", "):
        context.loop.run_until_complete(asyncio.sleep(0.3))
        now = context.loop.now()
        context.overload.get("a").wait.record(float(waited), now)
        context.overload.is_short("a")


@when("no other arrives for {quiet:d} ms")
def wait_quietly(context, quiet):
    context.loop.run_until_complete(asyncio.sleep(quiet / 1000))


@given(
    "an entry with 1 of 20 urgent requests in time and all less urgent ones, "
    "{while_}"
)
def end_requests(context, while_):
    make_entry(context, ["brest"])
    load = context.overload.get("a")
    for number in range(20):
        context.loop.run_until_complete(asyncio.sleep(0.3))
        if while_.startswith("in a shortage"):
            load.wait.record(300.0, context.loop.now())
        for rank in (0, 1):
            ctx = make_request(context, 400.0, rank)
            ctx.is_answered = rank == 1 or number == 0
            context.overload.note_end(ctx, ran=True)
    if while_ == "in a shortage that is over":
        context.loop.run_until_complete(asyncio.sleep(20.0))


@when("the service is short of room {later:d} ms later")
def begin_shortage(context, later):
    context.loop.run_until_complete(asyncio.sleep(later / 1000))
    context.overload.get("a").wait.record(300.0, context.loop.now())


@then(
    "{least:d} to {most:d} in 100 of the less urgent ones are refused at first"
)
def check_held(context, least, most):
    refused = 0
    for _ in range(200):
        ctx = make_request(context, 400.0, 1)
        known = copy.deepcopy(context.overload.get("a").ranks)
        refusal = asyncio.run(context.overload.admit(ctx))
        context.overload.get("a").ranks = known
        refused += refusal is not None
    assert least <= refused / 2 <= most, refused


@when(
    "a request with an objective of {objective:g} ms has waited for "
    "{waited:d} ms, and still waits"
)
def wait_at_head(context, objective, waited):
    async def end(task):
        task.cancel()
        await asyncio.wait([task])

    select = context.selector.select(make_request(context, objective))
    task = context.loop.create_task(select)
    context.add_cleanup(lambda: context.loop.run_until_complete(end(task)))
    context.loop.run_until_complete(asyncio.sleep(waited / 1000))
    assert not task.done()


@given("an entry with two targets of 4 slots, one of which is {state}")
def make_two_targets(context, state):
    make_entry(context, ["brest", "brest"])
    target, now = context.targets.get("a")[0], context.loop.now()
    if state == "out of service":
        target.is_out = True
    elif state == "leaving":
        context.targets.record_leaving(target)
    elif state == "cold":
        context.targets.begin_cold_start(target, 1000.0, now)
    elif state == "down":
        target.note_down(now)
    elif state == "barred":
        context.targets.rollouts = types.SimpleNamespace(
            may_send=lambda other: other is not target
        )


@then("a slot comes free each {interval:g} ms where the work takes {work:g} ms")
def check_interval(context, interval, work):
    route = virtual_time.make_route("/", 400.0, 0)
    assert context.targets.expect_ms("a", route) == work
    assert context.targets.slot_interval_ms("a", route) == interval
