"""Steps for the rows that are made from the settings text."""

import difflib
import json
import pathlib
import types
from unittest import mock

import anyio
from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies
from returns import result

from cardamomkeel.operators import settings_calls
from cardamomkeel.replication import disk
from cardamomkeel.replication import members as members_lib
from cardamomkeel.routing import service_view
from cardamomkeel.settings import edit
from cardamomkeel.settings import rows
from cardamomkeel.settings import services as services_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

ROOT = pathlib.Path(__file__).parents[2]
NAMES = ("dossier", "keep/sake", "cr\u00e9neau")
STYLES = (
    '{{"services": {{{0}}}}}',
    '// {{ "services"\n{{\n  "services": {{{0}}}, // all\n}}\n',
    '{{"services": {{{0}}}, "services": {{{0}}}}}',
    "{{/* }} */ 'services': {{ {0} }}, measuring: {{bytes_per_second: 9}}}}",
)
SERVICES = (
    '"{0}": {{}}',
    '"{0}": {{"slots": {1}}}',
    '\n    "{0}": {{\n      // {0}\n      "slots": {1}, // }}\n    }}',
    "'{0}': {{slots: {1}, 'queue': 3,}}",
    '"{0}": {{"slots": 1, "slots": {1}}}',
)

# A step of a history: the action, which of two interfaces handles it, the
# offset of its base revision, and numbers that select its values.
STEP = strategies.tuples(
    strategies.sampled_from(
        ["apply", "apply", "set", "set", "set", "unset"]
        + ["resend", "reuse", "out", "restore", "follow", "foreign"]
    ),
    strategies.integers(0, 1),
    strategies.sampled_from([0, 0, 0, 0, 1, -1]),
    strategies.lists(strategies.integers(0, 11), min_size=4, max_size=4),
)


def make_text(numbers):
    """Returns a settings text whose style and services the numbers select."""
    style, *service_numbers = numbers
    listed = [
        SERVICES[number % len(SERVICES)].format(
            json.dumps(name)[1:-1], number + 1
        )
        for name, number in zip(NAMES, service_numbers, strict=True)
        if number % 5
    ]
    return STYLES[style % len(STYLES)].format(",".join(listed))


def check_rows(tables):
    """Checks that the rows match the settings text."""
    parsed = rows.parse(tables.settings.text, "the text").unwrap()
    wanted = {row.name: row for row in rows.make_rows(parsed, parsed.services)}
    assert {row.name: row for row in tables.services()} == wanted
    (common,) = tables.rows("common")
    assert common.common.revision == tables.settings.revision
    assert common.common.measuring == parsed.measuring


def follow(view, tables):
    """Updates the view of an entry and checks its content."""
    whole, records = tables.changed_since(view.version)
    view.apply_reply(
        control_pb2.FollowReply(
            version=tables.version, whole=whole, records=records
        )
    )
    assert not any(record.HasField("settings") for record in records)
    raw = rows.parse(tables.settings.text, "the text").unwrap().services
    model = services_lib.ServicesText.model_validate({"services": raw})
    assert view.services == model.services
    assert view.revision == tables.settings.revision


