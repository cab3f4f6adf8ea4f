"""Compares ways to place requests on small targets with noisy neighbours.

Targets have 2 or 3 slots, are slowed by a factor in spans of some length, slow
down when nearly full, and some requests take many times as long as others. All
ways get the same requests, work and noise. Virtual time; a probe and its answer
take one round trip.
"""

import argparse
import collections
import dataclasses
import itertools
import random
import typing

from cardamomkeel import clock
from cardamomkeel.policy import placement
from cardamomkeel.policy import saturation

STEP_MS = 2.0
PROBE_MS = 1.0
TARGETS = 40
ENTRIES = 30
SPAN_MS = 150.0
NOISE_FACTOR = 5.0
KNEE_FACTOR = 1.7
TAIL_FACTOR = 7.0
DURATION_MS = 30_000.0
# Probe rounds of the product's selection.
ROUNDS = 4


@dataclasses.dataclass(frozen=True)
class Load:
    """What is asked and by which targets it is served.

    Attributes:
        name: Its name in the results.
        slots: Slots of a target.
        work_ms: Mean work of a request.
        objective_ms: When an answer is late.
        noise: Share of the time in which a target is slowed.
        tail: Share of the requests with `TAIL_FACTOR` times the work.
    """

    name: str
    slots: int
    work_ms: clock.Millis
    objective_ms: clock.Millis
    noise: float
    tail: float


LOADS = (
    Load("3 slots, tail", 3, 140.0, 480.0, 0.25, 0.03),
    Load("2 slots, tight", 2, 120.0, 250.0, 0.3, 0.0),
)


@dataclasses.dataclass(slots=True)
class Request:
    """A request.

    Attributes:
        arrived: When it arrived.
        entry: The entry that places it.
        left_ms: The work that is left.
        placed: Whether it has a target.
    """

    arrived: clock.Millis
    entry: int
    left_ms: clock.Millis
    placed: bool = False


