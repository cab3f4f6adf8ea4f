"""Steps that send long bodies to the control VMs' port for the platform."""

import asyncio
import concurrent.futures
import json
import socket
import time

from behave import given
from behave import then
from behave import when

from bench import memory
from bench import platform as platform_lib
from cardamomkeel.platform import configurations
from cardamomkeel.platform import node_file
from cardamomkeel.platform import process_memory
from features.steps import log_size

MEMORY_MB = 296
LONGEST = process_memory.get_configuration_bytes(
    node_file.Limits(memory_mb=MEMORY_MB)
)
TIMEOUT_S = 10.0
PIECE_BYTES = 65_536
HEARTBEAT_PAUSE_S = 0.05
EMPTY_OBJECT = b"{}"
KINDS = {
    "a heartbeat": ("PUT", "/-/instances/i-x"),
    "a removal": ("DELETE", "/-/instances/i-x"),
    "an evacuation": ("POST", "/-/evacuations/brest"),
    "a roll-out": ("POST", "/-/rollouts"),
    "a read": ("GET", "/-/config"),
    "a request without a kind": ("POST", "/x"),
    "a configuration": ("PUT", "/-/config"),
}


class Heartbeats:
    """Sends heartbeats of a backend server to all control VMs in turn."""

    def __init__(self, fleet, target):
        self._fleet = fleet
        self._target = target
        self._pool = concurrent.futures.ThreadPoolExecutor(1)
        self._ends = False
        self._run = self._pool.submit(self._send)

    def _send(self):
        answers = []
        while not self._ends:
            started = time.monotonic()
            got = self._fleet.announce(self._target, within_s=TIMEOUT_S)
            took_ms = (time.monotonic() - started) * 1000
            answers.append((got.status_code, took_ms))
            time.sleep(HEARTBEAT_PAUSE_S)
        return answers

    def stop(self):
        """Returns the status and duration in ms of each heartbeat."""
        self._ends = True
        answers = self._run.result()
        self._pool.shutdown()
        return answers


@given("control VMs with {size:d} MB of memory, and a backend server")
def start_control(context, size):
    limits = {"memory-mb": size, "disk-mb": 256}
    fleet = platform_lib.Fleet(fronts=0, limits=limits)
    context.fleet = fleet
    context.add_cleanup(fleet.close)
    fleet.start()
    got = fleet.call_control("PUT", "/-/config", platform_lib.make_config(1))
    assert got.status_code == 200, got.text
    target = fleet.add_target("dossier")
    fleet.wait_for(lambda: all(is_following(fleet, vm) for vm in fleet.cores))
    context.elections = count_elections(fleet)
    context.heartbeats = Heartbeats(fleet, target)


def is_following(fleet, vm):
    got = fleet.request(vm, "GET", "/-/config")
    return got is not None and got.status_code == 200


def count_elections(fleet):
    return sum(vm.log().count("became leader") for vm in fleet.cores)


def read_status(sock):
    """Returns the status of the answer on a connection; None if it ends."""
    try:
        line = sock.makefile("rb").readline().split()
    except OSError:
        return None
    return int(line[1]) if len(line) > 1 else None


def open_request(vm, method, path, framing):
    sock = socket.create_connection((vm.ip, vm.fleet.port), TIMEOUT_S)
    head = f"{method} {path} HTTP/1.1\r\nHost: control\r\n{framing}\r\n\r\n"
    sock.sendall(head.encode())
    return sock


@when(
    "another writer sends {what} of {size:d} MB to each control VM, announced"
)
def send_announced(context, what, size):
    length = size * log_size.MB
    context.statuses = []
    for vm in context.fleet.cores:
        framing = f"Content-Length: {length}"
        with open_request(vm, *KINDS[what], framing) as sock:
            # The answer comes before the body.
            context.statuses.append(read_status(sock))


