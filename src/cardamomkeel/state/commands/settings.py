"""Operators' command that changes the settings text."""

from cardamomkeel.settings import rows as rows_lib
from cardamomkeel.state import change_results
from cardamomkeel.state import keys
from cardamomkeel.state import settings_rows
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import out_of_service
from cardamomkeel.wire import control_pb2

CONFLICT = control_pb2.STATUS_CONFLICT
FINGERPRINT_BYTES = change_results.FINGERPRINT_BYTES


def change(
    tables: tables_lib.Tables, cmd: control_pb2.ChangeSettings, index: int
) -> control_pb2.CommandResult:
    """Replaces the settings text if the change is based on the current one."""
    current = tables.settings
    text_hash = cmd.text_hash or rows_lib.hash_text(cmd.text)
    fingerprint = (cmd.fingerprint or text_hash)[:FINGERPRINT_BYTES]
    earlier = tables.changes.find(cmd.change_id, fingerprint)
    if earlier is not None:
        return earlier
    if cmd.base_revision != current.revision:
        return _conflict(
            current,
            f"revision {current.revision} by {current.operator} came first; "
            f"this change was made from {cmd.base_revision}",
        )
    text = _make_text(current, cmd)
    if text is None or rows_lib.hash_text(text) != text_hash:
        return _conflict(
            current,
            f"the change does not fit the text of revision {current.revision}",
        )
    tables.revision += 1
    _write_rows(tables, cmd, text, index)
    tables.settings = control_pb2.SettingsRecord(
        revision=tables.revision,
        text=text,
        operator=cmd.operator,
        change_id=cmd.change_id,
        text_hash=text_hash,
    )
    return out_of_service.record_accepted(tables, cmd.change_id, fingerprint)


def _conflict(
    current: control_pb2.SettingsRecord, message: str
) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(
        status=CONFLICT,
        revision=current.revision,
        operator=current.operator,
        message=message,
    )


def _make_text(
    current: control_pb2.SettingsRecord, cmd: control_pb2.ChangeSettings
) -> str | None:
    """Returns the new text, or None if the change has another base."""
    # Rows and splices are differences to one text, so the base must match.
    is_difference = cmd.HasField("common") or cmd.HasField("splice")
    if is_difference and cmd.base_hash != current.text_hash:
        return None
    if cmd.HasField("splice"):
        return rows_lib.apply_splice(current.text, cmd.splice)
    return cmd.text


def _write_rows(
    tables: tables_lib.Tables,
    cmd: control_pb2.ChangeSettings,
    text: str,
    index: int,
) -> None:
    """Writes the rows of the services that a change affects."""
    difference = _read_difference(tables, cmd, text)
    for name in difference.removed:
        tables.delete(keys.service_key(name), index)
    for row in difference.changed:
        _write_row(tables, row, index)
    # Written with every change: its revision informs entries of the change.
    tables.put(
        keys.COMMON_KEY,
        index,
        common=control_pb2.CommonSettings(
            revision=tables.revision, measuring=difference.measuring
        ),
    )


def _read_difference(
    tables: tables_lib.Tables, cmd: control_pb2.ChangeSettings, text: str
) -> rows_lib.Difference:
    if cmd.HasField("common"):
        return rows_lib.Difference(
            list(cmd.services), list(cmd.removed_services), cmd.common.measuring
        )
    parsed = settings_rows.read_text(text)
    if parsed is None:
        # An invalid text changes no row; earlier versions did the same.
        common = tables.get(keys.COMMON_KEY)
        measuring = "" if common is None else common.common.measuring
        return rows_lib.Difference([], [], measuring)
    return rows_lib.Difference(
        rows_lib.make_rows(parsed, parsed.services),
        _list_removed(tables, parsed),
        parsed.measuring,
    )


def _list_removed(
    tables: tables_lib.Tables, parsed: rows_lib.Parsed
) -> list[str]:
    return [
        row.name for row in tables.services() if row.name not in parsed.services
    ]


def _write_row(
    tables: tables_lib.Tables, row: control_pb2.ServiceSettings, index: int
) -> None:
    key = keys.service_key(row.name)
    existing = tables.get(key)
    if existing is None or existing.service != row:
        tables.put(key, index, service=row)
