"""Steps about crowds of callers that nobody controls."""

import json
import os
import pathlib
import socket
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib
from bench import platform as platform_lib
from features import crowd as crowd_lib

MB = crowd_lib.MB
KB = 1000
BODY_LIMIT = 8 * MB
LONGEST = 67_108_864
CALL = "POST /v1/call/dossier/own"
# The offsets of the ports of a VM.
PORTS = {"directory": 2, "operators' port": 5}
# An ordinary caller tries again after a failure.
TRIES = 3
FD_CHECKS = 50
FD_CHECK_S = 0.01
LOADS = {
    "8 MB, announced, at once": crowd_lib.Load(BODY_LIMIT, 8 * MB - KB),
    "8 MB, announced, piece by piece": crowd_lib.Load(
        BODY_LIMIT, 8 * MB - KB, piece=50 * KB - 1
    ),
    "7 MB in chunks of 1 MB": crowd_lib.Load(size=7 * MB, chunk=MB),
    "40 KB in chunks of 1 byte": crowd_lib.Load(size=40 * KB, chunk=1),
    "8 GB, announced, without end": crowd_lib.Load(
        8000 * MB, MB, is_endless=True
    ),
    "chunks of 1 MB without end": crowd_lib.Load(chunk=MB, is_endless=True),
    "chunks of 1 byte without end": crowd_lib.Load(chunk=1, is_endless=True),
    "1 MB, announced, at once": crowd_lib.Load(MB, MB - KB),
    "1 MB, announced, piece by piece": crowd_lib.Load(
        MB, MB - KB, piece=50 * KB - 1
    ),
    "64 KiB, announced, short by a byte": crowd_lib.Load(65_536, 65_535),
    "900 KB in chunks of 100 KB": crowd_lib.Load(size=900 * KB, chunk=100 * KB),
}


