"""Steps for requests that carry keys of client accounts."""

import json
import math
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import gateway as gateway_lib
from bench import platform as platform_lib
from cardamomkeel.accounts import digests
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import structs

KEY = "key-of-one"
ROUTES = [
    *gateway_lib.ROUTES,
    gateway_lib.make_route(name="open", prefix="/open/", keyless=True),
]


def make_account(name, *keys, **more):
    key_digests = [digests.make(key.encode()) for key in keys]
    return {"name": name, "key_digests": key_digests} | more


ACCOUNTS = [make_account("one", KEY, "other"), make_account("two", "key-2")]


def withdraw(context):
    accounts = [make_account("one", "other"), make_account("two", "key-2")]
    context.rig.set_routes(ROUTES, 9, accounts=accounts)


@given('an entry in touch with routes, and accounts "one" and "two"')
def start(context):
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)
    context.rig.program.session.lease_until = math.inf
    context.rig.set_routes(ROUTES, 1, accounts=ACCOUNTS)


@given("the accounts are taken out of the routes")
def remove_accounts(context):
    context.rig.set_routes(ROUTES, 2)


@given("an entry that is out of touch")
def lose_touch(context):
    context.rig.program.session.lease_until = -math.inf


@given("an entry that knows no routes")
def start_empty(context):
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)


def send(context, *lines, path="/look/1"):
    caller = context.rig.connect()
    context.add_cleanup(caller.close)
    head = [f"GET {path} HTTP/1.1", "host: desk.example", "request-id: r-1"]
    head += ["deadline-ms: 4000", *lines]
    caller.send_raw("\r\n".join(head).encode() + b"\r\n\r\n")
    context.answers = [caller.receive()]


@when('a lookup is sent with Authorization "{value}"')
def send_value(context, value):
    send(context, "authorization: " + value.replace("\\t", "\t"))


@when('a lookup is sent with Authorization twice "{value}"')
def send_twice(context, value):
    send(context, f"authorization: {value}", f"Authorization: {value}")


@when("a lookup is sent with Authorization of {size:d} bytes")
def send_long(context, size):
    send(context, "authorization: Bearer " + "x" * size)


@when("a lookup is sent with Authorization none")
def send_none(context):
    send(context)


@when("a lookup with a key and headers of an account of its own is sent")
def send_forged(context):
    send(
        context,
        *(f"AUTHORIZATION: Bearer {KEY}", "TENANT: forged", "tenant: forged"),
        *("Connection: keep-alive, tenant, upgrade", "Upgrade: h2c"),
    )


@when("a request to the route without keys is sent with an unknown key")
def send_open(context):
    send(context, f"authorization: Bearer {KEY}-no", "Tenant: x", path="/open/")


def list_headers(context):
    targets = context.rig.farm.targets
    return [a.headers for t in targets for a in t.arrivals]


@then('targets received the account "{name}", {times:d} times, and no key')
def check_account(context, name, times):
    got = list_headers(context)
    assert [headers.get("tenant") for headers in got] == [name] * times, got
    assert KEY not in str(got)


@then("targets received no account, and no key")
def check_no_account(context):
    (got,) = list_headers(context)
    assert "tenant" not in got and KEY not in str(got), got


@then("targets received its headers as they were")
def check_passed(context):
    (got,) = list_headers(context)
    assert got["authorization"] == f"Bearer {KEY}", got


@when("a key is withdrawn while a body arrives")
def withdraw_in_body(context):
    caller = context.rig.connect()
    caller.send_raw(
        b"POST /book/1 HTTP/1.1\r\nhost: desk.example\r\nrequest-id: last\r\n"
        b"content-length: 4\r\nauthorization: Bearer key-of-one\r\n\r\nab"
    )
    withdraw(context)
    caller.send_raw(b"cd")
    context.last_id = "last"
    context.last = caller.receive()
    caller.close()


@when("a key is withdrawn while a request waits for a slot")
def withdraw_in_queue(context):
    rig = context.rig
    for target in rig.farm.targets:
        target.work_s = 0.5
    callers = []
    while len(callers) == len(list_headers(context)):
        caller = rig.connect()
        context.add_cleanup(caller.close)
        callers.append(caller)
        caller.send(
            *("POST", "/book/1"),
            **{"authorization": f"Bearer {KEY}", "request-id": len(callers)},
        )
        time.sleep(0.04)
    withdraw(context)
    context.last = callers[-1].receive()
    context.last_id = str(len(callers))


@when("a key is withdrawn while a request is pipelined")
def withdraw_in_pipeline(context):
    caller = context.rig.connect()
    key = {"authorization": f"Bearer {KEY}"}
    for target in context.rig.farm.targets:
        target.work_s = 0.3
    caller.send("POST", "/book/1", **key)
    caller.send("POST", "/book/2", **key, request_id="last")
    time.sleep(0.1)
    withdraw(context)
    context.last_id = "last"
    assert caller.receive().status == 200
    context.last = caller.receive()
    caller.close()


@then("the last answer has status {status:d}")
def check_last(context, status):
    assert context.last.status == status, context.last


@then("targets did not run the last request")
def check_last_not_run(context):
    got = [headers["request-id"] for headers in list_headers(context)]
    assert context.last_id not in got, got


