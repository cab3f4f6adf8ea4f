"""Steps for the stand-ins for backend servers."""

import json
import pathlib
import socket
import tempfile
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib

TIMEOUT_S = 10.0
# The first request is due before the stand-in is resumed.
FREEZE_S = 2.0
REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


@given("a stand-in with one slot whose requests take {work_ms:d} ms")
def start(context, work_ms):
    folder = tempfile.TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    path = pathlib.Path(folder.name)
    context.address = deployment_lib.free_address()
    admin = deployment_lib.free_address()
    context.admin = f"http://{admin}"
    server = {
        "service": "dossier",
        "address": context.address,
        "data_centre": "brest",
        "slots": 1,
        "latency_ms": work_ms,
        "announce": False,
    }
    (path / "servers.json").write_text(json.dumps([server]), "utf-8")
    context.process = deployment_lib.Process(
        "stand-ins",
        [
            "bench.fake_servers",
            f"--servers={path / 'servers.json'}",
            f"--entries={context.address}",
            f"--admin-port={admin.rpartition(':')[2]}",
        ],
        path / "log",
    )
    context.process.start()
    context.add_cleanup(context.process.kill)
    deployment_lib.wait_for(
        lambda: read_state(context) is not None,
        TIMEOUT_S,
        "the stand-in can be reached",
    )


def read_state(context):
    """Returns the state of the stand-in; None if it can't be reached."""
    try:
        (state,) = httpx.get(f"{context.admin}/servers").json()
    except httpx.HTTPError:
        return None
    return state


def connect(context):
    host, _, port = context.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), TIMEOUT_S)
    context.add_cleanup(sock.close)
    return sock


@when(
    "it is frozen during a request and receives another one before it is "
    "resumed"
)
def freeze(context):
    first, second = connect(context), connect(context)
    first.sendall(REQUEST)
    deployment_lib.wait_for(
        lambda: read_state(context)["in_flight"] == 1,
        TIMEOUT_S,
        "the request runs",
    )
    context.process.freeze()
    second.sendall(REQUEST)
    time.sleep(FREEZE_S)
    context.process.thaw()
    assert first.recv(12) == b"HTTP/1.1 200"
    assert second.recv(12) == b"HTTP/1.1 200"


@when("it gets two requests at the same time")
def send_two(context):
    sockets = connect(context), connect(context)
    for sock in sockets:
        sock.sendall(REQUEST)
    for sock in sockets:
        assert sock.recv(12) == b"HTTP/1.1 200"


@then("it counts no overrun")
def check_none(context):
    state = read_state(context)
    assert state["overruns"] == 0, state


@then("it counts an overrun and lists what ran")
def check_one(context):
    state = read_state(context)
    assert state["overruns"] == 1, state
    (overrun,) = state["overrun_notes"]
    assert len(overrun["running"]) == 2, overrun
