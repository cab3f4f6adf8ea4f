"""Compares load-balancing policies in a simulation with virtual time.

For one seed, every policy gets the same requests and the same faults. A target
with more requests than slots becomes slower. A target in cold start that
exceeds its limit crashes: its requests are aborted and it restarts cold.
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import json
import random
import typing

import typing_extensions

from cardamomkeel.policy import least_cost
from cardamomkeel.policy import slots as slots_lib

ENTRIES = 17
TARGETS = 20
MEAN_SERVICE_MS = 5.0
DURATION_MS = 2000.0
DEADLINE_MS = 2000.0
LOAD_SHARE = 0.5
MAX_ATTEMPTS = 3
WARM_UP_REQUESTS = 20
FAILURE_LATENCY_MS = 0.3
REPORT_PERIOD_MS = 100.0
REPORT_BYTES = 700
TOKEN_BYTES = 150
TOKEN_DELAY_MS = 1.0
OWNERS = 2
FAULT_PERIOD_MS = 100.0
SLOWDOWN_FACTOR = 20.0
SLOWDOWN_MS = 200.0
NEIGHBOUR_FACTOR = 3.0
NEIGHBOUR_MS = 50.0
FAIL_FAST_DURATION_MS = 300.0
SLOTS = {"ar-gwenn-skouarn": 3, "cart-commons": 6}


@dataclasses.dataclass
class Target:
    """A simulated backend server.

    Attributes:
        slots: How many requests it runs at full speed once warm.
        running: The ids of the requests that it runs.
        cold_requests: Requests to answer before its cold start ends.
        slow_until: Virtual time until which it is slower by `slow_factor`.
        failing_until: Virtual time until which it fails every request.
        reports_idle: Whether it always reports a load of 0.
    """

    slots: int
    running: set[int] = dataclasses.field(default_factory=set)
    cold_requests: int = 0
    slow_until: float = 0.0
    slow_factor: float = 1.0
    failing_until: float = 0.0
    reports_idle: bool = False

    @property
    def limit(self) -> int:
        """How many requests the target can run at a time now."""
        return 1 if self.cold_requests else self.slots


@dataclasses.dataclass(eq=False)
class Request:
    """A simulated request.

    Attributes:
        arrived: Virtual time of its first arrival; retries keep it.
        entry: The number of the entry that received it.
        work_ms: How long a target without excess load takes for it.
        excluded: Targets that already failed it.
    """

    arrived: float
    entry: int
    work_ms: float
    attempts: int = 0
    excluded: frozenset[int] = frozenset()


@dataclasses.dataclass
class Report:
    """The results of one policy in one run."""

    latencies: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    overruns: int = 0
    crashes: int = 0

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latency of answers, in ms."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Policy(typing.Protocol):
    """A policy that selects targets.

    A selector is a process that selects targets from its own knowledge.

    Attributes:
        delay_ms: How long one selection takes.
        messages: Number of messages about load or slots so far.
        message_bytes: The size of one message.
    """

    delay_ms: float
    messages: int
    message_bytes: int

    def selector_for(self, entry: int) -> int:
        """Returns the selector for requests of an entry."""

    def select(self, selector: int, now: float, req: Request) -> int | None:
        """Returns a target, or None where the request has to wait."""

    def acquire(self, selector: int, target: int, now: float) -> typing.Any:
        """Records that a request is sent; returns a value for `release`."""

    def release(
        self,
        selector: int,
        target: int,
        acquired: typing.Any,
        now: float,
        outcome: str,
    ) -> None:
        """Records that a request ended with `ok`, `error` or `broken`."""


class _BasePolicy:
    """Base of the policies: each entry selects for itself, without state."""

    delay_ms = 0.0
    message_bytes = 0

    def __init__(self, targets: list[Target], rng: random.Random):
        self.targets = targets
        self.rng = rng
        self.messages = 0

    def selector_for(self, entry: int) -> int:
        """Returns the entry itself."""
        return entry

    def _allowed(self, req: Request) -> list[int]:
        return [t for t in range(len(self.targets)) if t not in req.excluded]

    def acquire(self, selector: int, target: int, now: float) -> typing.Any:
        """Records nothing."""
        return None

    def release(self, selector, target, acquired, now, outcome) -> None:
        """Records nothing."""


class Random(_BasePolicy):
    """Selects a random target, whatever its load."""

    @typing_extensions.override
    def select(self, selector, now, req):
        return self.rng.choice(self._allowed(req))


class RoundRobin(_BasePolicy):
    """Each entry selects the targets in turn."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.turns = [rng.randrange(len(targets)) for _ in range(ENTRIES)]

    @typing_extensions.override
    def select(self, selector, now, req):
        while True:
            self.turns[selector] += 1
            target = self.turns[selector] % len(self.targets)
            if target not in req.excluded:
                return target