FAULTS = {
    "one key": [make_account("a", "k"), make_account("b", "k")],
    "one name": [make_account("a", "k"), make_account("a", "l")],
    "a rate below 0": [make_account("a", rate_per_s=-1)],
    "a burst of text": [make_account("a", burst="5")],
    "a line in the name": [make_account("a\r\nb")],
    "a key in the clear": [{"name": "a", "key_digests": ["key-of-one"]}],
}


@then('accounts with {fault} are refused, because "{reason}"')
def check_fault(_, fault, reason):
    content = {"routes": [], "services": {}, "accounts": FAULTS[fault]}
    got = structs.convert(content, document_lib.RoutesDocument, "the test")
    message = got.failure().message
    assert reason in message and KEY not in message, message


@when("keys are used, refused and withdrawn on the platform")
def use_keys(context):
    fleet = context.fleet
    context.keys = [f"secret{number}secret" for number in range(4)]
    columns = ["name", "api-keys", "rate-per-s", "burst"]

    def put(number, *keys):
        rows = [["one", list(keys), 0, None], ["two", context.keys[2:3], 1, 1]]
        tenants = {"columns": columns, "rows": rows}
        config = platform_lib.make_config(number, number - 1, tenants=tenants)
        return fleet.call_control("PUT", "/-/config", config)

    def call(number, status, path="/look/1"):
        key = {"authorization": f"Bearer {context.keys[number]}"}
        key |= {"host": "desk.example", "request-id": f"r-{time.time()}"}
        got = fleet.client.get(fleet.fronts[0].url(path), headers=key)
        context.outputs.append(got.text + str(got.headers))
        return got.status_code == status

    context.outputs = []
    for service in platform_lib.SERVICES:
        fleet.add_target(service)
    assert put(1, *context.keys[:2]).status_code == 200
    refused = [put(2, *context.keys[:3]), put(2, *context.keys[:2], 7)]
    context.outputs += [got.text for got in refused]
    assert [got.status_code for got in refused] == [400, 400], refused
    for number, status in ((0, 200), (1, 200), (2, 200), (3, 401)):
        fleet.wait_for(lambda n=number, s=status: call(n, s), 20)
    assert call(0, 404, "/nowhere/")
    fleet.farm.crash_path = "/look/crash"
    call(0, 502, "/look/crash")
    assert put(2, context.keys[1]).status_code == 200
    fleet.wait_for(lambda: call(0, 401), 4)


@then("no output of the programs holds a key")
def check_outputs(context):
    fleet = context.fleet
    outputs = context.outputs
    for vm in fleet.cores + fleet.fronts:
        outputs.append(vm.log())
        for path in ("/metrics", "/state"):
            got = httpx.get(vm.url(path, 5))
            assert got.status_code == 200, got
            outputs.append(got.text)
    assert any("admission_refusals" in text for text in outputs)
    assert any("refused admission of request" in text for text in outputs)
    for key in context.keys:
        for text in outputs:
            assert key not in text, text


TEXT = """// The routes of the desk.
{
  "routes": [{
    "host": "desk.example", "prefix": "/look/",
    "parts": [{"service": "dossier", "weight": 1}],
    "idempotent": true, "timeout_ms": 2000, "objective_ms": 600,
  }],
  "services": {"dossier": {}},
  "accounts": [
    {"name": "two", "key_digests": ["0123456789abcdef0123456789abcdef"]},
    {"name": "one", /* The desk in Brest. */ "key_digests": []},
  ],
}
"""


def run(context, *args):
    ran = context.routed.run(*args)
    context.printed = ran.stdout + ran.stderr
    assert ran.returncode == 0, context.printed
    if getattr(context, "key_file", None) and context.key_file.exists():
        assert context.key_file.read_text().strip() not in context.printed
    return ran.stdout


@given("routes in force with comments and an account without keys")
def apply_text(context):
    folder = context.routed.folder
    path = folder / "routes.json"
    path.write_text(TEXT, encoding="utf-8")
    context.key_file = folder / "key"
    run(context, "routes", "apply", str(path), "--base-number", "0", "--wait")


@when("a new key is added to the account from a file")
def add_key(context):
    options = ["--key-file", str(context.key_file), "--wait"]
    run(context, "accounts", "add-key", "one", *options)


@when("that key is withdrawn")
def withdraw_key(context):
    options = ["--key-file", str(context.key_file), "--wait"]
    run(context, "accounts", "withdraw-key", "one", *options)


@then("the account is listed with {count:d} key, and the comments are in force")
def check_listed(context, count):
    listed = json.loads(run(context, "accounts", "list"))["accounts"]
    digest = digests.make(context.key_file.read_bytes().strip())
    assert listed[1]["keys"] == [digest[:8]] * count, listed
    text = run(context, "routes", "show", "--text")
    assert text == TEXT.replace("[]", f'["{digest}"]' if count else "[]"), text


def get_statuses(context):
    key = context.key_file.read_text().strip()
    headers = {"authorization": f"Bearer {key}", "host": "desk.example"}
    headers["cardamomkeel-request-id"] = f"r-{time.time()}"
    return [
        httpx.get(f"http://{entry.callers}/look/1", headers=headers).status_code
        for entry in context.routed.entries
    ]


@then("a lookup with the key at each entry gets no 401")
def check_known(context):
    statuses = get_statuses(context)
    assert 401 not in statuses, statuses


@then("a lookup with the key at each entry gets a 401")
def check_unknown(context):
    statuses = get_statuses(context)
    assert set(statuses) == {401}, statuses
