"""Steps about requests that leave their data centre, in virtual time."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import types

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import data_centre_choice
from cardamomkeel.gateway import data_centre_reports
from cardamomkeel.gateway import settings as settings_lib

PLACES = ("a", "b", "c")
SLOTS = 24
ENTRIES = 5
WORK_MS = 120.0
OBJECTIVE_MS = 300.0
NEAR_WAIT_MS = OBJECTIVE_MS / 4
PERIOD_MS = 13_000.0
EVENT_MS = 4000.0
# After this time no request may leave to targets that are out of reach.
REPORTED_MS = 1500.0
SERVICE = "search"


@dataclasses.dataclass
class Load:
    """What callers, targets and the network do."""

    demand: list[float]
    swing: float
    event: str = "nothing"
    reports: str = "in time"


class _Play:
    """Three data centres that serve one load, with or without the decision."""

    def __init__(self, load, max_share, seconds):
        self.load = load
        self.rng = random.Random(7)
        self.clock = clock.ManualClock(1000.0)
        self.slots = dict.fromkeys(PLACES, SLOTS)
        self.running = collections.Counter()
        self.waiting = {place: [] for place in PLACES}
        self.events = []
        self.order = itertools.count()
        self.choices, self.by_address = {}, {}
        self.asked = self.in_time = self.left = self.mutual = self.updates = 0
        self.drawn_to_out = 0
        self.until = self.clock.now() + seconds * 1000.0
        names = [(p, f"{p}-{n}") for p in PLACES for n in range(ENTRIES)]
        entries = {n: (p, f"10.0.0.{i}:7") for i, (p, n) in enumerate(names)}
        for number, (place, name) in enumerate(names):
            reports = data_centre_reports.DataCentreReports(
                name, place, self.carrier(place), self.clock
            )
            reports.set_entries(entries)
            self.by_address[(f"10.0.0.{number}", 7)] = (place, reports)
            own = collections.Counter()
            choice = data_centre_choice.DataCentreChoice(
                settings_lib.LeavingSettings(max_share=max_share),
                place,
                reports,
                types.SimpleNamespace(
                    count_running=lambda own=own: {SERVICE: dict(+own)},
                    count_near_slots=lambda p=place: {SERVICE: self.slots[p]},
                ),
                metrics_lib.Metrics(),
                self.clock,
                self.rng,
            )
            self.choices.setdefault(place, []).append((choice, own))
            self.at(self.rng.uniform(0, 250), self.tick, choice)
        for place, demand in zip(PLACES, load.demand, strict=True):
            self.arrive_later(place, demand)
        self.at(EVENT_MS, self.happen)

    def at(self, delay_ms, call, *args):
        when_ms = self.clock.now() + delay_ms
        heapq.heappush(self.events, (when_ms, next(self.order), call, args))

    def run(self):
        while self.events[0][0] < self.until:
            when_ms, _, call, args = heapq.heappop(self.events)
            self.clock.advance(when_ms - self.clock.now())
            call(*args)
        return self

    def happened(self):
        return self.clock.now() > 1000.0 + EVENT_MS

    def happen(self):
        if self.load.event == "out":
            self.slots["b"] = 0

    def carrier(self, place):
        def send(data, address):
            to, reports = self.by_address[address]
            cut = self.load.event == "cut" and self.happened()
            lost = self.load.reports.startswith("lost")
            if (cut and "b" in (place, to) and place != to) or (
                lost and self.rng.random() < 0.4
            ):
                return
            delay_ms = 400.0 if self.load.reports.startswith("400") else 1.0
            self.at(delay_ms, reports.receive, data)

        return send

    def tick(self, choice):
        choice.update()
        self.at(data_centre_choice.INTERVAL_MS, self.tick, choice)
        pairs = {
            (place, to)
            for place, members in self.choices.items()
            for member, _ in members
            for to in member.dump()["shares"].get(SERVICE, {})
        }
        self.updates += 1
        self.mutual += any((to, place) in pairs for place, to in pairs)

    def arrive_later(self, place, demand):
        phase = PLACES.index(place) / len(PLACES)
        wave = math.sin(2 * math.pi * (self.clock.now() / PERIOD_MS + phase))
        per_ms = demand * (1 + self.load.swing * wave) * SLOTS / WORK_MS
        self.at(self.rng.expovariate(per_ms), self.arrive, place, demand)

    def arrive(self, place, demand):
        self.arrive_later(place, demand)
        self.asked += 1
        entry = self.rng.choice(self.choices[place])
        request = (self.clock.now(), place, entry)
        entry[0].note_request(SERVICE, WORK_MS, OBJECTIVE_MS)
        drawn = entry[0].draw(SERVICE)
        out = self.load.event in ("out", "cut") and self.happened()
        if out and self.clock.now() > 1000.0 + EVENT_MS + REPORTED_MS:
            self.drawn_to_out += drawn == "b"
        if drawn is not None and self.is_free(drawn):
            self.begin(request, drawn)
        elif self.is_free(place) and not self.waiting[place]:
            self.begin(request, place)
        elif self.slots[place]:
            self.waiting[place].append(request)
            self.at(NEAR_WAIT_MS, self.look_elsewhere, request)
        else:
            self.look_elsewhere(request)

    def is_free(self, place):
        return self.running[place] < self.slots[place]

    def look_elsewhere(self, request):
        """Sends a request that has waited anywhere that it may go."""
        _, place, (choice, _) = request
        if self.slots[place] and request not in self.waiting[place]:
            return
        allowed = choice.list_allowed(SERVICE) if self.slots[place] else None
        free = [
            to
            for to in PLACES
            if to != place
            and self.is_free(to)
            and (allowed is None or to in allowed)
        ]
        if free:
            if request in self.waiting[place]:
                self.waiting[place].remove(request)
            self.begin(request, self.rng.choice(free))

    def begin(self, request, to):
        _, place, (choice, own) = request
        target = types.SimpleNamespace(
            near=to == place,
            data_centre=to,
            record=types.SimpleNamespace(service=SERVICE),
        )
        choice.note_sent(target)
        self.left += to != place
        self.running[to] += 1
        own[to] += 1
        took_ms = WORK_MS * self.rng.uniform(0.7, 1.3)
        slow = self.load.event == "slow" and to == "b" and self.happened()
        took_ms *= 5 if slow else 1
        self.at(took_ms, self.end, request, target, took_ms)

    def end(self, request, target, took_ms):
        arrived, _, (choice, own) = request
        to = target.data_centre
        self.running[to] -= 1
        own[to] -= 1
        choice.note_outcome(target, True, WORK_MS, took_ms, 2000)
        self.in_time += self.clock.now() - arrived <= OBJECTIVE_MS
        while self.waiting[to] and self.is_free(to):
            request = self.waiting[to].pop(0)
            if self.clock.now() - request[0] <= OBJECTIVE_MS - WORK_MS:
                self.begin(request, to)


@given(
    "demand of {demand} times the room of each data centre, moved by {swing:f}"
)
def set_demand(context, demand, swing):
    context.load = Load([float(part) for part in demand.split(", ")], swing)


@given("{what} happens after 4 s")
def set_event(context, what):
    context.load.event = what


@given("reports between entries are {how}")
def set_reports(context, how):
    context.load.reports = how


@when("requests of 120 ms, useful within 300 ms, arrive for {seconds:d} s")
def play(context, seconds):
    context.without = _Play(context.load, 0.0, seconds).run()
    context.played = _Play(context.load, 0.6, seconds).run()
    for name, run in (("without", context.without), ("with", context.played)):
        print(
            f"{name} the decision: {percent(run.in_time, run):.1f} in 100 in "
            f"time, {percent(run.left, run):.1f} left, of {run.asked}"
        )


def percent(count, run):
    return 100 * count / run.asked


@then("at least {least:d} in 100 are answered in time with the decision")
def check_in_time(context, least):
    run = context.played
    assert percent(run.in_time, run) >= least, percent(run.in_time, run)


@then("at most {less:d} in 100 fewer than where each decides for itself")
def check_loss(context, less):
    run, without = context.played, context.without
    loss = percent(without.in_time, without) - percent(run.in_time, run)
    assert loss <= less, loss


@then("at most {most:d} in 100 leave with the decision")
def check_left(context, most):
    run = context.played
    assert percent(run.left, run) <= most, percent(run.left, run)


@then("two data centres send to each other for at most 1 % of the time")
def check_not_mutual(context):
    run = context.played
    assert run.mutual <= run.updates / 100, (run.mutual, run.updates)


@then("no request leaves to a data centre that is emptied or cut off")
def check_not_out(context):
    assert not context.played.drawn_to_out, context.played.drawn_to_out
