"""Commands about targets and their owners."""

import math

from cardamomkeel.policy import slots
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED
EXPIRED = control_pb2.STATUS_SESSION_EXPIRED

# The settings don't allow a longer deadline.
LONGEST_DEADLINE_MS = 10_000


def bound_work(longest_ms: int) -> int:
    """Returns how long work may last that was allowed `longest_ms`.

    The time in transit and the drift between clocks are added.
    """
    return int(slots.work_bound_ms(longest_ms))


def bound_after_lease(promised_ms: int) -> int:
    """Returns a promised time after a lease, with the drift of clocks added."""
    return math.ceil(promised_ms * slots.CLOCK_DRIFT_FACTOR)


def _copy(target: control_pb2.TargetRecord) -> control_pb2.TargetRecord:
    copied = control_pb2.TargetRecord()
    copied.CopyFrom(target)
    return copied


def _put(
    tables: tables_lib.Tables, target: control_pb2.TargetRecord, index: int
) -> None:
    tables.put(tables_lib.target_key(target.address), index, target=target)


def record_announcement(
    tables: tables_lib.Tables, cmd: control_pb2.TargetSeen, index: int
) -> control_pb2.CommandResult:
    """Records the announcement of a backend server."""
    record = tables.get(tables_lib.target_key(cmd.address))
    target = control_pb2.TargetRecord()
    if record is not None:
        target.CopyFrom(record.target)
        if target.service != cmd.service and target.instance == cmd.instance:
            return control_pb2.CommandResult(
                status=REFUSED,
                message=f"{cmd.address} announced {target.service} before",
            )
    else:
        target = _make_reannounced(tables, cmd)
    target.service = cmd.service
    target.address = cmd.address
    target.data_centre = cmd.data_centre
    target.slots = cmd.slots
    target.instance = cmd.instance
    target.state = cmd.state
    _put(tables, target, index)
    return control_pb2.CommandResult(status=OK, version=index)


def _make_reannounced(
    tables: tables_lib.Tables, cmd: control_pb2.TargetSeen
) -> control_pb2.TargetRecord:
    """Returns a new row with the remaining work of a deleted row."""
    deleted = tables.get_deleted(tables_lib.target_key(cmd.address))
    if deleted is None:
        return control_pb2.TargetRecord()
    target = control_pb2.TargetRecord(epoch=deleted.target.epoch + 1)
    remaining_ms = deleted.work_until_log_ms - tables.log_ms
    # A new instance has none of the work of the previous one.
    if remaining_ms > 0 and deleted.target.instance == cmd.instance:
        _set_residual(
            tables,
            target,
            max(deleted.target.slots, cmd.slots),
            remaining_ms,
        )
    return target


def remove(
    tables: tables_lib.Tables, cmd: control_pb2.TargetGone, index: int
) -> control_pb2.CommandResult:
    """Deletes a backend server that no longer announces itself.

    Its owner may still have work on it, so the deleted row retains the target
    and the time until which that work may last.
    """
    key = tables_lib.target_key(cmd.address)
    record = tables.get(key)
    if record is not None and record.target.instance == cmd.instance:
        bound_ms = bound_work(LONGEST_DEADLINE_MS)
        tables.delete(
            key,
            index,
            target=record.target,
            work_until_log_ms=tables.log_ms + bound_ms,
        )
    return control_pb2.CommandResult(status=OK, version=index)


def assign(
    tables: tables_lib.Tables, cmd: control_pb2.AssignOwners, index: int
) -> control_pb2.CommandResult:
    """Assigns targets to owners; a live owner has to release them first."""
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
    """Hands over targets from their owner, with its remaining work."""
    for released in cmd.released:
        record = tables.get(tables_lib.target_key(released.address))
        if record is None or record.target.owner != cmd.session:
            continue
        if record.target.epoch != released.epoch:
            continue
        target = _copy(record.target)
        _transfer(tables, target)
        _set_residual(
            tables, target, released.residual_slots, released.residual_ms
        )
        _put(tables, target, index)
    return control_pb2.CommandResult(status=OK, version=index)


def _transfer(
    tables: tables_lib.Tables, target: control_pb2.TargetRecord
) -> None:
    is_live = tables.get(tables_lib.entry_key(target.next_owner)) is not None
    target.owner = target.next_owner if is_live else 0
    target.next_owner = 0
    target.epoch += 1


def _set_residual(
    tables: tables_lib.Tables,
    target: control_pb2.TargetRecord,
    residual_slots: int,
    residual_ms: int,
) -> None:
    """Records how many slots earlier work may occupy, and for how long."""
    target.residual_slots = residual_slots
    target.residual_ms = residual_ms
    until_ms = tables.log_ms + math.ceil(residual_ms * slots.CLOCK_DRIFT_FACTOR)
    target.residual_until_log_ms = until_ms


def drop_owner(
    tables: tables_lib.Tables,
    session: int,
    index: int,
    remaining_ms: dict[str, int],
) -> None:
    """Removes an ended session as owner of all its targets.

    Args:
        tables: The replicated state.
        session: The session that has ended.
        index: The log index of the command.
        remaining_ms: How long the session's work may run, by service; a
            service that is not listed counts with the longest deadline.
    """
    for current in tables.targets():
        if current.owner != session and current.next_owner != session:
            continue
        target = _copy(current)
        if target.next_owner == session:
            target.next_owner = 0
        if target.owner == session:
            longest_ms = bound_work(LONGEST_DEADLINE_MS)
            own_ms = remaining_ms.get(target.service, longest_ms)
            _transfer(tables, target)
            _set_lost_work(tables, target, own_ms)
        _put(tables, target, index)


def _set_lost_work(
    tables: tables_lib.Tables, target: control_pb2.TargetRecord, own_ms: int
) -> None:
    """Records the remaining own and inherited work of a lost owner.

    How much a lost owner had in flight is unknown, so all slots count as
    occupied while its work may run.
    """
    inherited_ms = max(0, target.residual_until_log_ms - tables.log_ms)
    if own_ms:
        remaining_ms = max(own_ms, inherited_ms)
        _set_residual(tables, target, target.slots, remaining_ms)
    else:
        count = target.residual_slots if inherited_ms else 0
        _set_residual(tables, target, count, inherited_ms)
