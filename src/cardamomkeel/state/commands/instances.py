"""Commands about instances of backend servers that any entry may use."""

from cardamomkeel.policy import incarnations
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# For this long a stopped instance is kept, so that a delayed announcement does
# not revive it; announcements are never delayed longer.
GONE_RETENTION_MS = 120_000


def find(
    tables: tables_lib.Tables, address: str
) -> control_pb2.InstanceRecord | None:
    """Returns the instance at an address, or None."""
    record = tables.get(tables_lib.instance_key(address))
    return None if record is None else record.instance


def record_announcements(
    tables: tables_lib.Tables, cmd: control_pb2.InstancesSeen, index: int
) -> control_pb2.CommandResult:
    """Records the announcements of backend servers."""
    for announced in cmd.instances:
        existing = find(tables, announced.address)
        if not incarnations.is_newer(existing, announced):
            continue
        if existing is None:
            _delete_earlier_starts(tables, announced, index)
        row = incarnations.merge(existing, announced, tables.log_ms)
        key = tables_lib.instance_key(announced.address)
        tables.put(key, index, instance=row)
    return control_pb2.CommandResult(
        status=control_pb2.STATUS_OK, version=tables.version
    )


def _delete_earlier_starts(
    tables: tables_lib.Tables, announced: control_pb2.InstanceRecord, index: int
) -> None:
    """Deletes the rows of earlier starts of an instance at other addresses."""
    for row in tables.instances_by_id(announced.instance):
        if row.born_ms < announced.born_ms:
            tables.delete(tables_lib.instance_key(row.address), index)


def remove(
    tables: tables_lib.Tables, cmd: control_pb2.InstancesGone, index: int
) -> control_pb2.CommandResult:
    """Marks stopped instances as gone, or deletes unresponsive ones."""
    for removed in cmd.instances:
        for row in tables.instances_by_id(removed.instance):
            if removed.born_ms and row.born_ms != removed.born_ms:
                continue
            record_end(tables, row, cmd.silent, index)
    return control_pb2.CommandResult(
        status=control_pb2.STATUS_OK, version=tables.version
    )


def record_end(
    tables: tables_lib.Tables,
    row: control_pb2.InstanceRecord,
    silent: bool,
    index: int,
) -> None:
    """Marks an instance as gone, or deletes it if it fell silent."""
    key = tables_lib.instance_key(row.address)
    if silent:
        tables.delete(key, index)
        return
    if row.state == incarnations.GONE:
        return
    ended = control_pb2.InstanceRecord()
    ended.CopyFrom(row)
    ended.state = incarnations.GONE
    ended.cold_until_log_ms = tables.log_ms
    tables.put(key, index, instance=ended)


def sweep(tables: tables_lib.Tables, index: int) -> None:
    """Deletes stopped instances after their retention time."""
    for row in tables.instances():
        is_expired = row.cold_until_log_ms + GONE_RETENTION_MS < tables.log_ms
        if row.state == incarnations.GONE and is_expired:
            tables.delete(tables_lib.instance_key(row.address), index)
