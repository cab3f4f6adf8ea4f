"""Commands about requests that crash backend servers."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# For this long a crash counts against a request that is resent.
CRASH_RETENTION_MS = 60_000
# Further targets would give no more information.
MAX_TARGETS = 8


def report(
    tables: tables_lib.Tables, cmd: control_pb2.ReportCrash, index: int
) -> control_pb2.CommandResult:
    """Records that a request crashed a target; idempotent."""
    key = tables_lib.crash_key(cmd.fingerprint)
    record = tables.get(key)
    row = control_pb2.CrashRecord(fingerprint=cmd.fingerprint)
    if record is not None:
        row.CopyFrom(record.crash)
    if cmd.target not in row.targets and len(row.targets) < MAX_TARGETS:
        row.targets.append(cmd.target)
        row.expires_log_ms = tables.log_ms + CRASH_RETENTION_MS
        tables.put(key, index, crash=row)
    return control_pb2.CommandResult(
        status=control_pb2.STATUS_OK, version=tables.version
    )


def sweep(tables: tables_lib.Tables, index: int) -> None:
    """Deletes expired crash rows."""
    for record in tables.rows("crash"):
        if record.crash.expires_log_ms < tables.log_ms:
            tables.delete(record.key, index)
