"""Sends requests through the system or through baseline load balancers.

The baselines simulate entries that select targets independently: there are as
many selectors as entries, and each knows only the requests that it sent.
"""

import asyncio
import collections
import dataclasses
import json
import random
import time
import typing

from bench import deployment as deployment_lib
from bench import http_client

DEADLINE_HEADER = "cardamomkeel-deadline-ms"
OUTCOME_HEADER = "cardamomkeel-outcome"
CALLERS = 24


@dataclasses.dataclass(frozen=True)
class Job:
    """One request to send.

    Attributes:
        service: The service.
        method: The HTTP method.
        path: The path.
        key: The idempotency key; empty for none.
        deadline_ms: The deadline.
    """

    service: str
    method: str
    path: str
    key: str
    deadline_ms: int


class Balancer(typing.Protocol):
    """Sends requests to backend servers.

    Attributes:
        name: The name in the printed results.
    """

    name: str

    async def send(self, job: Job) -> str:
        """Sends a request and returns its outcome."""
        ...


class _Caller:
    """A caller that caches the addresses of entries until they expire."""

    def __init__(self, data_centre: str, entries: list[str]):
        self.data_centre = data_centre
        self.entries = entries
        self.cached: dict[str, tuple[float, list[str]]] = {}


class System:
    """Sends requests through the system, as `CALLERS` callers do."""

    name = "cardamomkeel"

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        http: http_client.Client,
        rng: random.Random,
    ):
        self._http = http
        self._rng = rng
        entries = list(deployment.callers_addresses.values())
        data_centres = deployment.shape.data_centres
        self._callers = [
            _Caller(data_centres[number % len(data_centres)], entries)
            for number in range(CALLERS)
        ]

    async def _addresses(self, caller: _Caller, service: str) -> list[str]:
        until, cached = caller.cached.get(service, (0.0, []))
        if time.monotonic() < until:
            return cached
        entry = self._rng.choice(caller.entries)
        reply = await self._http.request(
            entry,
            "GET",
            f"/v1/addresses?service={service}&data_centre={caller.data_centre}",
            {},
        )
        if reply.status == 200:
            answer = json.loads(reply.body)
            cached = answer["addresses"]
            until = time.monotonic() + answer["keep_ms"] / 1000
            caller.cached[service] = (until, cached)
        return cached

    async def send(self, job: Job) -> str:
        """Sends a request of a random caller to its first address."""
        caller = self._rng.choice(self._callers)
        addresses = await self._addresses(caller, job.service)
        return await self._send_to(addresses[0], job)

    async def _send_to(self, address: str, job: Job) -> str:
        headers = {DEADLINE_HEADER: str(job.deadline_ms)}
        if job.key:
            headers["idempotency-key"] = job.key
        reply = await self._http.request(
            address,
            job.method,
            f"/v1/call/{job.service}{job.path}",
            headers,
        )
        return reply.headers.get(OUTCOME_HEADER, "none")


class Baseline:
    """Sends requests directly to backend servers, from several selectors."""

    name = "baseline"

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        http: http_client.Client,
        rng: random.Random,
    ):
        self._http = http
        self._rng = rng
        self._servers = deployment.server_addresses
        self._selector_count = deployment.shape.entries

    def select(self, selector: int, addresses: list[str]) -> str:
        """Returns the address of the backend server that a selector selects."""
        raise NotImplementedError

    async def send(self, job: Job) -> str:
        """Sends a request from a random selector; returns its outcome."""
        selector = self._rng.randrange(self._selector_count)
        address = self.select(selector, self._servers[job.service])
        headers = {DEADLINE_HEADER: str(job.deadline_ms)}
        if job.key:
            headers["idempotency-key"] = job.key
        with self.count_in_flight(selector, address):
            reply = await self._http.request(
                address, job.method, job.path, headers
            )
        return "answered" if reply.status < 500 else f"{reply.status}"

    def count_in_flight(
        self, selector: int, address: str
    ) -> typing.ContextManager:
        """Returns a context that counts one request as in flight."""
        return _NullContext()


class _NullContext:
    def __enter__(self):
        return self

    def __exit__(self, *_):
        return None


class RandomChoice(Baseline):
    """Selects a random backend server."""

    name = "random choice"

    def select(self, selector: int, addresses: list[str]) -> str:
        """Returns a random address."""
        return self._rng.choice(addresses)


class RoundRobin(Baseline):
    """Each selector selects the backend servers in turn."""

    name = "round robin"

    def __init__(self, deployment, http, rng):
        super().__init__(deployment, http, rng)
        self._turns: collections.Counter = collections.Counter()

    def select(self, selector: int, addresses: list[str]) -> str:
        """Returns the next address for a selector."""
        self._turns[(selector, addresses[0])] += 1
        turn = selector + self._turns[(selector, addresses[0])]
        return addresses[turn % len(addresses)]


class LeastConnections(Baseline):
    """Each selector selects the server with the fewest of its requests."""

    name = "least connections"

    def __init__(self, deployment, http, rng):
        super().__init__(deployment, http, rng)
        self._in_flight: collections.Counter = collections.Counter()

    def select(self, selector: int, addresses: list[str]) -> str:
        """Returns the address with the fewest requests of a selector."""
        return min(
            addresses,
            key=lambda a: (self._in_flight[(selector, a)], self._rng.random()),
        )

    def count_in_flight(
        self, selector: int, address: str
    ) -> typing.ContextManager:
        """Returns a context that counts one request as in flight."""
        return _InFlightCount(self._in_flight, (selector, address))


class _InFlightCount:
    def __init__(self, counter: collections.Counter, key: tuple[int, str]):
        self._counter = counter
        self._key = key

    def __enter__(self):
        self._counter[self._key] += 1

    def __exit__(self, *_):
        self._counter[self._key] -= 1


BALANCERS: tuple[type, ...] = (
    System,
    RandomChoice,
    RoundRobin,
    LeastConnections,
)

CONNECTION_ERRORS = (OSError, TimeoutError, asyncio.IncompleteReadError)
