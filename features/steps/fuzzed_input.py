"""Steps that send malformed input to every decoder."""

import asyncio
import contextlib
import pathlib
import random
import tempfile
from unittest import mock

from behave import given
from behave import then
from behave import when
import msgspec
import orjson
from returns import result

from cardamomkeel import clock
from cardamomkeel.backend_servers import announcements as entry_announcements
from cardamomkeel.gateway import announcements as gateway_announcements
from cardamomkeel.gateway import data_centre_choice
from cardamomkeel.gateway import data_centre_reports
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.platform import configurations
from cardamomkeel.platform import heartbeats
from cardamomkeel.platform import node_file
from cardamomkeel.routing import view as view_lib
from cardamomkeel.settings import rows as rows_lib
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2
from features import raw_server
from features import target_entries

VALUES = (
    b"null",
    b"true",
    b"-1",
    b"0",
    b"1e400",
    b"1e308",
    b"9" * 400,
    b'""',
    b'"\\ud800"',
    b"[]",
    b"{}",
    b"[" * 2000,
    b'{"a":' * 2000,
    b"NaN",
    b'"' + b"x" * 5000 + b'"',
)
HEARTBEAT = orjson.dumps(
    target_entries.HEARTBEAT | {"born": 5, "warmup-left-ms": 0}
)
ANNOUNCEMENT = orjson.dumps(target_entries.ANNOUNCEMENT)
CONFIGURATION = orjson.dumps(
    {
        "version": "00000002",
        "base-version": "00000001",
        "routes": {
            "columns": ["name", "hostname", "path-prefix", "type"],
            "rows": [["look", "desk.example", "/look/", "safe"]],
        },
        "services": {
            "columns": ["name", "health-path"],
            "rows": [["dossier", "/health"]],
        },
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 65536},
    }
)
NODE_FILE = orjson.dumps(
    {
        "self": {"node-name": "front-1", "ip": "10.0.0.1", "zone": "brest"},
        "network": {
            "listen": {"front": "10.0.0.1:8080"},
            "port-range": [7000, 7010],
            "seeds": ["10.0.0.2:8080"],
        },
    }
)
SERVICES = b'{"services": {"dossier": {"idempotent": true}}} // a comment'
DATAGRAM = b'["entry-2",1,5,{"10.0.0.1:1":1}]'
# The sums of two data centres, as a summing entry sends them.
REPORT = data_centre_reports.REPORT_BYTE + msgspec.msgpack.encode(
    [
        2,
        "far-1",
        1,
        1,
        {
            place: [10, {"a": [10000, 2000, 500, 900, 9, 9, 8, 1, {}, 3]}]
            for place in ("lorient", "brest")
        },
    ]
)
REQUEST = (
    b"POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-1\r\n"
    b"Deadline-Ms: 300\r\nContent-Length: 6\r\n\r\nan urn"
)


def mutate(rng, raw):
    """Returns a text with some of its bytes changed."""
    data = bytearray(raw)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data) + 1)
        kind = rng.randrange(5)
        if kind == 0:
            del data[at : at + rng.randint(1, 8)]
        elif kind == 1:
            data[at:at] = rng.choice(VALUES)
        elif kind == 2:
            data[at:at] = rng.randbytes(rng.randint(1, 8))
        elif kind == 3:
            end = at + rng.randint(1, 30)
            data[at:at] = data[at:end]
        else:
            # Replaces the value of one field.
            colon = data.find(b":", at)
            end = data.find(b",", colon)
            if 0 <= colon < end:
                data[colon + 1 : end] = rng.choice(VALUES)
    return bytes(data)


def get_seed(context, seed):
    return int(context.config.userdata.get("seed", seed))


def get_cases(context, count):
    return int(context.config.userdata.get("cases", count))


def decode_entry_announcement(raw):
    handler = entry_announcements.Announcements(
        mock.MagicMock(), mock.Mock(), mock.Mock(), clock.ManualClock(), None
    )
    handler._validate = lambda _: mock.sentinel.refusal  # noqa: SLF001
    return asyncio.run(handler.handle(raw))


def read_node_file(raw):
    with tempfile.NamedTemporaryFile(delete=False) as file:
        file.write(raw)
    try:
        return node_file.read(file.name)
    finally:
        pathlib.Path(file.name).unlink()


def receive_datagram(raw):
    gossip = gossip_lib.Gossip("entry-1", clock.ManualClock(), lambda: None)
    gossip._receive(raw)  # noqa: SLF001
    return result.Success(None)