class LeastConnections(_BasePolicy):
    """Each entry selects the target with the fewest of its own requests."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.counts = collections.Counter()

    @typing_extensions.override
    def select(self, selector, now, req):
        return min(
            self._allowed(req),
            key=lambda t: (self.counts[selector, t], self.rng.random()),
        )

    @typing_extensions.override
    def acquire(self, selector, target, now):
        self.counts[selector, target] += 1

    @typing_extensions.override
    def release(self, selector, target, acquired, now, outcome):
        self.counts[selector, target] -= 1


class TwoChoices(_BasePolicy):
    """Selects the less loaded of two random targets.

    Targets report their load to all entries once per `REPORT_PERIOD_MS`.
    """

    message_bytes = REPORT_BYTES

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.reported = [0] * len(targets)
        self.reported_at = float("-inf")

    @typing_extensions.override
    def select(self, selector, now, req):
        if now - self.reported_at >= REPORT_PERIOD_MS:
            self.reported_at = now
            self.messages += len(self.targets) * ENTRIES
            self.reported = [
                0 if t.reports_idle else len(t.running) for t in self.targets
            ]
        pair = self.rng.sample(self._allowed(req), 2)
        return min(pair, key=lambda t: self.reported[t])


class Ownership(_BasePolicy):
    """The policy of the product: each target has one owner, which counts it.

    An owner knows every request that its targets run.
    """

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.candidates = [
            least_cost.Candidate(
                str(number),
                slots_lib.Slots(
                    target.slots, warm_up_requests=WARM_UP_REQUESTS
                ),
                least_cost.Health(),
            )
            for number, target in enumerate(targets)
        ]
        for candidate in self.candidates:
            candidate.slots.limit = candidate.slots.slots

    @typing_extensions.override
    def selector_for(self, entry):
        return entry % OWNERS

    @typing_extensions.override
    def select(self, selector, now, req):
        excluded = frozenset(str(number) for number in req.excluded)
        chosen = least_cost.select(
            self.candidates[selector::OWNERS], excluded, now, self.rng
        )
        return None if chosen is None else int(chosen.address)

    @typing_extensions.override
    def acquire(self, selector, target, now):
        return self.candidates[target].slots.acquire(now, DEADLINE_MS)

    @typing_extensions.override
    def release(self, selector, target, acquired, now, outcome):
        candidate = self.candidates[target]
        candidate.slots.release(acquired)
        candidate.health.record_result(
            now - acquired.started, outcome != "ok", now
        )
        if outcome == "ok":
            candidate.slots.record_success(acquired)
        elif outcome == "broken":
            candidate.slots.reset_to_cold_start()


class SlotTokens(_BasePolicy):
    """One process grants all slots, at one round trip per request."""

    delay_ms = TOKEN_DELAY_MS
    message_bytes = TOKEN_BYTES

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.in_use = [0] * len(targets)

    @typing_extensions.override
    def selector_for(self, entry):
        return 0

    @typing_extensions.override
    def select(self, selector, now, req):
        free = [
            t
            for t in self._allowed(req)
            if self.in_use[t] < self.targets[t].slots
        ]
        if not free:
            return None
        return min(free, key=lambda t: (self.in_use[t], self.rng.random()))

    @typing_extensions.override
    def acquire(self, selector, target, now):
        self.in_use[target] += 1
        self.messages += 3

    @typing_extensions.override
    def release(self, selector, target, acquired, now, outcome):
        self.in_use[target] -= 1


class FixedShares(_BasePolicy):
    """Each entry has a fixed share of the slots."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.free_slots: list[list[int]] = [[] for _ in range(ENTRIES)]
        slots = [
            t for t in range(len(targets)) for _ in range(targets[t].slots)
        ]
        rng.shuffle(slots)
        for number, target in enumerate(slots):
            self.free_slots[number % ENTRIES].append(target)

    @typing_extensions.override
    def select(self, selector, now, req):
        free = [t for t in self.free_slots[selector] if t not in req.excluded]
        return self.rng.choice(free) if free else None

    @typing_extensions.override
    def acquire(self, selector, target, now):
        self.free_slots[selector].remove(target)

    @typing_extensions.override
    def release(self, selector, target, acquired, now, outcome):
        self.free_slots[selector].append(target)


