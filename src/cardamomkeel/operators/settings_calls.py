"""What operators ask of a control VM about the settings text."""

import collections.abc
import dataclasses
import typing

import orjson
import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.operators import commits
from cardamomkeel.operators import text_difference
from cardamomkeel.settings import edit
from cardamomkeel.settings import process
from cardamomkeel.settings import rows
from cardamomkeel.state import change_results
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2

SOURCE = "the new settings text"
REMEDY = "see `show`"
RETRY_REMEDY = (
    "look at the newest revision with `show` and send the change again"
)


class Change(process.Strict):
    """What every change of the settings text names."""

    base_revision: int = pydantic.Field(ge=0)
    change_id: str = pydantic.Field(min_length=8)
    operator: str


class Apply(Change):
    """A new settings text."""

    text: str


class Set(Change):
    """Other values of one service's settings."""

    service: str
    values: dict[str, typing.Any] = {}
    removed: list[str] = []


@dataclasses.dataclass(frozen=True)
class _AppliedText:
    """A settings text that was in force, as read from the control group.

    Attributes:
        revision: Its revision.
        operator: Who applied it.
        text: The text.
        text_hash: What the control group knows it by.
        parsed: What it holds, or None where this program can't read it.
    """

    revision: int = 0
    operator: str = ""
    text: str = ""
    text_hash: bytes = b""
    parsed: rows.Parsed | None = dataclasses.field(default_factory=rows.Parsed)


# Makes the new text from that of the base revision.
Edit = collections.abc.Callable[
    [_AppliedText], result.Result[rows.Parsed, errors.Error]
]


class SettingsCalls:
    """Has changes of the settings text committed.

    What is sent is the difference to the text of the base revision, which is
    remembered from the change before.
    """

    def __init__(self, control: client_lib.ControlClient):
        self._control = control
        self._newest = _AppliedText()

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/apply": self.apply, "/v1/set": self.set}

    async def apply(self, body: app_lib.Body) -> result.Result:
        """Replaces the settings text."""
        asked = bodies.validate(Apply, body)
        if not isinstance(asked, result.Success):
            return asked
        change = asked.unwrap()
        before = self._newest.parsed or rows.Parsed()
        parsed = rows.parse_next(before, change.text, SOURCE)
        if not isinstance(parsed, result.Success):
            return parsed
        command = _make_command(change)
        command.text_hash = rows.hash_text(change.text)
        done = await self._commit(command, lambda _: parsed)
        if not isinstance(done, result.Success):
            return done
        outcome = done.unwrap()
        if outcome.status != control_pb2.STATUS_CONFLICT:
            return commits.describe(outcome, REMEDY)
        return await self._explain_conflict(outcome, change.text)

    async def set(self, body: app_lib.Body) -> result.Result:
        """Changes settings of one service."""
        asked = bodies.validate(Set, body)
        if not isinstance(asked, result.Success):
            return asked
        change = asked.unwrap()
        command = _make_command(change)
        command.fingerprint = _make_fingerprint(change)
        done = await self._commit(command, lambda known: _edit(known, change))
        return done.bind(
            lambda outcome: commits.describe(outcome, RETRY_REMEDY)
        )

    async def _commit(
        self, command: control_pb2.ChangeSettings, make: Edit
    ) -> result.Result[control_pb2.CommandResult, errors.Error]:
        """Sends the difference that a change makes."""
        known = await self._get_base(command.base_revision)
        if not isinstance(known, result.Success):
            return known
        base = known.unwrap()
        # Of another base, all that is wanted is the first result of a resend,
        # or the conflict.
        parsed = None
        if base.revision == command.base_revision:
            made = make(base)
            if not isinstance(made, result.Success):
                return made
            parsed = made.unwrap()
            _add_difference(command, base, parsed)
        done = await commits.commit(
            self._control, control_pb2.Command(change_settings=command)
        )
        if isinstance(done, result.Success):
            self._update_newest(done.unwrap(), command, parsed)
        return done

    async def _get_base(
        self, revision: int
    ) -> result.Result[_AppliedText, errors.Error]:
        """Returns the text of a revision, or a newer one where it is gone."""
        if revision and self._newest.revision == revision:
            return result.Success(self._newest)
        return await self._read()

    async def _read(self) -> result.Result[_AppliedText, errors.Error]:
        """Reads the text in force."""
        read = await self._control.read(
            control_pb2.ReadRequest(key=keys.SETTINGS_KEY),
            commits.COMMIT_TIMEOUT_MS,
        )
        if not isinstance(read, result.Success):
            return read
        for record in read.unwrap().records:
            self._newest = _make_applied_text(record.settings)
            return result.Success(self._newest)
        return result.Success(_AppliedText())

    def _update_newest(
        self,
        outcome: control_pb2.CommandResult,
        command: control_pb2.ChangeSettings,
        parsed: rows.Parsed | None,
    ) -> None:
        if outcome.status == control_pb2.STATUS_CONFLICT:
            self._newest = _AppliedText()
        if outcome.status != control_pb2.STATUS_OK or parsed is None:
            return
        if outcome.revision > self._newest.revision:
            self._newest = _AppliedText(
                outcome.revision,
                command.operator,
                parsed.text,
                command.text_hash,
                parsed,
            )

    async def _explain_conflict(
        self, outcome: control_pb2.CommandResult, text: str
    ) -> result.Result:
        read = await self._read()
        if not isinstance(read, result.Success):
            return read
        known = read.unwrap()
        difference = text_difference.describe(
            known.text,
            text,
            f"revision {known.revision} by {known.operator}",
        )
        return result.Failure(
            errors.ConflictError(
                f"{outcome.message}\n{difference}",
                f"take revision {known.revision} with `show`, make your "
                "change in it and apply that",
            )
        )


def _make_command(change: Change) -> control_pb2.ChangeSettings:
    return control_pb2.ChangeSettings(
        base_revision=change.base_revision,
        change_id=change.change_id,
        operator=change.operator,
    )


def _make_fingerprint(change: Set) -> bytes:
    asked = [change.service, change.values, sorted(change.removed)]
    described = orjson.dumps(asked, option=orjson.OPT_SORT_KEYS).decode()
    return change_results.make_fingerprint("set", described)


def _make_applied_text(settings: control_pb2.SettingsRecord) -> _AppliedText:
    parsed = rows.parse(settings.text, "the settings text in force")
    return _AppliedText(
        settings.revision,
        settings.operator,
        settings.text,
        settings.text_hash,
        parsed.value_or(None),
    )


def _edit(
    known: _AppliedText, change: Set
) -> result.Result[rows.Parsed, errors.Error]:
    if not known.revision or known.parsed is None:
        return result.Failure(
            errors.SettingsError(
                "no settings text that can be edited is in force",
                "send a whole one with `apply`",
            )
        )
    return edit.change_service(
        known.parsed, change.service, change.values, change.removed
    )


def _add_difference(
    command: control_pb2.ChangeSettings, base: _AppliedText, new: rows.Parsed
) -> None:
    """Adds the new text as a difference, where that is smaller."""
    command.text_hash = rows.hash_text(new.text)
    command.base_hash = base.text_hash
    splice = rows.make_splice(base.text, new.text)
    if len(splice.inserted) < len(new.text):
        command.splice.CopyFrom(splice)
    else:
        command.text = new.text
    if base.parsed is None:
        # The rows in force can't be told, so all are read from the text.
        return
    difference = rows.compare(base.parsed, new)
    command.common.measuring = difference.measuring
    command.common.SetInParent()
    command.services.extend(difference.changed)
    command.removed_services.extend(difference.removed)
