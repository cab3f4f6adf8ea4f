"""An entry's copy of the replicated state."""

import dataclasses

from returns import result

from cardamomkeel.policy import outs
from cardamomkeel.settings import reader
from cardamomkeel.settings import services
from cardamomkeel.state import tables
from cardamomkeel.wire import control_pb2

EMPTY_TEXT = services.ServicesText(services={})


@dataclasses.dataclass
class View:
    """The rows that an entry follows.

    Attributes:
        version: The version of the state that the rows show.
        revision: The revision of the settings text.
        text: The settings text.
    """

    version: int = 0
    revision: int = 0
    text: services.ServicesText = EMPTY_TEXT
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
    _by_service: dict[str, list[control_pb2.TargetRecord]] = dataclasses.field(
        default_factory=dict
    )

    def take(self, reply: control_pb2.FollowReply) -> None:
        """Takes the changed rows of a reply over."""
        if reply.whole:
            self.targets.clear()
            self.entries.clear()
            self.outs.clear()
            self.quarantines.clear()
        for record in reply.records:
            self._take_record(record)
        self.version = reply.version
        if reply.records:
            self._index_targets()

    def _take_record(self, record: control_pb2.Record) -> None:
        kind, _, name = record.key.partition("/")
        if record.key == tables.SETTINGS_KEY:
            self._take_settings(record.settings)
        elif kind == "target":
            _set(self.targets, name, record.deleted, record.target)
        elif kind == "entry":
            _set(self.entries, int(name), record.deleted, record.entry)
        elif kind == "out":
            _set(self.outs, name, record.deleted, record.out)
        elif kind == "quarantine":
            _set(
                self.quarantines,
                bytes.fromhex(name),
                record.deleted,
                record.quarantine,
            )

    def _take_settings(self, settings: control_pb2.SettingsRecord) -> None:
        parsed = reader.parse(
            settings.text, services.ServicesText, "settings in force"
        )
        if isinstance(parsed, result.Success):
            self.text = parsed.unwrap()
        self.revision = settings.revision

    def _index_targets(self) -> None:
        self._by_service = {}
        for target in self.targets.values():
            self._by_service.setdefault(target.service, []).append(target)

    def get_service(self, name: str) -> services.Service | None:
        """Returns what operators say of a service, or None."""
        return self.text.services.get(name)

    def get_targets_by_service(
        self, service: str
    ) -> list[control_pb2.TargetRecord]:
        """Returns the targets of a service, taken out or not."""
        return self._by_service.get(service, [])

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

    def is_quarantined(self, fingerprint: bytes) -> bool:
        """Tells whether a request is known to break backend servers."""
        row = self.quarantines.get(fingerprint)
        return row is not None and row.active


def _set(rows: dict, key, deleted: bool, body) -> None:
    if deleted:
        rows.pop(key, None)
    else:
        rows[key] = body