class Targets:
    """The simulated targets; what a way may know of them are its probes."""

    def __init__(self, load: Load, seed: int):
        self.load = load
        self.rng = random.Random(f"noise {seed}")
        self.running: list[list[Request]] = [[] for _ in range(TARGETS)]
        self.queues: list[list[Request]] = [[] for _ in range(TARGETS)]
        self.offsets = [self.rng.uniform(0, SPAN_MS) for _ in range(TARGETS)]
        self.spans: dict[tuple[int, int], bool] = {}
        self.probes = 0
        self.idle: list[collections.deque[int]] = [
            collections.deque() for _ in range(ENTRIES)
        ]
        for target in range(TARGETS):
            self.idle[self.rng.randrange(ENTRIES)].append(target)

    def is_slowed(self, target: int, now: clock.Millis) -> bool:
        """Returns whether neighbours slow a target at some time."""
        span = (target, int((now + self.offsets[target]) // SPAN_MS))
        if span not in self.spans:
            self.spans[span] = self.rng.random() < self.load.noise
        return self.spans[span]

    def slowdown(self, target: int, now: clock.Millis) -> float:
        """Returns the time that work takes, as a multiple of the usual one."""
        return NOISE_FACTOR if self.is_slowed(target, now) else 1.0

    def count(self, target: int) -> int:
        """Returns how many requests a target runs or keeps waiting."""
        return len(self.running[target]) + len(self.queues[target])

    def probe(self, target: int, now: clock.Millis) -> tuple[int, float]:
        """Returns the load and slowdown that a target reports."""
        self.probes += 1
        return self.count(target), self.slowdown(target, now)

    def place(self, target: int, request: Request) -> None:
        """Sends a request to a target."""
        request.placed = True
        if len(self.running[target]) < self.load.slots:
            self.running[target].append(request)
        else:
            self.queues[target].append(request)

    def work(self, now: clock.Millis) -> list[tuple[Request, int]]:
        """Works for one step; returns the requests that ended, by target."""
        ended = []
        fast = saturation.count_fast_slots(self.load.slots)
        for target, running in enumerate(self.running):
            if not running:
                continue
            done = STEP_MS / self.slowdown(target, now)
            if len(running) > fast:
                done /= KNEE_FACTOR
            for request in list(running):
                request.left_ms -= done
                if request.left_ms <= 0:
                    running.remove(request)
                    ended.append((request, target))
            while self.queues[target] and len(running) < self.load.slots:
                running.append(self.queues[target].pop(0))
            if not running:
                self.idle[self.rng.randrange(ENTRIES)].append(target)
        return ended


class Way(typing.Protocol):
    """Picks a target; returns None to wait."""

    def __call__(
        self,
        targets: Targets,
        request: Request,
        now: clock.Millis,
        rng: random.Random,
        /,
    ) -> int | None:
        """Returns a target or None."""
        ...


def _rank(
    targets: Targets,
    request: Request,
    known: dict[int, tuple[int, float]],
    now: clock.Millis,
    rng: random.Random,
) -> list[int]:
    """Ranks targets as the product does, by what probes told."""
    load = targets.load
    slots = saturation.count_useful_slots(load.slots, KNEE_FACTOR)
    options = []
    for target in range(TARGETS):
        probed = known.get(target)
        running, slowdown = probed or (0, 1.0)
        options.append(
            placement.Option(
                target,
                near=True,
                slots=load.slots,
                useful_slots=slots,
                running=running,
                work_ms=load.work_ms * slowdown,
                failures=0.0,
                is_load_known=probed is not None,
                likely_running=0.4 * load.slots,
                likely_slowdown=1.0 if probed else 1.5,
                is_preferred=(target + request.entry) % TARGETS < TARGETS // 2,
                saturation_factor=KNEE_FACTOR,
            )
        )
    left_ms = request.arrived + load.objective_ms - now
    late = left_ms < load.work_ms
    demand = placement.Demand.LATE if late else placement.Demand.IN_TIME
    ranked = placement.rank(
        options, left_ms, left_ms + 3000.0, demand, True, rng
    )
    return [option.index for option in ranked]


def place_as_product(
    targets: Targets,
    request: Request,
    now: clock.Millis,
    rng: random.Random,
) -> int | None:
    """Probes the best ranked targets until one that was probed is best."""
    known: dict[int, tuple[int, float]] = {}
    for number in range(ROUNDS):
        ranked = _rank(targets, request, known, now, rng)
        if not ranked or ranked[0] in known:
            break
        unknown = [target for target in ranked if target not in known]
        for target in unknown[: 1 + number]:
            known[target] = targets.probe(target, now)
    ranked = _rank(targets, request, known, now, rng)
    return ranked[0] if ranked and ranked[0] in known else None


def make_choices(count: int) -> Way:
    """Returns the way that probes some random targets."""

    def place(
        targets: Targets,
        _request: Request,
        now: clock.Millis,
        rng: random.Random,
    ) -> int | None:
        chosen = rng.sample(range(TARGETS), count)
        costs = {}
        for target in chosen:
            running, slowdown = targets.probe(target, now)
            costs[target] = (running + 1) * slowdown
        return min(costs, key=costs.get)

    return place


def join_idle_queue(
    targets: Targets,
    request: Request,
    _now: clock.Millis,
    rng: random.Random,
) -> int | None:
    """Takes a target that told this entry that it is idle, else any."""
    idle = targets.idle[request.entry]
    while idle:
        target = idle.popleft()
        if not targets.count(target):
            return target
    return rng.randrange(TARGETS)


def least_expected_wait(
    targets: Targets,
    _request: Request,
    now: clock.Millis,
    rng: random.Random,
) -> int | None:
    """Picks by the load of all targets, which only a simulation knows."""
    fast = saturation.count_fast_slots(targets.load.slots)

    def cost(target: int) -> tuple[float, float]:
        count = targets.count(target) + 1
        expected = targets.slowdown(target, now)
        if count > fast:
            expected *= KNEE_FACTOR
        expected *= max(1.0, count / targets.load.slots)
        return expected, rng.random()

    return min(range(TARGETS), key=cost)


WAYS: dict[str, Way] = {
    "as the product": place_as_product,
    "two choices": make_choices(2),
    "four choices": make_choices(4),
    "join idle queue": join_idle_queue,
    "least expected wait": least_expected_wait,
}


@dataclasses.dataclass
class Result:
    """What became of the requests of one run.

    Attributes:
        count: Number of requests.
        late: Number of late ones.
        probes: Number of probes.
        took_ms: Time to the answer of each.
    """

    count: int = 0
    late: int = 0
    probes: int = 0
    took_ms: list[clock.Millis] = dataclasses.field(default_factory=list)


def run(load: Load, used: float, way: Way, seed: int) -> Result:
    """Serves one load.

    Args:
        load: The load.
        used: Share of the slots that the work takes at usual speed.
        way: How requests are placed.
        seed: Draws requests and noise.
    """
    rng = random.Random(f"requests {seed}")
    choice_rng = random.Random(f"choices {seed}")
    targets = Targets(load, seed)
    mean_ms = load.work_ms * (1 + load.tail * (TAIL_FACTOR - 1))
    per_ms = used * TARGETS * load.slots / mean_ms
    result = Result()
    waiting: list[Request] = []
    next_arrival = rng.expovariate(per_ms)
    for step in itertools.count():
        now = step * STEP_MS
        if now > DURATION_MS and not waiting and not any(targets.running):
            break
        while next_arrival <= now and now <= DURATION_MS:
            work_ms = load.work_ms * rng.lognormvariate(-0.045, 0.3)
            if rng.random() < load.tail:
                work_ms *= TAIL_FACTOR
            waiting.append(
                Request(next_arrival, rng.randrange(ENTRIES), work_ms)
            )
            next_arrival += rng.expovariate(per_ms)
        for request in waiting:
            target = way(targets, request, now, choice_rng)
            if target is not None:
                targets.place(target, request)
        waiting = [request for request in waiting if not request.placed]
        for request, _ in targets.work(now):
            took_ms = now + STEP_MS + 2 * PROBE_MS - request.arrived
            result.count += 1
            result.late += took_ms > load.objective_ms
            result.took_ms.append(took_ms)
    result.probes = targets.probes
    return result


def main() -> None:
    """Prints a table of all ways."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    print("| load | used | way | late % | p50 ms | p99 ms | probes/request |")
    print("|---|---|---|---|---|---|---|")
    for load, used in itertools.product(LOADS, (0.2, 0.35, 0.5)):
        for name, way in WAYS.items():
            result = run(load, used, way, args.seed)
            times = sorted(result.took_ms)
            print(
                f"| {load.name} | {used} | {name} "
                f"| {100 * result.late / result.count:.1f} "
                f"| {times[len(times) // 2]:.0f} "
                f"| {times[len(times) * 99 // 100]:.0f} "
                f"| {result.probes / result.count:.1f} |",
                flush=True,
            )


if __name__ == "__main__":
    main()
