"""Steps for the requests of a lost owner that may still run.

A simulation of the leader, two entries and a target replays histories of
events; the target checks that it never runs more requests than its slots.
"""

import asyncio
import dataclasses
import functools

from behave import given
from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from bench import lost_owner
from cardamomkeel.control import deadlines as deadlines_lib
from cardamomkeel.control import leases as leases_lib
from cardamomkeel.policy import promises as promises_lib
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import targets
from cardamomkeel.wire import control_pb2

ADDRESS = "10.0.0.1:80"
SERVICE = "keepsake"
SLOTS = 3
LEASE_MS = 3000.0
ENTRY_LEASE_MS = 0.95 * LEASE_MS
POLL_MS = 500.0
SETTINGS = hypothesis.settings(
    derandomize=True, max_examples=400, deadline=None
)
# The kind of the event, whether it happens to the owner or to the other entry,
# the wait before it in ms, and how long requests may run in ms.
EVENT = strategies.tuples(
    strategies.sampled_from(
        ["start", "start covered", "start covered", "start late", "poll"]
        + ["lose answer", "delay poll", "deliver", "change leader", "idle"]
        + ["hand over", "answer all"]
    ),
    strategies.sampled_from([True, True, True, False]),
    strategies.sampled_from([0, 100, 500]),
    strategies.sampled_from([300, 5000, 10_000]),
)
# The owner is lost at the end of each part of a history.
HISTORY = strategies.lists(
    strategies.lists(EVENT, min_size=3, max_size=10), min_size=2, max_size=4
)


def _make_event(kind, allowed_ms=10_000, is_owner=True, wait_ms=0):
    return (kind, is_owner, wait_ms, allowed_ms)


HISTORIES = {
    "an older poll arrives late": [
        [
            _make_event("delay poll"),
            _make_event("start covered"),
            _make_event("deliver"),
        ]
    ],
    "a new leader receives a poll for the former one": [
        [
            _make_event("delay poll"),
            _make_event("start covered"),
            _make_event("change leader"),
            _make_event("deliver"),
        ]
    ],
    "a new leader knows no promises": [
        [_make_event("start covered"), _make_event("change leader")]
    ],
    "the answer to a shorter promise is lost": [
        [
            _make_event("start covered"),
            _make_event("answer all"),
            _make_event("idle"),
            _make_event("lose answer", wait_ms=500),
            _make_event("start"),
        ]
    ],
    "a promise is shortened while requests run": [
        [
            _make_event("start covered"),
            _make_event("idle"),
            _make_event("poll", wait_ms=500),
        ]
    ],
    "a longer promise is not confirmed": [
        [_make_event("start"), _make_event("start")]
    ],
    "a connection opens late": [[_make_event("start late")]],
    "the next owner is lost too": [
        [_make_event("poll", allowed_ms=300), _make_event("start covered")],
        [_make_event("poll", is_owner=False)],
    ],
}


@dataclasses.dataclass(eq=False)
class _Entry:
    """An entry with its promises, its lease and the target if it owns it."""

    name: str
    session: int = 0
    lease_until: float = float("-inf")
    promises: promises_lib.Promises = dataclasses.field(
        default_factory=promises_lib.Promises
    )
    epoch: int = 0
    slots: slots_lib.Slots | None = None


