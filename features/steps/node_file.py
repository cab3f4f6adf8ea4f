"""Steps of the settings file that the platform writes."""

import asyncio
import copy
import json
import os
import pathlib
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import http_server
from cardamomkeel.platform import directory
from cardamomkeel.platform import early_listening

# A separate address for each run: runs may be concurrent.
HOST = f"127.9.{os.getpid() % 250}.{1 + secrets.randbelow(250)}"
PORT = 28100
EXIT_WITHIN_S = 20
RUN_CHECK_S = 2.0
GRACE = {"bounds": {"grace-s": -1}}


def make_file(folder):
    """Returns settings that are valid for both programs."""
    names = ("front", "ready", "directory", "control")
    listen = {name: f"{HOST}:{PORT + n}" for n, name in enumerate(names)}
    return {
        "self": {
            "node-name": "vm-1",
            "ip": HOST,
            "zone": "brest",
            "data-dir": str(folder / "data"),
        },
        "network": {
            "listen": listen,
            "port-range": [PORT + 4, PORT + 12],
            "seeds": [f"{HOST}:{PORT + 3}"],
            "zones": {"brest": "breizh"},
        },
    }


def change(file, path, value):
    """Returns a copy of the settings with a changed value; None removes it."""
    changed = copy.deepcopy(file)
    *parents, last = path.split(".")
    table = changed
    for name in parents:
        table = table[name]
    if value is None:
        del table[last]
    else:
        table[last] = value
    return changed


CHANGES = {
    "no ip": ("self.ip", None),
    "no folder": ("self.data-dir", None),
    "a number for the name": ("self.node-name", 7),
    "a text for the ports": ("network.port-range", "28104-28112"),
    "too few ports": ("network.port-range", [PORT + 4, PORT + 5]),
    "a port beyond the last": ("network.port-range", [70_000, 70_010]),
    "a name for an address": ("network.listen.front", "entry-1"),
    "a name for a seed": ("network.seeds", ["control-1"]),
    "no seed": ("network.seeds", []),
    "nowhere to listen": ("network.listen", {}),
    "a time below zero": ("timeouts", GRACE),
    "fields that are new": ("network.moon", {"phase": 0.5}),
}
TEXTS = {
    "half of the text": lambda text: text[: len(text) // 2],
    "other text": lambda _: "vm-1\n",
    "a list": lambda _: "[]",
}
# Ports of the programs that are already in use.
IN_USE = {
    "a port that is in use": (socket.SOCK_STREAM, PORT),
    "a port between VMs in use": (socket.SOCK_DGRAM, PORT + 5),
    "a port of control in use": (socket.SOCK_STREAM, PORT + 3),
    "a port between cores in use": (socket.SOCK_STREAM, PORT + 4),
}


def occupy(context, kind, port):
    held = socket.socket(socket.AF_INET, kind)
    held.bind((HOST, port))
    if kind == socket.SOCK_STREAM:
        held.listen()
    context.add_cleanup(held.close)


@given("a settings file of an entry with {fault}")
def write(context, fault):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    context.add_cleanup(shutil.rmtree, folder, ignore_errors=True)
    context.path = folder / "node.json"
    context.env = {
        **os.environ,
        early_listening.PATH_VARIABLE: str(context.path),
    }
    if fault == "no variable":
        del context.env[early_listening.PATH_VARIABLE]
    if fault in ("no variable", "no file"):
        return
    file = make_file(folder)
    if fault in CHANGES:
        file = change(file, *CHANGES[fault])
    text = TEXTS.get(fault, str)(json.dumps(file))
    context.path.write_text(text, encoding="utf-8")
    if fault in IN_USE:
        occupy(context, *IN_USE[fault])


@when("the program {program} starts")
def start(context, program):
    context.program = subprocess.Popen(
        [sys.executable, "-m", "cardamomkeel.platform", program],
        env=context.env,
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.program.kill)


@then("it ends with status {status:d}")
def check_status(context, status):
    _, context.output = context.program.communicate(timeout=EXIT_WITHIN_S)
    assert context.program.returncode == status, context.output
    assert "Traceback" not in context.output, context.output


@then('it prints "{text}" and a remedy')
def check_error(context, text):
    error = [
        li for li in context.output.splitlines() if li.startswith("error:")
    ]
    assert len(error) == 1 and text in error[0], context.output
    assert "\nremedy: " in context.output, context.output


@then("it logs the same as one line")
def check_logged(context):
    lines = [
        json.loads(line)
        for line in context.output.splitlines()
        if line.startswith("{")
    ]
    errors = [line for line in lines if line["level"] == "error"]
    assert len(errors) == 1, context.output
    assert f"error: {errors[0]['message']}\n" in context.output, context.output
    assert errors[0]["remedy"], errors


@then("it runs")
def check_runs(context):
    try:
        context.program.communicate(timeout=RUN_CHECK_S)
    except subprocess.TimeoutExpired:
        return
    raise AssertionError(f"it ended with {context.program.returncode}")


@when("the settings files are truncated")
def truncate(context):
    fleet = context.fleet
    context.contents = {}
    for vm in fleet.cores + fleet.fronts:
        path = vm.folder / "node.json"
        context.contents[vm.name] = path.read_text(encoding="utf-8")
        path.write_text(context.contents[vm.name][:200], encoding="utf-8")


@when("the settings files are complete again, with other seeds")
def restore(context):
    fleet = context.fleet
    for vm in fleet.cores + fleet.fronts:
        file = json.loads(context.contents[vm.name])
        seeds = file["network"]["seeds"]
        file = change(file, "network.seeds", seeds[::-1])
        path = vm.folder / "node.json"
        path.write_text(json.dumps(file), encoding="utf-8")


@then('every program logs "{text}"')
def check_all_log(context, text):
    fleet = context.fleet
    for vm in fleet.cores + fleet.fronts:
        fleet.wait_for(lambda vm=vm: text in vm.log(), 10)


@then("the program {program} imports none of these")
def check_imports(context, program):
    imported = subprocess.run(
        [
            sys.executable,
            "-c",
            f"import sys, cardamomkeel.platform.{program}\n"
            "print(*{name.partition('.')[0] for name in sys.modules})",
        ],
        check=True,
        capture_output=True,
        text=True,
    ).stdout.split()
    unwanted = {row["library"] for row in context.table} & set(imported)
    assert not unwanted, unwanted


@when("early listening starts at the address in the file")
def listen_early(context):
    with mock.patch.dict(os.environ, context.env):
        early_listening.listen()


@when("a caller connects there and sends a request")
def send_early(context):
    context.caller = socket.create_connection((HOST, PORT), EXIT_WITHIN_S)
    context.add_cleanup(context.caller.close)
    context.caller.sendall(b"GET /other HTTP/1.1\r\nHost: a\r\n\r\n")


@when("the entry is loaded and serves")
def serve(context):
    async def run():
        handler = directory.Readiness(lambda: True)
        server = http_server.HttpServer(handler, clock.MonotonicClock())
        await server.start(f"{HOST}:{PORT}")
        context.answer = await asyncio.to_thread(context.caller.recv, 4096)
        await server.stop_listening()

    asyncio.run(run())


@then("the caller gets an answer")
def check_answered(context):
    assert context.answer.startswith(b"HTTP/1.1 404 "), context.answer
