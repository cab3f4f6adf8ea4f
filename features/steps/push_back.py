"""Steps about targets that push back."""

import asyncio
import collections
import dataclasses
import heapq
import random
import time

from behave import given
from behave import then
from behave import when

from cardamomkeel.policy import placement
from cardamomkeel.policy import push_back
from features import target_calls

MS = 1000
WORK_MS = 100.0
OBJECTIVE_MS = 400.0
DEADLINE_MS = 1000.0
SLOTS = 3
ATTEMPTS = 2
PUSH_BACK_MS = 3000.0
BEGIN_MS = 2000.0
END_MS = 8000.0
# The rule allows requests that were on their way.
ON_THE_WAY_MS = 500.0


def read(values):
    values = "" if values == "(empty)" else values
    return push_back.parse_retry_after(
        value.encode() for value in values.split(" and ")
    )


@then("a refusal with Retry-After {values} asks for {seconds:g} s")
def check_read(_, values, seconds):
    assert read(values) == seconds * MS, read(values)


@then("a refusal with Retry-After {values} asks for nothing")
def check_not_read(_, values):
    assert read(values) is None, read(values)


@given(
    "a target that asks for {wait_s:d} s, where {longest_s:d} s are the "
    "longest hold"
)
def hold(context, wait_s, longest_s):
    until = push_back.hold_until(wait_s * MS, longest_s * MS, 0.0)
    context.held = push_back.PushBack(until)


@given("a target that asks for {first:d} s, and then for {second:d} s")
def hold_twice(context, first, second):
    context.held = push_back.PushBack(first * MS)
    context.held.extend(second * MS)


@given("it answers a request that was sent before")
def answer_early(context):
    context.held.record_answer(sent_at=-1.0)


@then("it is held for {seconds:d} s")
def check_held(context, seconds):
    assert context.held.is_held(seconds * MS - 1.0)
    assert not context.held.allows(0, seconds * MS - 1.0)
    assert context.held.allows(0, seconds * MS)


@when("its hold is over")
def end_hold(context):
    context.now = context.held.held_until


@then("it may run 1 request, then 2, 4 and 8, and then any number")
def check_return(context):
    held, now = context.held, context.now
    for limit in (1, 2, 4, 8):
        assert not held.has_recovered()
        assert held.allows(limit - 1, now)
        assert not held.allows(limit, now)
        held.record_answer(sent_at=now)
    assert held.has_recovered()


@then(
    "a request of {work:d} ms with {left:d} ms left {waits} for a target that "
    "returns in {ms:d} ms"
)
def check_wait(_, work, left, waits, ms):
    found = push_back.should_wait(ms, work, left, 0.4 * left)
    assert found == (waits == "waits"), found


@dataclasses.dataclass
class SimulatedTarget:
    """A target that may push back for some time."""

    running: int = 0
    refuses_from: float = float("inf")
    refuses_until: float = float("inf")

    def is_refusing(self, now):
        """Returns whether the target pushes back."""
        return self.refuses_from <= now < self.refuses_until