@when(
    "another writer sends {what} of {size:d} MB to each control VM, in chunks"
)
def send_chunks(context, what, size):
    data = b"[" + (EMPTY_OBJECT + b",") * (PIECE_BYTES // 3)
    chunk = b"%x\r\n%s\r\n" % (len(data), data)
    context.statuses = []
    for vm in context.fleet.cores:
        framing = "Transfer-Encoding: chunked"
        with open_request(vm, *KINDS[what], framing) as sock:
            try:
                for _ in range(size * log_size.MB // len(data)):
                    sock.sendall(chunk)
            except OSError:
                # The connection ends while the caller still sends.
                pass
            status = read_status(sock)
        # A reset may discard the answer before it is read.
        if status is not None:
            context.statuses.append(status)


@then("each of them is answered {status:d}")
def check_statuses(context, status):
    assert set(context.statuses) == {status}, context.statuses


@then("every heartbeat of the backend server is answered 200 within {ms:d} ms")
def check_heartbeats(context, ms):
    answers = context.heartbeats.stop()
    assert answers
    late = [a for a in answers if a[0] != 200 or a[1] > ms]
    assert not late, (late, len(answers))


@then(
    "no control VM has ended, lost its leadership or used more than {mb:d} MB"
)
def check_control(context, mb):
    fleet = context.fleet
    for vm in fleet.cores:
        assert vm.process.poll() is None, vm.log()[-2000:]
        used = memory.read_peak_mb(vm.process.pid)
        assert used <= mb, (vm.name, used)
    assert count_elections(fleet) == context.elections


# Configurations.


def fill(prefix, unit, suffix):
    """Returns a text of nearly the longest length, which repeats a unit."""
    count = (LONGEST - len(prefix) - len(suffix)) // (len(unit) + 1)
    text = prefix + (unit + b",") * (count - 1) + unit + suffix
    assert len(text) <= LONGEST
    return text


def split_config(**changes):
    """Returns a configuration, cut where the marker stands."""
    config = platform_lib.make_config(2, 1, **changes)
    return json.dumps(config).encode().split(b'"MARKER"')


def make_config_of(what):
    columns = platform_lib.make_config(2)["routes"]["columns"]
    if what == "a version of a million digits":
        prefix, suffix = split_config(version="MARKER")
        return prefix + b'"' + b"1" * log_size.MB + b'"' + suffix
    if what == "lists in each other":
        prefix, suffix = split_config(unknown="MARKER")
        return prefix + b"[" * 500_000 + b"]" * 500_000 + suffix
    if what == "columns of one letter":
        routes = {"columns": ["MARKER"], "rows": []}
        return fill(*split_config(routes=routes)[:1], b'"a"', b"]}}")
    cell = {
        "one row of empty objects": EMPTY_OBJECT,
        "one row of small objects": b'{"a":1}',
        "one row of numbers": b"1000",
    }
    rows = {"rows without a field": EMPTY_OBJECT, "rows without a value": b"[]"}
    if what in rows:
        routes = {"columns": columns, "rows": ["MARKER"]}
        prefix, suffix = split_config(routes=routes)
        return fill(prefix, rows[what], suffix)
    if what in cell:
        routes = {"columns": columns, "rows": [["MARKER"]]}
        prefix, suffix = split_config(routes=routes)
        return fill(prefix, cell[what], suffix)
    assert what == "parts without a field", what
    row = ["r", "h", "/", "safe", 2000, 600, 1, ["MARKER"], 2, None]
    routes = {"columns": columns, "rows": [row]}
    prefix, suffix = split_config(routes=routes)
    return fill(prefix, EMPTY_OBJECT, suffix)


def put_config(vm, raw):
    """Returns the status of a configuration and the duration in ms."""
    started = time.monotonic()
    framing = f"Content-Length: {len(raw)}"
    with open_request(vm, "PUT", "/-/config", framing) as sock:
        sock.sendall(raw)
        status = read_status(sock)
    return status, (time.monotonic() - started) * 1000


@when(
    "{count:d} operators at a time send a configuration of {what} to each "
    "control VM"
)
def send_worst(context, count, what):
    raw = make_config_of(what)
    vms = context.fleet.cores * count
    with concurrent.futures.ThreadPoolExecutor(len(vms)) as pool:
        context.answers = list(pool.map(lambda vm: put_config(vm, raw), vms))


@then("each of them is answered {status:d} within {ms:d} ms")
def check_answers(context, status, ms):
    wrong = [a for a in context.answers if a[0] != status or a[1] > ms]
    assert not wrong, wrong


@when(
    "{count:d} operators at a time send all but a byte of a configuration to "
    "each control VM"
)
def send_incomplete(context, count):
    raw = make_config_of("rows without a field")
    framing = f"Content-Length: {len(raw)}"

    def send(vm):
        sock = open_request(vm, "PUT", "/-/config", framing)
        context.add_cleanup(sock.close)
        try:
            sock.sendall(raw[:-1])
        except OSError:
            pass

    vms = context.fleet.cores * count
    with concurrent.futures.ThreadPoolExecutor(len(vms)) as pool:
        list(pool.map(send, vms))


def make_config_of_routes(count):
    config = platform_lib.make_config(2, 1)
    config["routes"]["rows"] = log_size.make_routes(count)
    return json.dumps(config, separators=(",", ":")).encode()


@when("the operator sends a configuration of {count:d} routes")
def send_routes(context, count):
    context.answers = [
        put_config(context.fleet.cores[0], make_config_of_routes(count))
    ]


@then("it is accepted within {ms:d} ms")
def check_accepted(context, ms):
    check_answers(context, 200, ms)


@then("a configuration of {count:d} routes is accepted within {ms:d} ms")
def check_routes_accepted(context, count, ms):
    send_routes(context, count)
    check_answers(context, 200, ms)


@when("a configuration of {count:d} routes is checked")
def check_in_turns(context, count):
    raw = make_config_of_routes(count)
    context.turns = 0

    async def count_turns():
        while True:
            context.turns += 1
            await asyncio.sleep(0)

    async def check():
        counter = asyncio.create_task(count_turns())
        parsed = await configurations.parse_in_turns(raw)
        counter.cancel()
        return parsed

    context.parsed = asyncio.run(check())


@then("other tasks ran at least {count:d} times meanwhile")
def check_turns(context, count):
    assert len(context.parsed.unwrap().document.routes) > 0
    assert context.turns >= count, context.turns


def make_unreadable(what):
    if what == "a row that is an object":
        routes = platform_lib.make_config(2)["routes"]
        return platform_lib.make_config(2, routes=routes | {"rows": [{}]})
    if what == "a service named by 1 MB":
        config = platform_lib.make_config(2)
        rows = config["services"]["rows"]
        rows += [["x" * log_size.MB, *rows[0][1:]]] * 2
        return config
    if what == "an unknown field 500 deep":
        nested = []
        for _ in range(500):
            nested = [nested]
        return platform_lib.make_config(2, unknown=nested)
    versions = {
        "a version of 17 digits": "1" * 17,
        "a version beyond 64 bits": 2**64,
        "a version below 0": -1,
    }
    return platform_lib.make_config(2, **{"base-version": versions[what]})


@when("a configuration with {what} is parsed")
def parse_unreadable(context, what):
    raw = json.dumps(make_unreadable(what)).encode()
    context.parsed = configurations.parse(raw)


@then("it is refused in less than {count:d} characters")
def check_refused(context, count):
    message = str(context.parsed.failure())
    assert len(message) < count, len(message)