POLICIES = {
    "ownership": Ownership,
    "random": Random,
    "round robin": RoundRobin,
    "least connections": LeastConnections,
    "two choices": TwoChoices,
    "slot tokens": SlotTokens,
    "fixed shares": FixedShares,
}
FAULTS = ("none", "slowdowns", "neighbours", "cold", "fail fast", "lies")


class Simulation:
    """One run of one policy under one kind of fault."""

    def __init__(self, name: str, fault: str, slots: int, seed: int):
        self.rng = random.Random(seed)
        self.fault = fault
        self.targets = [Target(slots) for _ in range(TARGETS)]
        self.policy: Policy = POLICIES[name](
            self.targets, random.Random(seed + 1)
        )
        self.report = Report()
        self.events: list[tuple] = []
        self.ids = itertools.count()
        self.queues = collections.defaultdict(collections.deque)
        self.running: dict[int, tuple] = {}
        self.now = 0.0

    def schedule(self, when: float, func: typing.Callable, *args) -> None:
        """Schedules a call at a virtual time."""
        heapq.heappush(self.events, (when, next(self.ids), func, args))

    def run(self) -> Report:
        """Runs the simulation until no event remains."""
        self._schedule_requests()
        self._schedule_faults()
        while self.events:
            self.now, _, func, args = heapq.heappop(self.events)
            func(*args)
        return self.report

    def _schedule_requests(self) -> None:
        slots = sum(target.slots for target in self.targets)
        rate = LOAD_SHARE * slots / MEAN_SERVICE_MS
        now = 0.0
        while now < DURATION_MS:
            now += self.rng.expovariate(rate)
            work_ms = self.rng.gammavariate(4.0, MEAN_SERVICE_MS / 4)
            entry = self.rng.randrange(ENTRIES)
            self.schedule(now, self._arrive, Request(now, entry, work_ms))

    def _schedule_faults(self) -> None:
        if self.fault == "lies":
            self.targets[0].reports_idle = self.targets[1].reports_idle = True
            self.targets[0].slow_until = DURATION_MS
            self.targets[0].slow_factor = NEIGHBOUR_FACTOR
        now = FAULT_PERIOD_MS
        while now < DURATION_MS and self.fault not in ("none", "lies"):
            target = self.targets[self.rng.randrange(TARGETS)]
            self.schedule(now, self._inject_fault, target)
            now += FAULT_PERIOD_MS

    def _inject_fault(self, target: Target) -> None:
        if self.fault == "slowdowns":
            target.slow_until = self.now + SLOWDOWN_MS
            target.slow_factor = SLOWDOWN_FACTOR
        elif self.fault == "neighbours":
            target.slow_until = self.now + NEIGHBOUR_MS
            target.slow_factor = NEIGHBOUR_FACTOR
        elif self.fault == "cold":
            self._crash(target)
        else:
            target.failing_until = self.now + FAIL_FAST_DURATION_MS

    def _crash(self, target: Target) -> None:
        target.cold_requests = WARM_UP_REQUESTS
        for run_id in list(target.running):
            self._finish(run_id, "broken")

    def _arrive(self, req: Request) -> None:
        self.schedule(self.now + self.policy.delay_ms, self._enqueue, req)

    def _enqueue(self, req: Request) -> None:
        selector = self.policy.selector_for(req.entry)
        self.queues[selector].append(req)
        self._serve_queue(selector)

    def _serve_queue(self, selector: int) -> None:
        queue = self.queues[selector]
        while queue:
            req = queue[0]
            if self.now - req.arrived > DEADLINE_MS:
                self.report.failed += 1
                queue.popleft()
                continue
            number = self.policy.select(selector, self.now, req)
            if number is None:
                return
            queue.popleft()
            self._send(selector, number, req)

    def _send(self, selector: int, number: int, req: Request) -> None:
        target = self.targets[number]
        acquired = self.policy.acquire(selector, number, self.now)
        run_id = next(self.ids)
        self.running[run_id] = (selector, number, acquired, req)
        if self.now < target.failing_until:
            self.schedule(
                self.now + FAILURE_LATENCY_MS, self._finish, run_id, "error"
            )
            return
        target.running.add(run_id)
        if len(target.running) > target.limit:
            self.report.overruns += 1
            if target.cold_requests:
                self.report.crashes += 1
                self._crash(target)
                return
        work_ms = req.work_ms * max(1.0, len(target.running) / target.slots)
        if self.now < target.slow_until:
            work_ms *= target.slow_factor
        self.schedule(self.now + work_ms, self._finish, run_id, "ok")

    def _finish(self, run_id: int, outcome: str) -> None:
        if run_id not in self.running:
            return
        selector, number, acquired, req = self.running.pop(run_id)
        target = self.targets[number]
        target.running.discard(run_id)
        self.policy.release(selector, number, acquired, self.now, outcome)
        if outcome == "ok":
            target.cold_requests = max(0, target.cold_requests - 1)
            self.report.latencies.append(self.now - req.arrived)
        else:
            self._retry(req, number)
        self.schedule(self.now, self._serve_queue, selector)

    def _retry(self, req: Request, number: int) -> None:
        req.attempts += 1
        req.excluded |= {number}
        if req.attempts >= MAX_ATTEMPTS:
            self.report.failed += 1
        else:
            self.schedule(self.now, self._arrive, req)


