"""Steps of the programs on the platform."""

import concurrent.futures
import copy
import json
import secrets
import signal
import socket
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import platform as platform_lib
from bench import platform_targets


@when("the operator sends configuration {number:d} on {base:d}")
def send_config(context, number, base):
    config = platform_lib.make_config(number, base)
    context.answer = context.fleet.call_control("PUT", "/-/config", config)


@then("it is acknowledged with {status:d}")
def check_ack(context, status):
    assert context.answer.status_code == status, context.answer.text


@given("a target of dossier and one of keepsake")
def add_targets(context):
    context.targets = [
        context.fleet.add_target(service) for service in platform_lib.SERVICES
    ]


@given("a second target of dossier")
def add_second(context):
    context.second = context.fleet.add_target("dossier")


@then("every entry is ready")
def check_ready(context):
    fleet = context.fleet
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))


@then("a lookup and a booking are answered by their services")
def check_served(context):
    fleet = context.fleet
    for vm in range(len(fleet.fronts)):
        fleet.wait_for(
            lambda vm=vm: (
                fleet.call(front=vm).status_code == 200
                and fleet.call("/book/1", "POST", b"x", vm).status_code == 200
            )
        )
    # A target in cold start may have to refuse an early request.
    fleet.wait_for(lambda: fleet.call().content == platform_targets.BODY, 5)
    paths = {service: set() for service in platform_lib.SERVICES}
    for target in fleet.farm.targets:
        paths[target.service].update(a.path for a in target.arrivals)
    assert paths == {"dossier": {"/look/1"}, "keepsake": {"/book/1"}}, paths


@then("lookups reach both targets of dossier")
def check_both_reached(context):
    fleet = context.fleet
    targets = [context.targets[0], context.second]
    fleet.wait_for(
        lambda: (
            fleet.call().status_code == 200
            and all(target.arrivals for target in targets)
        ),
        20,
    )


def resolve(fleet, vm):
    params = {"name": "desk.example", "region": "breizh", "zone": "brest"}
    got = fleet.client.get(vm.url("/-/resolve", 2), params=params)
    assert got.status_code == 200, got
    return set(got.json()["addresses"])


@then("the directory names every entry to callers")
def check_directory(context):
    fleet = context.fleet
    expected = {f"{vm.ip}:{fleet.port}" for vm in fleet.fronts}
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: resolve(fleet, vm) == expected)


@then("the directory names only the other entry")
def check_directory_without(context):
    fleet = context.fleet
    other = fleet.fronts[1]
    expected = {f"{other.ip}:{fleet.port}"}
    fleet.wait_for(lambda: resolve(fleet, other) == expected, 10)


def get_version(fleet, vm):
    got = fleet.request(vm, "GET", "/-/config")
    if got is None or got.status_code != 200:
        return None
    return int(got.json()["version"], 16)


@then("every control VM reads back configuration {number:d}")
def check_returned(context, number):
    fleet = context.fleet
    for vm in fleet.cores:
        fleet.wait_for(lambda vm=vm: get_version(fleet, vm) == number, 20)


@then("it reads back configuration {number:d}")
def check_first_returned(context, number):
    fleet = context.fleet
    fleet.wait_for(lambda: get_version(fleet, fleet.cores[0]) == number, 20)


@when(
    "the operator sends downloads and client accounts as {number:d} on {base:d}"
)
def send_downloads(context, number, base):
    config = platform_lib.make_config(number, base)
    types = config["routes"]["columns"].index("type")
    config["routes"]["rows"][0][types] = "download"
    config["routes"]["columns"].append("auth-exempt")
    for row in config["routes"]["rows"]:
        row.append(True)
    config["tenants"] = {
        "columns": ["name", "api-keys", "priority", "rate-per-s", "burst"],
        "rows": [
            ["one", ["key-1", "key-2"], 1, 5, 7],
            ["two", [], *[None] * 3],
        ],
    }
    context.answer = context.fleet.call_control("PUT", "/-/config", config)


