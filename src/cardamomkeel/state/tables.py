"""The rows of the replicated state, in the order of their last change."""

import collections

from cardamomkeel.policy import incarnations
from cardamomkeel.state import change_results
from cardamomkeel.state import claims_table
from cardamomkeel.state import keys
from cardamomkeel.state import settings_rows
from cardamomkeel.wire import control_pb2

# Deleted rows that are listed. An entry that lacks older deletions gets all
# rows.
MAX_DELETED_ROWS = 2000
# Prefixes of rows that entries have to receive at once: a request that crashes
# backend servers is resent immediately, and a target that is taken out of
# service receives requests until the entries have its row. A bad version gets
# requests until the entries know that it is rolled back.
URGENT_ROWS = (
    "quarantine/",
    "out/",
    "routes",
    "instance/",
    "crash/",
    "rollout/",
)


def entry_key(session: int) -> str:
    """Returns the key of the row of an entry's session."""
    return f"entry/{session}"


def target_key(address: str) -> str:
    """Returns the key of the row of a target."""
    return f"target/{address}"


def out_key(data_centre: str, address: str) -> str:
    """Returns the key of the row of an object taken out of service."""
    return f"out/{data_centre}/{address}"


def instance_key(address: str) -> str:
    """Returns the key of the row of the instance at an address."""
    return f"instance/{address}"


def crash_key(fingerprint: bytes) -> str:
    """Returns the key of the row of a request that crashes targets."""
    return f"crash/{fingerprint.hex()}"


def quarantine_key(fingerprint: bytes) -> str:
    """Returns the key of the row of a request that breaks connections."""
    return f"quarantine/{fingerprint.hex()}"


def rollout_key(service: str) -> str:
    """Returns the key of the row of a service's newest roll-out."""
    return f"rollout/{service}"


def _is_urgent(record: control_pb2.Record) -> bool:
    """Returns whether entries have to receive a row at once.

    The row of a ready, warm instance can wait: when all backend servers
    start together, each row would be sent to every entry separately.
    """
    if not record.key.startswith(URGENT_ROWS):
        return False
    if record.deleted or record.WhichOneof("body") != "instance":
        return True
    instance = record.instance
    return instance.state != incarnations.READY or instance.cold_ms > 0


