"""Steps about requests on their way from a caller to a backend server."""

import concurrent.futures
import hashlib
import json

from behave import then
from behave import when

from bench import caller as caller_lib


@when("{count:d} callers each look up a path of their own in {service}")
def look_up(context, count, service):
    bodies = [f"caller {number}".encode() for number in range(count)]

    addresses = context.caller.addresses(service)

    # Each thread has its own client. If threads share a client, httpx may close
    # a connection while another thread reads from it.
    def call(number):
        own = caller_lib.Caller(addresses)
        return own.call(
            service,
            "POST",
            f"/own/{number}",
            body=bodies[number],
            address=addresses[0],
        )

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.answers = list(pool.map(call, range(count)))
    context.bodies = bodies


@then("each got the complete answer to its own request")
def check_own_answers(context):
    for number, got in enumerate(context.answers):
        assert got.outcome == "answered", got
        answer = json.loads(got.body)
        wanted = hashlib.sha256(context.bodies[number]).hexdigest()
        assert answer["path"] == f"/own/{number}", answer
        assert answer["body_hash"] == wanted, answer


@when('a booking with key "{key}" is sent to {service} through each entry')
def book_everywhere(context, key, service):
    context.answers = [
        context.caller.call(
            service, "POST", "/book", key=key, body=b"{}", address=address
        )
        for address in context.deployment.callers_addresses.values()
    ]


@then("all of them got the same answer")
def check_alike(context):
    assert {got.outcome for got in context.answers} == {"answered"}
    assert len({got.body for got in context.answers}) == 1, context.answers


@then('the backend servers ran "{key}" {count:d} time')
def check_runs(context, key, count):
    runs = [run for run in context.deployment.list_runs() if run["key"] == key]
    assert len(runs) == count, runs


@when("a booking without a key is sent to {service}")
def book_without_key(context, service):
    context.got = context.caller.call(service, "POST", "/book", body=b"{}")


@when("a lookup is sent to {service}")
def look_up_once(context, service):
    address = next(iter(context.deployment.callers_addresses.values()))
    context.got = context.caller.call(service, address=address)


@then('it ended as "{outcome}" with status {status:d}')
def check_ended(context, outcome, status):
    assert context.got.outcome == outcome, context.got
    assert context.got.status == status, context.got


@then('the message names "{words}"')
def check_message(context, words):
    assert words in context.got.body.decode(), context.got


@then("no backend server ran more requests than its limit")
def check_overruns(context):
    servers = context.deployment.call_servers("/servers")
    overrun = [s for s in servers if s["overruns"]]
    assert not overrun, overrun
