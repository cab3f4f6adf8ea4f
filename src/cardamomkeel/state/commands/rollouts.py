"""Commands about roll-outs of a service's version."""

from cardamomkeel.policy import incarnations
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import instances
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
CONFLICT = control_pb2.STATUS_CONFLICT
REFUSED = control_pb2.STATUS_REFUSED
# The stages after which a roll-out has ended.
ENDED = (control_pb2.ROLLOUT_COMPLETED, control_pb2.ROLLOUT_ROLLED_BACK)
# A repeated order within this time after the first is taken for the same one,
# even if the roll-out has been rolled back in between. Operators repeat an
# order for a few seconds.
RESEND_MS = 10_000
# The part of the requests that a new version gets before anything is known of
# it or of the load, in millionths.
FIRST_SHARE_PPM = 30_000
# The number of versions of a service that stay barred.
MAX_BARRED = 16


def find(
    tables: tables_lib.Tables, service: str
) -> control_pb2.RolloutRecord | None:
    """Returns the newest roll-out of a service, or None."""
    record = tables.get(tables_lib.rollout_key(service))
    return None if record is None else record.rollout


def is_running(row: control_pb2.RolloutRecord) -> bool:
    """Returns whether a roll-out has no result yet."""
    return row.stage not in ENDED


def start(
    tables: tables_lib.Tables, cmd: control_pb2.StartRollout, index: int
) -> control_pb2.CommandResult:
    """Starts a roll-out; an order that was accepted is accepted again."""
    known = find(tables, cmd.service)
    if known is not None and _is_repeated(tables, known, cmd):
        return control_pb2.CommandResult(status=OK, version=tables.version)
    if known is not None and is_running(known):
        return control_pb2.CommandResult(
            status=CONFLICT,
            message=(
                f"the roll-out of {cmd.service} to {known.version} runs; wait "
                "for its end, or withdraw it"
            ),
        )
    row = control_pb2.RolloutRecord(
        service=cmd.service,
        version=cmd.version,
        order=index,
        ordered_log_ms=tables.log_ms,
        duration_ms=cmd.duration_ms,
        stage=control_pb2.ROLLOUT_TRIAL,
        share_ppm=FIRST_SHARE_PPM,
        step=1,
        step_log_ms=tables.log_ms,
        reason="ordered",
        operator=cmd.operator,
        barred=_list_barred(known, cmd.version),
    )
    if _list_versions(tables, cmd.service) == {cmd.version}:
        row.stage = control_pb2.ROLLOUT_COMPLETED
        row.reason = "every server has this version already"
    _put(tables, row, index)
    return control_pb2.CommandResult(status=OK, version=tables.version)


def _list_barred(
    known: control_pb2.RolloutRecord | None, ordered: str
) -> list[str]:
    """Returns the versions that get no requests once another is ordered."""
    if known is None:
        return []
    barred = list(known.barred)
    if known.stage == control_pb2.ROLLOUT_ROLLED_BACK:
        barred.append(known.version)
    return [version for version in barred if version != ordered][-MAX_BARRED:]


def _list_versions(tables: tables_lib.Tables, service: str) -> set[str]:
    """Returns the versions of a service's servers that have not ended."""
    return {
        instance.software
        for instance in tables.instances()
        if instance.service == service and instance.state != incarnations.GONE
    }


def _is_repeated(
    tables: tables_lib.Tables,
    known: control_pb2.RolloutRecord,
    cmd: control_pb2.StartRollout,
) -> bool:
    """Returns whether an order is one that was accepted before."""
    if known.version != cmd.version:
        return False
    if known.stage == control_pb2.ROLLOUT_COMPLETED:
        return True
    if known.duration_ms != cmd.duration_ms:
        return False
    return is_running(known) or (
        tables.log_ms - known.ordered_log_ms < RESEND_MS
    )


def move(
    tables: tables_lib.Tables, cmd: control_pb2.MoveRollout, index: int
) -> control_pb2.CommandResult:
    """Moves a roll-out on from the step that the command names."""
    known = find(tables, cmd.service)
    if (
        known is None
        or not is_running(known)
        or (known.order, known.step) != (cmd.order, cmd.from_step)
    ):
        return control_pb2.CommandResult(
            status=CONFLICT, message="the roll-out has moved on"
        )
    _move(tables, known, cmd.stage, cmd.share_ppm, cmd.reason, index)
    return control_pb2.CommandResult(status=OK, version=tables.version)


def withdraw(
    tables: tables_lib.Tables, cmd: control_pb2.WithdrawRollout, index: int
) -> control_pb2.CommandResult:
    """Rolls back a roll-out that runs."""
    known = find(tables, cmd.service)
    if known is None:
        return control_pb2.CommandResult(
            status=REFUSED, message=f"{cmd.service} has no roll-out"
        )
    if known.stage == control_pb2.ROLLOUT_COMPLETED:
        return control_pb2.CommandResult(
            status=REFUSED,
            message=(
                f"the roll-out of {cmd.service} to {known.version} is "
                "completed; order one to the earlier version"
            ),
        )
    if is_running(known):
        _move(
            tables,
            known,
            control_pb2.ROLLOUT_ROLLED_BACK,
            0,
            f"withdrawn by {cmd.operator}",
            index,
        )
    return control_pb2.CommandResult(status=OK, version=tables.version)


def _move(
    tables: tables_lib.Tables,
    known: control_pb2.RolloutRecord,
    stage: control_pb2.RolloutStage,
    share_ppm: int,
    reason: str,
    index: int,
) -> None:
    row = control_pb2.RolloutRecord()
    row.CopyFrom(known)
    row.stage = stage
    row.share_ppm = share_ppm
    row.step += 1
    row.step_log_ms = tables.log_ms
    row.reason = reason
    _put(tables, row, index)
    if stage == control_pb2.ROLLOUT_COMPLETED:
        _end_earlier_versions(tables, row, index)


def _end_earlier_versions(
    tables: tables_lib.Tables, row: control_pb2.RolloutRecord, index: int
) -> None:
    """Marks the instances of other versions as gone: they stop now."""
    for instance in tables.instances():
        if (
            instance.service == row.service
            and instance.software != row.version
            and instance.state != incarnations.GONE
        ):
            instances.record_end(tables, instance, False, index)


def _put(
    tables: tables_lib.Tables, row: control_pb2.RolloutRecord, index: int
) -> None:
    tables.put(tables_lib.rollout_key(row.service), index, rollout=row)
