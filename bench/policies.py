"""Compares ways to choose a target, in virtual time and in one process.

Every way gets the same requests and the same faults from one seed. Targets
that are given more than their slots get slower; a target in cold start that
is given too much crashes, breaks what it runs and starts cold again.
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
LOAD = 0.5
MAX_ATTEMPTS = 3
WARM_UP_RUNS = 20
FAIL_MS = 0.3
REPORT_PERIOD_MS = 100.0
REPORT_BYTES = 700
TOKEN_BYTES = 150
TOKEN_DELAY_MS = 1.0
OWNERS = 2
FAULT_PERIOD_MS = 100.0
SLOW_FACTOR = 20.0
SLOW_MS = 200.0
NEIGHBOUR_FACTOR = 3.0
NEIGHBOUR_MS = 50.0
FAIL_FAST_MS = 300.0
SLOTS = {"ar-gwenn-skouarn": 3, "cart-commons": 6}


@dataclasses.dataclass
class Target:
    """A simulated backend server."""

    slots: int
    running: set[int] = dataclasses.field(default_factory=set)
    cold_runs: int = 0
    slow_until: float = 0.0
    factor: float = 1.0
    fails_until: float = 0.0
    lies: bool = False

    @property
    def limit(self) -> int:
        """How many requests it can bear now."""
        return 1 if self.cold_runs else self.slots


@dataclasses.dataclass(eq=False)
class Request:
    """A simulated request."""

    arrived: float
    entry: int
    work_ms: float
    attempts: int = 0
    excluded: frozenset[int] = frozenset()


@dataclasses.dataclass
class Report:
    """What one way did in one run."""

    latencies: list[float] = dataclasses.field(default_factory=list)
    failed: int = 0
    overruns: int = 0
    crashes: int = 0

    def quantile(self, share: float) -> float:
        """Returns a quantile of the latency of answers."""
        ordered = sorted(self.latencies)
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


class Way(typing.Protocol):
    """A way to choose a target.

    Attributes:
        delay_ms: What one choice costs.
        messages: Messages of measuring so far.
        message_bytes: The size of one message.
    """

    delay_ms: float
    messages: int
    message_bytes: int

    def chooser(self, entry: int) -> int:
        """Returns who chooses for requests of an entry."""

    def choose(self, chooser: int, now: float, req: Request) -> int | None:
        """Returns a target, or None where the request has to wait."""

    def take(self, chooser: int, target: int, now: float) -> typing.Any:
        """Counts a request as given."""

    def end(
        self, chooser: int, target: int, taken: typing.Any, now: float, ok: str
    ) -> None:
        """Counts a request as ended: `ok`, `error` or `broken`."""


class _Base:
    """What most ways have in common."""

    delay_ms = 0.0
    message_bytes = 0

    def __init__(self, targets: list[Target], rng: random.Random):
        self.targets = targets
        self.rng = rng
        self.messages = 0

    def chooser(self, entry: int) -> int:
        """Returns the entry itself."""
        return entry

    def _allowed(self, req: Request) -> list[int]:
        return [t for t in range(len(self.targets)) if t not in req.excluded]

    def take(self, chooser: int, target: int, now: float) -> typing.Any:
        """Counts nothing."""
        return None

    def end(self, chooser, target, taken, now, ok) -> None:
        """Counts nothing."""


class Random(_Base):
    """Any target, whatever its load."""

    @typing_extensions.override
    def choose(self, chooser, now, req):
        return self.rng.choice(self._allowed(req))


class RoundRobin(_Base):
    """Each entry goes through the targets in turn."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.turn = [rng.randrange(len(targets)) for _ in range(ENTRIES)]

    @typing_extensions.override
    def choose(self, chooser, now, req):
        while True:
            self.turn[chooser] += 1
            target = self.turn[chooser] % len(self.targets)
            if target not in req.excluded:
                return target


