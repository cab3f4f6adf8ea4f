"""The view of an entry that owns targets: adds the settings of services."""

import dataclasses
import typing

import loguru
from returns import result

from cardamomkeel.routing import view
from cardamomkeel.settings import reader
from cardamomkeel.settings import services as services_lib
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2

EMPTY_MEASURING = "{}"

logger = loguru.logger


@dataclasses.dataclass
class ServiceView(view.View):
    """A view that includes the settings of services.

    Attributes:
        revision: The revision of the settings text.
        services: The settings of each service, by name.
        measuring: The limits on the cost of measuring load.
    """

    revision: int = 0
    services: dict[str, services_lib.Service] = dataclasses.field(
        default_factory=dict
    )
    measuring: services_lib.Measuring = services_lib.Measuring()

    def get_service(self, name: str) -> services_lib.Service | None:
        """Returns the settings of a service, or None."""
        return self.services.get(name)

    def _clear(self) -> None:
        super()._clear()
        self.services.clear()

    def _apply_record(
        self, record: control_pb2.Record, kind: str, name: str
    ) -> None:
        if record.key == keys.COMMON_KEY:
            self._apply_common(record.common)
        elif kind == "service":
            self._apply_service(name, record)
        else:
            super()._apply_record(record, kind, name)

    def _apply_common(self, common: control_pb2.CommonSettings) -> None:
        measuring = reader.parse_json(
            common.measuring or EMPTY_MEASURING,
            services_lib.Measuring,
            "measuring in force",
        )
        self.measuring = _value_or_previous(measuring, self.measuring)
        self.revision = common.revision

    def _apply_service(self, name: str, record: control_pb2.Record) -> None:
        if record.deleted:
            self.services.pop(name, None)
            return
        service = reader.parse_json(
            record.service.body,
            services_lib.Service,
            f"service {name} in force",
        )
        known = _value_or_previous(service, self.services.get(name))
        if known is not None:
            self.services[name] = known


def _value_or_previous(
    parsed: result.Result, previous: typing.Any
) -> typing.Any:
    """Returns parsed settings, or the previous ones if parsing failed."""
    if isinstance(parsed, result.Success):
        return parsed.unwrap()
    logger.error(
        "keeping previous settings",
        reason=str(parsed.failure()),
    )
    return previous
