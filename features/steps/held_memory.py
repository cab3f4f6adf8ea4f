"""Steps about the decision who gives up its bytes; without a network."""

import asyncio

from behave import given
from behave import then
from behave import when

from cardamomkeel import long_body
from cardamomkeel import parse_turns
from cardamomkeel.policy import memory_pressure
from cardamomkeel.policy import process_limits

MB = 1_000_000
LONGEST = 67_108_864


@given("connections that hold")
def set_holders(context):
    context.holders = [
        memory_pressure.Holder(
            row["name"], int(row["bytes"]), float(row["still for ms"])
        )
        for row in context.table
    ]


@when("{size:d} bytes are missing")
def choose(context, size):
    found = memory_pressure.choose_ended(context.holders, size)
    context.ended = [holder.key for holder in found]


@then("{names} are ended")
def check_ended(context, names):
    expected = [] if names == "none" else names.split(", ")
    assert context.ended == expected, context.ended


@given("a caller that sends {size:d} byte every {interval_ms:d} ms")
@given("a caller that sends {size:d} bytes every {interval_ms:d} ms")
def set_caller(context, size, interval_ms):
    context.size, context.interval_ms = size, interval_ms


def get_still_ms(context, now):
    moved_at = 0.0
    for at in range(0, now, context.interval_ms):
        moved_at = memory_pressure.advance(moved_at, context.size, float(at))
    return now - moved_at


@then("after {now:d} ms it has stood still for over {least:d} ms")
def check_still(context, now, least):
    assert get_still_ms(context, now) > least


@then("after {now:d} ms it has stood still for at most {most:d} ms")
def check_moving(context, now, most):
    assert get_still_ms(context, now) <= most


@given("a budget of {size:d} bytes")
def set_budget(context, size):
    context.budget = size


@then("a body of {size:d} bytes may fill it up to {limit:d} bytes")
def check_limit(context, size, limit):
    assert memory_pressure.get_limit(context.budget, size) == limit


@given("a process that takes {size:d} MB without callers")
def set_idle(context, size):
    context.idle = size * MB


@then("on a VM of {size:d} MB it may hold a body of 64 MiB")
def check_longest(context, size):
    budget = process_limits.get_budget(size * MB, context.idle)
    assert memory_pressure.get_limit(budget, LONGEST) >= LONGEST
    assert budget + context.idle < size * MB


@then(
    "of {count:d} descriptors callers may use {callers:d}, another port "
    "{other:d}"
)
def check_connections(context, count, callers, other):
    context.connections = found = [
        process_limits.get_connections(count, share)
        for share in (
            process_limits.CALLERS_SHARE,
            process_limits.OTHER_PORTS_SHARE,
        )
    ]
    assert found == [callers, other], found


class Parsed:
    """A connection whose parser only counts.

    Attributes:
        slices: The sizes of the slices that all connections parsed, by name.
    """

    def __init__(self, name, turns, slices):
        self.name = name
        self.slices = slices
        self.reads = True
        self.bytes_per_call = 1
        self.slicer = parse_turns.Slicer(turns, self._feed, self._set_reading)

    def _feed(self, part):
        self.slices.append((self.name, len(part)))
        for _ in range(len(part) // self.bytes_per_call):
            self.slicer.count_call()

    def _set_reading(self, reads):
        self.reads = reads


@given("connections a and b that take turns")
def make_connections(context):
    context.slices = []
    turns = parse_turns.Turns()
    context.parsed = {n: Parsed(n, turns, context.slices) for n in "ab"}
    context.received = []


@when("{size:d} bytes with a call for every byte come on {name}")
def receive_costly(context, size, name):
    receive(context, size, 1, name)


@when("{size:d} bytes with a call for every {each:d} bytes come on {name}")
def receive(context, size, each, name):
    context.parsed[name].bytes_per_call = each
    context.received.append((name, b"x" * size))


async def run_all(context, turns):
    for name, data in context.received:
        context.parsed[name].slicer.receive(data)
    context.first = len(context.slices)
    for _ in range(turns):
        await asyncio.sleep(0)


@then(
    "no turn parses over {most:d} bytes, and each connection gets every "
    "second turn"
)
def check_turns(context, most):
    asyncio.run(run_all(context, 100))
    later = context.slices[context.first :]
    assert max(size for _, size in later) <= most, later
    names = [name for name, _ in later]
    assert names == ["a", "b"] * (len(names) // 2), names


@then("both are read again once all is parsed")
def check_all_parsed(context):
    for name, parsed in context.parsed.items():
        assert sum(s for n, s in context.slices if n == name) == 20000
        assert parsed.reads and not parsed.slicer.pending


@then("all bytes of a are parsed at once")
def check_at_once(context):
    asyncio.run(run_all(context, 0))
    assert sum(size for _, size in context.slices) == 200_000
    assert max(s for _, s in context.slices) <= parse_turns.MAX_SLICE_BYTES


@when("a body of {size:d} bytes comes in parts of {part:d} bytes")
def collect(context, size, part):
    context.expected = bytes(n * n % 251 for n in range(size))
    body = long_body.LongBody()
    for at in range(0, size, part):
        body.append(context.expected[at : at + part])
    context.body = body.join()


@then("it is whole")
def check_whole(context):
    assert context.body == context.expected
