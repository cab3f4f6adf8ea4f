"""Steps about invalid entries among those of the targets."""

import asyncio
import json
import os
import pathlib
import tempfile
from unittest import mock

from behave import then
from behave import when
import orjson
from returns import result

from bench import gateway as gateway_lib
from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.backend_servers import announcements as entry_announcements
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.backend_servers import pool
from cardamomkeel.gateway import announcements as gateway_announcements
from cardamomkeel.platform import early_listening
from cardamomkeel.platform import heartbeats
from cardamomkeel.platform import node_file
from cardamomkeel.routing import messages
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2
from features import target_entries

NESTING = 100_000
DEEP = b"[" * NESTING + b"]" * NESTING
# The fields of an entry by what is wrong with it.
FIELDS = {
    "port 99999": {"address": "10.0.0.1:99999"},
    "port 0": {"address": "10.0.0.1:0"},
    "port 65536": {"address": "10.0.0.1:65536"},
    "a port of other digits": {"address": "10.0.0.1:\u0661\u0662"},
    "a host of dots": {"address": "...:80"},
    "a host out of range": {"address": "999.1.1.1:80"},
    "the address of no host": {"address": "0.0.0.0:80"},
    "a multicast address": {"address": "224.0.0.1:80"},
    "an address without a port": {"address": "10.0.0.1"},
    "a number in place of the address": {"address": 7},
    "a negative number": {"slots": -1},
    "a cold start of 1e308": {"warmup-left-ms": 1e308},
    "an instance with a line feed": {"instance": "i-1\nX-A: b"},
    "an empty instance": {"instance": ""},
}
# Bytes that replace the value of `slots`, which Python would not encode.
SLOTS = {
    "slots of 1e400": b"1e400",
    "slots of 5000 digits": b"9" * 5000,
    "a start without end": b'1,"born":Infinity',
    "very deep nesting": DEEP,
    "a lone surrogate": b'1,"service":"\\ud800"',
}


def encode(fields, what):
    if what == "no JSON":
        return b"{\xff"
    fields = fields | FIELDS.get(what, {})
    if what not in SLOTS:
        return orjson.dumps(fields)
    del fields["slots"]
    return orjson.dumps(fields)[:-1] + b',"slots":' + SLOTS[what] + b"}"


@when("a heartbeat comes with {what}")
def parse_heartbeat(context, what):
    instance = FIELDS.get(what, {}).get("instance", "i-1")
    raw = encode(target_entries.HEARTBEAT, what)
    context.result = heartbeats.parse(instance, raw, ["brest"])


@when("an announcement to the gateway comes with {what}")
def decode_gateway_announcement(context, what):
    fields = target_entries.ANNOUNCEMENT | {"born_ms": 1, "sequence": 1}
    context.result = structs.decode(
        encode(fields, what),
        gateway_announcements.Announcement,
        "the announcement",
    )


@when("an announcement to an entry comes with {what}")
def handle_entry_announcement(context, what):
    handler = entry_announcements.Announcements(
        mock.Mock(), mock.Mock(), mock.Mock(), clock.ManualClock(), mock.Mock()
    )
    raw = encode(target_entries.ANNOUNCEMENT, what)
    context.result = asyncio.run(handler.handle(raw))


@then("it is refused with a reason")
def check_refused(context):
    assert not isinstance(context.result, result.Success), context.result
    error = context.result.failure()
    assert isinstance(error, errors.Error), error
    assert error.message, error
    assert error.remedy, error


@then("a heartbeat without fault is accepted")
def check_accepted(context):  # noqa: ARG001
    parsed = heartbeats.parse(
        "i-1", orjson.dumps(target_entries.HEARTBEAT), ["brest"]
    )
    assert isinstance(parsed, result.Success), parsed


@when("the control group sends rows with {what}")
def send_invalid_row(context, what):
    others = {
        "a crash that is no hash": control_pb2.Record(key="crash/zz"),
        "an entry whose id is no number": control_pb2.Record(key="entry/zz"),
    }
    fields = {
        "address": "10.0.0.1:8080",
        "instance": "i-1",
        "service": "dossier",
        "data_centre": "brest",
        "slots": 3,
        "state": "ready",
        "born_ms": 1,
    } | FIELDS.get(what, {})
    row = control_pb2.Record(
        key=f"instance/{fields['address']}",
        instance=control_pb2.InstanceRecord(**fields),
    )
    context.rig.apply_rows([others.get(what, row)])


@when("the row of the first target changes to {what}")
def change_row(context, what):
    (first, _) = context.rig.farm.targets
    context.rig.announce(first, **FIELDS[what])


@then("the entry uses only its other target")
def check_targets(context):
    used = [
        target.address for target in context.rig.program.targets.get("dossier")
    ]
    expected = context.rig.farm.targets[-1].address
    assert used == [expected], used


@when('a platform\'s entry connects to "{address}"')
def connect(context, address):
    rig = gateway_lib.Rig()
    context.add_cleanup(rig.close)
    context.result = rig.do(rig.program.upstream.open(address, 200.0))


@then("it is told that there is no connection")
def check_no_connection(context):
    assert not isinstance(context.result, result.Success), context.result


@when('the product\'s pool sends a request to "{address}"')
def send_to(context, address):
    async def send():
        clk = clock.MonotonicClock()
        http = pool.PoolClient({}, clk)
        req = messages.Request("dossier", "GET", "/a", [], b"", 0.0)
        return await http.send(address, req, [], clk.now() + 500)

    context.result = asyncio.run(send())


@then("it is told that nothing was sent")
def check_not_sent(context):
    failure = context.result.failure()
    assert failure.kind is client_lib.FailureKind.NOT_SENT, failure


@when("the platform's settings file has {what}")
def read_settings_file(context, what):
    content = {
        "very deep nesting": DEEP,
        "no JSON": b"{\xff",
        "a number in place of all": b"7",
    }[what]
    with tempfile.NamedTemporaryFile(delete=False) as file:
        file.write(content)
    context.path = file.name
    context.add_cleanup(pathlib.Path(file.name).unlink)
    context.result = node_file.read(file.name)


@then("early listening does without it")
def check_early_listening(context):
    variables = {early_listening.PATH_VARIABLE: context.path}
    with mock.patch.dict(os.environ, variables):
        early_listening.listen()


@when("a datagram with {what} reaches the entry")
def send_datagram(context, what):
    content = {
        "very deep nesting": DEEP[:30_000] + DEEP[-30_000:],
        "a count of 1e400": b'["entry-2",1,5,{"10.0.0.1:1":1e400}]',
        "a count that is a text": b'["entry-2",1,5,{"10.0.0.1:1":"one"}]',
        "a sequence that is a list": b'["entry-2",1,[5],{"10.0.0.1:1":1}]',
        "bytes that are no text": b'["\xff",1,5,{"10.0.0.1:1":1}]',
    }[what]
    gossip = context.rig.program.gossip
    good = json.dumps(["entry-2", 1, 6, {"10.0.0.1:1": 2}]).encode()

    async def receive():
        gossip._receive(content)  # noqa: SLF001
        gossip._receive(good)  # noqa: SLF001

    context.rig.do(receive())


@then("the counts of its peers are those of a datagram without fault")
def check_counts(context):
    running = context.rig.program.gossip.running
    assert running == {"10.0.0.1:1": 2}, running