def measure(name: str, fault: str, slots: int, seed: int) -> dict:
    """Returns the figures of one policy under one kind of fault."""
    simulation = Simulation(name, fault, slots, seed)
    report = simulation.run()
    messages_per_s = simulation.policy.messages / DURATION_MS * 1000
    return {
        "fault": fault,
        "way": name,
        "p50_ms": round(report.quantile(0.5), 1),
        "p99_ms": round(report.quantile(0.99), 1),
        "p99.9_ms": round(report.quantile(0.999), 1),
        "answered": len(report.latencies),
        "failed": report.failed,
        "overruns": report.overruns,
        "crashes": report.crashes,
        "messages/s": round(messages_per_s),
        "bytes/s": round(messages_per_s * simulation.policy.message_bytes),
    }


def main() -> None:
    """Prints one table, or one JSON line, for each deployment."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--way", choices=list(POLICIES))
    args = parser.parse_args()
    names = [args.way] if args.way else list(POLICIES)
    for deployment, slots in SLOTS.items():
        rows = [
            measure(name, fault, slots, args.seed)
            for fault in FAULTS
            for name in names
        ]
        if args.json:
            print(json.dumps({"deployment": deployment, "rows": rows}))
            continue
        print(f"\n{deployment}, {slots} slots, seed {args.seed}\n")
        print("| " + " | ".join(rows[0]) + " |")
        print("|" + "---|" * len(rows[0]))
        for row in rows:
            print("| " + " | ".join(str(v) for v in row.values()) + " |")


if __name__ == "__main__":
    main()