class _World:
    """A leader, two entries and a target that checks its load."""

    def __init__(self):
        self.now = 0.0
        self.index = 0
        self.term = 1
        self.tables = tables_lib.Tables()
        self.leases = leases_lib.Leases(LEASE_MS)
        self.deadlines = deadlines_lib.RecentDeadlines(LEASE_MS)
        self.deadlines.reset(self.now)
        longest = {SERVICE: targets.LONGEST_DEADLINE_MS}
        self.deadlines.update(1, longest, 0.0)
        self.delayed: list[control_pb2.PollRequest] = []
        self.running: list[tuple[float, _Entry, slots_lib.Work]] = []
        self.apply(
            target_seen=control_pb2.TargetSeen(
                service=SERVICE, address=ADDRESS, slots=SLOTS, instance="i"
            )
        )
        self.entries = [_Entry("a"), _Entry("b")]
        for entry in self.entries:
            self.poll(entry)
        self.run_leader_duties()
        self.poll_all()

    def apply(self, **kind):
        self.index += 1
        command = control_pb2.Command(log_ms=int(self.now), **kind)
        return machine.apply(self.tables, command, self.index)

    @property
    def target(self):
        return self.tables.targets()[0]

    # The leader.

    def run_leader_duties(self):
        sessions = [entry.session for entry in self.tables.entries()]
        for session in self.leases.mark_expired_as_closing(sessions, self.now):
            after_ms = self.leases.get_work_after_lease(session)
            command = self.deadlines.make_expire_command(
                session, after_ms, {SERVICE}, self.now
            )
            self.apply(entry_expire=command.entry_expire)
        live = [entry.session for entry in self.tables.entries()]
        self.leases.retain(live)
        if live and not self.target.owner:
            self.assign(live[0])

    def assign(self, session):
        row = control_pb2.Assignment(address=ADDRESS, session=session)
        self.apply(assign_owners=control_pb2.AssignOwners(assignments=[row]))

    def change_leader(self):
        self.term += 1
        sessions = [entry.session for entry in self.tables.entries()]
        self.leases.start(sessions, self.now)
        self.deadlines.reset(self.now)

    def handle_poll(self, req):
        """Answers a poll; returns None if the session has ended."""
        if self.tables.get(tables_lib.entry_key(req.session)) is None:
            return None
        if not self.leases.grant(req.session, 0, self.now):
            return None
        self.leases.record_bounds(req, self.term)
        return control_pb2.FollowReply(term=self.term)

    # The entries.

    def make_poll(self, entry):
        if not entry.session:
            self.index += 1
            join = control_pb2.EntryJoin(name=entry.name, nonce=str(self.index))
            entry.session = self.apply(entry_join=join).session
        req = control_pb2.PollRequest(session=entry.session)
        is_fresh = self.now < entry.lease_until
        for service, ms in entry.promises.send(self.now, is_fresh).items():
            req.bounds.add(service=service, longest_ms=ms)
        req.number = entry.promises.number
        req.term = entry.promises.term
        return req

    def poll(self, entry, is_bound_only=False):
        req = self.make_poll(entry)
        reply = self.handle_poll(req)
        if reply is None:
            entry.session, entry.slots, entry.epoch = 0, None, 0
            entry.lease_until = float("-inf")
            return
        entry.promises.confirm(req.number, reply.term, ENTRY_LEASE_MS)
        if not is_bound_only:
            entry.lease_until = self.now + ENTRY_LEASE_MS
            self.apply_ownership(entry)

    def poll_all(self):
        for entry in self.entries:
            self.poll(entry)

    def apply_ownership(self, entry):
        target = self.target
        if target.owner != entry.session:
            entry.slots, entry.epoch = None, 0
        elif entry.epoch != target.epoch:
            entry.epoch = target.epoch
            entry.slots = slots_lib.Slots(SLOTS, limit=SLOTS)
            until = self.now + target.residual_ms
            entry.slots.inherit(target.residual_slots, until)

    def require_bound(self, entry, allowed_ms):
        until = entry.lease_until
        if self.now < until:
            entry.promises.require(SERVICE, self.now, until, allowed_ms)

    def start_requests(self, entry, allowed_ms, late_ms=0):
        """Starts requests in the free slots, as far as promises cover them."""
        promises, lease_until = entry.promises, entry.lease_until
        if entry.slots is None or self.now >= lease_until:
            return
        covered_ms = promises.max_allowed_ms(SERVICE, self.now, lease_until)
        allowed_ms = min(allowed_ms, covered_ms)
        # The time that opening a connection takes.
        self.now += late_ms
        end = self.now + slots_lib.work_bound_ms(allowed_ms)
        for _ in range(entry.slots.free(self.now)):
            if allowed_ms <= 0 or not promises.try_start(
                SERVICE, end, lease_until
            ):
                return
            work = entry.slots.acquire(self.now, allowed_ms)
            entry.slots.hold_until(work, end)
            self.start_work(end, entry, work)

    def hand_over(self, entry):
        other = self.entries[1 - self.entries.index(entry)]
        live = tables_lib.entry_key(other.session)
        if entry.slots is None or self.tables.get(live) is None:
            return
        self.assign(other.session)
        count, remaining_ms = entry.slots.remaining(self.now)
        released = control_pb2.Released(
            address=ADDRESS,
            epoch=entry.epoch,
            residual_slots=count,
            residual_ms=int(remaining_ms) + 1,
        )
        command = control_pb2.ReleaseTargets(
            session=entry.session, released=[released]
        )
        entry.slots, entry.epoch = None, 0
        self.apply(release_targets=command)

    # The target.

    def start_work(self, end, entry, work):
        self.running = [row for row in self.running if row[0] > self.now]
        self.running.append((end, entry, work))
        assert len(self.running) <= SLOTS, (self.now, self.running)

    def answer_all(self):
        for _, entry, work in self.running:
            if entry.slots is not None:
                entry.slots.release(work)
        self.running = []

    # The events.

    def pass_time(self, ms):
        until = self.now + ms
        while self.now < until:
            self.now += POLL_MS
            self.poll_all()
            self.run_leader_duties()

    def lose_owner(self, watch_ms):
        """Freezes the owner until its session ends; the other entry runs on."""
        owner, other = self.owner_and_other()
        while self.tables.get(tables_lib.entry_key(owner.session)):
            self.now += self.leases.time_to_expiry_ms(self.now, POLL_MS)
            self.poll(other)
            self.run_leader_duties()
        self.poll(other)
        until = self.now + watch_ms
        while self.now < until:
            self.start_requests(other, 300)
            self.now += POLL_MS
            self.poll(other)
            self.run_leader_duties()

    def owner_and_other(self):
        entries = sorted(
            self.entries, key=lambda e: e.session != self.target.owner
        )
        return entries[0], entries[1]

    def step(self, kind, is_owner, wait_ms, allowed_ms):
        owner, other = self.owner_and_other()
        entry = owner if is_owner else other
        self.now += wait_ms
        self.run_leader_duties()
        if kind.startswith("start"):
            self.require_bound(entry, allowed_ms)
        if kind == "start covered" and entry.session:
            self.poll(entry, is_bound_only=True)
        if kind.startswith("start"):
            self.start_requests(
                entry, allowed_ms, 500 if kind == "start late" else 0
            )
        elif kind == "poll":
            self.poll(entry)
        elif kind == "idle":
            self.pass_time(promises_lib.KEEP_MS - POLL_MS)
        elif kind == "answer all":
            self.answer_all()
        elif kind == "lose answer" and entry.session:
            self.handle_poll(self.make_poll(entry))
        elif kind == "delay poll" and entry.session:
            self.delayed.append(self.make_poll(entry))
        elif kind == "deliver" and self.delayed:
            self.handle_poll(self.delayed.pop(0))
        elif kind == "change leader":
            self.change_leader()
        elif kind == "hand over":
            self.hand_over(entry)


