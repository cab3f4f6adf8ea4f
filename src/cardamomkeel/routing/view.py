"""An entry's copy of the replicated state."""

import dataclasses
import typing

import loguru
from returns import result

from cardamomkeel.policy import outs
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import table as table_lib
from cardamomkeel.settings import reader
from cardamomkeel.settings import services as services_lib
from cardamomkeel.state import settings_rows
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

NO_MEASURING = "{}"

logger = loguru.logger


@dataclasses.dataclass
class View:
    """The rows that an entry follows.

    Attributes:
        version: The version of the state that the rows show.
        revision: The revision of the settings text.
        services: What the settings text says of each service.
        measuring: What measuring load may cost.
        changes: How many replies have changed the rows.
        table: The routes in force.
        instances: What announced itself, by address.
        crashes: How many targets a request has crashed, by fingerprint.
        log_ms: The log's clock when the newest rows were sent.
    """

    version: int = 0
    revision: int = 0
    services: dict[str, services_lib.Service] = dataclasses.field(
        default_factory=dict
    )
    measuring: services_lib.Measuring = services_lib.Measuring()
    changes: int = 0
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
    _by_service: dict[str, list[control_pb2.TargetRecord]] = dataclasses.field(
        default_factory=dict
    )
    _usable: dict[str, list[control_pb2.TargetRecord]] = dataclasses.field(
        default_factory=dict
    )

    def take(self, reply: control_pb2.FollowReply) -> None:
        """Takes the changed rows of a reply over."""
        if reply.whole:
            self.services.clear()
            self.targets.clear()
            self.entries.clear()
            self.outs.clear()
            self.quarantines.clear()
            self.instances.clear()
            self.crashes.clear()
        if reply.records:
            self.log_ms = reply.log_ms
        for record in reply.records:
            self._take_record(record)
        self.version = reply.version
        if reply.records or reply.whole:
            self._index_targets()
            self.changes += 1

    def _take_record(self, record: control_pb2.Record) -> None:
        kind, _, name = record.key.partition("/")
        if record.key == settings_rows.COMMON_KEY:
            self._take_common(record.common)
        elif kind == "service":
            self._take_service(name, record)
        elif kind == "target":
            _set(self.targets, name, record.deleted, record.target)
        elif kind == "entry":
            _set(self.entries, int(name), record.deleted, record.entry)
        elif kind == "out":
            _set(self.outs, name, record.deleted, record.out)
        elif kind == "instance":
            _set(self.instances, name, record.deleted, record.instance)
        elif kind == "crash":
            _set(
                self.crashes,
                bytes.fromhex(name),
                record.deleted,
                len(record.crash.targets),
            )
        elif record.key == tables_lib.ROUTES_KEY:
            self._take_routes(record.routes)
        elif kind == "quarantine":
            _set(
                self.quarantines,
                bytes.fromhex(name),
                record.deleted,
                record.quarantine,
            )

    def _take_common(self, common: control_pb2.CommonSettings) -> None:
        measuring = reader.parse_json(
            common.measuring or NO_MEASURING,
            services_lib.Measuring,
            "measuring in force",
        )
        self.measuring = _or_before(measuring, self.measuring)
        self.revision = common.revision

    def _take_routes(self, routes: control_pb2.RoutesRecord) -> None:
        # Routes never go back, whichever control VM the rows came from.
        if routes.number <= self.table.number:
            return
        parsed = reader.parse_json(
            routes.document.decode(),
            document_lib.RoutesDocument,
            f"routes number {routes.number}",
        )
        document = _or_before(parsed, None)
        if document is not None:
            self.table = table_lib.RouteTable(document, routes.number)
            logger.info("follows routes", number=routes.number)

    def _take_service(self, name: str, record: control_pb2.Record) -> None:
        if record.deleted:
            self.services.pop(name, None)
            return
        service = reader.parse_json(
            record.service.body,
            services_lib.Service,
            f"service {name} in force",
        )
        known = _or_before(service, self.services.get(name))
        if known is not None:
            self.services[name] = known

    def _index_targets(self) -> None:
        self._by_service = {}
        self._usable = {}
        for target in self.targets.values():
            self._by_service.setdefault(target.service, []).append(target)

    def get_service(self, name: str) -> services_lib.Service | None:
        """Returns what operators say of a service, or None."""
        return self.services.get(name)

    def get_targets_by_service(
        self, service: str
    ) -> list[control_pb2.TargetRecord]:
        """Returns the targets of a service, taken out or not."""
        return self._by_service.get(service, [])

    def get_usable_targets(
        self, service: str
    ) -> list[control_pb2.TargetRecord]:
        """Returns the targets of a service that may get new work."""
        usable = self._usable.get(service)
        if usable is None:
            targets = self.get_targets_by_service(service)
            usable = [t for t in targets if not self.is_out(t)]
            self._usable[service] = usable
        return usable

    def is_out(self, target: control_pb2.TargetRecord) -> bool:
        """Tells whether a target gets no new work."""
        return (
            target.state in outs.STATES_WITHOUT_WORK
            or self.is_data_centre_out(target.data_centre)
            or f"{target.data_centre}/{target.address}" in self.outs
            or f"/{target.address}" in self.outs
        )

    def is_data_centre_out(self, data_centre: str) -> bool:
        """Tells whether a data centre is taken out of service."""
        return f"{data_centre}/" in self.outs


def _or_before(parsed: result.Result, before: typing.Any) -> typing.Any:
    """Returns new settings; those before where this program can't read them."""
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    logger.error("keeps the settings before", reason=str(parsed.failure()))
    return before


def _set(rows: dict, key, deleted: bool, body) -> None:
    if deleted:
        rows.pop(key, None)
    else:
        rows[key] = body
