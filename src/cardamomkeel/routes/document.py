"""What operators say of routes, the services behind them, and callers."""

import typing

import pydantic

from cardamomkeel.settings import process

# No caller is kept waiting for longer.
LONGEST_TIMEOUT_MS = 600_000
# An objective this far beyond the timeout is taken for a mistake.
OBJECTIVE_SLACK_MS = 60_000

Name = typing.Annotated[str, pydantic.Field(min_length=1, strict=True)]


class Part(process.Strict):
    """One service of a weighted split.

    Attributes:
        service: The service.
        weight: Its share of the requests, relative to the other parts.
    """

    service: Name
    weight: float = pydantic.Field(ge=0, allow_inf_nan=False)


class Route(process.Strict):
    """How requests of one host and path prefix are served.

    Attributes:
        name: What the route is called.
        host: The host that callers name.
        prefix: The path prefix, with a slash at both ends.
        parts: The services that share the requests.
        idempotent: Whether a request may run more than once.
        attempts: How many targets one request may be sent to.
        timeout_ms: How long a caller may be kept waiting.
        objective_ms: Within which time an answer is of full use.
        priority: Its rank under overload; 0 is served first.
    """

    name: str = ""
    host: Name
    prefix: str = pydantic.Field(pattern=r"^/([^?#\s]*/)?$")
    parts: tuple[Part, ...] = pydantic.Field(min_length=1)
    idempotent: bool
    attempts: int = pydantic.Field(1, ge=1)
    timeout_ms: float = pydantic.Field(gt=0, le=LONGEST_TIMEOUT_MS)
    objective_ms: float = pydantic.Field(gt=0)
    priority: int = pydantic.Field(0, ge=0)

    @pydantic.model_validator(mode="after")
    def _check_objective(self) -> "Route":
        if self.objective_ms >= self.timeout_ms + OBJECTIVE_SLACK_MS:
            raise ValueError(
                f"objective_ms of {self.host}{self.prefix} is a minute or "
                "more above its timeout_ms; lower it"
            )
        return self


class RoutedService(process.Strict):
    """What operators say of a service behind routes.

    Attributes:
        health_path: Where its targets tell their health.
        connections: How many connections one target takes from all entries.
        cold_ms: How long a target is in cold start.
        cold_per_s: How many requests a second it bears then.
    """

    health_path: str = "/health"
    connections: int = pydantic.Field(250, ge=1)
    cold_ms: float = pydantic.Field(0, ge=0)
    cold_per_s: float | None = pydantic.Field(None, ge=0)


class CallerLimits(process.Strict):
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: The longest header.
        body_bytes: The longest body.
        header_ms: How long a header may take to arrive.
        idle_ms: How long a connection may stay unused.
    """

    header_bytes: int = pydantic.Field(16_384, ge=1)
    body_bytes: int = pydantic.Field(67_108_864, ge=0)
    header_ms: float = pydantic.Field(3000, gt=0)
    idle_ms: float = pydantic.Field(15_000, gt=0)


class RoutesDocument(process.Strict):
    """All routes, the services that they name, and limits for callers."""

    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits = CallerLimits()

    @pydantic.model_validator(mode="after")
    def _check_routes(self) -> "RoutesDocument":
        places: set[tuple[str, str]] = set()
        for route in self.routes:
            place = (route.host.lower(), route.prefix)
            if place in places:
                raise ValueError(
                    f"two routes have host {route.host} and prefix "
                    f"{route.prefix}; remove one of them"
                )
            places.add(place)
            for part in route.parts:
                if part.service not in self.services:
                    raise ValueError(
                        f"the route {route.host}{route.prefix} names "
                        f"{part.service}, which is no service; add it or "
                        "correct the name"
                    )
        return self
