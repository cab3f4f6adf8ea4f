"""Steps of targets that slow down when nearly all their slots are taken."""

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
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

WORK_MS = 220.0
# Requests that could not be answered in time are not sent any more.
OBJECTIVE_MS = 600.0
SEED = 1


@dataclasses.dataclass
class Farm:
    """Targets that one entry sends to, in a time of their own.

    Attributes:
        running: How many requests run at each target.
        work: What has been learned of their work.
        ends: When requests end, and at which target.
    """

    slots: int
    factor: float
    running: list[int]
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(SEED)
    )
    work: work_time.WorkTime = dataclasses.field(
        default_factory=work_time.WorkTime
    )
    ends: list[tuple[float, int]] = dataclasses.field(default_factory=list)

    def choose(self, left_ms, now):
        """Returns the target of a request, or None."""
        options = [
            placement.Option(
                index,
                near=False,
                slots=self.slots,
                useful_slots=saturation.count_useful_slots(
                    self.slots, self.work.saturation.factor(now)
                ),
                running=running,
                work_ms=self.work.expect_ms(),
                failures=0.0,
                saturation_factor=self.work.saturation.factor(now),
            )
            for index, running in enumerate(self.running)
        ]
        ranked = placement.rank(
            options,
            left_ms,
            left_ms,
            placement.Demand.IN_TIME,
            True,
            self.rng,
        )
        return ranked[0].index if ranked else None

    def begin(self, index, now):
        """Runs a request; returns when it ends."""
        self.running[index] += 1
        took = WORK_MS * self.rng.uniform(0.7, 1.3)
        if self.running[index] > saturation.count_fast_slots(self.slots):
            took *= self.factor
            self.work.saturation.record(took, self.work.expect_ms(), now)
        else:
            self.work.record(took)
        heapq.heappush(self.ends, (now + took, index))
        return now + took


@given(
    "{count:d} targets of another data centre, of {slots:d} slots, whose work "
    "takes {factor:f} times as long when nearly full"
)
def make_farm(context, count, slots, factor):
    context.farm = Farm(slots, factor, [0] * count)


@when(
    "{rate:d} requests a second come for {seconds:d} s, each of 220 ms and of "
    "use within 600 ms"
)
def play(context, rate, seconds):
    farm = context.farm
    came = sorted(
        farm.rng.uniform(0, seconds * 1000) for _ in range(rate * seconds)
    )
    context.asked, context.in_time = len(came), 0
    waiting = []
    while came or waiting:
        arrival = came[0] if came else float("inf")
        end = farm.ends[0][0] if farm.ends else float("inf")
        now = min(arrival, end)
        if end <= arrival:
            farm.running[heapq.heappop(farm.ends)[1]] -= 1
        else:
            waiting.append(came.pop(0))
        waiting = serve(context, waiting, now)


def serve(context, waiting, now):
    """Sends what can be sent; returns what waits on."""
    farm = context.farm
    while waiting:
        left_ms = waiting[0] + OBJECTIVE_MS - now
        if left_ms < WORK_MS:
            waiting = waiting[1:]
            continue
        index = farm.choose(left_ms, now)
        if index is None:
            return waiting
        ended = farm.begin(index, now)
        context.in_time += ended <= waiting[0] + OBJECTIVE_MS
        waiting = waiting[1:]
    return waiting


@then("at least {least:d} in 100 are answered in time")
def check_in_time(context, least):
    share = 100 * context.in_time / context.asked
    print(f"{share:.1f} in 100 were in time")
    assert share >= least, share


@when("answers of targets that are nearly full take {factor:f} times as long")
def tell(context, factor):
    context.saturation = saturation.SaturationSlowdown()
    for _ in range(50):
        context.saturation.record(factor * WORK_MS, WORK_MS, 0.0)


@then("{useful:d} of {slots:d} slots are worth using")
def check_useful(context, useful, slots):
    factor = context.saturation.factor(0.0)
    found = saturation.count_useful_slots(slots, factor)
    assert found == useful, found


@then("after {seconds:d} s without any all {slots:d} are tried again")
def check_forgotten(context, seconds, slots):
    factor = context.saturation.factor(seconds * 1000.0)
    assert saturation.count_useful_slots(slots, factor) == slots


@given(
    "a target of {slots:d} slots that said that {running:d} requests run there"
)
def make_full(context, slots, running):
    context.clock = clock.ManualClock()
    own = gossip.Gossip("own", context.clock, dict, lambda: None)
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
    told = f"{running},0,{slots},100"
    context.targets.record_load(target, told.encode())


@when("{passed:d} ms have passed")
def wait(context, passed):
    context.clock.advance(passed)


@then("no request that can wait is sent to it")
def check_no_room(context):
    for demand in (placement.Demand.IN_TIME, placement.Demand.LATE):
        ranked = context.targets.rank(
            "a", (), 600.0, 4000.0, demand, True, random.Random(SEED)
        )
        assert not ranked, demand


@when("it falls into cold start")
def fall(context):
    assert context.targets.has_near_target("a")
    (target,) = context.targets.get("a")
    context.targets.begin_cold_start(target, 3000.0, context.clock.now())


@then("the entry does not wait for a target that is near")
def check_not_near(context):
    assert not context.targets.has_near_target("a")


@when("the entry sends it a request")
def send(context):
    (context.target,) = context.targets.get("a")
    context.targets.record_start(context.target)


@when("that request has ended")
def end(context):
    context.targets.record_end(context.target)


@then("a request that can be in time is sent to it")
def check_room(context):
    ranked = context.targets.rank(
        *("a", (), 600.0, 4000.0, placement.Demand.IN_TIME, True),
        random.Random(SEED),
    )
    assert ranked == [context.target], ranked
