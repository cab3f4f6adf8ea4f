"""Operators' commands that take out of service and bring back."""

from cardamomkeel.policy import out_of_service
from cardamomkeel.state import change_results
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED


def record_accepted(
    tables: tables_lib.Tables, change_id: str, fingerprint: bytes
) -> control_pb2.CommandResult:
    """Stores the result of an accepted change and returns it."""
    # For a change that writes no row, this is the version of the newest row.
    accepted = control_pb2.CommandResult(
        status=OK, revision=tables.revision, version=tables.version
    )
    tables.changes.put(change_id, fingerprint, accepted)
    return accepted


def take_out(
    tables: tables_lib.Tables, cmd: control_pb2.TakeOut, index: int
) -> control_pb2.CommandResult:
    """Takes a data centre or one backend server out of service."""
    fingerprint = change_results.make_fingerprint(
        "take out", cmd.data_centre, cmd.address
    )
    earlier = tables.changes.find(cmd.change_id, fingerprint)
    if earlier is not None:
        return earlier
    out = control_pb2.OutRecord(
        data_centre=cmd.data_centre,
        address=cmd.address,
        operator=cmd.operator,
        revision=tables.revision + 1,
    )
    refusal = ""
    if not cmd.force:
        refusal = out_of_service.find_refusal_reason(
            tables.targets(), tables.entries(), tables.outs(), out
        )
    if refusal:
        return control_pb2.CommandResult(status=REFUSED, message=refusal)
    tables.revision = out.revision
    key = tables_lib.out_key(cmd.data_centre, cmd.address)
    tables.put(key, index, out=out)
    return record_accepted(tables, cmd.change_id, fingerprint)


def bring_back(
    tables: tables_lib.Tables, cmd: control_pb2.BringBack, index: int
) -> control_pb2.CommandResult:
    """Brings a data centre or one backend server back into service."""
    fingerprint = change_results.make_fingerprint(
        "bring back", cmd.data_centre, cmd.address
    )
    earlier = tables.changes.find(cmd.change_id, fingerprint)
    if earlier is not None:
        return earlier
    key = tables_lib.out_key(cmd.data_centre, cmd.address)
    if tables.get(key) is None:
        subject = cmd.address or cmd.data_centre
        return control_pb2.CommandResult(
            status=REFUSED, message=f"{subject!r} is not taken out"
        )
    tables.revision += 1
    tables.delete(key, index)
    return record_accepted(tables, cmd.change_id, fingerprint)
