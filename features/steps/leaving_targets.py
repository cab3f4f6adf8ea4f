"""Steps about targets that say in their answers that they leave."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when

from bench import platform_targets
from cardamomkeel.wire import control_pb2
from features import target_calls

# The behaviour of the target, and which of its answers say that it leaves.
ANSWERS = {
    "a success": ("ok", "own"),
    "an error": ("error", "own"),
    "a refusal": ("full", "own"),
    "an unpromised 503": ("unpromised 503", "own"),
    "another's answer": ("stray first", "another"),
    "an interim answer": ("interim", "interim"),
    "a second answer": ("twice", "copy"),
    "a late answer": ("late copy", "copy"),
}


def set_leaving(target):
    target.leaving = "1"


@when("the first target leaves and answers with {answer}")
def leave_with(context, answer):
    target = target_calls.get_targets(context)[0]
    target.default_behaviour, target.leaving_in = ANSWERS[answer]
    set_leaving(target)


@when("the first target leaves")
def leave(context):
    set_leaving(target_calls.get_targets(context)[0])


@when("both targets leave")
def leave_both(context):
    for target in target_calls.get_targets(context):
        set_leaving(target)


@when("the first target leaves and was replaced by an instance unknown yet")
def leave_as_another(context):
    target = target_calls.get_targets(context)[0]
    target.health_instance = target.instance
    target.instance = "i-other"
    set_leaving(target)


@when("the first target leaves, and its load is asked for")
def leave_and_probe(context):
    leave(context)
    target_calls.get_targets(context)[0].leaving_in = "health"
    program = context.rig.program

    async def probe():
        known = program.targets.get("dossier")[0]
        assert known.record.instance == "i-1", known.record
        await context.rig.program.prober.probe([known])

    context.rig.do(probe())


@when('both targets answer with the header "{value}"')
def answer_with_value(context, value):
    for target in target_calls.get_targets(context):
        target.leaving = value


@when("lookups are sent until it has answered one")
def call_first(context):
    first = target_calls.get_targets(context)[0]
    target_calls.call_until(context, lambda: first.arrivals)
    # Time for the answer to be read.
    time.sleep(0.1)
    target_calls.count_before(context)


@when("lookups are sent until both have answered one")
def call_both(context):
    targets = target_calls.get_targets(context)
    target_calls.call_until(
        context, lambda: all(target.arrivals for target in targets)
    )


@when("{count:d} lookups and bookings are sent")
def send_many(context, count):
    target_calls.send_many(context, count)


@then("the first target received none of them")
def check_first_unused(context):
    assert target_calls.count_since(context)[0] == 0, target_calls.count_since(
        context
    )


@then("both targets received some of them")
def check_both_used(context):
    assert min(target_calls.count_since(context)) > 0, target_calls.count_since(
        context
    )


@then("all of them were answered with 200")
def check_all_answered(context):
    assert {answer.status for answer in context.answers} == {200}


@then("a lookup's answer has no header of the target's own but the seal")
def check_hidden(context):
    names = platform_targets.NAMES
    headers = context.rig.call().headers
    assert names.seal.lower() in headers, headers
    assert names.leaving.lower() not in headers, headers
    assert names.load.lower() not in headers, headers


@given("the first target can serve 1 request at a time")
def set_one_slot(context):
    for target in target_calls.get_targets(context):
        target.slots = 1
        target.work_s = 0.3
        context.rig.announce(target)


@when("a request fills each target, and 3 lookups wait behind them")
def fill(context):
    context.pool = concurrent.futures.ThreadPoolExecutor(5)
    context.add_cleanup(context.pool.shutdown)
    targets = target_calls.get_targets(context)
    context.futs = []
    for number in range(5):
        context.futs.append(
            context.pool.submit(context.rig.call, path=f"/look/{number}")
        )
        if number < 2:
            until = time.monotonic() + target_calls.WITHIN_S
            while sum(len(t.arrivals) for t in targets) <= number:
                assert time.monotonic() < until
                time.sleep(0.005)


@when("the first target leaves with the answer to its request")
def leave_while_running(context):
    leave(context)
    for fut in context.futs:
        fut.result(target_calls.WITHIN_S)


@then("the first target gets none of those that waited")
def check_one(context):
    arrivals = target_calls.get_targets(context)[0].arrivals
    assert len(arrivals) == 1, arrivals


@when("the first target leaves while a connection to it opens")
def leave_while_opening(context):
    program = context.rig.program
    first, second = target_calls.get_targets(context)
    known = next(
        t for t in program.targets.get("dossier") if t.address == first.address
    )
    open_connection = program.upstream.open

    async def open_slowly(address, timeout_ms):
        opened = await open_connection(address, timeout_ms)
        if address == first.address:
            program.signals.note_leaving(known)
        return opened

    program.upstream.open = open_slowly
    context.before = [0, 0]
    context.answers = []
    target_calls.call_until(context, lambda: second.arrivals)


@then("the request is sent to the second target")
def check_sent_to_second(context):
    assert not target_calls.get_targets(context)[0].arrivals


@then("the next lookup is refused with {status:d} within {ms:d} ms")
def check_refused(context, status, ms):
    context.answer = context.rig.call()
    assert context.answer.status == status, context.answer
    assert context.answer.took_s * 1000 <= ms, context.answer


@then("it gives a time to come back")
def check_retry_after(context):
    value = context.answer.headers[platform_targets.NAMES.retry_after.lower()]
    assert float(value) >= 0, value


ROWS = {
    "with a later heartbeat": {"sequence": 9},
    "after it was removed": {},
    "with another instance": {"instance": "i-new", "born_ms": 2},
    "with the same id and a later born": {"born_ms": 2},
}


@when("the row of the first target comes again {how}")
def announce_again(context, how):
    rig = context.rig
    first = target_calls.get_targets(context)[0]
    first.leaving = None
    key = f"instance/{first.address}"
    if how == "with all other rows":
        records = [rig.routes_record]
        records += [
            control_pb2.Record(key=f"instance/{t.address}", instance=t.record)
            for t in rig.program.targets.get("dossier")
        ]
        rig.apply_rows(records, whole=True)
        return
    if how == "after it was removed":
        rig.apply_rows([control_pb2.Record(key=key, deleted=True)])
    changes = ROWS[how]
    first.instance = changes.get("instance", first.instance)
    rig.announce(first, **changes)


@then("the first target is {used}")
def check_used(context, used):
    target_calls.count_before(context)
    send_many(context, 30)
    assert (target_calls.count_since(context)[0] > 0) == (used == "used"), (
        target_calls.count_since(context)
    )
