"""Steps about the choice of a target."""

import random

from behave import given
from behave import then
from behave import when

from bench import policies
from cardamomkeel.policy import least_cost
from cardamomkeel.policy import slots as slots_lib

SEED = 1
ALLOWANCE = 1.1
LATENCY_MS = 5.0
FAIL_MS = 0.3


@when("each way to choose serves {deployment} with {fault}")
def compare(context, deployment, fault):
    slots = policies.SLOTS[deployment]
    context.rows = {
        name: policies.measure(name, fault, slots, SEED)
        for name in policies.WAYS
    }


@then("ownership never overruns a warm target")
def check_overruns(context):
    assert context.rows["ownership"]["overruns"] == 0, context.rows


@then("ownership has the least 99th percentile, or 10 % more at most")
def check_tail(context):
    least = min(row["p99_ms"] for row in context.rows.values())
    own = context.rows["ownership"]["p99_ms"]
    assert own <= ALLOWANCE * least, context.rows


@then("ownership loses no more requests than any other")
def check_lost(context):
    least = min(row["failed"] for row in context.rows.values())
    assert context.rows["ownership"]["failed"] <= least, context.rows


@then("ownership sends no message to measure load")
def check_messages(context):
    assert context.rows["ownership"]["messages/s"] == 0, context.rows


@given("two targets, one of which fails fast")
def make_two(context):
    context.targets = [
        least_cost.Candidate(
            name, slots_lib.Slots(3, limit=3), least_cost.Health()
        )
        for name in ("good", "bad")
    ]
    context.now = 0.0
    context.rng = random.Random(SEED)
    context.counts = {"good": 0, "bad": 0}


def _give_pair(context, bad_fails):
    """Gives two requests at once and ends both."""
    given_work = []
    for _ in range(2):
        chosen = least_cost.select(
            context.targets, frozenset(), context.now, context.rng
        )
        context.counts[chosen.address] += 1
        work = chosen.slots.acquire(context.now, LATENCY_MS)
        given_work.append((chosen, work))
    context.now += LATENCY_MS
    for chosen, work in given_work:
        chosen.slots.release(work)
        failed = bad_fails and chosen.address == "bad"
        latency_ms = FAIL_MS if failed else LATENCY_MS
        chosen.health.record_result(latency_ms, failed, context.now)


@when("{count:d} pairs of requests are given to them")
def give(context, count):
    for _ in range(count):
        _give_pair(context, bad_fails=True)


@then("the failing one got fewer than {count:d} of them")
def check_few(context, count):
    assert 0 < context.counts["bad"] < count, context.counts


@when("it serves again for {ms:d} ms")
def serve_again(context, ms):
    until = context.now + ms
    while context.now < until:
        _give_pair(context, bad_fails=False)
    context.counts = {"good": 0, "bad": 0}
    for _ in range(100):
        _give_pair(context, bad_fails=False)


@then("it gets its share")
def check_share(context):
    assert context.counts["bad"] >= 50, context.counts