class _History:
    """Two operators' interfaces to one state, without processes."""

    def __init__(self):
        self.tables = tables_lib.Tables()
        self.index = 0
        self.calls = [settings_calls.SettingsHandlers(self) for _ in range(2)]
        self.view = service_view.ServiceView()
        self.accepted = []

    async def propose(self, commands, timeout_ms):  # noqa: ARG002
        results = []
        for command in commands:
            self.index += 1
            # Like a replica, parse the command from its serialized form.
            read = control_pb2.Command.FromString(command.SerializeToString())
            results.append(machine.apply(self.tables, read, self.index))
        return result.Success(results)

    async def read(self, req, timeout_ms):  # noqa: ARG002
        reply = types.SimpleNamespace(records=self.tables.read(req.key))
        return result.Success(reply)

    async def run(self, steps):
        """Runs a history and checks it after each step."""
        await self.change("/v1/apply", 0, {"text": make_text([0, 1, 1, 1])}, 0)
        for number, (kind, control, base_offset, values) in enumerate(steps):
            before = self.tables.settings.revision
            await getattr(self, kind)(
                f"change-{number}", control, base_offset, values
            )
            assert self.tables.settings.revision >= before
            check_rows(self.tables)
        follow(self.view, self.tables)

    async def change(
        self, path, control, body, base_offset, change_id="change-first"
    ):
        revision = self.tables.settings.revision
        request = body | {
            "change_id": change_id,
            "base_revision": max(0, revision + base_offset),
            "operator": "tests",
        }
        text = self.tables.settings.text
        outcome = await self.calls[control].handlers()[path](request)
        if isinstance(outcome, result.Success):
            assert base_offset == 0
            assert self.tables.settings.revision > revision
            self.accepted.append((path, request, outcome.unwrap()))
            if path == "/v1/apply":
                assert self.tables.settings.text == body["text"]
        else:
            assert self.tables.settings.text == text
            assert self.tables.settings.revision == revision
        return outcome

    async def apply(self, change_id, control, base_offset, values):
        body = {"text": make_text(values)}
        outcome = await self.change(
            "/v1/apply", control, body, base_offset, change_id
        )
        assert isinstance(outcome, result.Success) == (base_offset == 0), (
            outcome
        )

    async def set(self, change_id, control, base_offset, values):
        name = NAMES[values[0] % len(NAMES)]
        wanted = {"slots": values[1] + 1, "warm_up_requests": values[2] + 1}
        body = {"service": name, "values": wanted}
        outcome = await self.change(
            "/v1/set", control, body, base_offset, change_id
        )
        if isinstance(outcome, result.Success):
            self.check_set(name, wanted)
        elif base_offset == 0:
            self.check_refused(outcome, ['"services"'])

    def check_refused(self, outcome, ambiguous):
        """Checks the reason of a refused change."""
        message = outcome.failure().message
        text = self.tables.settings.text
        if any(text.count(words) > 1 for words in ambiguous):
            assert "not listed" in message or "changed alone" in message, (
                outcome
            )
        else:
            assert "not listed" in message, outcome

    def check_set(self, name, wanted):
        (row,) = [row for row in self.tables.services() if row.name == name]
        assert json.loads(row.body).items() >= wanted.items()

    async def unset(self, change_id, control, base_offset, values):
        name = NAMES[values[0] % len(NAMES)]
        body = {"service": name, "removed": ["slots", "queue"]}
        outcome = await self.change(
            "/v1/set", control, body, base_offset, change_id
        )
        if base_offset == 0 and isinstance(outcome, result.Failure):
            self.check_refused(outcome, ['"services"', '"slots"'])

    async def resend(self, _id, control, _base_offset, values):
        path, body, first = self.accepted[values[0] % len(self.accepted)]
        revision = self.tables.settings.revision
        again = await self.calls[control].handlers()[path](body)
        assert again == result.Success(first), again
        assert self.tables.settings.revision == revision

    async def reuse(self, _id, control, _base_offset, values):
        _, body, _ = self.accepted[values[0] % len(self.accepted)]
        other = body | {"text": "// another\n" + make_text(values)}
        other = {k: v for k, v in other.items() if k in APPLY_FIELDS}
        outcome = await self.calls[control].handlers()["/v1/apply"](other)
        assert "used for another change" in outcome.failure().message, outcome

    async def foreign(self, change_id, control, _base_offset, _values):
        """Sends a difference whose base or result hash is wrong."""
        before = self.tables.settings
        wrong = {"base_hash": b"other"} if control else {"text_hash": b"other"}
        text = before.text + " "
        hashes = {
            "base_hash": before.text_hash,
            "text_hash": rows.hash_text(text),
        }
        change = control_pb2.ChangeSettings(
            base_revision=before.revision,
            change_id=change_id,
            splice=rows.make_splice(before.text, text),
            common=control_pb2.CommonSettings(),
            **(hashes | wrong),
        )
        command = control_pb2.Command(change_settings=change)
        (got,) = (await self.propose([command], 0)).unwrap()
        assert got.status == control_pb2.STATUS_CONFLICT, got
        assert self.tables.settings == before

    async def out(self, change_id, _place, _base_offset, _values):
        out = {"data_centre": "brest", "change_id": change_id, "force": True}
        await self.propose([control_pb2.Command(take_out=out)], 0)

    async def restore(self, _id, _place, _base_offset, _values):
        raw = self.tables.save().SerializeToString()
        self.tables = tables_lib.Tables()
        self.tables.load(control_pb2.State.FromString(raw))

    async def follow(self, _id, _place, _base_offset, _values):
        follow(self.view, self.tables)