def list_invalid():
    """Returns configurations that are invalid by the platform's pages."""
    valid = platform_lib.make_config(9, 1)
    columns = valid["routes"]["columns"]

    def change(column, value):
        config = copy.deepcopy(valid)
        config["routes"]["rows"][0][columns.index(column)] = value
        return config

    duplicate_route = copy.deepcopy(valid)
    duplicate_route["routes"]["rows"].append(
        duplicate_route["routes"]["rows"][0]
    )
    split = [{"service": "dossier", "weight": -1}]
    negative_weight = change("traffic-split", split)
    no_service = change("service", None)
    short_row = copy.deepcopy(valid)
    short_row["routes"]["rows"][0].pop()

    def with_tenants(*rows):
        columns = ["name", "api-keys", "priority", "rate-per-s", "burst"]
        tenants = {"columns": columns, "rows": [list(row) for row in rows]}
        return platform_lib.make_config(9, 1, tenants=tenants)

    one = ("one", ["key-1"], 0, 5, 5)
    return [
        json.dumps(config).encode()
        for config in (
            change("service", "none"),
            duplicate_route,
            negative_weight,
            no_service,
            short_row,
            change("timeout-ms", 600_001),
            change("aim-ms", 62_000),
            change("attempts", 0),
            change("type", "other"),
            change("timeout-ms", "2000"),
            platform_lib.make_config(1, 1),
            {k: v for k, v in valid.items() if k != "services"},
            with_tenants(one, ("two", ["key-1"], 0, 5, 5)),
            with_tenants(one, ("one", ["key-2"], 0, 5, 5)),
            with_tenants(("one", ["key-1"], 0, -1, 5)),
            with_tenants(("one", ["key-1"], 0, 5, "5")),
            with_tenants(("one", "key-1", 0, 5, 5)),
        )
    ] + [json.dumps(valid).encode()[:-20], b"", b"[]", b"\xff"]


@then("each invalid configuration is answered 400")
def check_invalid(context):
    for raw in list_invalid():
        got = context.fleet.call_control("PUT", "/-/config", raw=raw)
        assert got.status_code == 400, (got, raw)


@then("each invalid heartbeat is answered 400")
def check_heartbeats(context):
    target = context.targets[0]
    changes = [
        {"service": "none"},
        {"service": 3},
        {"state": "other"},
        {"slots": "3"},
        {"slots": None},
        {"address": None},
        {"address": "nowhere"},
        {"zone": "none"},
        {"born": 1.5},
        {"born": True},
        {"seq": -1},
        {"warmup-left-ms": "3"},
    ]
    for change in changes:
        got = context.fleet.announce(target, **change)
        assert got.status_code == 400, (got, change)
    for raw in (b"", b"{", b"[]", b"\xff\xfe"):
        got = context.fleet.call_control("PUT", "/-/instances/i-1", raw=raw)
        assert got.status_code == 400, (got, raw)


@when("the second target deregisters and a late heartbeat follows")
def deregister(context):
    fleet, target = context.fleet, context.second
    got = fleet.call_control("DELETE", f"/-/instances/{target.instance}")
    assert got.status_code == 200, got
    context.deregistered_at = time.monotonic()
    assert fleet.announce(target).status_code == 200


@then("the second target gets no requests after {bound_ms:d} ms")
def check_no_requests_after(context, bound_ms):
    until = context.deregistered_at + bound_ms / 1000 + 1
    while time.monotonic() < until:
        for vm in range(len(context.fleet.fronts)):
            assert context.fleet.call(front=vm).status_code == 200
    bound_at = context.deregistered_at + bound_ms / 1000
    assert not [a for a in context.second.arrivals if a.at > bound_at]


@when("the data centre is evacuated")
def evacuate(context):
    got = context.fleet.call_control("POST", "/-/evacuations/brest")
    assert got.status_code == 200, got


@when("the evacuation of the data centre ends")
def end_evacuation(context):
    for _ in range(2):
        got = context.fleet.call_control("DELETE", "/-/evacuations/brest")
        assert got.status_code == 200, got


@then("lookups are refused within {bound_ms:d} ms")
def check_refused(context, bound_ms):
    fleet = context.fleet
    fleet.wait_for(lambda: fleet.call().status_code == 503, bound_ms / 1000)


@when("the first control VM is killed and loses its disk")
def kill_and_wipe(context):
    vm = context.fleet.cores[0]
    vm.kill()
    vm.lose_disk()


@when("the first control VM is started again")
def start_again(context):
    context.fleet.cores[0].start()


@when("another control VM is killed")
def kill_other(context):
    fleet = context.fleet
    # The repaired VM needs its vote back before another VM is lost.
    fleet.wait_for(
        lambda: any(
            "promoting learner to voter" in vm.log() for vm in fleet.cores
        ),
        20,
    )
    fleet.cores[1].kill()


@when("all control VMs but one are killed")
def kill_majority(context):
    for vm in context.fleet.cores[1:]:
        vm.kill()


@when("an entry is killed and started again")
def restart_entry(context):
    vm = context.fleet.fronts[0]
    vm.kill()
    vm.start()


@when("all programs are killed and started again")
def restart_all(context):
    fleet = context.fleet
    vms = fleet.cores + fleet.fronts
    for vm in vms:
        if vm.process.poll() is None:
            vm.kill()
    for vm in vms:
        vm.start()


