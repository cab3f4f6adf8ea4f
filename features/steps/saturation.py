"""Steps about targets that slow down when nearly all slots are in use."""

import dataclasses
import heapq
import random

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.policy import placement
from cardamomkeel.policy import saturation
from cardamomkeel.policy import work_time
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

WORK_MS = 220.0
# Requests that can no longer be answered in time are dropped.
OBJECTIVE_MS = 600.0
SEED = 1
ROUTE = document_lib.Route(
    host="desk.example",
    prefix="/a/",
    parts=(document_lib.Part(service="a", weight=1.0),),
    idempotent=True,
    timeout_ms=4000.0,
    objective_ms=OBJECTIVE_MS,
)


@dataclasses.dataclass
class SimulatedTargets:
    """Simulated targets that one entry sends to, in virtual time.

    Attributes:
        running: Number of running requests of each target.
        work: Estimated work time.
        slowdown: Estimated slowdown at nearly full targets.
        ends: Heap of the end times of requests with the target of each.
    """

    slots: int
    factor: float
    running: list[int]
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(SEED)
    )
    work: work_time.WorkTime = dataclasses.field(
        default_factory=lambda: work_time.ServiceWork().get(
            ROUTE.host, ROUTE.prefix, OBJECTIVE_MS
        )
    )
    slowdown: saturation.SaturationSlowdown = dataclasses.field(
        default_factory=saturation.SaturationSlowdown
    )
    ends: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def choose(self, remaining_ms, now):
        """Returns the index of the target selected for a request, or None."""
        options = [
            placement.Option(
                index,
                near=False,
                slots=self.slots,
                useful_slots=saturation.count_useful_slots(
                    self.slots, self.slowdown.factor(now)
                ),
                running=running,
                work_ms=self.work.expect_ms(),
                failures=0.0,
                saturation_factor=self.slowdown.factor(now),
            )
            for index, running in enumerate(self.running)
        ]
        ranked = placement.rank(
            options,
            remaining_ms,
            remaining_ms,
            placement.Demand.IN_TIME,
            True,
            self.rng,
        )
        return ranked[0].index if ranked else None

    def begin(self, index, now):
        """Starts a request and returns when it ends."""
        self.running[index] += 1
        took = WORK_MS * self.rng.uniform(0.7, 1.3)
        if self.running[index] > saturation.count_fast_slots(self.slots):
            took *= self.factor
            self.slowdown.record(took, self.work.expect_ms(), now)
        else:
            self.work.record(took)
        heapq.heappush(self.ends, (now + took, index))
        return now + took


@given(
    "{count:d} targets of another data centre with {slots:d} slots, whose work "
    "takes {factor:f} times as long when nearly full"
)
def make_simulated(context, count, slots, factor):
    context.simulated = SimulatedTargets(slots, factor, [0] * count)


@when(
    "{rate:d} requests a second arrive for {seconds:d} s, each of 220 ms and "
    "useful within 600 ms"
)
def simulate(context, rate, seconds):
    simulated = context.simulated
    arrivals = sorted(
        simulated.rng.uniform(0, seconds * 1000) for _ in range(rate * seconds)
    )
    context.arrived, context.in_time = len(arrivals), 0
    waiting = []
    while arrivals or waiting:
        arrival = arrivals[0] if arrivals else float("inf")
        end = simulated.ends[0][0] if simulated.ends else float("inf")
        now = min(arrival, end)
        if end <= arrival:
            simulated.running[heapq.heappop(simulated.ends)[1]] -= 1
        else:
            waiting.append(arrivals.pop(0))
        waiting = send_waiting(context, waiting, now)


def send_waiting(context, waiting, now):
    """Sends the requests that can be sent; returns those that still wait."""
    simulated = context.simulated
    while waiting:
        remaining_ms = waiting[0] + OBJECTIVE_MS - now
        if remaining_ms < WORK_MS:
            waiting = waiting[1:]
            continue
        index = simulated.choose(remaining_ms, now)
        if index is None:
            return waiting
        ended = simulated.begin(index, now)
        context.in_time += ended <= waiting[0] + OBJECTIVE_MS
        waiting = waiting[1:]
    return waiting


@then("at least {least:d} in 100 are answered in time")
def check_in_time(context, least):
    share = 100 * context.in_time / context.arrived
    print(f"{share:.1f} in 100 were in time")
    assert share >= least, share


@when("answers of targets that are nearly full take {factor:f} times as long")
def record_answers(context, factor):
    context.saturation = saturation.SaturationSlowdown()
    for _ in range(50):
        context.saturation.record(factor * WORK_MS, WORK_MS, 0.0)


@then("{useful:d} of {slots:d} slots are useful")
def check_useful(context, useful, slots):
    factor = context.saturation.factor(0.0)
    count = saturation.count_useful_slots(slots, factor)
    assert count == useful, count


@then("after {seconds:d} s without answers all {slots:d} are used again")
def check_decayed(context, seconds, slots):
    factor = context.saturation.factor(seconds * 1000.0)
    assert saturation.count_useful_slots(slots, factor) == slots


@given(
    "a target with {slots:d} slots that reported {running:d} running requests"
)
def make_reporting_target(context, slots, running):
    context.clock = clock.ManualClock()
    own = gossip.Gossip("own", context.clock, lambda: None)
    context.targets = targets_lib.Targets("brest", "own", own, context.clock)
    row = control_pb2.InstanceRecord(
        address="10.0.0.1:80",
        instance="i-1",
        service="a",
        data_centre="brest",
        slots=slots,
        state="ready",
    )
    view = view_lib.View(instances={row.address: row})
    context.targets.apply_changes(view, view.pop_changes())
    (target,) = context.targets.get("a")
    load = f"{running},0,{slots},100"
    context.targets.record_load(target, load.encode())


@when("{passed:d} ms have passed")
def wait(context, passed):
    context.clock.advance(passed)


@then("no request is sent to it except as a last resort")
def check_refused(context):
    for demand in (placement.Demand.IN_TIME, placement.Demand.LATE):
        ranked = context.targets.rank(
            "a", ROUTE, (), 600.0, 4000.0, demand, True, random.Random(SEED)
        )
        assert not ranked, demand


@when("its cold start begins")
def begin_cold_start(context):
    assert context.targets.has_near_target("a")
    (target,) = context.targets.get("a")
    context.targets.begin_cold_start(target, 3000.0, context.clock.now())


@then("the entry does not wait for a local target")
def check_not_local(context):
    assert not context.targets.has_near_target("a")


@when("the entry sends it a request")
def send(context):
    (context.target,) = context.targets.get("a")
    context.targets.record_start(context.target)


@when("that request has ended")
def end(context):
    context.targets.record_end(context.target)


@then("a request that can be answered in time is sent to it")
def check_sent(context):
    ranked = context.targets.rank(
        *("a", ROUTE, (), 600.0, 4000.0, placement.Demand.IN_TIME, True),
        random.Random(SEED),
    )
    assert ranked == [context.target], ranked
