"""Commands by which operators change the configuration."""

from cardamomkeel.policy import outs
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
CONFLICT = control_pb2.STATUS_CONFLICT
REFUSED = control_pb2.STATUS_REFUSED


def _accept(
    tables: tables_lib.Tables, change_id: str
) -> control_pb2.CommandResult:
    # Of a change that touches no row, the newest row is as new.
    accepted = control_pb2.CommandResult(
        status=OK, revision=tables.revision, version=tables.version
    )
    tables.remember_change(change_id, accepted)
    return accepted


def change_settings(
    tables: tables_lib.Tables, cmd: control_pb2.ChangeSettings, index: int
) -> control_pb2.CommandResult:
    """Replaces the settings text where it was made from the one in force."""
    if cmd.change_id in tables.changes:
        return tables.changes[cmd.change_id]
    record = tables.get(tables_lib.SETTINGS_KEY)
    current = (
        control_pb2.SettingsRecord() if record is None else record.settings
    )
    if cmd.base_revision != current.revision:
        return control_pb2.CommandResult(
            status=CONFLICT,
            revision=current.revision,
            text=current.text,
            operator=current.operator,
            message=(
                f"revision {current.revision} by {current.operator} came "
                f"first; this change was made from {cmd.base_revision}"
            ),
        )
    tables.revision += 1
    tables.put(
        tables_lib.SETTINGS_KEY,
        index,
        settings=control_pb2.SettingsRecord(
            revision=tables.revision,
            text=cmd.text,
            operator=cmd.operator,
            change_id=cmd.change_id,
        ),
    )
    return _accept(tables, cmd.change_id)


def take_out(
    tables: tables_lib.Tables, cmd: control_pb2.TakeOut, index: int
) -> control_pb2.CommandResult:
    """Takes a data centre or one backend server out of service."""
    if cmd.change_id in tables.changes:
        return tables.changes[cmd.change_id]
    out = control_pb2.OutRecord(
        data_centre=cmd.data_centre,
        address=cmd.address,
        operator=cmd.operator,
        revision=tables.revision + 1,
    )
    refused = ""
    if not cmd.force:
        refused = outs.refuse(
            tables.targets(), tables.entries(), tables.outs(), out
        )
    if refused:
        return control_pb2.CommandResult(status=REFUSED, message=refused)
    tables.revision = out.revision
    key = tables_lib.out_key(cmd.data_centre, cmd.address)
    tables.put(key, index, out=out)
    return _accept(tables, cmd.change_id)


def bring_back(
    tables: tables_lib.Tables, cmd: control_pb2.BringBack, index: int
) -> control_pb2.CommandResult:
    """Brings a data centre or one backend server back into service."""
    if cmd.change_id in tables.changes:
        return tables.changes[cmd.change_id]
    key = tables_lib.out_key(cmd.data_centre, cmd.address)
    if tables.get(key) is None:
        named = cmd.address or cmd.data_centre
        return control_pb2.CommandResult(
            status=REFUSED, message=f"{named!r} is not taken out"
        )
    tables.revision += 1
    tables.delete(key, index)
    return _accept(tables, cmd.change_id)
