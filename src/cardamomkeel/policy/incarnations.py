"""Orders announcements of backend servers.

Announcements may be late, repeated and out of order. The start time (born_ms)
distinguishes incarnations of a backend server; the sequence number orders the
announcements of one incarnation.
"""

from cardamomkeel.wire import control_pb2

READY = "ready"
DRAINING = "draining"
# The server announced its exit. The row is kept so that a late announcement
# does not restore it.
GONE = "gone"

# A smaller change of the end of a cold start is not significant.
MIN_COLD_CHANGE_MS = 500


def is_same_incarnation(
    known: control_pb2.InstanceRecord, announced: control_pb2.InstanceRecord
) -> bool:
    """Returns whether two records are of one incarnation of a server."""
    return (known.instance, known.born_ms) == (
        announced.instance,
        announced.born_ms,
    )


def is_newer(
    known: control_pb2.InstanceRecord | None,
    announced: control_pb2.InstanceRecord,
) -> bool:
    """Returns whether an announcement is newer than the known record."""
    if known is None:
        return True
    if is_same_incarnation(known, announced):
        return (
            known.state != GONE
            and announced.sequence > known.sequence
            and announced.service == known.service
        )
    if announced.born_ms != known.born_ms:
        return announced.born_ms > known.born_ms
    # Equal start times don't order incarnations; as an address belongs to one
    # server at a time, another instance replaces the known one.
    return announced.instance != known.instance


def merge(
    known: control_pb2.InstanceRecord | None,
    announced: control_pb2.InstanceRecord,
    log_ms: int,
) -> control_pb2.InstanceRecord:
    """Returns the row to store for a newer announcement."""
    row = control_pb2.InstanceRecord()
    row.CopyFrom(announced)
    row.cold_until_log_ms = (
        log_ms + announced.cold_ms if announced.cold_ms else 0
    )
    drains = known is not None and known.state == DRAINING
    if drains and is_same_incarnation(known, announced):
        row.state = DRAINING
    return row


def is_significant_change(
    known: control_pb2.InstanceRecord | None,
    announced: control_pb2.InstanceRecord,
    log_ms: int,
) -> bool:
    """Returns whether a newer announcement changes the row significantly."""
    if known is None or not is_same_incarnation(known, announced):
        return True
    row = merge(known, announced, log_ms)
    if (
        row.state,
        row.slots,
        row.address,
        row.data_centre,
        row.software,
    ) != (
        known.state,
        known.slots,
        known.address,
        known.data_centre,
        known.software,
    ):
        return True
    later_ms = row.cold_until_log_ms - known.cold_until_log_ms
    return announced.cold_ms > 0 and later_ms > MIN_COLD_CHANGE_MS
