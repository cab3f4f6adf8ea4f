"""Runs the platform's programs under load and checks them after faults.

The checks use only the answers that callers and the operator got and the
requests that reached the fake backend servers, never a counter of the system.
"""

import collections
import contextlib
import dataclasses
import random
import secrets
import threading
import time

import httpx

from bench import platform as platform_lib
from bench import platform_targets

CALLERS = 6
TARGETS_PER_SERVICE = 3
CALL_PAUSE_S = 0.02
ANNOUNCEMENT_PERIOD_S = 1.0
LOAD_BEFORE_FAULTS_S = 1.0
LOAD_AFTER_FAULTS_S = 2.0
MAX_PAUSE_S = 2.0
# `contact-ms`, `drain-ms`, `evacuation-ms` and `recovery-s` of the platform.
CONTACT_S = 3.0
DRAIN_S = 2.0
EVACUATION_S = 5.0
RECOVERY_S = 15.0
# How many requests may reach a target that pushes back, after this time.
MAX_AFTER_PUSH_BACK = 2
PUSH_BACK_DELAY_S = 0.5
# These statuses guarantee that the request has not run and never will.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])


@dataclasses.dataclass
class Call:
    """One request of a caller and its answer.

    Attributes:
        status: The status of the answer; None without a complete answer.
        seal: The seal of the answer; None where it has none.
        content: The body of the answer.
        entry: The name of the entry that received the request.
        sent_at: Monotonic time at which the request was sent.
        answered_at: Monotonic time at which it was answered, or None.
        disconnected_at: Monotonic time at which the connection ended without
            an answer; None if it did not.
    """

    request_id: str
    method: str
    path: str
    body: bytes
    status: int | None = None
    seal: str | None = None
    content: bytes = b""
    entry: str = ""
    sent_at: float = 0.0
    answered_at: float | None = None
    disconnected_at: float | None = None


@dataclasses.dataclass(frozen=True)
class Disruption:
    """The time during which a VM was killed or frozen.

    Attributes:
        entry: The name of the VM; only disruptions of entries are used.
        since: Monotonic time of the start.
        until: Monotonic time of the end.
    """

    entry: str
    since: float
    until: float


@dataclasses.dataclass(frozen=True)
class OutOfService:
    """Targets that must not run requests between two times.

    Attributes:
        name: The data centre, or why the targets are out of service.
        targets: The targets.
        since: Monotonic time of the acknowledgement plus the time that the
            change may take.
        until: Monotonic time just before the targets were brought back.
    """

    name: str
    targets: tuple
    since: float
    until: float = float("inf")


