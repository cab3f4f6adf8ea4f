"""The models of the routes text, which operators write."""

import typing

import msgspec

from cardamomkeel import http_headers

# The longest time that a caller may wait for an answer.
MAX_TIMEOUT_MS = 600_000
# An objective that exceeds the timeout by this much is rejected as a mistake.
OBJECTIVE_SLACK_MS = 60_000

Name = typing.Annotated[str, msgspec.Meta(min_length=1)]
Prefix = typing.Annotated[str, msgspec.Meta(pattern=r"^/([^?#\s]*/)?$")]
Count = typing.Annotated[int, msgspec.Meta(ge=1)]
Positive = typing.Annotated[float, msgspec.Meta(gt=0)]
Digest = typing.Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{32}$")]
NonNegative = typing.Annotated[float, msgspec.Meta(ge=0)]


class _Strict(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all models; unknown fields are rejected."""


class Part(_Strict):
    """One service of a weighted split.

    Attributes:
        service: The name of the service.
        weight: The share of the requests, relative to the other parts.
    """

    service: Name
    weight: NonNegative


class Route(_Strict, kw_only=True):
    """Settings for the requests of one host and path prefix.

    Attributes:
        name: The name of the route.
        host: The host in the requests of callers.
        prefix: The path prefix, with a slash at both ends.
        parts: The services that share the requests.
        idempotent: Whether a request may run more than once.
        attempts: The maximum number of targets for one request.
        timeout_ms: The longest time that a caller waits for an answer.
        objective_ms: The latency up to which an answer is of full use.
        priority: The rank under overload; 0 is served first.
        keyless: Whether its requests need no key of a client account.
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
    keyless: bool = False

    def __post_init__(self):
        """Checks the objective against the timeout.

        Raises:
            ValueError: The objective is a minute or more above the timeout.
        """
        if self.objective_ms >= self.timeout_ms + OBJECTIVE_SLACK_MS:
            raise ValueError(
                f"objective_ms of {self.host}{self.prefix} is a minute or "
                "more above its timeout_ms; lower it"
            )


class RoutedService(_Strict):
    """Settings of a service that routes name.

    Attributes:
        health_path: The path of the health check of a target.
        connections: The maximum number of connections of all entries to one
            target.
        cold_ms: How long the cold start of a target lasts.
        cold_per_s: How many requests per second a target can handle during
            its cold start.
    """

    health_path: str = "/health"
    connections: Count = 250
    cold_ms: NonNegative = 0
    cold_per_s: NonNegative | None = None


class Account(_Strict, kw_only=True):
    """A client account, whose requests carry one of its keys.

    Attributes:
        name: The name of the account, which targets are told.
        key_digests: The digests of its keys; see accounts/digests.py.
        priority: Goes before the priority of the route; None if it has none.
        rate_per_s: Its requests per second over all entries; 0 for no limit.
        burst: How many requests it may send beyond the rate.
    """

    name: Name
    key_digests: tuple[Digest, ...] = ()
    priority: typing.Annotated[int, msgspec.Meta(ge=0)] | None = None
    rate_per_s: NonNegative = 0.0
    burst: NonNegative = 0.0

    def __post_init__(self):
        """Checks the name, which is sent in a header.

        Raises:
            ValueError: The name can't be sent.
        """
        value = self.name.encode()
        is_padded = self.name != self.name.strip()
        if is_padded or not http_headers.is_safe_header(b"account", value):
            raise ValueError(
                f"the account {self.name!r} can't be named in a header; remove "
                "control characters, and spaces at both ends, from its name"
            )


class CallerLimits(_Strict):
    """Limits on the requests and connections of callers.

    Attributes:
        header_bytes: The maximum size of a header.
        body_bytes: The maximum size of a body.
        header_ms: How long a header may take to arrive.
        idle_ms: How long a connection may stay unused.
    """

    header_bytes: Count = 16_384
    body_bytes: typing.Annotated[int, msgspec.Meta(ge=0)] = 67_108_864
    header_ms: Positive = 3000
    idle_ms: Positive = 15_000


class RoutesDocument(_Strict):
    """All routes, their services, and the limits for callers.

    Attributes:
        routes: The routes; no two have the same host and prefix.
        services: The services that routes may name, by name.
        limits: Limits on the requests and connections of callers.
        accounts: The client accounts; None if requests need no keys.
    """

    routes: tuple[Route, ...]
    services: dict[str, RoutedService]
    limits: CallerLimits = CallerLimits()
    accounts: tuple[Account, ...] | None = None

    def __post_init__(self):
        """Checks the routes against each other, and the accounts.

        Raises:
            ValueError: Two routes have the same host and prefix, a route names
                a service that is not listed, or two accounts share a name or a
                key.
        """
        self._check_routes()
        self._check_accounts()

    def _check_routes(self) -> None:
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

    def _check_accounts(self) -> None:
        holders: dict[str, str] = {}
        names: set[str] = set()
        for account in self.accounts or ():
            if account.name in names:
                raise ValueError(
                    f"the account {account.name} is listed twice; remove one "
                    "of them"
                )
            names.add(account.name)
            for digest in account.key_digests:
                holder = holders.setdefault(digest, account.name)
                if holder != account.name:
                    raise ValueError(
                        f"the accounts {holder} and {account.name} share a "
                        "key; withdraw it from one of them"
                    )
