"""Operators' command that replaces the routes."""

from cardamomkeel.state import keys
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2


def apply(
    tables: tables_lib.Tables, cmd: control_pb2.ApplyRoutes, index: int
) -> control_pb2.CommandResult:
    """Replaces the routes by ones that are based on the current ones.

    A resend of an accepted command gets the same result, even if other routes
    were accepted after it.
    """
    change_id = f"routes/{cmd.number}/{cmd.fingerprint.hex()}"
    earlier = tables.changes.find(change_id, cmd.fingerprint)
    if earlier is not None:
        return earlier
    current = tables.routes().number
    if cmd.base_number != current:
        return control_pb2.CommandResult(
            status=control_pb2.STATUS_CONFLICT,
            revision=current,
            message=(
                f"number {current} is in force, not {cmd.base_number}; build "
                "on that one"
            ),
        )
    if cmd.number <= current:
        return control_pb2.CommandResult(
            status=control_pb2.STATUS_REFUSED,
            revision=current,
            message=(
                f"number {cmd.number} is not above {current}, which is in "
                "force; use a higher one"
            ),
        )
    tables.put(
        keys.ROUTES_KEY,
        index,
        routes=control_pb2.RoutesRecord(
            number=cmd.number,
            document=cmd.document,
            fingerprint=cmd.fingerprint,
        ),
    )
    tables.put(
        keys.ROUTES_SOURCE_KEY,
        index,
        routes_source=control_pb2.RoutesSource(
            number=cmd.number, source=cmd.source
        ),
    )
    accepted = control_pb2.CommandResult(
        status=control_pb2.STATUS_OK,
        revision=cmd.number,
        version=tables.version,
    )
    tables.changes.put(change_id, cmd.fingerprint, accepted)
    return accepted