class LeastConnections(_Base):
    """Each entry takes the target with the fewest requests of its own."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.counts = collections.Counter()

    @typing_extensions.override
    def choose(self, chooser, now, req):
        return min(
            self._allowed(req),
            key=lambda t: (self.counts[chooser, t], self.rng.random()),
        )

    @typing_extensions.override
    def take(self, chooser, target, now):
        self.counts[chooser, target] += 1

    @typing_extensions.override
    def end(self, chooser, target, taken, now, ok):
        self.counts[chooser, target] -= 1


class TwoChoices(_Base):
    """The better one of two, by reports that targets send now and then."""

    message_bytes = REPORT_BYTES

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.reported = [0] * len(targets)
        self.reported_at = float("-inf")

    @typing_extensions.override
    def choose(self, chooser, now, req):
        if now - self.reported_at >= REPORT_PERIOD_MS:
            self.reported_at = now
            self.messages += len(self.targets) * ENTRIES
            self.reported = [
                0 if t.lies else len(t.running) for t in self.targets
            ]
        pair = self.rng.sample(self._allowed(req), 2)
        return min(pair, key=lambda t: self.reported[t])


class Ownership(_Base):
    """The product's own policy: owners that know what they gave."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.candidates = [
            least_cost.Candidate(
                str(number),
                slots_lib.Slots(target.slots, warm_up_requests=WARM_UP_RUNS),
                least_cost.Health(),
            )
            for number, target in enumerate(targets)
        ]
        for candidate in self.candidates:
            candidate.slots.limit = candidate.slots.slots

    @typing_extensions.override
    def chooser(self, entry):
        return entry % OWNERS

    @typing_extensions.override
    def choose(self, chooser, now, req):
        excluded = frozenset(str(number) for number in req.excluded)
        chosen = least_cost.select(
            self.candidates[chooser::OWNERS], excluded, now, self.rng
        )
        return None if chosen is None else int(chosen.address)

    @typing_extensions.override
    def take(self, chooser, target, now):
        return self.candidates[target].slots.acquire(now, DEADLINE_MS)

    @typing_extensions.override
    def end(self, chooser, target, taken, now, ok):
        candidate = self.candidates[target]
        candidate.slots.release(taken)
        candidate.health.record_result(now - taken.started, ok != "ok", now)
        if ok == "ok":
            candidate.slots.record_success(taken)
        elif ok == "broken":
            candidate.slots.reset_to_cold_start()


class Tokens(_Base):
    """One place hands out every slot, for one round trip each."""

    delay_ms = TOKEN_DELAY_MS
    message_bytes = TOKEN_BYTES

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.taken = [0] * len(targets)

    @typing_extensions.override
    def chooser(self, entry):
        return 0

    @typing_extensions.override
    def choose(self, chooser, now, req):
        free = [
            t
            for t in self._allowed(req)
            if self.taken[t] < self.targets[t].slots
        ]
        if not free:
            return None
        return min(free, key=lambda t: (self.taken[t], self.rng.random()))

    @typing_extensions.override
    def take(self, chooser, target, now):
        self.taken[target] += 1
        self.messages += 3

    @typing_extensions.override
    def end(self, chooser, target, taken, now, ok):
        self.taken[target] -= 1


class FixedShares(_Base):
    """Every entry has some slots of its own, for good."""

    def __init__(self, targets, rng):
        super().__init__(targets, rng)
        self.free: list[list[int]] = [[] for _ in range(ENTRIES)]
        slots = [
            t for t in range(len(targets)) for _ in range(targets[t].slots)
        ]
        rng.shuffle(slots)
        for number, target in enumerate(slots):
            self.free[number % ENTRIES].append(target)

    @typing_extensions.override
    def choose(self, chooser, now, req):
        free = [t for t in self.free[chooser] if t not in req.excluded]
        return self.rng.choice(free) if free else None

    @typing_extensions.override
    def take(self, chooser, target, now):
        self.free[chooser].remove(target)

    @typing_extensions.override
    def end(self, chooser, target, taken, now, ok):
        self.free[chooser].append(target)


WAYS = {
    "ownership": Ownership,
    "random": Random,
    "round robin": RoundRobin,
    "least connections": LeastConnections,
    "two choices": TwoChoices,
    "slot tokens": Tokens,
    "fixed shares": FixedShares,
}
FAULTS = ("none", "slowdowns", "neighbours", "cold", "fail fast", "lies")


