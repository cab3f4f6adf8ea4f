"""Steps for the control VMs that entries poll."""

import time

import anyio
from behave import given
from behave import then
from behave import when

from bench import deployment as deployment_lib
from cardamomkeel import clock
from cardamomkeel.control import leases
from cardamomkeel.control import row_batches
from cardamomkeel.control import signal
from cardamomkeel.control import streams
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2
from features.steps import control_repair

LEASE_MS = 3000
# Longer than a lease that was granted right before the fault.
FAULT_S = 3.5
FOLLOW_S = 10


def list_polled(context):
    """Returns the names of the control VMs that entries poll."""
    deployment = context.deployment
    names = {a: name for name, a in deployment.control_addresses.items()}
    dumps = [deployment.dump_entry(name) for name in deployment.entries]
    return {names.get(dump.get("follows", "")) for dump in dumps} - {None}


def move_entry(context, entry, name):
    """Makes an entry poll one control VM by cutting it off from the others."""
    deployment = context.deployment
    address = deployment.control_addresses[name]
    for other in set(deployment.controls) - {name}:
        deployment.relays.inject("cut", entry, other)
    deployment_lib.wait_for(
        lambda: deployment.dump_entry(entry).get("follows") == address,
        FOLLOW_S,
        f"{entry} polls {name}",
    )


def partition(context, name):
    for other in set(context.deployment.controls) - {name}:
        context.deployment.relays.inject("silence", name, other)
        context.deployment.relays.inject("silence", other, name)


def pick(context, is_leader):
    """Returns the leader or a follower."""
    deployment = context.deployment
    deployment_lib.wait_for(deployment.leader, FOLLOW_S, "a leader")
    leader = deployment.leader()
    if is_leader:
        return leader
    return next(name for name in deployment.controls if name != leader)


@when("{which} that entries poll is {fault} for longer than a lease")
def break_polled(context, which, fault):
    deployment = context.deployment
    name = pick(context, which == "the leader")
    if name not in list_polled(context):
        move_entry(context, "entry-1", name)
        deployment.relays.heal()
    context.broken = name
    # A failed check must not leave the fault to the next scenario.
    context.add_cleanup(end_faults, context)
    if fault == "killed":
        deployment.controls[name].kill()
    elif fault == "frozen":
        deployment.controls[name].freeze()
    else:
        partition(context, name)
    time.sleep(FAULT_S)
    change_elsewhere(context, name)


def change_elsewhere(context, broken):
    """Applies a text through a control VM that is not broken."""
    deployment = context.deployment
    base = max(
        deployment.dump_entry(name)["revision"] for name in deployment.entries
    )
    body = {
        "text": deployment.shape.text + " " * base,
        "base_revision": base,
        "change_id": f"change-{base}",
        "operator": "tests",
    }
    other = next(name for name in deployment.controls if name != broken)
    address = deployment.control_operators[other]
    context.got = deployment.call(address, "/v1/apply", body).json()


@then("every lookup of the callers was answered")
def check_lookups(context):
    calls = [call for call in context.load.stop() if not call.key]
    missed = [call for call in calls if call.got.outcome != "answered"]
    assert len(calls) > 100, len(calls)
    assert not missed, (len(missed), len(calls), missed[:5])


@then("every entry has applied a change that was accepted during the fault")
def check_change(context):
    assert "revision" in context.got, context.got
    control_repair.check_in_force(context, 6)


@when("the faults of control VMs end")
def end_faults(context):
    deployment = context.deployment
    deployment.relays.heal()
    for process in deployment.controls.values():
        process.thaw()
        if not process.is_running():
            process.start()
    deployment_lib.wait_for(
        lambda: all(
            deployment.dump_control(name).get("leader")
            for name in deployment.controls
        ),
        FOLLOW_S,
        "all follow a leader",
    )


@given("entry-1 reaches a following control VM only")
def reach_one(context):
    context.broken = pick(context, is_leader=False)
    move_entry(context, "entry-1", context.broken)


@when("that control VM is cut off from the others")
def partition_polled(context):
    partition(context, context.broken)


# Without processes.


class ReplyLog:
    """Stores the replies that are sent on a stream."""

    def __init__(self):
        self.replies = []

    async def send_message(self, message):
        """Stores a reply."""
        self.replies.append(message)


def make_rows(version):
    rows = tables_lib.Tables()
    for index in range(1, version + 1):
        entry = control_pb2.EntryRecord(session=index)
        rows.put(tables_lib.entry_key(index), index, entry=entry)
    return rows


def send_all(context):
    """Sends the due replies of the stream and returns them."""
    context.sent.replies.clear()
    # Each run has its own event loop, and the signal belongs to one loop.
    context.stream.wake = signal.Signal()

    async def write():
        with anyio.move_on_after(0.02):
            await context.stream.write(LEASE_MS)

    anyio.run(write)
    return context.sent.replies


@given("a control VM with the rows of version {version:d}")
@when("the rows of version {version:d} arrive")
def set_rows(context, version):
    context.rows = make_rows(version)


@when(
    "a stream that has version {version:d} is answered with leases of "
    "version {granted:d}"
)
def answer_stream(context, version, granted):
    context.sent = ReplyLog()
    context.stream = streams.Stream(
        context.sent,
        row_batches.RowBatches(lambda: context.rows),
        clock.ManualClock(),
    )
    context.stream.accept(control_pb2.FollowRequest(number=1, version=version))
    context.stream.queue_answer(
        control_pb2.FollowReply(number=1, lease_ms=LEASE_MS, version=granted)
    )


@then("nothing is sent")
def check_nothing(context):
    assert not send_all(context), context.sent.replies


@then("rows {how} lease are sent with version {version:d}")
def check_rows(context, how, version):
    (reply,) = send_all(context)
    assert reply.version == version, reply
    assert [record.version for record in reply.records] == [version], reply
    assert reply.lease_ms == (LEASE_MS if how == "with the" else 0), reply


def grant(context, number, longest_ms, term=1, now=LEASE_MS):
    """Grants a lease for a poll that an entry sent to the leader of term 1."""
    poll = control_pb2.PollRequest(session=1, number=number, term=1)
    poll.bounds.add(service="creneau", longest_ms=longest_ms)
    assert context.leases.grant(poll.session, poll.version, now)
    context.leases.record_bounds(poll, term)


@given(
    "a leader that received bounds of {longest:d} ms with poll {number:d} of "
    "an entry"
)
def make_leader(context, longest, number):
    context.leases = leases.Leases(LEASE_MS)
    context.leases.start([1], 0)
    grant(context, number, longest)


@when("poll {number:d} with bounds of {longest:d} ms arrives")
def send_late_poll(context, number, longest):
    grant(context, number, longest)


@when(
    "a new leader receives a poll of the former term with bounds of "
    "{longest:d} ms"
)
def send_to_next_leader(context, longest):
    context.leases = leases.Leases(LEASE_MS)
    context.leases.start([1], 2 * LEASE_MS)
    grant(context, 6, longest, term=2, now=2 * LEASE_MS + 50)


@then("the leader assumes bounds of {longest:d} ms")
def check_bounds(context, longest):
    bounds = context.leases.get_work_after_lease(1)
    assert bounds == {"creneau": longest}, bounds


@then("the leader assumes the longest possible bounds")
def check_no_bounds(context):
    bounds = context.leases.get_work_after_lease(1)
    assert bounds is None, bounds