@when("the first control VM is replaced by an empty one elsewhere")
def replace_core(context):
    fleet = context.fleet
    fleet.cores[0].kill()
    new = platform_lib.Vm(fleet, "core-new", "core", "brest", f"{fleet.net}.14")
    new.bootstrap = False
    fleet.cores[0] = new
    new.start()


@then("the new one reads back configuration {number:d}")
def check_new(context, number):
    check_first_returned(context, number)


@then("the group has 3 members within {within_s:d} s")
def check_members(context, within_s):
    fleet = context.fleet
    fleet.wait_for(
        lambda: (
            any("removed unresponsive member" in vm.log() for vm in fleet.cores)
            and any(
                "promoting learner to voter" in vm.log() for vm in fleet.cores
            )
        ),
        within_s,
    )


@when("an entry is stopped while lookups are sent to it")
def stop_entry(context):
    fleet = context.fleet
    vm = fleet.fronts[0]
    fleet.wait_for(lambda: fleet.call().status_code == 200)
    context.results = []
    stop_at = time.monotonic() + 0.3

    def look_up(number):
        with httpx.Client(timeout=5.0) as client:
            while vm.process.poll() is None:
                headers = {"host": "desk.example"}
                headers["request-id"] = f"{number}-{time.monotonic_ns()}"
                try:
                    got = client.get(vm.url("/look/1"), headers=headers)
                except httpx.ConnectError:
                    return
                except httpx.HTTPError as exc:
                    context.results.append(repr(exc))
                else:
                    context.results.append(got.status_code)

    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        futs = [pool.submit(look_up, number) for number in range(3)]
        time.sleep(max(0.0, stop_at - time.monotonic()))
        vm.process.send_signal(signal.SIGTERM)
        vm.process.wait(20)
        for fut in futs:
            fut.result(20)


@then("no lookup failed")
def check_none_failed(context):
    assert len(context.results) > 10, context.results
    assert set(context.results) == {200}, context.results


@when("the entries get SIGHUP")
def send_sighup(context):
    for vm in context.fleet.fronts:
        vm.process.send_signal(signal.SIGHUP)


@when(
    "the operator sends configuration {number:d} on {base:d} with {count:d} "
    "more routes"
)
def send_large_config(context, number, base, count):
    config = platform_lib.make_config(number, base)
    rows = config["routes"]["rows"]
    template = rows[0]
    for extra in range(count):
        key_columns = [
            f"more-{extra}",
            template[1],
            f"/{secrets.token_hex(6)}/",
        ]
        rows.append(key_columns + template[3:])
    context.sent = json.dumps(config).encode()
    context.answer = context.fleet.call_control(
        "PUT", "/-/config", raw=context.sent
    )


@then("every entry applies configuration {number:d}")
def check_applied(context, number):
    fleet = context.fleet
    expected = f'"applied routes","process_name":"%s","number":{number}}}'
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: expected % vm.name in vm.log())


@then(
    "every control VM reads back configuration {number:d} with {count:d} routes"
)
def check_read_back_routes(context, number, count):
    fleet = context.fleet
    for vm in fleet.cores:
        fleet.wait_for(lambda vm=vm: get_version(fleet, vm) == number, 20)
        got = fleet.request(vm, "GET", "/-/config")
        assert got.content == context.sent
        assert len(got.json()["routes"]["rows"]) == count


@then("the log of each control VM is smaller than {ms:d} ms of {mbps:d} Mbit/s")
def check_log_size(context, mbps, ms):
    max_bytes = mbps * 1_000_000 / 8 * ms / 1000
    for vm in context.fleet.cores:
        files = [p for p in (vm.folder / "data").rglob("*") if p.is_file()]
        size = sum(path.stat().st_size for path in files)
        assert size < max_bytes, (size, len(context.sent))


@when("each control VM gets an order to end it, with the end of the connection")
def send_given_up(context):
    fleet = context.fleet
    order = b"DELETE /-/evacuations/brest HTTP/1.1\r\nHost: control\r\n\r\n"
    for vm in fleet.cores:
        # The bytes arrive together, as after a cut.
        vm.process.send_signal(signal.SIGSTOP)
        with socket.create_connection((vm.ip, fleet.port)) as sock:
            sock.sendall(order)
        vm.process.send_signal(signal.SIGCONT)


@then("lookups are refused for {ms:d} ms")
def check_refused_for(context, ms):
    until = time.monotonic() + ms / 1000
    while time.monotonic() < until:
        assert context.fleet.call().status_code == 503
