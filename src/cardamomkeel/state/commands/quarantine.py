"""Commands about requests that break the connections of backend servers."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK

# A request that broke the connections of this many targets is refused.
BREAKS_TO_QUARANTINE = 2
SUSPECT_MS = 10 * 60 * 1000
QUARANTINE_MS = 60 * 60 * 1000


def report_break(
    tables: tables_lib.Tables, cmd: control_pb2.ReportBreak, index: int
) -> control_pb2.CommandResult:
    """Counts a target whose connection a request broke."""
    key = tables_lib.quarantine_key(cmd.fingerprint)
    record = tables.get(key)
    row = control_pb2.QuarantineRecord(
        fingerprint=cmd.fingerprint, service=cmd.service
    )
    if record is not None:
        row.CopyFrom(record.quarantine)
    if cmd.target not in row.targets:
        row.targets.append(cmd.target)
    row.active = len(row.targets) >= BREAKS_TO_QUARANTINE
    keep_ms = QUARANTINE_MS if row.active else SUSPECT_MS
    row.expires_log_ms = tables.log_ms + keep_ms
    tables.put(key, index, quarantine=row)
    return control_pb2.CommandResult(status=OK, version=index)


def sweep(tables: tables_lib.Tables, index: int) -> None:
    """Forgets requests whose time has passed."""
    for record in tables.rows("quarantine"):
        if record.quarantine.expires_log_ms <= tables.log_ms:
            tables.delete(record.key, index)
