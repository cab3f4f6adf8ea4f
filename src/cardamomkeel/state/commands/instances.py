"""Commands about backend servers that every entry may send to."""

from cardamomkeel.policy import incarnations
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# For how long a farewell is kept; announcements are not late for longer.
KEEP_GONE_MS = 120_000


def find(
    tables: tables_lib.Tables, address: str
) -> control_pb2.InstanceRecord | None:
    """Returns what is known at an address, or None."""
    record = tables.get(tables_lib.instance_key(address))
    return None if record is None else record.instance


def seen(
    tables: tables_lib.Tables, cmd: control_pb2.InstancesSeen, index: int
) -> control_pb2.CommandResult:
    """Writes down what backend servers announced of themselves."""
    for told in cmd.instances:
        known = find(tables, told.address)
        if not incarnations.is_newer(known, told):
            continue
        if known is None:
            _forget_elsewhere(tables, told, index)
        row = incarnations.merge(known, told, tables.log_ms)
        key = tables_lib.instance_key(told.address)
        tables.put(key, index, instance=row)
    return control_pb2.CommandResult(
        status=control_pb2.STATUS_OK, version=tables.version
    )


def _forget_elsewhere(
    tables: tables_lib.Tables, told: control_pb2.InstanceRecord, index: int
) -> None:
    """Drops an earlier start of the same server at another address."""
    for row in tables.instances_by_id(told.instance):
        if row.born_ms < told.born_ms:
            tables.delete(tables_lib.instance_key(row.address), index)


def gone(
    tables: tables_lib.Tables, cmd: control_pb2.InstancesGone, index: int
) -> control_pb2.CommandResult:
    """Notes backend servers that said farewell, or forgets silent ones."""
    for name in cmd.instances:
        for row in tables.instances_by_id(name.instance):
            if name.born_ms and row.born_ms != name.born_ms:
                continue
            _end(tables, row, cmd.silent, index)
    return control_pb2.CommandResult(
        status=control_pb2.STATUS_OK, version=tables.version
    )


def _end(
    tables: tables_lib.Tables,
    row: control_pb2.InstanceRecord,
    silent: bool,
    index: int,
) -> None:
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
    """Drops farewells that are old enough."""
    for row in tables.instances():
        old = row.cold_until_log_ms + KEEP_GONE_MS < tables.log_ms
        if row.state == incarnations.GONE and old:
            tables.delete(tables_lib.instance_key(row.address), index)