class Run:
    """A fleet of the platform's programs under load.

    Attributes:
        fleet: The fleet.
        rng: Draws the pauses and the VMs and targets that faults affect.
        calls: The requests that callers sent.
        out_of_service: Targets that were out of service, and when.
        removed: Targets that no longer announce themselves.
        disruptions: When VMs were killed or frozen. At other times, entries
            must not drop requests.
        restarts: When entries were stopped with SIGTERM and started again.
        config_number: The newest configuration that was acknowledged.
        steps: The faults so far, for the report.
    """

    def __init__(self, fleet: platform_lib.Fleet, seed: int):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.calls: list[Call] = []
        self.out_of_service: list[OutOfService] = []
        self.removed: set = set()
        self.disruptions: list[Disruption] = []
        self.restarts: list[Disruption] = []
        self.config_number = 1
        self.steps: list[str] = []
        self._stop = threading.Event()
        self._threads: list[threading.Thread] = []

    def start(self) -> None:
        """Starts the fleet, its targets and the load."""
        fleet = self.fleet
        fleet.start()
        fleet.call_control("PUT", "/-/config", platform_lib.make_config(1))
        for service in platform_lib.SERVICES:
            for zone in platform_lib.ZONES[:TARGETS_PER_SERVICE]:
                fleet.add_target(service, zone)
        for vm in fleet.fronts:
            fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))
        jobs = [self._announce_periodically, *[self._call] * CALLERS]
        for number, job in enumerate(jobs):
            thread = threading.Thread(target=job, args=(number,), daemon=True)
            thread.start()
            self._threads.append(thread)

    def stop(self) -> None:
        """Stops the load."""
        self._stop.set()
        for thread in self._threads:
            thread.join(30)

    def _announce_periodically(self, _number: int) -> None:
        """Announces all targets that have not been removed."""
        while not self._stop.wait(ANNOUNCEMENT_PERIOD_S):
            for target in list(self.fleet.farm.targets):
                if target not in self.removed:
                    self._announce_once(target)

    def _announce_once(self, target) -> None:
        # An announcement that no control VM accepts is replaced by the next.
        with contextlib.suppress(TimeoutError):
            self.fleet.announce(target, within_s=ANNOUNCEMENT_PERIOD_S)

    def _call(self, number: int) -> None:
        rng = random.Random(number)
        while not self._stop.is_set():
            call = self._make_call(rng)
            front = rng.randrange(len(self.fleet.fronts))
            call.entry = self.fleet.fronts[front].name
            call.sent_at = time.monotonic()
            self.calls.append(call)
            self._send(call, front)
            time.sleep(CALL_PAUSE_S)

    def _send(self, call: Call, front: int) -> None:
        try:
            reply = self.fleet.call(
                call.path, call.method, call.body, front, call.request_id
            )
        except (httpx.RemoteProtocolError, httpx.ReadError):
            call.disconnected_at = time.monotonic()
        except httpx.HTTPError:
            # Nothing can be concluded: the request timed out or no entry
            # listened.
            return
        else:
            call.seal = reply.headers.get("response-seal")
            call.content = reply.content
            call.status = reply.status_code
            call.answered_at = time.monotonic()

    def _make_call(self, rng: random.Random) -> Call:
        request_id = secrets.token_hex(8)
        if rng.random() < 0.5:
            return Call(request_id, "GET", f"/look/{request_id}", b"")
        body = request_id.encode() * rng.choice([1, 200])
        return Call(request_id, "POST", f"/book/{request_id}", body)

    def pick_targets(self, service: str) -> list:
        """Returns the targets of a service that have not been removed."""
        return [
            target
            for target in self.fleet.farm.targets
            if target.service == service and target not in self.removed
        ]

    def find_violations(self) -> list[str]:
        """Returns a line for each violated guarantee."""
        return [
            *find_request_violations(self),
            *self._check_config(),
            *self._check_recovery(),
        ]

    def _check_config(self) -> list[str]:
        try:
            reply = self.fleet.call_control("GET", "/-/config")
        except TimeoutError as exc:
            return [f"failed to read the configuration back: {exc}"]
        number = int(reply.json()["version"], 16)
        if number < self.config_number:
            return [
                f"{number} is read back, {self.config_number} was acknowledged"
            ]
        return []

    def _check_recovery(self) -> list[str]:
        fleet = self.fleet
        violations = []
        for number, vm in enumerate(fleet.fronts):
            try:
                fleet.wait_for(
                    lambda n=number: fleet.call(front=n).status_code == 200,
                    RECOVERY_S,
                )
            except TimeoutError:
                violations.append(
                    f"{vm.name} answers no request after {RECOVERY_S} s"
                )
        return violations


def find_request_violations(run: Run) -> list[str]:
    """Returns a line for each violated guarantee about requests."""
    arrivals = collections.defaultdict(list)
    for target in run.fleet.farm.targets:
        for arrival in list(target.arrivals):
            arrivals[arrival.request_id].append(arrival)
    violations = []
    for call in run.calls:
        arrived = arrivals.pop(call.request_id, [])
        violations += _check_call(call, arrived)
        if arrived and _is_unexpected_disconnect(call, run.disruptions):
            violations.append(
                f"{call.request_id} reached a target and was dropped by "
                f"{call.entry}, which was neither killed nor frozen"
            )
    violations += [f"no caller sent {request_id}" for request_id in arrivals]
    violations += _check_signals(run)
    for out in run.out_of_service:
        violations += _check_out_of_service(out)
    return violations