def _play(history):
    world = _World()
    for events in history:
        for event in events:
            world.step(*event)
        world.lose_owner(watch_ms=events[0][3])


@when("a history is replayed in which {case}")
def replay_history(context, case):
    context.check = functools.partial(_play, HISTORIES[case])


@when("random histories of promises, polls, leaders and owners are tried")
def try_histories(context):
    context.check = SETTINGS(hypothesis.given(HISTORY)(_play))


@then("the target never ran more requests than its slots")
def check_histories(context):
    context.check()


@given("a leader and an entry that owns a target")
def make_leader_and_entry(context):
    context.world = _World()


@when("requests of {allowed_ms:d} ms run and the entry is lost")
def lose_entry(context, allowed_ms):
    world = context.world
    world.step("start covered", True, 0, allowed_ms)
    world.lose_owner(watch_ms=0)


@then("no slot of the target counts as occupied")
def check_free(context):
    assert context.world.target.residual_slots == 0, context.world.target


@then(
    "the slots of the target count as occupied for {least_ms:d} to "
    "{most_ms:d} ms"
)
def check_occupied(context, least_ms, most_ms):
    target = context.world.target
    assert target.residual_slots == SLOTS, target
    assert least_ms <= target.residual_ms <= most_ms, target


@when("{count:d} entries are killed at once under load")
def kill_entries(context, count):
    options = lost_owner.Options(lost=count, before_s=3.0, after_s=12.0)
    context.figures = asyncio.run(
        lost_owner.measure(context.deployment, options)
    )


@then(
    "every target that they owned received requests again within {most_s:d} s"
)
def check_work_again(context, most_s):
    figures = context.figures
    assert figures["lost_targets"] > 0, figures
    assert figures["until_work_again_s_most"] <= most_s, figures


@then("no booking ran twice")
def check_booked_once(context):
    assert context.figures["booked_twice"] == 0, context.figures


@then("at least 95 % were answered once all targets received requests")
def check_answered(context):
    after = context.figures["after"]
    assert after["requests"] > 0, after
    assert after["answered"] >= 0.95 * after["requests"], after
