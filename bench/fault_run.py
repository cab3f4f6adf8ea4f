"""Runs a deployment under load while faults are injected.

Records the answers that callers and operators got.
"""

import concurrent.futures
import dataclasses
import random
import secrets
import threading
import time
import typing

from bench import caller as caller_lib
from bench import deployment as deployment_lib
from bench import relay

CALLERS = 6
REQUEST_DEADLINE_MS = 1500
CALLER_TIMEOUT_S = 3.0
RECOVERY_TIMEOUT_S = 45.0
MAX_BOOKING_ATTEMPTS = 4
ATTEMPT_PAUSE_S = 0.2
CALL_PAUSE_S = 0.02
LOAD_BEFORE_FAULTS_S = 1.0
MAX_PAUSE_S = 2.0
LOAD_AFTER_FAULTS_S = 2.0


@dataclasses.dataclass
class Booking:
    """A booking and the results of its attempts, in order."""

    key: str
    body: bytes
    results: list[caller_lib.CallResult] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass
class CallRecords:
    """The results of all calls.

    Attributes:
        bookings: The bookings, with the results of their attempts.
        lookups: Path and result of each lookup.
    """

    bookings: list[Booking] = dataclasses.field(default_factory=list)
    lookups: list[tuple[str, caller_lib.CallResult]] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(frozen=True)
class OutOfService:
    """Backend servers that were out of service for a known time.

    Attributes:
        name: The data centre that was taken out, or the address of the
            backend server that drained.
        addresses: The addresses of the backend servers.
        since: Unix time at which the change was acknowledged.
        until: Unix time just before the servers were brought back.
    """

    name: str
    addresses: frozenset[str]
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class AcceptedSettings:
    """A settings text whose acceptance was acknowledged."""

    revision: int
    text: str


class Run:
    """One deployment under load while faults are injected.

    Attributes:
        deployment: The deployment.
        relays: Its relays.
        rng: Draws the pauses and the processes that faults affect.
        call_records: The results of the callers' requests.
        steps: The faults so far, for the report.
        out_of_service: Backend servers that were out of service, and when.
        accepted: The settings texts that were accepted.
        silent_cold_starts: Number of unannounced cold starts, by address of
            the backend server.
        crashing_paths: Paths of requests that crash the backend server that
            runs them.
        violations: Violations that the faults themselves found.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        relays: relay.Relays,
        seed: int,
    ):
        self.deployment = deployment
        self.relays = relays
        self.rng = random.Random(seed)
        self.call_records = CallRecords()
        self.steps: list[str] = []
        self.out_of_service: list[OutOfService] = []
        self.accepted: list[AcceptedSettings] = []
        self.silent_cold_starts: dict[str, int] = {}
        self.crashing_paths: list[str] = []
        self.violations: list[str] = []
        self._stop = threading.Event()
        self._lock = threading.Lock()

    def _run_caller(self, number: int) -> None:
        rng = random.Random(number)
        data_centres = self.deployment.shape.data_centres
        caller = caller_lib.Caller(
            list(self.deployment.callers_addresses.values()),
            data_centres[number % len(data_centres)],
            CALLER_TIMEOUT_S,
        )
        while not self._stop.is_set():
            if rng.random() < 0.5:
                self._look_up(caller, rng)
            else:
                self._book(caller, rng)
            time.sleep(CALL_PAUSE_S)

    def _call(self, caller, rng, **request) -> caller_lib.CallResult | None:
        try:
            addresses = caller.addresses(request["service"])
        except LookupError:
            time.sleep(ATTEMPT_PAUSE_S)
            return None
        return caller.call(
            address=rng.choice(addresses),
            deadline_ms=REQUEST_DEADLINE_MS,
            **request,
        )

    def _look_up(self, caller, rng) -> None:
        path = f"/own/{rng.getrandbits(48):x}"
        result = self._call(caller, rng, service="dossier", path=path)
        if result is not None:
            with self._lock:
                self.call_records.lookups.append((path, result))

    def _book(self, caller, rng) -> None:
        key = secrets.token_hex(8)
        booking = Booking(key, b'{"key": "%s"}' % key.encode())
        with self._lock:
            self.call_records.bookings.append(booking)
        service = rng.choice(["keepsake", "creneau"])
        for _ in range(MAX_BOOKING_ATTEMPTS):
            result = self._call(
                caller,
                rng,
                service=service,
                method="POST",
                path="/book",
                key=key,
                body=booking.body,
            )
            if result is not None:
                booking.results.append(result)
                if result.outcome == "answered":
                    return
            time.sleep(ATTEMPT_PAUSE_S)

    def run(self, faults: list[typing.Callable[["Run"], None]]) -> None:
        """Runs the callers and injects the faults, which may overlap."""
        workers = CALLERS + len(faults)
        with concurrent.futures.ThreadPoolExecutor(workers) as pool:
            callers = [
                pool.submit(self._run_caller, number)
                for number in range(CALLERS)
            ]
            time.sleep(LOAD_BEFORE_FAULTS_S)
            jobs = []
            for fault in faults:
                pause_s = self.rng.uniform(0, MAX_PAUSE_S)
                self.steps.append(f"{fault.__name__} after {pause_s:.1f} s")
                time.sleep(pause_s)
                jobs.append(pool.submit(fault, self))
            try:
                for job in jobs:
                    job.result()
                time.sleep(LOAD_AFTER_FAULTS_S)
            finally:
                self._stop.set()
            self.relays.heal()
            for caller in callers:
                caller.result()

    def pick_process(self, processes: dict) -> deployment_lib.Process:
        """Returns a random process of a group."""
        return processes[self.rng.choice(sorted(processes))]

    def pick_server(self, service: str) -> str:
        """Returns the address of a random backend server of a service."""
        return self.rng.choice(self.deployment.server_addresses[service])

    def set_server(self, address: str, **values: typing.Any) -> None:
        """Changes the behaviour of one backend server."""
        where = {"where": {"address": address}}
        self.deployment.call_servers("/set", where | values)

    def wait_recovered(self) -> None:
        """Waits until every entry answers a lookup again.

        Raises:
            TimeoutError: Some entry did not answer in `RECOVERY_TIMEOUT_S`.
        """
        entries = self.deployment.callers_addresses

        def has_recovered() -> bool:
            caller = caller_lib.Caller(list(entries.values()), "", 3.0)
            return all(
                caller.call("dossier", address=address).outcome == "answered"
                for address in entries.values()
            )

        deployment_lib.wait_for(
            has_recovered, RECOVERY_TIMEOUT_S, "all entries answer"
        )
