"""Commands about targets and their owners."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED
EXPIRED = control_pb2.STATUS_SESSION_EXPIRED

# The work of an owner that is gone may go on for its longest deadline.
LONGEST_DEADLINE_MS = 10_000


def _copy(target: control_pb2.TargetRecord) -> control_pb2.TargetRecord:
    copied = control_pb2.TargetRecord()
    copied.CopyFrom(target)
    return copied


def _put(
    tables: tables_lib.Tables, target: control_pb2.TargetRecord, index: int
) -> None:
    tables.put(tables_lib.target_key(target.address), index, target=target)


def seen(
    tables: tables_lib.Tables, cmd: control_pb2.TargetSeen, index: int
) -> control_pb2.CommandResult:
    """Writes down what a backend server announced of itself."""
    record = tables.get(tables_lib.target_key(cmd.address))
    target = control_pb2.TargetRecord()
    if record is not None:
        target.CopyFrom(record.target)
        if target.service != cmd.service and target.instance == cmd.instance:
            return control_pb2.CommandResult(
                status=REFUSED,
                message=f"{cmd.address} announced {target.service} before",
            )
    target.service = cmd.service
    target.address = cmd.address
    target.data_centre = cmd.data_centre
    target.slots = cmd.slots
    target.instance = cmd.instance
    target.state = cmd.state
    _put(tables, target, index)
    return control_pb2.CommandResult(status=OK, version=index)


def gone(
    tables: tables_lib.Tables, cmd: control_pb2.TargetGone, index: int
) -> control_pb2.CommandResult:
    """Forgets a backend server that no longer announces itself."""
    record = tables.get(tables_lib.target_key(cmd.address))
    if record is not None and record.target.instance == cmd.instance:
        tables.delete(tables_lib.target_key(cmd.address), index)
    return control_pb2.CommandResult(status=OK, version=index)


def assign(
    tables: tables_lib.Tables, cmd: control_pb2.AssignOwners, index: int
) -> control_pb2.CommandResult:
    """Gives targets to owners; a live owner has to let go first."""
    for assignment in cmd.assignments:
        record = tables.get(tables_lib.target_key(assignment.address))
        session = assignment.session
        if record is None:
            continue
        if tables.get(tables_lib.entry_key(session)) is None:
            continue
        target = _copy(record.target)
        if target.owner == 0:
            target.owner = session
            target.next_owner = 0
            target.epoch += 1
        elif target.owner == session:
            target.next_owner = 0
        else:
            target.next_owner = session
        if target != record.target:
            _put(tables, target, index)
    return control_pb2.CommandResult(status=OK, version=index)


def release(
    tables: tables_lib.Tables, cmd: control_pb2.ReleaseTargets, index: int
) -> control_pb2.CommandResult:
    """Lets an owner hand over targets together with its work on them."""
    for released in cmd.released:
        record = tables.get(tables_lib.target_key(released.address))
        if record is None or record.target.owner != cmd.session:
            continue
        if record.target.epoch != released.epoch:
            continue
        target = _copy(record.target)
        _hand_over(tables, target)
        target.residual_slots = released.residual_slots
        target.residual_ms = released.residual_ms
        _put(tables, target, index)
    return control_pb2.CommandResult(status=OK, version=index)


def _hand_over(
    tables: tables_lib.Tables, target: control_pb2.TargetRecord
) -> None:
    live = tables.get(tables_lib.entry_key(target.next_owner)) is not None
    target.owner = target.next_owner if live else 0
    target.next_owner = 0
    target.epoch += 1


def drop_owner(tables: tables_lib.Tables, session: int, index: int) -> None:
    """Takes all targets from a session that has ended.

    What the old owner had in flight is not known, so all slots count as
    taken until the longest deadline has passed.
    """
    for old in tables.targets():
        if old.owner != session and old.next_owner != session:
            continue
        target = _copy(old)
        if target.next_owner == session:
            target.next_owner = 0
        if target.owner == session:
            _hand_over(tables, target)
            target.residual_slots = target.slots
            target.residual_ms = LONGEST_DEADLINE_MS
        _put(tables, target, index)
