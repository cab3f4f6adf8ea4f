"""Steps about the selection of a target."""

import random

from behave import given
from behave import then
from behave import when

from bench import policies
from cardamomkeel.policy import least_cost
from cardamomkeel.policy import slots as slots_lib

SEED = 1
MAX_P99_FACTOR = 1.1
LATENCY_MS = 5.0
FAIL_MS = 0.3


@when("each selection algorithm serves {deployment} with {fault}")
def compare_algorithms(context, deployment, fault):
    slots = policies.SLOTS[deployment]
    context.rows = {
        name: policies.measure(name, fault, slots, SEED)
        for name in policies.POLICIES
    }


@then("ownership never overruns a warm target")
def check_overruns(context):
    assert context.rows["ownership"]["overruns"] == 0, context.rows


@then("ownership has the lowest 99th percentile, or at most 10 % more")
def check_tail(context):
    lowest = min(row["p99_ms"] for row in context.rows.values())
    p99_ms = context.rows["ownership"]["p99_ms"]
    assert p99_ms <= MAX_P99_FACTOR * lowest, context.rows


@then("ownership loses no more requests than any other")
def check_lost(context):
    least = min(row["failed"] for row in context.rows.values())
    assert context.rows["ownership"]["failed"] <= least, context.rows


@then("ownership sends no messages to measure load")
def check_messages(context):
    assert context.rows["ownership"]["messages/s"] == 0, context.rows


@given("two targets, one of which fails fast")
def make_targets(context):
    context.targets = [
        least_cost.Candidate(
            name, slots_lib.Slots(3, limit=3), least_cost.Health()
        )
        for name in ("good", "bad")
    ]
    context.now = 0.0
    context.rng = random.Random(SEED)
    context.counts = {"good": 0, "bad": 0}


def _send_pair(context, bad_fails):
    """Sends two requests at once and ends both."""
    sent = []
    for _ in range(2):
        chosen = least_cost.select(
            context.targets, frozenset(), context.now, context.rng
        )
        context.counts[chosen.address] += 1
        work = chosen.slots.acquire(context.now, LATENCY_MS)
        sent.append((chosen, work))
    context.now += LATENCY_MS
    for chosen, work in sent:
        chosen.slots.release(work)
        failed = bad_fails and chosen.address == "bad"
        latency_ms = FAIL_MS if failed else LATENCY_MS
        chosen.health.record_result(latency_ms, failed, context.now)


@when("{count:d} pairs of requests are sent to them")
def send_pairs(context, count):
    for _ in range(count):
        _send_pair(context, bad_fails=True)


@then("the failing one got fewer than {count:d} of them")
def check_few(context, count):
    assert 0 < context.counts["bad"] < count, context.counts


@when("it recovers and serves requests for {ms:d} ms")
def recover(context, ms):
    until = context.now + ms
    while context.now < until:
        _send_pair(context, bad_fails=False)
    context.counts = {"good": 0, "bad": 0}
    for _ in range(100):
        _send_pair(context, bad_fails=False)


@then("it gets at least half of an equal share")
def check_share(context):
    assert context.counts["bad"] >= 50, context.counts
