"""Steps about slot accounting, owner assignment and queue order."""

import collections
import math

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bench import deployment as deployment_lib
from cardamomkeel.control import deadlines
from cardamomkeel.policy import deadline_queue
from cardamomkeel.policy import owners
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

ADDRESS = "10.0.0.1:80"
SERVICE = "dossier"
LEASE_MS = 3000.0
LONGEST_MS = 10_000
EXAMPLES = 300
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=EXAMPLES, deadline=None
)
DEPLOYMENTS = {
    "Ar Gwenn Skouarn": deployment_lib.AR_GWENN_SKOUARN,
    "Cart Commons": deployment_lib.CART_COMMONS,
}
# Events of a history: the kind, the time before it, and the time allowed to a
# request.
EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            ["send"] * 5 + ["answer", "time out", "hand over", "lose"]
        ),
        strategies.sampled_from([0, 1, 100, 500]),
        strategies.sampled_from([100, 2000, LONGEST_MS]),
    ),
    min_size=30,
    max_size=60,
)


class _Target:
    """Simulated target that runs each request to its deadline at most."""

    def __init__(self, slots):
        self.slots = slots
        self.ends = []

    def run(self, now, until):
        self.ends = [end for end in self.ends if end > now]
        self.ends.append(until)
        assert len(self.ends) <= self.slots, (now, self.ends)


def _warm(slots):
    slots.limit = slots.slots
    return slots


@SETTINGS
@hypothesis.given(strategies.sampled_from([3, 6]), EVENTS)
def _check_histories(count, events):
    target = _Target(count)
    owner = _warm(slots_lib.Slots(count))
    sent = []
    now = 0.0
    for kind, wait_ms, allowed_ms in events:
        now += wait_ms
        if kind == "send" and owner.free(now):
            work = owner.acquire(now, allowed_ms)
            end = now + allowed_ms + slots_lib.TRANSIT_MS / 2
            target.run(now, end)
            sent.append((work, end))
        elif kind == "answer" and sent:
            work, end = sent.pop(0)
            owner.release(work)
            target.ends = [known for known in target.ends if known != end]
        elif kind == "time out" and sent:
            # The target continues the work after the owner gave up.
            work, _ = sent.pop(0)
            owner.hold_until(work, work.until)
        elif kind == "hand over":
            occupied, remaining_ms = owner.remaining(now)
            owner = _warm(slots_lib.Slots(count))
            owner.inherit(occupied, now + remaining_ms)
            sent = []
        elif kind == "lose":
            now += LEASE_MS
            owner = _warm(slots_lib.Slots(count))
            owner.inherit(count, now + slots_lib.work_bound_ms(LONGEST_MS))
            sent = []


@when("random histories of owners that are lost and return are tried")
def try_histories(context):
    context.check = _check_histories


@then("the target never had more work than slots")
def check_histories(context):
    context.check()


@SETTINGS
@hypothesis.given(
    strategies.integers(1, 8),
    strategies.integers(1, 8),
    strategies.lists(
        strategies.sampled_from(
            ["send", "answer"] * 5 + ["restart", "cold", "ready"]
        ),
        min_size=50,
        max_size=100,
    ),
)
def _check_cold(count, cold_count, events):
    slots = slots_lib.Slots(count, cold_count, warm_up_requests=5)
    slots.reset_to_cold_start()
    cold_limit = min(count, cold_count)
    answered = 0
    work = []
    for event in events:
        if event == "send" and slots.free(0.0):
            work.append((slots.acquire(0.0, 1.0), slots))
            work[-1] = (work[-1][0], True)
        elif event == "answer" and work:
            done, is_new = work.pop(0)
            slots.release(done)
            slots.record_success(done)
            answered += is_new and not slots.announced_cold
        elif event in ("restart", "cold"):
            slots.announced_cold = slots.announced_cold or event == "cold"
            slots.reset_to_cold_start()
            work = [(old, False) for old, _ in work]
            answered = 0
        elif event == "ready":
            slots.announced_cold = False
        assert slots.limit <= count
        if slots.announced_cold or answered < 5:
            assert slots.limit == cold_limit, slots


@when("random histories of answers, cold starts and announcements are tried")
def try_cold_histories(context):
    context.check = _check_cold


@then("the limit stayed at the cold limit until the target was warm")
def check_cold_histories(context):
    context.check()


def _apply(context, **kind):
    context.index += 1
    command = control_pb2.Command(log_ms=context.index, **kind)
    return machine.apply(context.tables, command, context.index)


def _announce(context, instance):
    _apply(
        context,
        target_seen=control_pb2.TargetSeen(
            service=SERVICE, address=ADDRESS, slots=3, instance=instance
        ),
    )


@given("a target with 3 slots that an entry owns")
def make_owned(context):
    context.tables = tables_lib.Tables()
    context.index = 0
    joined = _apply(
        context, entry_join=control_pb2.EntryJoin(name="e", nonce="n")
    )
    context.session = joined.session
    _announce(context, "first")
    assignment = control_pb2.Assignment(
        address=ADDRESS, session=context.session
    )
    _apply(
        context,
        assign_owners=control_pb2.AssignOwners(assignments=[assignment]),
    )


def _remove(context):
    target = context.tables.targets()[0]
    _apply(
        context,
        target_gone=control_pb2.TargetGone(
            address=ADDRESS, instance=target.instance
        ),
    )


