"""Steps about servers that send a second copy of an answer, late."""

import asyncio

from behave import given
from behave import then
from behave import when

from bench import gateway as gateway_lib
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool
from cardamomkeel.routing import messages
from features import raw_server

PAUSE_S = 0.03
PUSH_BACK = "Retry-After: 0.2\r\n"
REFUSAL = "Not-Executed: 1\r\nCardamomkeel-Not-Run: full\r\n"


def make_answer(req, kind):
    with_id = not kind.endswith("without an id")
    if kind == "a push-back":
        return req.make_answer(status=503, more=REFUSAL + PUSH_BACK)
    if kind.startswith("a refusal"):
        return req.make_answer(status=503, with_id=with_id, more=REFUSAL)
    return req.make_answer(with_id=with_id)


@given("a server that sends a second copy of its first answer")
def start_server(context):
    async def respond(req, write):
        if req.number == 1 and len(context.raw.requests) == 1:
            await write(make_answer(req, context.kind))
            context.copy = make_answer(req, context.copy_kind)
            if context.moment == "between the two requests":
                await asyncio.sleep(PAUSE_S)
                await write(context.copy)
            return
        own = make_answer(req, context.own_kind)
        if req.number == 1:
            await write(own)
        elif context.moment.startswith("in one segment"):
            await write(context.copy + own)
        else:
            await write(context.copy[:20])
            await asyncio.sleep(PAUSE_S)
            await write(context.copy[20:])
            await asyncio.sleep(PAUSE_S)
            await write(own)

    context.raw = raw_server.RawServer(respond)
    context.add_cleanup(context.raw.close)


@given("an entry of the platform that uses only this server")
def start_entry(context):
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)
    context.rig.set_routes(gateway_lib.ROUTES, 1)
    context.rig.announce(context.raw)


@when("the first answer is {kind} and its copy comes {moment}")
def choose_copy(context, kind, moment):
    context.kind = context.copy_kind = kind
    context.moment = moment
    without_ids = kind == "a success without an id"
    context.own_kind = kind if without_ids else "a success"


@when("every answer is a refusal without an id")
def refuse_without_id(context):
    context.kind = context.own_kind = "a refusal without an id"
    context.copy_kind = context.kind
    context.moment = "never"


@given("an entry of the platform that prefers this server to another one")
def start_entry_with_two(context):
    start_entry(context)
    # Requests go to another data centre only if the own one can't serve them.
    context.other = context.rig.add_target(data_centre="vannes")


@when("the first answer is a refusal, and a copy without its id comes {moment}")
def choose_copy_without_id(context, moment):
    choose_copy(context, "a refusal", moment)
    context.copy_kind = "a refusal without an id"


@when("two bookings are sent one after the other to this server first")
def send_to_first(context):
    context.statuses = []
    for number in (1, 2):
        answer = context.rig.call("POST", f"/book/{number}", b"an urn")
        context.statuses.append(answer.status)
        if number == 1:
            context.rig.do(asyncio.sleep(3 * PAUSE_S))


@then("the second one was not refused")
def check_not_refused(context):
    assert "/book/2" in [req.path for req in context.raw.requests]
    assert context.statuses[1] in (200, 502), context.statuses


@then("the second one reached no other server")
def check_no_other(context):
    paths = [arrival.path for arrival in context.other.arrivals]
    assert paths == ["/book/1"], paths


@when("two bookings are sent one after the other")
def send_bookings(context):
    context.bodies = []
    for number in (1, 2):
        answer = context.rig.call("POST", f"/book/{number}", b"an urn")
        context.bodies.append(answer.body.decode())
        if number == 1:
            context.rig.do(asyncio.sleep(3 * PAUSE_S))
    context.paths = ["/book/1", "/book/2"]


@when("the product's pool sends it two requests one after the other")
def send_through_pool(context):
    async def send():
        clk = clock.MonotonicClock()
        http = pool.PoolClient({}, clk)
        bodies = []
        for path in ("/1", "/2"):
            req = messages.Request("dossier", "GET", path, [], b"", 0.0)
            until = clk.now() + 3000
            sent = await http.send(context.raw.address, req, [], until)
            bodies.append(sent.unwrap().body.decode())
            await asyncio.sleep(3 * PAUSE_S)
        await http.close()
        return bodies

    context.bodies = asyncio.run(send())
    context.paths = ["/1", "/2"]


@then("the second one got its own answer")
def check_own_answer(context):
    assert context.bodies[1] == context.paths[1], context.bodies


@then("nothing ran twice")
def check_requests(context):
    found = [req.path for req in context.raw.requests]
    assert found == context.paths, found