def _is_unexpected_disconnect(
    call: Call, disruptions: list[Disruption]
) -> bool:
    """Returns whether an entry dropped a request while undisturbed.

    After a disruption, an entry may drop requests for `CONTACT_S` more.
    """
    if call.disconnected_at is None:
        return False
    return not any(
        fault.entry == call.entry
        and fault.since <= call.disconnected_at
        and call.sent_at <= fault.until + CONTACT_S
        for fault in disruptions
    )


def _check_call(call: Call, arrivals: list) -> list[str]:
    run_count = sum(arrival.ran for arrival in arrivals)
    violations = []
    if call.method == "POST" and run_count > 1:
        violations.append(f"{call.request_id} ran {run_count} times")
    if call.status in NOT_RUN_STATUSES and run_count and call.method == "POST":
        violations.append(
            f"{call.request_id} ran but was answered {call.status}"
        )
    if call.status == 200:
        expected = (f"seal-{call.request_id}", platform_targets.BODY)
        if not run_count or (call.seal, call.content) != expected:
            violations.append(f"{call.request_id} got another answer: {call}")
    is_rejected = call.status is not None and 300 <= call.status < 500
    if is_rejected and call.status not in NOT_RUN_STATUSES:
        violations.append(f"{call.request_id} was rejected with {call.status}")
    for arrival in arrivals:
        sent = (call.method, call.path, call.body)
        if (arrival.method, arrival.path, arrival.body) != sent:
            violations.append(f"{call.request_id} arrived changed: {arrival}")
    return violations


def _check_out_of_service(out: OutOfService) -> list[str]:
    return [
        f"{target.address} ran {arrival.request_id} while out of service "
        f"({out.name}) for {arrival.at - out.since:.2f} s"
        for target in out.targets
        for arrival in list(target.arrivals)
        if arrival.ran and out.since < arrival.at < out.until
    ]


def _check_signals(run: Run) -> list[str]:
    """Returns violations at targets that leave or push back."""
    calls = {call.request_id: call for call in run.calls}
    by_path = collections.defaultdict(list)
    for target in run.fleet.farm.targets:
        for arrival in list(target.arrivals):
            call = calls.get(arrival.request_id)
            if call is not None:
                by_path[call.entry, target.address].append((arrival, call))
    excuses = run.disruptions + run.restarts
    violations = []
    for (entry, address), pairs in by_path.items():
        own = [fault for fault in excuses if fault.entry == entry]
        path = f"from {entry} reached {address}"
        violations += [
            f"{call.request_id} {path} at {call.sent_at:.2f}, which had left"
            for call in _find_after_leaving(pairs, own)
        ]
        violations += [
            f"{count} requests {path}, which pushed back"
            for count in _count_after_push_backs(pairs, own)
        ]
    return violations


def _is_excused(excuses: list[Disruption], since: float, until: float) -> bool:
    return any(
        fault.since <= until and fault.until + CONTACT_S >= since
        for fault in excuses
    )


def _find_after_leaving(
    pairs: list[tuple], excuses: list[Disruption]
) -> list[Call]:
    """Returns the requests sent too late after an answer was passed on."""
    told_at = min(
        (
            call.answered_at
            for arrival, call in pairs
            if arrival.says_leaving and arrival.ran and call.answered_at
        ),
        default=float("inf"),
    )
    return [
        call
        for _, call in pairs
        if call.sent_at > told_at + DRAIN_S
        and not _is_excused(excuses, told_at, call.sent_at)
    ]


def _count_after_push_backs(
    pairs: list[tuple], excuses: list[Disruption]
) -> list[int]:
    """Returns how many requests came while the target wanted none."""
    counts = []
    for refused, _ in pairs:
        since = refused.at + PUSH_BACK_DELAY_S
        until = refused.at + refused.push_back_s
        if since >= until or _is_excused(excuses, refused.at, until):
            continue
        count = sum(since < arrival.at < until for arrival, _ in pairs)
        if count > MAX_AFTER_PUSH_BACK:
            counts.append(count)
    return counts