@when("the target is removed and announces itself again")
def remove_and_return(context):
    _remove(context)
    _announce(context, "first")


@when("the target is removed and a new instance announces itself")
def remove_and_restart(context):
    _remove(context)
    _announce(context, "second")


@when("the session ends with a longest deadline of {longest_ms:d} ms")
def end_session(context, longest_ms):
    bound = control_pb2.WorkBound(service=SERVICE, longest_ms=longest_ms)
    expire = control_pb2.EntryExpire(sessions=[context.session], bounds=[bound])
    _apply(context, entry_expire=expire)


@then("{count:d} slots count as taken")
def check_occupied(context, count):
    assert context.tables.targets()[0].residual_slots == count


@then("{count:d} slots count as taken for the longest deadline")
def check_occupied_long(context, count):
    target = context.tables.targets()[0]
    assert target.residual_slots == count, target
    assert target.residual_ms >= LONGEST_MS, target


@then("{count:d} slots count as taken for {bound_ms:d} ms")
def check_occupied_for(context, count, bound_ms):
    target = context.tables.targets()[0]
    assert target.residual_slots == count, target
    assert target.residual_ms == bound_ms, target


@given("a leader whose settings allow deadlines of {longest_ms:d} ms")
def make_leader(context, longest_ms):
    context.deadlines = deadlines.RecentDeadlines(LEASE_MS)
    context.deadlines.reset(0.0)
    context.deadlines.update(1, {SERVICE: longest_ms}, 0.0)
    context.now = 100_000.0


@when("the settings change to {longest_ms:d} ms and {seconds:d} s pass")
def change_settings(context, longest_ms, seconds):
    context.deadlines.update(2, {SERVICE: longest_ms}, context.now)
    context.now += seconds * 1000


@then("the work of a session that ends may continue for {bound_ms:d} ms")
def check_bound(context, bound_ms):
    (bound,) = context.deadlines.bounds(context.now)
    assert bound.longest_ms == bound_ms, bound


@given("a queue for {limit:d} requests")
def make_queue(context, limit):
    context.queue = deadline_queue.DeadlineQueue(limit)


@when("requests with deadlines 300, 100 and 200 wait")
def add_requests(context):
    for deadline in (300, 100, 200):
        context.queue.add(str(deadline), deadline)


@then("they are served in the order 100, 200, 300")
def check_order(context):
    assert context.queue.items() == ["100", "200", "300"]


@then("the queue is full")
def check_full(context):
    assert context.queue.is_full()


@given("the targets and entries of {deployment}")
def make_deployment(context, deployment):
    shape = DEPLOYMENTS[deployment]
    centres = shape.data_centres
    context.entries = [
        control_pb2.EntryRecord(
            session=number + 1, data_centre=centres[number % len(centres)]
        )
        for number in range(shape.entries)
    ]
    context.targets = [
        control_pb2.TargetRecord(
            service=service,
            address=f"{service}-{number}",
            data_centre=centres[number % len(centres)],
        )
        for service, count in shape.services.items()
        for number in range(count)
    ]
    context.max_moves = 0


@when("owners are planned until nothing changes")
def plan_owners(context):
    _plan(context, may_balance=False)


@when("owners are balanced until nothing changes")
def balance_owners(context):
    _plan(context, may_balance=True)


def _plan(context, may_balance):
    rows = {target.address: target for target in context.targets}
    for _ in range(200):
        planned = owners.plan(context.targets, context.entries, may_balance)
        if not planned:
            return
        moves = 0
        for assignment in planned:
            target = rows[assignment.address]
            moves += 1 if target.owner else 0
            target.owner = assignment.session
        context.max_moves = max(context.max_moves, moves)
    raise AssertionError("owners keep moving")


@then("every target has an owner in its data centre")
def check_local(context):
    centres = {e.session: e.data_centre for e in context.entries}
    for target in context.targets:
        assert centres[target.owner] == target.data_centre, target


@when("a rack of {count:d} entries is lost")
def lose_rack(context, count):
    context.lost, context.entries = (
        context.entries[:count],
        context.entries[count:],
    )
    lost = {entry.session for entry in context.lost}
    context.remaining_owners = {}
    for target in context.targets:
        if target.owner in lost:
            target.owner = 0
        else:
            context.remaining_owners[target.address] = target.owner


@then("no target of a remaining owner moved")
def check_stayed(context):
    moved = [
        target.address
        for target in context.targets
        if context.remaining_owners.get(target.address, target.owner)
        != target.owner
    ]
    assert not moved, moved


@when("the entries return")
def return_entries(context):
    for entry in context.lost:
        entry.session += 1000
    context.entries += context.lost


@then("at most {count:d} targets moved at a time")
def check_moves(context, count):
    assert context.max_moves <= count, context.max_moves


@then("no owner has more than twice the share of its data centre")
def check_balance(context):
    load = collections.Counter(t.owner for t in context.targets)
    for centre in {e.data_centre for e in context.entries}:
        local = [e.session for e in context.entries if e.data_centre == centre]
        targets = sum(load[session] for session in local)
        # Groups of a data centre are not split, so the share of an owner can
        # be as large as the largest group.
        largest = max(
            collections.Counter(
                t.service for t in context.targets if t.data_centre == centre
            ).values()
        )
        share = max(2 * math.ceil(targets / len(local)), largest)
        assert max(load[s] for s in local) <= share, (centre, load)