APPLY_FIELDS = {"text", "base_revision", "change_id", "operator"}


@then(
    "in {count:d} histories of changes, resends and restores the rows "
    "match the text"
)
def check_histories(context, count):  # noqa: ARG001
    @hypothesis.settings(
        max_examples=count, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(strategies.lists(STEP, min_size=4, max_size=20))
    def check(steps):
        anyio.run(_History().run, steps)

    # With one listed deletion, a view that lags gets the complete state.
    with mock.patch.object(tables_lib, "MAX_DELETED_ROWS", 1):
        check()


# Change of one service in a text.


@given('the text of "{path}"')
def read_text(context, path):
    context.before = (ROOT / path).read_text(encoding="utf-8")


@when(
    "slots={slots:d} queue={queue:d} is set of {service} and {name} unset of "
    "{other}"
)
def edit_text(context, slots, queue, service, name, other):
    parsed = rows.parse(context.before, "the text").unwrap()
    values = {"slots": slots, "queue": queue}
    parsed = edit.change_service(parsed, service, values, []).unwrap()
    parsed = edit.change_service(parsed, other, {}, [name]).unwrap()
    context.edited = parsed.text


@then("only these lines of it differ:")
def check_lines(context):
    lines = difflib.ndiff(
        context.before.splitlines(), context.edited.splitlines()
    )
    found = [f"{x[0]}{x[2:]}" for x in lines if x[0] in "-+"]
    assert found == context.text.splitlines(), found


# Data folders of earlier versions.


def _make_earlier(index, revision, text):
    change = control_pb2.ChangeSettings(
        base_revision=revision, change_id=f"change-{index}", text=text
    )
    command = control_pb2.Command(change_settings=change)
    return control_pb2.LogEntry(index=index, term=1, command=command)


@given("a data folder whose snapshot and log hold settings as one row")
def make_earlier_folder(context):
    context.data = context.folder / "data"
    context.texts = [make_text(n) for n in ([1, 1, 2, 3], [2, 0, 7, 3])]
    first = members_lib.initial_members({"control-1": "-"})
    disk.create(context.data, "control-1.first", first, formed=True)
    storage = disk.DiskStorage(context.data, disk.load(context.data).unwrap())
    target = control_pb2.TargetRecord(address="10.0.0.1:80", service="dossier")
    settings = control_pb2.SettingsRecord(revision=7, text=context.texts[0])
    records = [
        control_pb2.Record(key="settings", version=5, settings=settings),
        control_pb2.Record(key="target/10.0.0.1:80", version=8, target=target),
    ]
    state = control_pb2.State(revision=7, version=8, records=records)
    snapshot = control_pb2.Snapshot(index=8, term=1, members=first, state=state)
    storage.save_snapshot(snapshot, [])
    storage.append([_make_earlier(9, 7, context.texts[1])])
    storage.sync()


@when("it is read")
def read_folder(context):
    stored = disk.load(context.data).unwrap()
    context.tables = tables_lib.Tables()
    context.tables.load(stored.snapshot.state)
    check_rows(context.tables)
    assert context.tables.settings.text == context.texts[0]
    context.view = service_view.ServiceView()
    follow(context.view, context.tables)
    for entry in stored.entries:
        machine.apply(context.tables, entry.command, entry.index)


@then("the rows match the newest text and a view of the old snapshot")
def check_folder(context):
    assert context.tables.settings.text == context.texts[1]
    check_rows(context.tables)
    follow(context.view, context.tables)