class Simulation:
    """Entries that send to shared targets, in virtual time."""

    def __init__(self, targets, entries):
        self.rng = random.Random(1)
        self.targets = [SimulatedTarget() for _ in range(targets)]
        # Holds and running requests by entry and target.
        self.holds = [{} for _ in range(entries)]
        self.running = [collections.Counter() for _ in range(entries)]
        self.events = []
        self.numbers = iter(range(10**9))
        # By entry and target: the first refusal, all refusals, and requests
        # that came when none may come any more.
        self.refused_at = {}
        self.refusals = collections.Counter()
        self.late_arrivals = collections.Counter()
        self.resent = self.sent = 0
        # The arrival times of requests, and of those that were answered.
        self.arrived = []
        self.answered = []

    def push(self, at, *event):
        """Plans an event."""
        heapq.heappush(self.events, (at, next(self.numbers), event))

    def choose(self, entry, tried, now):
        """Returns the target that an entry selects; None if there is none."""
        options = [
            placement.Option(
                index, True, SLOTS, SLOTS, target.running, WORK_MS, 0.0
            )
            for index, target in enumerate(self.targets)
            if index not in tried
            and (
                index not in self.holds[entry]
                or self.holds[entry][index].allows(
                    self.running[entry][index], now
                )
            )
        ]
        ranked = placement.rank(
            options,
            OBJECTIVE_MS,
            DEADLINE_MS,
            placement.Demand.IN_TIME,
            True,
            self.rng,
        )
        return ranked[0].index if ranked else None

    def send(self, entry, arrived, tried, now):
        """Sends a request to a target, or refuses it."""
        index = self.choose(entry, tried, now)
        if index is None:
            return
        target = self.targets[index]
        self.sent += 1
        self.resent += bool(tried)
        if target.is_refusing(now):
            self.note_refusal(entry, index, now)
            if len(tried) + 1 < ATTEMPTS:
                self.send(entry, arrived, [*tried, index], now)
            return
        target.running += 1
        self.running[entry][index] += 1
        ends_at = now + WORK_MS * self.rng.uniform(0.7, 1.3)
        self.push(ends_at, self.end, entry, index, arrived, now)

    def note_refusal(self, entry, index, now):
        """Records a refusal of a target."""
        key = entry, index
        self.refusals[key] += 1
        first = self.refused_at.setdefault(key, now)
        if now > first + ON_THE_WAY_MS:
            self.late_arrivals[key] += 1
        until = self.targets[index].refuses_until
        held = self.holds[entry].setdefault(index, push_back.PushBack(until))
        held.extend(until)

    def end(self, now, entry, index, arrived, sent_at):
        """Ends a request at a target."""
        self.targets[index].running -= 1
        self.running[entry][index] -= 1
        self.answered.append(arrived)
        held = self.holds[entry].get(index)
        if held is not None:
            held.record_answer(sent_at)
            if held.has_recovered():
                del self.holds[entry][index]

    def arrive(self, now):
        """Handles a new request."""
        self.arrived.append(now)
        self.send(self.rng.randrange(len(self.holds)), now, [], now)

    def run(self, per_s):
        """Plays all events."""
        at = 0.0
        while at < END_MS:
            self.push(at, self.arrive)
            at += self.rng.expovariate(per_s) * MS
        while self.events:
            now, _, (handle, *args) = heapq.heappop(self.events)
            handle(now, *args)

    def count_lost(self, since, until):
        """Returns how many requests of some time were not answered."""
        arrived = [at for at in self.arrived if since <= at < until]
        answered = [at for at in self.answered if since <= at < until]
        return len(arrived) - len(answered)

    def answered_share(self, since, until):
        """Returns the share of the requests of some time that was answered."""
        arrived = [at for at in self.arrived if since <= at < until]
        return 1 - self.count_lost(since, until) / len(arrived)


@given(
    "{targets:d} targets that bear {slots:d} requests each, and {entries:d} "
    "entries in virtual time"
)
def make_simulation(context, targets, slots, entries):
    assert slots == SLOTS
    context.simulation = Simulation(targets, entries)


@when("{part} of them push back for 3 s while {per_s:d} requests a second come")
def run_simulation(context, part, per_s):
    targets = context.simulation.targets
    count = len(targets) if part == "all" else len(targets) // 3
    for target in targets[:count]:
        target.refuses_from = BEGIN_MS
        target.refuses_until = BEGIN_MS + PUSH_BACK_MS
    context.simulation.run(per_s)


@then("no target gets more than 2 requests from an entry while it pushes back")
def check_late_arrivals(context):
    most = max(context.simulation.late_arrivals.values(), default=0)
    assert most <= 2, most


@then("in these 3 s at most one request is lost for each refusal")
def check_lost(context):
    simulation = context.simulation
    lost = simulation.count_lost(BEGIN_MS, BEGIN_MS + PUSH_BACK_MS)
    # Each entry learns of each target by a refusal of its own.
    refusals = sum(simulation.refusals.values())
    assert lost <= refusals <= 2 * len(simulation.refusals), (lost, refusals)