def read_peak_mb(pid):
    """Returns the largest resident size that a process has had, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024 / MB
    raise LookupError(pid)


def start_fleet(context, body_limit=BODY_LIMIT, timeout_ms=2000, **limits):
    fleet = platform_lib.Fleet(fronts=1, limits=limits)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    config = platform_lib.make_config(1, 0)
    config["limits"]["max-body-bytes"] = body_limit
    for row in config["routes"]["rows"]:
        row[config["routes"]["columns"].index("timeout-ms")] = timeout_ms
    got = fleet.call_control("PUT", "/-/config", config)
    assert got.status_code == 200, got.text
    for service in platform_lib.SERVICES:
        fleet.add_target(service)
    fleet.wait_for(lambda: fleet.is_ready(fleet.fronts[0]))
    fleet.wait_for(lambda: is_booked(fleet), 20)


def is_booked(fleet):
    got = fleet.call("/book/1", "POST", b"x" * 4 * KB)
    return got.status_code == 200


@given("a platform whose processes may use {size:d} MB")
def start_with_memory(context, size):
    start_fleet(context, **{"memory-mb": size})


@given("a platform whose processes may use {size:d} MB and bodies of 64 MiB")
def start_with_long_bodies(context, size):
    start_fleet(
        context, body_limit=LONGEST, timeout_ms=10_000, **{"memory-mb": size}
    )


@when("a booking of 64 MiB is sent, with a length and then in chunks")
def book_longest(context):
    fleet = context.fleet
    context.process = fleet.fronts[0].process
    whole = b"x" * LONGEST
    pieces = [whole[:MB]] * (LONGEST // MB) + [whole[: LONGEST % MB]]
    context.statuses = [
        httpx.post(
            fleet.fronts[0].url("/book/long"),
            content=content,
            headers={
                "host": "desk.example",
                "request-id": f"long-{number}",
                "deadline-ms": "10000",
            },
            timeout=20.0,
        ).status_code
        for number, content in enumerate((whole, iter(pieces)))
    ]


@then("both are answered")
def check_both(context):
    assert context.statuses == [200, 200], context.statuses


@given(
    "a platform whose processes may use {size:d} MB and {count:d} descriptors"
)
def start_with_descriptors(context, size, count):
    start_fleet(context, **{"memory-mb": size, "max-fds": count})


@given("targets that answer lookups with {size:d} MB")
def set_long_answers(context, size):
    context.fleet.farm.targets[0].body = b"x" * size * MB


def send_crowd(context, process, address, line, load, count):
    context.process = process
    context.before_mb = read_peak_mb(process.pid)
    context.crowd = crowd_lib.Crowd(address, line, LOADS[load], count)
    context.add_cleanup(context.crowd.close)


@when("{count:d} callers begin to send {load} to an entry")
def begin_at_entry(context, count, load):
    vm = context.fleet.fronts[0]
    address = f"{vm.ip}:{context.fleet.port}"
    send_crowd(context, vm.process, address, "POST /book/1", load, count)


@when("{count:d} callers send {load} to an entry")
def send_to_entry(context, count, load):
    begin_at_entry(context, count, load)
    context.crowd.wait()


@when("{count:d} callers begin to send {load} to a control VM")
def begin_at_control(context, count, load):
    vm = context.fleet.cores[0]
    address = f"{vm.ip}:{context.fleet.port}"
    send_crowd(context, vm.process, address, "PUT /-/config", load, count)


@when("{count:d} callers send {load} to a control VM")
def send_to_control(context, count, load):
    begin_at_control(context, count, load)
    context.crowd.wait()


@when("{count:d} callers send {load} to the {port} of an entry")
def send_to_port(context, count, load, port):
    vm = context.fleet.fronts[0]
    address = f"{vm.ip}:{context.fleet.port + PORTS[port]}"
    send_crowd(context, vm.process, address, "POST /-/resolve", load, count)
    context.crowd.wait()


@when("{count:d} connections are opened to {where}, each with half a head")
def send_heads(context, count, where):
    fleet = context.fleet
    vm = fleet.fronts[0] if where == "an entry" else fleet.cores[0]
    context.process = vm.process
    for _ in range(count):
        sock = socket.create_connection((vm.ip, fleet.port), 10)
        context.add_cleanup(sock.close)
        sock.sendall(b"POST /book/1 HTTP/1.1\r\nHost: desk")
    context.most_fds = 0
    for _ in range(FD_CHECKS):
        count = len(os.listdir(f"/proc/{vm.process.pid}/fd"))
        context.most_fds = max(context.most_fds, count)
        time.sleep(FD_CHECK_S)


@when("{count:d} callers send {lookups:d} lookups each and read no answer")
def read_nothing(context, count, lookups):
    fleet = context.fleet
    vm = fleet.fronts[0]
    context.process = vm.process
    head = b"GET /look/%d HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r%d\r\n"
    for number in range(count):
        sock = socket.create_connection((vm.ip, fleet.port), 10)
        context.add_cleanup(sock.close)
        sock.sendall(
            b"".join(
                head % (number, number) + b"Deadline-Ms: 4000\r\n\r\n"
                for _ in range(lookups)
            )
        )
    target = fleet.farm.targets[0]
    fleet.wait_for(lambda: len(target.arrivals) > count)


@then("an ordinary booking is answered")
def check_booking(context):
    fleet = context.fleet
    found = []
    for number in range(TRIES):
        path = f"/book/ordinary-{number}"
        try:
            # Each try opens a connection of its own.
            got = httpx.post(
                fleet.fronts[0].url(path),
                content=b"x" * 4 * KB,
                headers={
                    "host": "desk.example",
                    "request-id": f"ordinary-{number}",
                    "deadline-ms": "4000",
                },
                timeout=4.0,
            )
        except httpx.HTTPError as exc:
            found.append(repr(exc))
            continue
        if got.status_code == 200:
            return
        found.append((got.status_code, got.text))
    raise AssertionError(found)


@then("an ordinary heartbeat is answered by that VM")
def check_heartbeat(context):
    fleet = context.fleet
    target = fleet.farm.targets[0]
    heartbeat = {
        "service": target.service,
        "address": target.announced_address,
        "zone": target.zone,
        "version": "v1",
        "slots": target.slots,
        "state": "ready",
        "warmup-left-ms": 0,
        "born": target.born,
    }
    found = []
    for number in range(TRIES):
        url = fleet.cores[0].url(f"/-/instances/{target.instance}")
        content = json.dumps(heartbeat | {"seq": 1000 + number})
        try:
            got = httpx.put(url, content=content, timeout=4.0)
        except httpx.HTTPError as exc:
            found.append(repr(exc))
            continue
        if got.status_code == 200:
            return
        found.append((got.status_code, got.text))
    raise AssertionError(found)


def check_lives(context):
    process = context.process
    if isinstance(process, deployment_lib.Process):
        assert process.is_running()
    else:
        assert process.poll() is None, process.poll()


@then("the process lives and has never used over {size:d} MB")
def check_peak(context, size):
    check_lives(context)
    peak_mb = read_peak_mb(context.process.pid)
    print(f"peak {peak_mb:.1f} MB")
    assert peak_mb <= size, peak_mb


@then("the process lives and has at most {count:d} descriptors open")
def check_descriptors(context, count):
    check_lives(context)
    print(f"at most {context.most_fds} descriptors")
    assert context.most_fds <= count, context.most_fds


# The product's own entry.


def send_to_product(context, address, line, load, count):
    process = next(iter(context.deployment.entries.values()))
    send_crowd(context, process, address, line, load, count)


@when("{count:d} callers begin to send {load} to the product's entry")
def begin_at_product(context, count, load):
    address = next(iter(context.deployment.callers_addresses.values()))
    send_to_product(context, address, CALL, load, count)


@when("{count:d} callers send {load} to the product's entry")
def send_all_to_product(context, count, load):
    begin_at_product(context, count, load)
    context.crowd.wait()


@when("{count:d} callers send {load} to its operators' port")
def send_to_operators(context, count, load):
    address = next(iter(context.deployment.entry_operators.values()))
    send_to_product(context, address, "POST /v1/explain", load, count)
    context.crowd.wait()


@then("an ordinary request with a body is answered by it")
def check_product(context):
    address = next(iter(context.deployment.callers_addresses.values()))
    url = f"http://{address}{CALL.split()[1]}"
    found = []
    for _ in range(TRIES):
        try:
            got = httpx.post(url, content=b"x" * 4 * KB, timeout=4.0)
        except httpx.HTTPError as exc:
            found.append(repr(exc))
            continue
        if got.status_code == 200:
            return
        found.append((got.status_code, got.text))
    raise AssertionError(found)


@then("the process lives and has grown by at most {size:d} MB")
def check_grown(context, size):
    check_lives(context)
    grown_mb = read_peak_mb(context.process.pid) - context.before_mb
    print(f"grown by {grown_mb:.1f} MB")
    assert grown_mb <= size, grown_mb
