"""Steps about targets that send what is no answer of the protocol."""

import asyncio
import time

from behave import given
from behave import then
from behave import when

from bench import gateway as gateway_lib
from cardamomkeel import clock
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.backend_servers import pool
from cardamomkeel.gateway import upstream
from cardamomkeel.routing import messages
from features import raw_server

END_WAIT_S = 2.0
DEADLINE_MS = 3000.0
# The second target has 3 slots.
LOOKUPS = 8


def add_target(context, make_bytes):
    async def respond(req, write):
        await write(make_bytes(req))

    context.raw = raw_server.RawServer(respond, slots=20)
    context.add_cleanup(context.raw.close)


def replace_line(answer, line):
    return line.encode() + b"\r\n" + answer.partition(b"\r\n")[2]


@given("a target whose answers to requests begin with {line}")
def add_with_line(context, line):
    add_target(context, lambda req: replace_line(req.make_answer(), line))
    context.rig.announce(context.raw)
    context.began = time.monotonic()


@given("a target whose second answer on a connection begins with {line}")
def add_with_second_line(context, line):
    def make(req):
        answer = req.make_answer()
        return answer if req.number == 1 else replace_line(answer, line)

    add_target(context, make)
    context.rig.announce(context.raw)


@given("a target that answers requests with {status:d} and a body")
def add_with_body(context, status):
    add_target(context, lambda req: req.make_answer(status=status))
    context.rig.announce(context.raw)


@then("each request came on a connection of its own")
def check_connections(context):
    assert {req.number for req in context.raw.requests} == {1}


@when("more lookups are sent at once than the second target has slots")
def send_lookups(context):
    context.answers = context.rig.call_many(LOOKUPS)


@then("all are answered, though the first target has seen some")
def check_lookups(context):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * LOOKUPS, statuses
    assert context.raw.requests


@given("a target that answers requests with {line}, {header} and no end")
def add_without_end(context, line, header):
    add_target(context, lambda _: f"{line}\r\n{header}\r\n".encode())
    context.rig.announce(context.raw)
    context.began = time.monotonic()


@then("it took less than half of its route's timeout")
def check_took(context):
    took_ms = (time.monotonic() - context.began) * 1000
    assert took_ms < gateway_lib.ROUTES[1]["timeout_ms"] / 2, took_ms


@then("the target saw the end of the connection")
def check_connection_ended(context):
    until = time.monotonic() + END_WAIT_S
    while not context.raw.ended and time.monotonic() < until:
        time.sleep(0.01)
    assert context.raw.ended


@given("a target whose health answers begin with {line}")
def add_with_health(context, line):
    add_target(context, lambda req: req.make_answer())
    healthy = b"HTTP/1.1 200 X\r\nContent-Length: 0\r\nServer-Load: 1,0,3\r\n"
    context.raw.health = replace_line(healthy + b"\r\n", line)
    context.rig.announce(context.raw)


@when("its load is asked")
def ask_load(context):
    program = context.rig.program
    (target,) = program.targets._by_address.values()  # noqa: SLF001
    context.target = target

    async def ask():
        began = program.clk.now()
        await program.prober._probe(target)  # noqa: SLF001
        return program.clk.now() - began

    context.took_ms = context.rig.do(ask())


@then("the question is over before its time-out, and the load is not known")
def check_question(context):
    assert context.took_ms < upstream.CONNECT_TIMEOUT_MS, context.took_ms
    assert not context.target.reports_load


@given("a backend server whose answers begin with {line}")
def start_server(context, line):
    add_target(context, lambda req: replace_line(req.make_answer(), line))


@when("an entry asks it")
def ask_server(context):
    async def send():
        clk = clock.MonotonicClock()
        http = pool.PoolClient({}, clk)
        req = messages.Request("dossier", "POST", "/a", [], b"", 0.0)
        began = clk.now()
        try:
            got = await http.send(
                context.raw.address, req, [], began + DEADLINE_MS
            )
            return got, clk.now() - began
        finally:
            await http.close()

    context.sent, context.took_ms = asyncio.run(send())


@then("the request may have run and was not answered")
def check_not_answered(context):
    failure = context.sent.failure()
    assert failure.kind is client_lib.FailureKind.BROKEN, failure


@then("it took less than half of its deadline")
def check_took_deadline(context):
    assert context.took_ms < DEADLINE_MS / 2, context.took_ms
