"""Steps about many entries that each send few requests to many targets."""

import heapq
import random

from behave import then
from behave import when

from cardamomkeel.policy import placement
from cardamomkeel.policy import preferred_targets

SLOTS = 3
WORK_MS = 220.0
OBJECTIVE_MS = 600.0
# Targets close connections that were idle for this long.
IDLE_MS = 10_000.0


def make_options(addresses, running, preferred):
    return [
        placement.Option(
            index,
            near=True,
            slots=SLOTS,
            useful_slots=SLOTS,
            running=running[address],
            work_ms=WORK_MS,
            failures=0.0,
            is_load_known=False,
            likely_slowdown=1.5,
            is_preferred=address in preferred,
        )
        for index, address in enumerate(addresses)
    ]


@when(
    "{entries:d} entries send {rate:d} requests a second each to {count:d} "
    "targets for {seconds:d} s"
)
def simulate(context, entries, rate, count, seconds):
    rng = random.Random(1)
    addresses = [f"10.0.0.{number}:80" for number in range(count)]
    preferred = {
        entry: preferred_targets.select(
            {
                address: preferred_targets.rank_key(f"entry-{entry}", address)
                for address in addresses
            }
        )
        for entry in range(entries)
    }
    running = dict.fromkeys(addresses, 0)
    context.requests = dict.fromkeys(addresses, 0)
    used_at = {}
    ends = []
    times = sorted(
        (rng.uniform(0, seconds * 1000), entry)
        for entry in range(entries)
        for _ in range(rate * seconds)
    )
    context.opened, context.sent = 0, len(times)
    for now, entry in times:
        while ends and ends[0][0] <= now:
            running[heapq.heappop(ends)[1]] -= 1
        options = make_options(addresses, running, preferred[entry])
        best = placement.rank(
            options,
            OBJECTIVE_MS,
            2 * OBJECTIVE_MS,
            placement.Demand.IN_TIME,
            True,
            rng,
        )[0]
        address = addresses[best.index]
        if now - used_at.get((entry, address), float("-inf")) > IDLE_MS:
            context.opened += 1
        used_at[entry, address] = now
        running[address] += 1
        context.requests[address] += 1
        heapq.heappush(ends, (now + WORK_MS, address))


@then("less than {share:g} connections a request are opened")
def check_opened(context, share):
    assert context.opened < share * context.sent, (
        context.opened,
        context.sent,
    )


@then("the busiest target gets at most {times:g} times the mean")
def check_spread(context, times):
    mean = context.sent / len(context.requests)
    busiest = max(context.requests.values())
    assert busiest <= times * mean, (busiest, mean)
