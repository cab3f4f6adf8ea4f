"""Operators' calls that change the settings text."""

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
    """Fields of every change of the settings text."""

    base_revision: int = pydantic.Field(ge=0)
    change_id: str = pydantic.Field(min_length=8)
    operator: str


class Apply(Change):
    """A new settings text."""

    text: str


class Set(Change):
    """New values, and settings to remove, of one service."""

    service: str
    values: dict[str, typing.Any] = {}
    removed: list[str] = []


@dataclasses.dataclass(frozen=True)
class _AppliedText:
    """A settings text that the control group has put in force.

    Attributes:
        revision: The revision of the text.
        operator: The operator who applied it.
        text: The text.
        text_hash: The hash that the control group keeps of the text.
        parsed: Its content, or None if this program can't parse it.
    """

    revision: int = 0
    operator: str = ""
    text: str = ""
    text_hash: bytes = b""
    parsed: rows.Parsed | None = dataclasses.field(default_factory=rows.Parsed)


# Makes the new text from the text of the base revision.
Edit = collections.abc.Callable[
    [_AppliedText], result.Result[rows.Parsed, errors.Error]
]


class SettingsHandlers:
    """Commits changes of the settings text.

    A change is sent as the difference to the text of the base revision, which
    is kept from the previous change.
    """

    def __init__(self, control: client_lib.ControlClient):
        self._control = control
        self._newest = _AppliedText()

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/apply": self.apply, "/v1/set": self.set}

    async def apply(self, body: app_lib.Body) -> result.Result:
        """Replaces the settings text."""
        validated = bodies.validate(Apply, body)
        if not isinstance(validated, result.Success):
            return validated
        change = validated.unwrap()
        before = self._newest.parsed or rows.Parsed()
        parsed = rows.parse_next(before, change.text, SOURCE)
        if not isinstance(parsed, result.Success):
            return parsed
        command = _make_command(change)
        command.text_hash = rows.hash_text(change.text)
        committed = await self._commit(command, lambda _: parsed)
        if not isinstance(committed, result.Success):
            return committed
        outcome = committed.unwrap()
        if outcome.status != control_pb2.STATUS_CONFLICT:
            return commits.describe(outcome, REMEDY)
        return await self._explain_conflict(outcome, change.text)

    async def set(self, body: app_lib.Body) -> result.Result:
        """Changes settings of one service."""
        validated = bodies.validate(Set, body)
        if not isinstance(validated, result.Success):
            return validated
        change = validated.unwrap()
        command = _make_command(change)
        command.fingerprint = _make_fingerprint(change)
        committed = await self._commit(
            command, lambda base: _edit(base, change)
        )
        return committed.bind(
            lambda outcome: commits.describe(outcome, RETRY_REMEDY)
        )

    async def _commit(
        self, command: control_pb2.ChangeSettings, make: Edit
    ) -> result.Result[control_pb2.CommandResult, errors.Error]:
        """Commits the difference between the base and the new text."""
        found = await self._get_base(command.base_revision)
        if not isinstance(found, result.Success):
            return found
        base = found.unwrap()
        # Any other base gets the result of the first attempt if the change is
        # a resend, or else a conflict; neither needs the difference.
        parsed = None
        if base.revision == command.base_revision:
            edited = make(base)
            if not isinstance(edited, result.Success):
                return edited
            parsed = edited.unwrap()
            _add_difference(command, base, parsed)
        committed = await commits.commit(
            self._control, control_pb2.Command(change_settings=command)
        )
        if isinstance(committed, result.Success):
            self._update_newest(committed.unwrap(), command, parsed)
        return committed

    async def _get_base(
        self, revision: int
    ) -> result.Result[_AppliedText, errors.Error]:
        """Returns the text of a revision if kept, or else the text in force."""
        if revision and self._newest.revision == revision:
            return result.Success(self._newest)
        return await self._read()

    async def _read(self) -> result.Result[_AppliedText, errors.Error]:
        """Reads the text in force and keeps it."""
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
        newest = read.unwrap()
        difference = text_difference.describe(
            newest.text,
            text,
            f"revision {newest.revision} by {newest.operator}",
        )
        return result.Failure(
            errors.ConflictError(
                f"{outcome.message}\n{difference}",
                f"take revision {newest.revision} with `show`, make your "
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
    content = [change.service, change.values, sorted(change.removed)]
    described = orjson.dumps(content, option=orjson.OPT_SORT_KEYS).decode()
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
    base: _AppliedText, change: Set
) -> result.Result[rows.Parsed, errors.Error]:
    if not base.revision or base.parsed is None:
        return result.Failure(
            errors.SettingsError(
                "no settings text that can be edited is in force",
                "send a whole one with `apply`",
            )
        )
    return edit.change_service(
        base.parsed, change.service, change.values, change.removed
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
        # Without the rows in force there is no difference of rows, so all rows
        # are read from the text.
        return
    difference = rows.compare(base.parsed, new)
    command.common.measuring = difference.measuring
    command.common.SetInParent()
    command.services.extend(difference.changed)
    command.removed_services.extend(difference.removed)
