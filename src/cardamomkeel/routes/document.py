"""What operators say of routes, the services behind them, and callers."""

import typing

import msgspec

# No caller is kept waiting for longer.
MAX_TIMEOUT_MS = 600_000
# An objective this far beyond the timeout is taken for a mistake.
OBJECTIVE_SLACK_MS = 60_000

Name = typing.Annotated[str, msgspec.Meta(min_length=1)]
Prefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/([^?#\s]*/)?$")]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What holds no fields that are not known."""


class Part(_Strict):
    """One service of a weighted split.

    Attributes:
        service: The service.
        weight: Its share of the requests, relative to the other parts.
    """

    service: Name
    weight: NonNegative


class Route(_Strict, kw_only=True):
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
    prefix: Prefix
    parts: typing.Annotated[tuple[Part, ...], msgspec.Meta(min_length=1)]
    idempotent: bool
    attempts: Count = 1
    timeout_ms: typing.Annotated[float, msgspec.Meta(gt=0, le=MAX_TIMEOUT_MS)]
    objective_ms: Positive
    priority: typing.Annotated[int, msgspec.Meta(ge=0)] = 0

    def __post_init__(self):
        """Checks the objective against the timeout.

        Raises:
            ValueError: They do not go together.
        """
        if self.objective_ms >= self.timeout_ms + OBJECTIVE_SLACK_MS:
            raise ValueError(
                f"objective_ms of {self.host}{self.prefix} is a minute or "
                "more above its timeout_ms; lower it"
            )


class RoutedService(_Strict):
    """What operators say of a service behind routes.

    Attributes:
        health_path: Where its targets tell their health.
        connections: How many connections one target takes from all entries.
        cold_ms: How long a target is in cold start.
        cold_per_s: How many requests a second it bears then.
    """

    health_path: str = "/health"
    connections: Count = 250
    cold_ms: NonNegative = 0
    cold_per_s: NonNegative | None = None


class CallerLimits(_Strict):
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: The longest header.
        body_bytes: The longest body.
        header_ms: How long a header may take to arrive.
        idle_ms: How long a connection may stay unused.
    """

    header_bytes: Count = 16_384
    body_bytes: typing.Annotated[int, msgspec.Meta(ge=0)] = 67_108_864
    header_ms: Positive = 3000
    idle_ms: Positive = 15_000


class RoutesDocument(_Strict):
    """All routes, the services that they name, and limits for callers.

    Attributes:
        routes: The routes, as listed below.
        services: The services by name, as listed below.
        limits: What callers may send.
    """

    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits = CallerLimits()

    def __post_init__(self):
        """Checks the routes against each other and the services.

        Raises:
            ValueError: Two share a place, or one names no service.
        """
        routes_seen: set[tuple[str, str]] = set()
        for route in self.routes:
            key = (route.host.lower(), route.prefix)
            if key in routes_seen:
                raise ValueError(
                    f"two routes have host {route.host} and prefix "
                    f"{route.prefix}; remove one of them"
                )
            routes_seen.add(key)
            for part in route.parts:
                if part.service not in self.services:
                    raise ValueError(
                        f"the route {route.host}{route.prefix} names "
                        f"{part.service}, which is no service; add it or "
                        "correct the name"
                    )