class Tables:
    """All rows, in the order of their last change.

    Attributes:
        log_ms: The log's own clock, in milliseconds.
        revision: The revision of the configuration in force.
        version: The index of the newest log entry that changed a row.
        urgent_version: The index of the newest log entry that changed a row
            that entries have to receive at once.
        purged_version: Rows deleted up to this version are no longer listed.
        settings: The settings text; entries read the rows made from it.
        claims: Claims of non-idempotent requests, by service and key.
        changes: Results of changes by operators, by change id.
    """

    def __init__(self):
        self.log_ms = 0
        self.revision = 0
        self.version = 0
        self.urgent_version = 0
        self.purged_version = 0
        self.settings = control_pb2.SettingsRecord()
        self._rows: collections.OrderedDict[str, control_pb2.Record] = (
            collections.OrderedDict()
        )
        # The rows by kind, in the same order and without deleted rows, so that
        # a command that reads one kind doesn't scan all rows.
        self._by_kind: dict[str, dict[str, control_pb2.Record]] = {}
        # The keys of the rows of each instance id, without deleted rows.
        self._keys_by_instance: dict[str, set[str]] = {}
        self._deleted: collections.deque[str] = collections.deque()
        self.claims = claims_table.ClaimsTable()
        self.changes = change_results.ChangeResults()

    def get(self, key: str) -> control_pb2.Record | None:
        """Returns the row with a key; None if it is deleted or missing."""
        record = self._rows.get(key)
        return None if record is None or record.deleted else record

    def rows(self, body: str) -> list[control_pb2.Record]:
        """Returns the rows of one kind that are not deleted.

        Args:
            body: The kind, such as `target`.
        """
        return list(self._by_kind.get(body, {}).values())

    def targets(self) -> list[control_pb2.TargetRecord]:
        """Returns the rows of all targets."""
        return [record.target for record in self.rows("target")]

    def entries(self) -> list[control_pb2.EntryRecord]:
        """Returns the rows of all sessions of entries."""
        return [record.entry for record in self.rows("entry")]

    def instances(self) -> list[control_pb2.InstanceRecord]:
        """Returns the rows of all instances."""
        return [record.instance for record in self.rows("instance")]

    def instances_by_id(
        self, instance: str
    ) -> list[control_pb2.InstanceRecord]:
        """Returns the rows of an instance at all its addresses."""
        row_keys = sorted(self._keys_by_instance.get(instance, ()))
        return [self._rows[key].instance for key in row_keys]

    def routes(self) -> control_pb2.RoutesRecord:
        """Returns the routes in force; their number is 0 if there are none."""
        record = self.get(keys.ROUTES_KEY)
        return control_pb2.RoutesRecord() if record is None else record.routes

    def routes_source(self) -> control_pb2.RoutesSource:
        """Returns the source text of the routes; number 0 if there are none."""
        record = self.get(keys.ROUTES_SOURCE_KEY)
        if record is None:
            return control_pb2.RoutesSource()
        return record.routes_source

    def sessions(self) -> list[int]:
        """Returns the session ids of all entries."""
        return [entry.session for entry in self.entries()]

    def outs(self) -> list[control_pb2.OutRecord]:
        """Returns the rows of all objects taken out of service."""
        return [record.out for record in self.rows("out")]

    def rollouts(self) -> list[control_pb2.RolloutRecord]:
        """Returns the newest roll-out of each service that had one."""
        return [record.rollout for record in self.rows("rollout")]

    def services(self) -> list[control_pb2.ServiceSettings]:
        """Returns the settings of each service."""
        return [record.service for record in self.rows("service")]

    def longest_deadlines(self) -> dict[str, int]:
        """Returns the longest deadline of each service, in milliseconds."""
        return {row.name: row.longest_deadline_ms for row in self.services()}

    def read(self, prefix: str) -> list[control_pb2.Record]:
        """Returns the rows that are not deleted and whose keys have a prefix.

        The settings text is included if its key has the prefix too. Without a
        prefix, the rows made from the settings text are excluded.
        """
        text_key = keys.SETTINGS_KEY
        rows = []
        if text_key.startswith(prefix) and self.settings.revision:
            rows.append(
                control_pb2.Record(key=text_key, settings=self.settings)
            )
        return rows if prefix == text_key else rows + self._list_rows(prefix)

    def _list_rows(self, prefix: str) -> list[control_pb2.Record]:
        derived_prefixes = (keys.SERVICE_PREFIX, keys.COMMON_KEY)
        excluded = () if prefix else derived_prefixes
        return [
            record
            for key, record in self._rows.items()
            if key.startswith(prefix)
            and not key.startswith(excluded)
            and not record.deleted
        ]

    def put(self, key: str, index: int, **body) -> None:
        """Writes a row at a log index; the only keyword is its body."""
        self._write(control_pb2.Record(key=key, version=index, **body))

    def _write(self, record: control_pb2.Record) -> None:
        self._remove_from_index(record.key)
        self._rows[record.key] = record
        self._rows.move_to_end(record.key)
        self._add_to_index(record)
        self.version = record.version
        if _is_urgent(record):
            self.urgent_version = record.version

    def _add_to_index(self, record: control_pb2.Record) -> None:
        if record.deleted:
            return
        kind = record.WhichOneof("body")
        self._by_kind.setdefault(kind, {})[record.key] = record
        if kind == "instance":
            name = record.instance.instance
            self._keys_by_instance.setdefault(name, set()).add(record.key)

    def _remove_from_index(self, key: str) -> None:
        record = self.get(key)
        if record is None:
            return
        kind = record.WhichOneof("body")
        del self._by_kind[kind][key]
        if kind == "instance":
            row_keys = self._keys_by_instance[record.instance.instance]
            row_keys.discard(key)
            if not row_keys:
                del self._keys_by_instance[record.instance.instance]

    def get_deleted(self, key: str) -> control_pb2.Record | None:
        """Returns the retained part of a deleted row, or None."""
        record = self._rows.get(key)
        return record if record is not None and record.deleted else None

    def delete(self, key: str, index: int, **retained) -> None:
        """Deletes a row at a log index; keywords are the fields to retain."""
        if self.get(key) is None:
            return
        self._write(
            control_pb2.Record(key=key, version=index, deleted=True, **retained)
        )
        self._deleted.append(key)
        while len(self._deleted) > MAX_DELETED_ROWS:
            self._purge_deleted(self._deleted.popleft())

    def _purge_deleted(self, key: str) -> None:
        record = self._rows.get(key)
        if record is not None and record.deleted:
            self.purged_version = max(self.purged_version, record.version)
            del self._rows[key]

    def changed_since(
        self, version: int
    ) -> tuple[bool, list[control_pb2.Record]]:
        """Returns the rows that changed after a version, oldest first.

        The first item is True if the rows are the complete state. That is
        the case for version 0, and if rows deleted after that version are
        no longer listed.
        """
        if version == 0 or version < self.purged_version:
            remaining = [
                record
                for key, record in self._rows.items()
                if not record.deleted and key != keys.ROUTES_SOURCE_KEY
            ]
            return True, remaining
        changed = []
        for record in reversed(self._rows.values()):
            if record.version <= version:
                break
            if record.key != keys.ROUTES_SOURCE_KEY:
                changed.append(record)
        changed.reverse()
        return False, changed

    def save(self, state: control_pb2.State | None = None) -> control_pb2.State:
        """Writes all rows to a message and returns it.

        Args:
            state: The message to write to, to save a copy; None for a new
                one.
        """
        state = control_pb2.State() if state is None else state
        state.log_ms = self.log_ms
        state.revision = self.revision
        state.version = self.version
        state.floor = self.purged_version
        state.records.extend(self._rows.values())
        state.claim_rows.extend(self.claims.rows())
        state.changes.extend(self.changes.save())
        state.settings.CopyFrom(self.settings)
        return state

    def load(self, state: control_pb2.State) -> None:
        """Replaces all rows by those of a message, which is not changed."""
        copied = control_pb2.State()
        copied.CopyFrom(state)
        settings_rows.upgrade(copied)
        state = copied
        self.log_ms = state.log_ms
        self.revision = state.revision
        self.version = state.version
        self.purged_version = state.floor
        self._rows = collections.OrderedDict(
            (record.key, record) for record in state.records
        )
        self._by_kind, self._keys_by_instance = {}, {}
        for record in self._rows.values():
            self._add_to_index(record)
        self._deleted = collections.deque(
            record.key for record in state.records if record.deleted
        )
        self.claims = claims_table.ClaimsTable()
        for claim in state.claims:
            self.claims.put(claim)
        for row in state.claim_rows:
            self.claims.load(row)
        self.changes.load(state.changes)
        self.settings = state.settings