@then("in these 3 s all requests are lost")
def check_all_lost(context):
    simulation = context.simulation
    assert simulation.answered_share(BEGIN_MS, BEGIN_MS + PUSH_BACK_MS) == 0


@then("at most {share:d} % of the requests are sent again")
def check_resent(context, share):
    simulation = context.simulation
    resent = simulation.resent / len(simulation.arrived)
    assert resent * 100 <= share, resent


@then("1 s later all requests are answered")
def check_whole_again(context):
    since = BEGIN_MS + PUSH_BACK_MS + MS
    found = context.simulation.answered_share(since, END_MS)
    assert found == 1.0, found


# With a running entry.


def set_push_back(target, value, promises):
    target.push_back = [value]
    target.push_back_promises = promises


@when('the first target pushes back with "{value}" and did not run')
def push_back_promised(context, value):
    set_push_back(target_calls.get_targets(context)[0], value, True)


@when('the first target pushes back with "{value}" without a promise')
def push_back_unpromised(context, value):
    set_push_back(target_calls.get_targets(context)[0], value, False)


@when('both targets push back with "{value}"')
def push_back_both(context, value):
    for target in target_calls.get_targets(context):
        set_push_back(target, value, True)


@when('both targets push back with "{value}" without a promise')
def push_back_both_unpromised(context, value):
    for target in target_calls.get_targets(context):
        set_push_back(target, value, False)


@when("lookups are sent until it has refused one")
def call_until_refused(context):
    first = target_calls.get_targets(context)[0]
    target_calls.call_until(context, lambda: first.arrivals)
    context.refused_at = time.monotonic()
    time.sleep(0.05)
    target_calls.count_before(context)


@when("lookups are sent until both have refused one")
def call_until_both_refused(context):
    targets = target_calls.get_targets(context)
    target_calls.call_until(context, lambda: all(t.arrivals for t in targets))
    time.sleep(0.05)
    target_calls.count_before(context)


@when("{count:d} lookups and bookings are sent within {ms:d} ms")
def send_within(context, count, ms):
    target_calls.send_many(context, count)
    assert time.monotonic() - context.refused_at < ms / MS


@then("the first target received none of them, and no load was asked for")
def check_left_alone(context):
    first = target_calls.get_targets(context)[0]
    assert target_calls.count_since(context)[0] == 0
    late = [at for at in first.probed_at if at > context.refused_at + 0.05]
    assert not late, late


@when("it has stopped pushing back, and its time is over")
def end_push_back(context):
    stop_push_back(context)
    time.sleep(max(0.0, context.refused_at + 1.6 - time.monotonic()))
    target_calls.count_before(context)


@when("it has stopped pushing back")
def stop_push_back(context):
    target_calls.get_targets(context)[0].push_back = None


@then("it says to come back in {least:d} to {most:d} s")
def check_retry_after(context, least, most):
    seconds = float(context.answer.headers["retry-after"])
    assert least <= seconds <= most, seconds


@then("the targets received nothing more")
def check_nothing_more(context):
    assert target_calls.count_since(context) == [0, 0]


@then("a booking is answered with {status:d} and reached one target")
def check_booking(context, status):
    answer = context.rig.call("POST", "/book/1", b"x")
    assert answer.status == status, answer
    arrivals = [
        len(target.arrivals) for target in target_calls.get_targets(context)
    ]
    assert sum(arrivals) == 1, arrivals


@when("the first answer pushes back for 0.2 s, and is sent again {moment}")
def choose_copy(context, moment):
    context.kind = context.copy_kind = "a push-back"
    context.own_kind = "a success"
    context.moment = moment


@when("two bookings are sent one after the other, {ms:d} ms apart")
def send_apart(context, ms):
    context.bodies = []
    for number in (1, 2):
        answer = context.rig.call("POST", f"/book/{number}", b"an urn")
        context.bodies.append(answer.body.decode())
        if number == 1:
            context.rig.do(asyncio.sleep(ms / MS))
    context.paths = ["/book/1", "/book/2"]


@then("the server is not held")
def check_not_held(context):
    (state,) = context.rig.program.targets.dump().values()
    assert state["held_ms"] == 0, state
