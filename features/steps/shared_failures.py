"""Steps about entries that tell each other which targets fail."""

import heapq
import itertools
import random

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.policy import placement
from cardamomkeel.policy import unanswered
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

SERVICE = "a"
SEED = 1
WORK_MS = 210.0
FAILURE_MS = 120.0
ROUTE = document_lib.Route(
    host="desk.example",
    prefix="/a/",
    parts=(document_lib.Part(service=SERVICE, weight=1.0),),
    idempotent=False,
    timeout_ms=1500.0,
    objective_ms=500.0,
)


class Entry:
    """One entry, whose datagrams reach all others at once."""

    def __init__(self, name, clk, rows):
        self.clock = clk
        self.gossip = gossip_lib.Gossip(name, clk, lambda: None)
        self.gossip.schedule_send = lambda: None
        self.targets = targets_lib.Targets("brest", name, self.gossip, clk)
        self.gossip._targets = self.targets  # noqa: SLF001
        view = view_lib.View(instances=rows)
        self.targets.apply_changes(view, view.pop_changes())

    def connect(self, others):
        """Connects the entry to the others."""
        self.gossip._addresses = others  # noqa: SLF001
        self.gossip._transport = self  # noqa: SLF001

    def sendto(self, data, other):
        """Delivers a datagram."""
        other.gossip._receive(data)  # noqa: SLF001

    def choose(self, rng):
        """Returns the target of a request, or None."""
        ranked = self.targets.rank(
            *(SERVICE, ROUTE, (), ROUTE.objective_ms, ROUTE.timeout_ms),
            *(placement.Demand.IN_TIME, True, rng),
        )
        return ranked[0] if ranked else None


class Simulation:
    """Requests at several entries, in virtual time.

    Attributes:
        hangs: Whether a request that fails is never answered.
        counts: The number of requests, by whether they failed.
        runs: The time and address of each request that was sent.
    """

    def __init__(self, entries, targets, failing, part, hangs=False):
        self.hangs = hangs
        self.rng = random.Random(SEED)
        self.clock = clock.ManualClock()
        self.part = part
        rows = {}
        for number in range(targets):
            address = f"10.0.0.{number + 1}:80"
            rows[address] = control_pb2.InstanceRecord(
                address=address,
                instance=f"i-{number}",
                service=SERVICE,
                data_centre="brest",
                slots=3,
                state="ready",
            )
        self.failing = set(list(rows)[:failing])
        self.entries = [
            Entry(f"entry-{number}", self.clock, rows)
            for number in range(entries)
        ]
        for entry in self.entries:
            entry.connect([e for e in self.entries if e is not entry])
        self.counts = {True: 0, False: 0}
        self.runs = []

    def serve(self, rate, seconds):
        """Serves requests for some time."""
        numbers = itertools.count()
        events = []
        at = self.clock.now()
        until = at + seconds * 1000
        while at < until:
            at += self.rng.expovariate(rate / 1000)
            heapq.heappush(events, (at, next(numbers), None))
        while events:
            at, _, run = heapq.heappop(events)
            self.clock.advance(max(0.0, at - self.clock.now()))
            if run is not None:
                handle, *args = run
                handle(*args)
                continue
            entry = self.rng.choice(self.entries)
            target = entry.choose(self.rng)
            if target is None:
                continue
            self.runs.append((at, target.address))
            entry.targets.record_start(target)
            fails = (
                target.address in self.failing
                and self.rng.random() * 100 < self.part
            )
            took_ms = FAILURE_MS if fails else WORK_MS
            if fails and self.hangs:
                took_ms = ROUTE.timeout_ms
                work = entry.targets.get_work(SERVICE, ROUTE)
                limit_ms = unanswered.limit_ms(
                    work.expect_ms(), ROUTE.objective_ms
                )
                run = (self._note_unanswered, entry, target, work, limit_ms)
                heapq.heappush(events, (at + limit_ms, next(numbers), run))
            run = (self._end, entry, target, fails, took_ms)
            heapq.heappush(events, (at + took_ms, next(numbers), run))

    def _note_unanswered(self, entry, target, work, limit_ms):
        entry.targets.record_unanswered(target, work, limit_ms)
        entry.gossip._send()  # noqa: SLF001

    def _end(self, entry, target, fails, took_ms):
        now = self.clock.now()
        entry.targets.record_end(target)
        self.counts[fails] += 1
        work = entry.targets.get_work(SERVICE, ROUTE)
        if fails and self.hangs:
            target.note_late(work, took_ms, now)
        elif fails:
            target.note_failure(now)
        else:
            target.note_answer(work, took_ms, 1.0, False, now)
        entry.gossip._send()  # noqa: SLF001


@given(
    "{entries:d} entries with {targets:d} targets, of which {failing:d} fail "
    "{part:d} in 100 requests"
)
def make(context, entries, targets, failing, part):
    context.simulation = Simulation(entries, targets, failing, part)


@given(
    "{entries:d} entries with {targets:d} targets, of which {failing:d} never "
    "answer {part:d} in 100 requests"
)
def make_hanging(context, entries, targets, failing, part):
    context.simulation = Simulation(entries, targets, failing, part, True)


@when("they serve {rate:d} requests a second in all for {seconds:d} s")
def serve(context, rate, seconds):
    context.rate = rate
    context.simulation.serve(rate, seconds)


@then("at most {most:d} in 100 requests meet a failure")
def check_failures(context, most):
    counts = context.simulation.counts
    share = 100 * counts[True] / sum(counts.values())
    print(f"{share:.1f} in 100 met a failure")
    assert share <= most, counts


@then(
    "the targets that fail get work again within {seconds:d} s after they have "
    "recovered"
)
def check_recovery(context, seconds):
    simulation = context.simulation
    simulation.part = 0
    since = simulation.clock.now()
    simulation.serve(context.rate, seconds)
    used = {address for at, address in simulation.runs if at >= since}
    assert simulation.failing <= used, simulation.failing - used
