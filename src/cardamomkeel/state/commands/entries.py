"""Commands about the sessions of entries."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import claims
from cardamomkeel.state.commands import targets
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
EXPIRED = control_pb2.STATUS_SESSION_EXPIRED


def join(
    tables: tables_lib.Tables, cmd: control_pb2.EntryJoin, index: int
) -> control_pb2.CommandResult:
    """Opens a session; a resend with the same nonce gets the same session."""
    for entry in tables.entries():
        if entry.name == cmd.name and entry.nonce == cmd.nonce:
            return control_pb2.CommandResult(status=OK, session=entry.session)
    tables.put(
        tables_lib.entry_key(index),
        index,
        entry=control_pb2.EntryRecord(
            session=index,
            name=cmd.name,
            nonce=cmd.nonce,
            data_centre=cmd.data_centre,
            callers_address=cmd.callers_address,
            entries_address=cmd.entries_address,
            operators_address=cmd.operators_address,
        ),
    )
    return control_pb2.CommandResult(status=OK, session=index, version=index)


def expire(
    tables: tables_lib.Tables, cmd: control_pb2.EntryExpire, index: int
) -> control_pb2.CommandResult:
    """Ends sessions whose leases have expired."""
    remaining_ms = {
        bound.service: targets.bound_work(bound.longest_ms)
        for bound in cmd.bounds
    }
    for bound in cmd.after_lease:
        remaining_ms[bound.service] = targets.bound_after_lease(
            bound.longest_ms
        )
    for session in cmd.sessions:
        _end_session(tables, session, index, remaining_ms)
    return control_pb2.CommandResult(status=OK, version=index)


def leave(
    tables: tables_lib.Tables, cmd: control_pb2.EntryLeave, index: int
) -> control_pb2.CommandResult:
    """Marks an entry as leaving, or ends its session once it has finished.

    Answers with addresses of entries omit a leaving entry.
    """
    record = tables.get(tables_lib.entry_key(cmd.session))
    if record is None:
        return control_pb2.CommandResult(status=EXPIRED)
    if cmd.finished:
        _end_session(tables, cmd.session, index)
    else:
        entry = control_pb2.EntryRecord()
        entry.CopyFrom(record.entry)
        entry.leaving = True
        tables.put(tables_lib.entry_key(cmd.session), index, entry=entry)
    return control_pb2.CommandResult(status=OK, version=index)


def _end_session(
    tables: tables_lib.Tables,
    session: int,
    index: int,
    remaining_ms: dict[str, int] | None = None,
) -> None:
    if tables.get(tables_lib.entry_key(session)) is None:
        return
    tables.delete(tables_lib.entry_key(session), index)
    targets.drop_owner(tables, session, index, remaining_ms or {})
    claims.mark_running_claims_unknown(tables, session)
