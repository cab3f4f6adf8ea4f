"""Steps about two routes of one service, in virtual time."""

import dataclasses
import heapq
import random

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.policy import placement
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

SEED = 1
SERVICE = "a"
# The shares of all work.
SHARES = {"short": 0.2, "long": 0.8}


@dataclasses.dataclass(order=True)
class Request:
    """A request of one of the routes."""

    arrived: float
    name: str


@dataclasses.dataclass
class Run:
    """A request that a target runs."""

    target: object
    req: Request
    began: float
    is_crowded: bool


class Simulation:
    """One entry that sends the requests of two routes to all targets.

    Attributes:
        routes: The routes, by name.
        work_ms: The usual work time of each route.
        counts: The requests of each route, by how they ended.
        too_early: Requests that were given up although a target that began at
            once would have answered in time.
    """

    def __init__(self, count, slots):
        self.rng = random.Random(SEED)
        self.clock = clock.ManualClock()
        self.slots = count * slots
        self.routes = {}
        self.work_ms = {}
        self.counts = {}
        self.too_early = []
        gossip = gossip_lib.Gossip("own", self.clock, lambda: None)
        self.targets = targets_lib.Targets("brest", "own", gossip, self.clock)
        rows = [
            control_pb2.InstanceRecord(
                address=f"10.0.0.{number + 1}:80",
                instance=f"i-{number}",
                service=SERVICE,
                data_centre="brest",
                slots=slots,
                state="ready",
            )
            for number in range(count)
        ]
        view = view_lib.View(instances={row.address: row for row in rows})
        self.targets.apply_changes(view, view.pop_changes())
        self.waiting = []
        self.ends = []

    def add_route(self, name, work_ms, objective_ms):
        """Adds a route."""
        self.work_ms[name] = work_ms
        self.counts[name] = {"in time": 0, "late": 0, "given up": 0}
        self.routes[name] = document_lib.Route(
            host="desk.example",
            prefix=f"/{name}/",
            parts=(document_lib.Part(service=SERVICE, weight=1.0),),
            idempotent=True,
            timeout_ms=objective_ms * 3.0,
            objective_ms=float(objective_ms),
        )

    def run(self, part, seconds):
        """Plays requests that need a part of all slots."""
        arrivals = []
        for name, share in SHARES.items():
            per_ms = part * share * self.slots / self.work_ms[name]
            arrivals += [
                Request(self.rng.uniform(0, seconds * 1000), name)
                for _ in range(int(per_ms * seconds * 1000))
            ]
        arrivals.sort(reverse=True)
        while arrivals or self.waiting or self.ends:
            next_arrival = arrivals[-1].arrived if arrivals else float("inf")
            next_end = self.ends[0][0] if self.ends else float("inf")
            self.clock.advance(
                max(0.0, min(next_arrival, next_end) - self.clock.now())
            )
            if next_end <= next_arrival:
                self._end(heapq.heappop(self.ends)[-1])
            else:
                self.waiting.append(arrivals.pop())
            self._serve_waiting()

    def _end(self, run):
        now = self.clock.now()
        self.targets.record_end(run.target)
        route = self.routes[run.req.name]
        work = self.targets.get_work(SERVICE, route)
        run.target.note_answer(work, now - run.began, 1.0, run.is_crowded, now)
        in_time = now - run.req.arrived <= route.objective_ms
        self.counts[run.req.name]["in time" if in_time else "late"] += 1

    def _serve_waiting(self):
        """Sends what can be sent, and gives up what would be late."""
        remaining = []
        for req in self.waiting:
            if not self._try_send(req):
                remaining.append(req)
        self.waiting = remaining

    def _try_send(self, req):
        now = self.clock.now()
        route = self.routes[req.name]
        useful_ms = req.arrived + route.objective_ms - now
        if useful_ms < self.targets.expect_ms(SERVICE, route):
            self.counts[req.name]["given up"] += 1
            if useful_ms > self.work_ms[req.name] * 1.3:
                self.too_early.append((req, useful_ms))
            return True
        ranked = self.targets.rank(
            *(SERVICE, route, (), useful_ms, useful_ms + route.timeout_ms),
            *(placement.Demand.IN_TIME, True, self.rng),
        )
        if not ranked:
            return False
        target = ranked[0]
        is_crowded = self.targets.is_crowded(target)
        self.targets.record_start(target)
        took_ms = self.work_ms[req.name] * self.rng.uniform(0.7, 1.3)
        run = Run(target, req, now, is_crowded)
        heapq.heappush(self.ends, (now + took_ms, id(run), run))
        return True


@given("{count:d} targets with {slots:d} slots that serve two routes")
def make(context, count, slots):
    context.simulation = Simulation(count, slots)


@given(
    "requests of the {name} route take {work:d} ms and are useful within "
    "{objective:d} ms"
)
def add_route(context, name, work, objective):
    context.simulation.add_route(name, work, objective)


@when(
    "the two routes use {part:d} in 100 of the slots for {seconds:d} s, the "
    "short one a fifth of it"
)
def run(context, part, seconds):
    context.simulation.run(part / 100, seconds)


@then(
    "at least {least:d} in 100 requests of the {name} route are answered in "
    "time"
)
def check_in_time(context, least, name):
    counts = context.simulation.counts[name]
    print(f"{name}: {counts}")
    assert 100 * counts["in time"] >= least * sum(counts.values()), counts


@then("no request is given up while it can still be answered in time")
def check_given_up(context):
    too_early = context.simulation.too_early
    assert not too_early, (len(too_early), too_early[:3])
