"""Sends requests through a gateway and counts what reaches its targets."""

import concurrent.futures
import time

WITHIN_S = 10.0
CONCURRENT = 4


def get_targets(context):
    """Returns the stand-ins for backend servers."""
    return context.rig.farm.targets


def call_until(context, is_done):
    """Sends lookups until a condition is met."""
    until = time.monotonic() + WITHIN_S
    number = 0
    while not is_done():
        assert time.monotonic() < until, "no target was reached"
        number += 1
        # Several at once, so that more than one target gets one.
        context.rig.call_many(CONCURRENT, path=f"/look/before-{number}")


def count_before(context):
    """Notes how many requests each target has received."""
    context.before = [len(target.arrivals) for target in get_targets(context)]


def count_since(context):
    """Returns how many requests each target has received since then."""
    return [
        len(target.arrivals) - before
        for target, before in zip(
            get_targets(context), context.before, strict=True
        )
    ]


def send_many(context, count):
    """Sends lookups and as many bookings, some at a time."""
    if "before" not in context:
        count_before(context)
    jobs = [("GET", f"/look/{n}", b"") for n in range(count // 2)]
    jobs += [("POST", f"/book/{n}", b"x") for n in range(count // 2)]
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT) as pool:
        futs = [pool.submit(context.rig.call, *job) for job in jobs]
        context.answers = [fut.result() for fut in futs]
