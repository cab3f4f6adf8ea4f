"""Commands about requests that break the connections of backend servers.

A request whose connection broke is a suspect: only one entry at a time may run
it, as a probe. An answered probe clears the suspicion. If a probe also breaks
its connection, and the request has now broken connections of two targets or two
probes, the request goes into quarantine. If none of these targets was lost or
restarted as another instance, the network broke the connections, and the
quarantine ends early.
"""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK

# How long a broken connection counts against a request: callers that get the
# outcome `unknown` resend within minutes.
SUSPECT_MS = 10 * 60 * 1000
# How long a request in quarantine is refused, unless an operator lifts it.
QUARANTINE_MS = 60 * 60 * 1000
# How long an entry may take for a probe before another entry may start one.
# Longer than the longest deadline of a request.
PROBE_MS = 15 * 1000
# Number of broken probes after which a request is in quarantine, even if all
# were sent to one target.
BROKEN_PROBES_TO_QUARANTINE = 2
# When a quarantine ends if none of its targets was lost or restarted. By then a
# crashed backend server was removed or has announced a new instance.
CONFIRM_MS = 30 * 1000
# A broken probe puts a request into quarantine if the request has broken
# connections of this many targets, that of the probe included.
TARGETS_TO_QUARANTINE = 2
# Targets that the row of a request lists.
MAX_TARGETS_NAMED = 4
# From this number of rows on, a new suspect replaces the oldest one.
MAX_SUSPECTS = 1000


def _copy_row(
    tables: tables_lib.Tables, fingerprint: bytes
) -> control_pb2.QuarantineRecord | None:
    """Returns a copy of the row of a request, or None."""
    record = tables.get(tables_lib.quarantine_key(fingerprint))
    if record is None:
        return None
    row = control_pb2.QuarantineRecord()
    row.CopyFrom(record.quarantine)
    return row


def _put(
    tables: tables_lib.Tables, row: control_pb2.QuarantineRecord, index: int
) -> None:
    key = tables_lib.quarantine_key(row.fingerprint)
    tables.put(key, index, quarantine=row)


def report_break(
    tables: tables_lib.Tables, cmd: control_pb2.ReportBreak, index: int
) -> control_pb2.CommandResult:
    """Records that a request broke the connection of a target."""
    row = _copy_row(tables, cmd.fingerprint)
    if row is None:
        _drop_oldest_suspect(tables, index)
        row = control_pb2.QuarantineRecord(
            fingerprint=cmd.fingerprint, service=cmd.service
        )
    if cmd.probe_token and cmd.probe_token == row.probe_token:
        _record_broken_probe(tables, row, cmd.target)
    if cmd.target not in row.targets and len(row.targets) < MAX_TARGETS_NAMED:
        row.targets.append(cmd.target)
    retention_ms = QUARANTINE_MS if row.active else SUSPECT_MS
    row.expires_log_ms = tables.log_ms + retention_ms
    _put(tables, row, index)
    return control_pb2.CommandResult(
        status=OK, version=index, quarantined=row.active
    )


def _record_broken_probe(
    tables: tables_lib.Tables,
    row: control_pb2.QuarantineRecord,
    target: str,
) -> None:
    row.probe_token = ""
    row.probe_breaks += 1
    has_enough_breaks = row.probe_breaks >= BROKEN_PROBES_TO_QUARANTINE
    if (
        has_enough_breaks
        or len({target, *row.targets}) >= TARGETS_TO_QUARANTINE
    ):
        row.active = True
        row.active_since_log_ms = tables.log_ms


def _is_lost_or_restarted(tables: tables_lib.Tables, target: str) -> bool:
    """Returns whether a target was removed or is now another instance."""
    address, _, instance = target.partition("#")
    record = tables.get(tables_lib.target_key(address))
    return record is None or record.target.instance != instance


def _check_in_force(
    tables: tables_lib.Tables, row: control_pb2.QuarantineRecord, index: int
) -> bool:
    """Returns whether a quarantine stays in force.

    Confirms it if a target was lost, and deletes it if none was lost in time.
    """
    if row.confirmed:
        return True
    row.confirmed = any(
        _is_lost_or_restarted(tables, target) for target in row.targets
    )
    if row.confirmed:
        _put(tables, row, index)
        return True
    if tables.log_ms < row.active_since_log_ms + CONFIRM_MS:
        return True
    tables.delete(tables_lib.quarantine_key(row.fingerprint), index)
    return False


def _drop_oldest_suspect(tables: tables_lib.Tables, index: int) -> None:
    rows = tables.rows("quarantine")
    if len(rows) < MAX_SUSPECTS:
        return
    suspects = [record for record in rows if not record.quarantine.active]
    for record in suspects[:1]:
        tables.delete(record.key, index)


def begin_probe(
    tables: tables_lib.Tables, cmd: control_pb2.BeginProbe, index: int
) -> control_pb2.CommandResult:
    """Grants one entry the run of a suspect request, as a probe."""
    row = _copy_row(tables, cmd.fingerprint)
    if row is None:
        return control_pb2.CommandResult(status=OK, probe_granted=True)
    if row.active:
        is_in_force = _check_in_force(tables, row, index)
        return control_pb2.CommandResult(
            status=OK, quarantined=is_in_force, probe_granted=not is_in_force
        )
    if row.probe_token == cmd.token:
        return control_pb2.CommandResult(status=OK, probe_granted=True)
    if row.probe_token and tables.log_ms < row.probe_until_log_ms:
        return control_pb2.CommandResult(status=OK)
    row.probe_token = cmd.token
    row.probe_until_log_ms = tables.log_ms + PROBE_MS
    _put(tables, row, index)
    return control_pb2.CommandResult(status=OK, probe_granted=True)


def end_probe(
    tables: tables_lib.Tables, cmd: control_pb2.EndProbe, index: int
) -> control_pb2.CommandResult:
    """Ends a probe that broke no connection."""
    row = _copy_row(tables, cmd.fingerprint)
    if row is None or row.active or row.probe_token != cmd.token:
        return control_pb2.CommandResult(status=OK)
    if cmd.answered:
        tables.delete(tables_lib.quarantine_key(cmd.fingerprint), index)
    else:
        row.probe_token = ""
        _put(tables, row, index)
    return control_pb2.CommandResult(status=OK, version=index)


def sweep(tables: tables_lib.Tables, index: int) -> None:
    """Deletes expired suspects and quarantines."""
    for record in tables.rows("quarantine"):
        if record.quarantine.expires_log_ms <= tables.log_ms:
            tables.delete(record.key, index)