class Simulation:
    """One run of one way under one kind of fault."""

    def __init__(self, name: str, fault: str, slots: int, seed: int):
        self.rng = random.Random(seed)
        self.fault = fault
        self.targets = [Target(slots) for _ in range(TARGETS)]
        self.way: Way = WAYS[name](self.targets, random.Random(seed + 1))
        self.report = Report()
        self.events: list[tuple] = []
        self.numbers = itertools.count()
        self.queues = collections.defaultdict(collections.deque)
        self.running: dict[int, tuple] = {}
        self.now = 0.0

    def at(self, when: float, func: typing.Callable, *args) -> None:
        """Has something happen at a time."""
        heapq.heappush(self.events, (when, next(self.numbers), func, args))

    def run(self) -> Report:
        """Runs to the end."""
        self._plan_requests()
        self._plan_faults()
        while self.events:
            self.now, _, func, args = heapq.heappop(self.events)
            func(*args)
        return self.report

    def _plan_requests(self) -> None:
        slots = sum(target.slots for target in self.targets)
        rate = LOAD * slots / MEAN_SERVICE_MS
        now = 0.0
        while now < DURATION_MS:
            now += self.rng.expovariate(rate)
            work_ms = self.rng.gammavariate(4.0, MEAN_SERVICE_MS / 4)
            entry = self.rng.randrange(ENTRIES)
            self.at(now, self._arrive, Request(now, entry, work_ms))

    def _plan_faults(self) -> None:
        if self.fault == "lies":
            self.targets[0].lies = self.targets[1].lies = True
            self.targets[0].slow_until = DURATION_MS
            self.targets[0].factor = NEIGHBOUR_FACTOR
        now = FAULT_PERIOD_MS
        while now < DURATION_MS and self.fault not in ("none", "lies"):
            target = self.targets[self.rng.randrange(TARGETS)]
            self.at(now, self._break, target)
            now += FAULT_PERIOD_MS

    def _break(self, target: Target) -> None:
        if self.fault == "slowdowns":
            target.slow_until = self.now + SLOW_MS
            target.factor = SLOW_FACTOR
        elif self.fault == "neighbours":
            target.slow_until = self.now + NEIGHBOUR_MS
            target.factor = NEIGHBOUR_FACTOR
        elif self.fault == "cold":
            self._crash(target)
        else:
            target.fails_until = self.now + FAIL_FAST_MS

    def _crash(self, target: Target) -> None:
        target.cold_runs = WARM_UP_RUNS
        for number in list(target.running):
            self._end(number, "broken")

    def _arrive(self, req: Request) -> None:
        self.at(self.now + self.way.delay_ms, self._queue, req)

    def _queue(self, req: Request) -> None:
        chooser = self.way.chooser(req.entry)
        self.queues[chooser].append(req)
        self._serve(chooser)

    def _serve(self, chooser: int) -> None:
        queue = self.queues[chooser]
        while queue:
            req = queue[0]
            if self.now - req.arrived > DEADLINE_MS:
                self.report.failed += 1
                queue.popleft()
                continue
            number = self.way.choose(chooser, self.now, req)
            if number is None:
                return
            queue.popleft()
            self._send(chooser, number, req)

    def _send(self, chooser: int, number: int, req: Request) -> None:
        target = self.targets[number]
        taken = self.way.take(chooser, number, self.now)
        run = next(self.numbers)
        self.running[run] = (chooser, number, taken, req)
        if self.now < target.fails_until:
            self.at(self.now + FAIL_MS, self._end, run, "error")
            return
        target.running.add(run)
        if len(target.running) > target.limit:
            self.report.overruns += 1
            if target.cold_runs:
                self.report.crashes += 1
                self._crash(target)
                return
        work_ms = req.work_ms * max(1.0, len(target.running) / target.slots)
        if self.now < target.slow_until:
            work_ms *= target.factor
        self.at(self.now + work_ms, self._end, run, "ok")

    def _end(self, run: int, ok: str) -> None:
        if run not in self.running:
            return
        chooser, number, taken, req = self.running.pop(run)
        target = self.targets[number]
        target.running.discard(run)
        self.way.end(chooser, number, taken, self.now, ok)
        if ok == "ok":
            target.cold_runs = max(0, target.cold_runs - 1)
            self.report.latencies.append(self.now - req.arrived)
        else:
            self._retry(req, number)
        self.at(self.now, self._serve, chooser)

    def _retry(self, req: Request, number: int) -> None:
        req.attempts += 1
        req.excluded |= {number}
        if req.attempts >= MAX_ATTEMPTS:
            self.report.failed += 1
        else:
            self.at(self.now, self._arrive, req)


def measure(name: str, fault: str, slots: int, seed: int) -> dict:
    """Returns the figures of one way under one kind of fault."""
    run = Simulation(name, fault, slots, seed)
    report = run.run()
    per_second = run.way.messages / DURATION_MS * 1000
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
        "messages/s": round(per_second),
        "bytes/s": round(per_second * run.way.message_bytes),
    }


def main() -> None:
    """Prints one table for each deployment."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    parser.add_argument("--way", choices=list(WAYS))
    args = parser.parse_args()
    ways = [args.way] if args.way else list(WAYS)
    for deployment, slots in SLOTS.items():
        rows = [
            measure(name, fault, slots, args.seed)
            for fault in FAULTS
            for name in ways
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
