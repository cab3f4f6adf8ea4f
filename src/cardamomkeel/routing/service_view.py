"""What an entry that owns targets follows besides: the settings of services."""

import dataclasses
import typing

import loguru
from returns import result

from cardamomkeel.routing import view
from cardamomkeel.settings import reader
from cardamomkeel.settings import services as services_lib
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2

NO_MEASURING = "{}"

logger = loguru.logger


@dataclasses.dataclass
class ServiceView(view.View):
    """The rows that an entry which owns targets follows.

    Attributes:
        revision: The revision of the settings text.
        services: What the settings text says of each service.
        measuring: What measuring load may cost.
    """

    revision: int = 0
    services: dict[str, services_lib.Service] = dataclasses.field(
        default_factory=dict
    )
    measuring: services_lib.Measuring = services_lib.Measuring()

    def get_service(self, name: str) -> services_lib.Service | None:
        """Returns what operators say of a service, or None."""
        return self.services.get(name)

    def _clear(self) -> None:
        super()._clear()
        self.services.clear()

    def _take_record(
        self, record: control_pb2.Record, kind: str, name: str
    ) -> None:
        if record.key == keys.COMMON_KEY:
            self._take_common(record.common)
        elif kind == "service":
            self._take_service(name, record)
        else:
            super()._take_record(record, kind, name)

    def _take_common(self, common: control_pb2.CommonSettings) -> None:
        measuring = reader.parse_json(
            common.measuring or NO_MEASURING,
            services_lib.Measuring,
            "measuring in force",
        )
        self.measuring = _or_before(measuring, self.measuring)
        self.revision = common.revision

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


def _or_before(parsed: result.Result, before: typing.Any) -> typing.Any:
    """Returns new settings; those before where this program can't read them."""
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    logger.error("keeps the settings before", reason=str(parsed.failure()))
    return before