def receive_report(raw):
    """Takes in a report and decides from it."""
    clk = clock.ManualClock(1000.0)
    reports = data_centre_reports.DataCentreReports(
        "entry-1", "brest", lambda *_: None, clk
    )
    reports.set_entries({"far-1": ("lorient", ""), "near-1": ("brest", "")})
    gossip = gossip_lib.Gossip("entry-1", clk, lambda: None)
    gossip.handlers[data_centre_reports.REPORT_BYTE] = reports.receive
    gossip._receive(REPORT[:1] + raw[1:])  # noqa: SLF001
    choice = data_centre_choice.DataCentreChoice(
        settings_lib.LeavingSettings(max_share=0.5),
        "brest",
        reports,
        mock.Mock(
            count_running=lambda: {"a": {"brest": 1}},
            count_near_slots=lambda: {"a": 1},
        ),
        mock.Mock(),
        clk,
        random.Random(1),
    )
    choice.note_request("a", 100.0, 300.0)
    choice.update()
    clk.advance(data_centre_choice.INTERVAL_MS)
    choice.update()
    choice.draw("a")
    return result.Success(None)


def apply_row(raw):
    """Applies a row whose fields are taken from the bytes."""
    text = raw.decode("utf-8", "replace")
    view = view_lib.View()
    rng = random.Random(raw)
    kind = rng.choice(
        ["target", "entry", "out", "instance", "crash", "routes", "quarantine"]
    )
    record = control_pb2.Record(key=f"{kind}/{text[:40]}")
    with contextlib.suppress(Exception):
        # Fields that protobuf refuses can't arrive.
        record.MergeFromString(raw)
    record.instance.address = text[:30]
    record.routes.document = raw
    record.routes.number = 1
    view.apply_reply(control_pb2.FollowReply(records=[record], version=1))
    return result.Success(None)


DECODERS = {
    "heartbeats": (
        HEARTBEAT,
        lambda raw: heartbeats.parse("i-1", raw, ["brest"]),
    ),
    "configurations": (CONFIGURATION, configurations.parse),
    "announcements to a gateway": (
        ANNOUNCEMENT,
        lambda raw: structs.decode(
            raw, gateway_announcements.Announcement, "the announcement"
        ),
    ),
    "announcements to an entry": (ANNOUNCEMENT, decode_entry_announcement),
    "settings files": (NODE_FILE, read_node_file),
    "settings texts": (
        SERVICES,
        lambda raw: rows_lib.parse(raw.decode("utf-8", "replace"), "it"),
    ),
    "datagrams": (DATAGRAM, receive_datagram),
    "reports of data centres": (REPORT, receive_report),
    "rows": (ANNOUNCEMENT, apply_row),
}


@then("{count:d} fuzzed {name} with seed {seed:d} raise nothing")
def decode_fuzzed(context, count, name, seed):
    valid, decode = DECODERS[name]
    rng = random.Random(get_seed(context, seed))
    for _ in range(get_cases(context, count)):
        raw = mutate(rng, valid)
        decoded = decode(raw)
        assert isinstance(decoded, result.Result), raw


@when("{count:d} fuzzed requests with seed {seed:d} are sent to the entry")
def send_fuzzed(context, count, seed):
    rng = random.Random(get_seed(context, seed))
    for _ in range(get_cases(context, count)):
        caller = context.rig.connect()
        caller.sock.settimeout(0.05)
        with contextlib.suppress(OSError, EOFError, ValueError, IndexError):
            caller.send_raw(mutate(rng, REQUEST))
            caller.receive()
        caller.close()


@given("a target whose answers are fuzzed with seed {seed:d}")
def add_fuzzed_target(context, seed):
    rng = random.Random(get_seed(context, seed))

    async def respond(req, write):
        await write(mutate(rng, req.make_answer()))

    context.raw = raw_server.RawServer(respond, slots=1000)
    context.add_cleanup(context.raw.close)
    context.rig.announce(context.raw)


@when("{count:d} lookups are sent to it")
def look_up_fuzzed(context, count):
    context.answers = {}
    for number in range(get_cases(context, count)):
        path = f"/look/{number}"
        context.answers[path] = context.rig.call(path=path, deadline_ms="60")


@when("that target leaves")
def remove_fuzzed_target(context):
    key = f"instance/{context.raw.address}"
    context.rig.apply_rows([control_pb2.Record(key=key, deleted=True)])


@then("none of them got an answer that is not the target's own")
def check_own_answers(context):
    for path, answer in context.answers.items():
        if answer.status == 200:
            assert answer.headers.get("response-seal"), (path, answer)
