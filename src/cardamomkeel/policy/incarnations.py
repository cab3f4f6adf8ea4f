"""Which announcement of a backend server is newer than what is known.

Announcements are late, repeated and out of order. One start of a backend
server is told from another by when it was born; within one start the sequence
number tells which announcement is newer.
"""

from cardamomkeel.wire import control_pb2

READY = "ready"
DRAINING = "draining"
# It said farewell; kept so that a late announcement does not bring it back.
GONE = "gone"

# A cold start that ends this much later than known is news.
MIN_COLD_CHANGE_MS = 500


def is_same_incarnation(
    known: control_pb2.InstanceRecord, announced: control_pb2.InstanceRecord
) -> bool:
    """Tells whether two records are about one start of a server."""
    return (known.instance, known.born_ms) == (
        announced.instance,
        announced.born_ms,
    )


def is_newer(
    known: control_pb2.InstanceRecord | None,
    announced: control_pb2.InstanceRecord,
) -> bool:
    """Tells whether an announcement counts beside what is known."""
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
    # Neither says when it was born: an address has one holder at a time.
    return announced.instance != known.instance


def merge(
    known: control_pb2.InstanceRecord | None,
    announced: control_pb2.InstanceRecord,
    log_ms: int,
) -> control_pb2.InstanceRecord:
    """Returns the row that follows from a newer announcement."""
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
    """Tells whether a newer announcement says something that matters."""
    if known is None or not is_same_incarnation(known, announced):
        return True
    row = merge(known, announced, log_ms)
    if (row.state, row.slots, row.address, row.data_centre) != (
        known.state,
        known.slots,
        known.address,
        known.data_centre,
    ):
        return True
    later_ms = row.cold_until_log_ms - known.cold_until_log_ms
    return announced.cold_ms > 0 and later_ms > MIN_COLD_CHANGE_MS
