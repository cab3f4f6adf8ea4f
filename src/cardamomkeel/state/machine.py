"""Applies committed commands to the replicated state."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import claims
from cardamomkeel.state.commands import crashes
from cardamomkeel.state.commands import entries
from cardamomkeel.state.commands import instances
from cardamomkeel.state.commands import out_of_service
from cardamomkeel.state.commands import quarantine
from cardamomkeel.state.commands import rollouts
from cardamomkeel.state.commands import routes
from cardamomkeel.state.commands import settings
from cardamomkeel.state.commands import targets
from cardamomkeel.wire import control_pb2


def _sweep(
    tables: tables_lib.Tables, cmd: control_pb2.Sweep, index: int
) -> control_pb2.CommandResult:
    claims.sweep(tables)
    quarantine.sweep(tables, index)
    instances.sweep(tables, index)
    crashes.sweep(tables, index)
    return control_pb2.CommandResult(status=control_pb2.STATUS_OK)


# The handler of each kind of command, by its field name in `Command`.
HANDLERS = {
    "change_settings": settings.change,
    "take_out": out_of_service.take_out,
    "bring_back": out_of_service.bring_back,
    "entry_join": entries.join,
    "entry_expire": entries.expire,
    "entry_leave": entries.leave,
    "target_seen": targets.record_announcement,
    "target_gone": targets.remove,
    "assign_owners": targets.assign,
    "release_targets": targets.release,
    "claim": claims.claim,
    "settle": claims.settle,
    "report_break": quarantine.report_break,
    "begin_probe": quarantine.begin_probe,
    "end_probe": quarantine.end_probe,
    "resolve": claims.resolve,
    "apply_routes": routes.apply,
    "instances_seen": instances.record_announcements,
    "instances_gone": instances.remove,
    "report_crash": crashes.report,
    "start_rollout": rollouts.start,
    "move_rollout": rollouts.move,
    "withdraw_rollout": rollouts.withdraw,
    "sweep": _sweep,
}


def apply(
    tables: tables_lib.Tables, command: control_pb2.Command, index: int
) -> control_pb2.CommandResult:
    """Applies one committed command and returns its result."""
    tables.log_ms = max(tables.log_ms, command.log_ms)
    kind = command.WhichOneof("kind")
    handler = HANDLERS.get(kind)
    if handler is None:
        return control_pb2.CommandResult(
            status=control_pb2.STATUS_REFUSED,
            message=f"unknown command {kind}",
        )
    return handler(tables, getattr(command, kind), index)
