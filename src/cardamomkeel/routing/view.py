"""The copy of the replicated state that an entry keeps."""

import dataclasses

import loguru
from returns import result

from cardamomkeel import errors
from cardamomkeel import http_headers
from cardamomkeel.policy import out_of_service
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.routes import table as table_lib
from cardamomkeel.settings import addresses
from cardamomkeel.settings import structs
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2

logger = loguru.logger


@dataclasses.dataclass
class Changes:
    """The changes since the last call of View.pop_changes.

    Attributes:
        all_rows: Whether any row may have changed.
        instances: The addresses whose announcements have changed.
        entries: Whether a record of an entry has changed.
        outs: Whether servers or data centres were taken out of service or
            brought back.
        rollouts: Whether a roll-out has moved.
    """

    all_rows: bool = False
    instances: set[str] = dataclasses.field(default_factory=set)
    entries: bool = False
    outs: bool = False
    rollouts: bool = False


@dataclasses.dataclass
class View:
    """The rows of the replicated state that every entry needs.

    Attributes:
        version: The version of the state in the rows.
        edition: The number of replies that have changed the rows.
        table: The routes in force.
        instances: The announcements of instances, by address.
        crashes: The number of targets that a request crashed, by fingerprint.
        rollouts: The newest roll-out of each service.
        log_ms: The time on the clock of the log when the newest rows were sent.
    """

    version: int = 0
    edition: int = 0
    targets: dict[str, control_pb2.TargetRecord] = dataclasses.field(
        default_factory=dict
    )
    entries: dict[int, control_pb2.EntryRecord] = dataclasses.field(
        default_factory=dict
    )
    outs: dict[str, control_pb2.OutRecord] = dataclasses.field(
        default_factory=dict
    )
    quarantines: dict[bytes, control_pb2.QuarantineRecord] = dataclasses.field(
        default_factory=dict
    )
    table: table_lib.RouteTable = dataclasses.field(
        default_factory=lambda: table_lib.RouteTable(None, 0)
    )
    instances: dict[str, control_pb2.InstanceRecord] = dataclasses.field(
        default_factory=dict
    )
    log_ms: int = 0
    crashes: dict[bytes, int] = dataclasses.field(default_factory=dict)
    rollouts: dict[str, control_pb2.RolloutRecord] = dataclasses.field(
        default_factory=dict
    )
    # At first, every row counts as changed.
    _changes: Changes = dataclasses.field(
        default_factory=lambda: Changes(all_rows=True)
    )
    _by_service: dict[str, list[control_pb2.TargetRecord]] = dataclasses.field(
        default_factory=dict
    )
    _usable: dict[str, list[control_pb2.TargetRecord]] = dataclasses.field(
        default_factory=dict
    )

    def apply_reply(self, reply: control_pb2.FollowReply) -> None:
        """Applies the changed rows of a reply."""
        if reply.whole:
            self._clear()
        if reply.records:
            self.log_ms = reply.log_ms
        for record in reply.records:
            self._apply_readable_record(record)
        self.version = reply.version
        if reply.records or reply.whole:
            self._index_targets()
            self.edition += 1

    def pop_changes(self) -> Changes:
        """Returns the changes since the last call and clears them."""
        changes, self._changes = self._changes, Changes()
        return changes

    def _clear(self) -> None:
        self._changes.all_rows = True
        self.targets.clear()
        self.entries.clear()
        self.outs.clear()
        self.quarantines.clear()
        self.instances.clear()
        self.crashes.clear()
        self.rollouts.clear()

    def _apply_readable_record(self, record: control_pb2.Record) -> None:
        """Applies a record, or removes its row if it can't be read.

        The other rows stay usable if an earlier version or a damaged store has
        let an invalid one through.
        """
        kind, name = _split_key(record.key)
        try:
            if not record.deleted:
                _check_record(record, kind)
            self._apply_record(record, kind, name)
        except ValueError as exc:
            logger.error("ignored invalid row", key=record.key, reason=str(exc))
            self._remove_target_row(kind, name)

    def _remove_target_row(self, kind: str, name: str) -> None:
        if kind == "target":
            self.targets.pop(name, None)
        elif kind == "instance":
            self._changes.instances.add(name)
            self.instances.pop(name, None)

    def _apply_record(
        self, record: control_pb2.Record, kind: str, name: str
    ) -> None:
        if kind == "target":
            _apply_row(self.targets, name, record.deleted, record.target)
        elif kind == "entry":
            self._changes.entries = True
            _apply_row(self.entries, int(name), record.deleted, record.entry)
        elif kind == "out":
            self._changes.outs = True
            _apply_row(self.outs, name, record.deleted, record.out)
        elif kind == "instance":
            self._changes.instances.add(name)
            _apply_row(self.instances, name, record.deleted, record.instance)
        elif kind == "crash":
            _apply_row(
                self.crashes,
                bytes.fromhex(name),
                record.deleted,
                len(record.crash.targets),
            )
        elif kind == "rollout":
            self._changes.rollouts = True
            _apply_row(self.rollouts, name, record.deleted, record.rollout)
        elif record.key == keys.ROUTES_KEY:
            self._apply_routes(record.routes)
        elif kind == "quarantine":
            _apply_row(
                self.quarantines,
                bytes.fromhex(name),
                record.deleted,
                record.quarantine,
            )

    def _apply_routes(self, routes: control_pb2.RoutesRecord) -> None:
        # Rows from a control VM that lags must not restore older routes.
        if routes.number <= self.table.number:
            return
        parsed = _read_routes(routes)
        if not isinstance(parsed, result.Success):
            logger.error(
                "keeping previous routes",
                reason=str(parsed.failure()),
            )
            return
        self.table = table_lib.RouteTable(parsed.unwrap(), routes.number)
        logger.info("applied routes", number=routes.number)

    def _index_targets(self) -> None:
        self._by_service = {}
        self._usable = {}
        for target in self.targets.values():
            self._by_service.setdefault(target.service, []).append(target)

    def get_targets_by_service(
        self, service: str
    ) -> list[control_pb2.TargetRecord]:
        """Returns the targets of a service, also those out of service."""
        return self._by_service.get(service, [])

    def get_usable_targets(
        self, service: str
    ) -> list[control_pb2.TargetRecord]:
        """Returns the targets of a service that accept new work."""
        usable = self._usable.get(service)
        if usable is None:
            targets = self.get_targets_by_service(service)
            usable = [t for t in targets if not self.refuses_new_work(t)]
            self._usable[service] = usable
        return usable

    def refuses_new_work(self, target: control_pb2.TargetRecord) -> bool:
        """Returns whether a target must not be given new work."""
        return (
            target.state in out_of_service.STATES_WITHOUT_WORK
            or self.is_server_out_of_service(target.data_centre, target.address)
        )

    def is_server_out_of_service(self, data_centre: str, address: str) -> bool:
        """Returns whether a server or its data centre is out of service."""
        return (
            self.is_data_centre_out_of_service(data_centre)
            or f"{data_centre}/{address}" in self.outs
            or f"/{address}" in self.outs
        )

    def is_data_centre_out_of_service(self, data_centre: str) -> bool:
        """Returns whether a data centre is out of service."""
        return f"{data_centre}/" in self.outs


def _read_routes(
    routes: control_pb2.RoutesRecord,
) -> result.Result[document_lib.RoutesDocument, errors.Error]:
    source = f"routes number {routes.number}"
    try:
        text = packing.unpack(routes.document)
    except ValueError as exc:
        return result.Failure(
            errors.StorageError(
                f"{source}: {exc}", "have the operator send them again"
            )
        )
    return structs.decode(text, document_lib.RoutesDocument, source)


def _check_record(record: control_pb2.Record, kind: str) -> None:
    """Raises ValueError if a record names a target that can't be used."""
    if kind == "target":
        addresses.check_peer(record.target.address)
    elif kind == "instance":
        addresses.check_peer(record.instance.address)
        http_headers.check_id(record.instance.instance)


def _split_key(key: str) -> tuple[str, str]:
    kind, _, name = key.partition("/")
    return kind, name


def _apply_row(rows: dict, key, deleted: bool, body) -> None:
    if deleted:
        rows.pop(key, None)
    else:
        rows[key] = body
