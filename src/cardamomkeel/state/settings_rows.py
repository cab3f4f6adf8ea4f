"""Makes rows from the settings text; entries read the rows, not the text.

A settings change in the log normally contains its rows. This module makes them
for a log or a snapshot that an earlier version of the program wrote.
"""

from returns import result

from cardamomkeel.settings import rows as rows_lib
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2


def read_text(text: str) -> rows_lib.Parsed | None:
    """Returns the parsed settings text, or None if it is not valid."""
    parsed = rows_lib.parse(text, "settings in force")
    return parsed.unwrap() if isinstance(parsed, result.Success) else None


def upgrade(state: control_pb2.State) -> None:
    """Replaces the settings row of an earlier version by a row per service.

    The state is changed in place.
    """
    records = list(state.records)
    position = next(
        (i for i, row in enumerate(records) if row.key == keys.SETTINGS_KEY),
        None,
    )
    if position is None:
        return
    earlier = records[position]
    records[position : position + 1] = _make_records(earlier)
    state.settings.CopyFrom(earlier.settings)
    state.settings.text_hash = rows_lib.hash_text(earlier.settings.text)
    del state.records[:]
    state.records.extend(records)


def _make_records(earlier: control_pb2.Record) -> list[control_pb2.Record]:
    """Returns the rows made from the settings row of an earlier version."""
    parsed = read_text(earlier.settings.text) or rows_lib.Parsed()
    common = control_pb2.CommonSettings(
        revision=earlier.settings.revision, measuring=parsed.measuring
    )
    return [
        *(
            control_pb2.Record(
                key=keys.service_key(row.name),
                version=earlier.version,
                service=row,
            )
            for row in rows_lib.make_rows(parsed, parsed.services)
        ),
        control_pb2.Record(
            key=keys.COMMON_KEY, version=earlier.version, common=common
        ),
    ]
