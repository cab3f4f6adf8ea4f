"""Models of the settings text that operators edit."""

import pydantic

from cardamomkeel.policy import measuring
from cardamomkeel.settings import process


class Service(process.Strict):
    """Settings of one service.

    Attributes:
        depends_on: Services that its backend servers call.
        idempotent: Whether a request may run more than once. If false,
            requests other than GET and HEAD need an idempotency key.
        slots: How many requests one backend server runs at a time.
        cold_slots: How many requests one backend server runs at a time during
            its cold start.
        warm_up_requests: How many requests a backend server has to answer in a
            row to end its cold start.
        default_deadline_ms: The deadline of requests without one.
        longest_deadline_ms: The longest deadline that a request may have.
        queue: How many requests may wait at one owner.
        retry_share: Retries allowed per request.
        hedge_share: Hedged requests allowed per request.
    """

    depends_on: tuple[str, ...] = ()
    idempotent: bool = False
    slots: int = pydantic.Field(3, ge=1, le=1000)
    cold_slots: int = pydantic.Field(1, ge=1)
    warm_up_requests: int = pydantic.Field(20, ge=1)
    default_deadline_ms: int = pydantic.Field(2000, ge=1)
    longest_deadline_ms: int = pydantic.Field(10_000, ge=1, le=10_000)
    queue: int = pydantic.Field(64, ge=0)
    retry_share: float = pydantic.Field(0.2, ge=0, le=1)
    hedge_share: float = pydantic.Field(0.05, ge=0, le=1)

    @pydantic.model_validator(mode="after")
    def _check_pairs(self) -> "Service":
        pairs = [
            ("default_deadline_ms", "longest_deadline_ms"),
            ("cold_slots", "slots"),
        ]
        for smaller, larger in pairs:
            if getattr(self, smaller) > getattr(self, larger):
                raise ValueError(
                    f"{smaller} is more than {larger}; lower {smaller} or "
                    f"raise {larger}"
                )
        return self


class Measuring(process.Strict):
    """The budget for measuring load, over all entries.

    Attributes:
        messages_per_second: Messages allowed for all services together.
        bytes_per_second: Bytes allowed for all services together.
        service_messages_per_second: Messages allowed for each service.
        service_bytes_per_second: Bytes allowed for each service.
    """

    messages_per_second: float = pydantic.Field(20.0, gt=0)
    bytes_per_second: float = pydantic.Field(10_000.0, gt=0)
    service_messages_per_second: float = pydantic.Field(15.0, gt=0)
    service_bytes_per_second: float = pydantic.Field(7_500.0, gt=0)

    def rate(self) -> measuring.Rate:
        """Returns the budget of all services together."""
        return measuring.Rate(self.messages_per_second, self.bytes_per_second)

    def service_rate(self) -> measuring.Rate:
        """Returns the budget of each service."""
        return measuring.Rate(
            self.service_messages_per_second, self.service_bytes_per_second
        )


class ServicesText(process.Strict):
    """The complete settings text.

    Attributes:
        services: The services by name.
        measuring: The budget for measuring load.
    """

    services: dict[str, Service]
    measuring: Measuring = Measuring()

    @pydantic.model_validator(mode="after")
    def _check_dependencies(self) -> "ServicesText":
        for name, service in self.services.items():
            for dependency in service.depends_on:
                if dependency not in self.services:
                    raise ValueError(
                        f"service {name} depends on {dependency}, which is not "
                        "listed; add it or correct the name"
                    )
        cycle = _find_cycle(self.services)
        if cycle:
            raise ValueError(
                f"services depend on each other in a circle: "
                f"{' -> '.join(cycle)}; remove one of these dependencies"
            )
        return self


def _find_cycle(services: dict[str, Service]) -> list[str]:
    """Returns the services of one dependency cycle, or an empty list."""
    done: set[str] = set()

    def visit(name: str, path: list[str]) -> list[str]:
        if name in path:
            return [*path[path.index(name) :], name]
        if name in done:
            return []
        for dependency in services[name].depends_on:
            cycle = visit(dependency, [*path, name])
            if cycle:
                return cycle
        done.add(name)
        return []

    for name in services:
        cycle = visit(name, [])
        if cycle:
            return cycle
    return []
