"""Steps of roll-outs: decisions, state and entries, without processes."""

import asyncio
import random
import types

from behave import given
from behave import then
from behave import when
from returns import result

from bench import rollout_plays
from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.operators import rollout_calls
from cardamomkeel.policy import incarnations
from cardamomkeel.policy import rollout_steps
from cardamomkeel.rollouts import bookkeeping
from cardamomkeel.rollouts import entry as entry_lib
from cardamomkeel.routes import change
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import instances
from cardamomkeel.state.commands import rollouts as commands
from cardamomkeel.wire import control_pb2

ROUTE = types.SimpleNamespace(host="h", prefix="/", objective_ms=400.0)
Stage = rollout_steps.Stage


# Decisions.


@when("good roll-outs at {rate:d} requests a second are played {plays:d} times")
def play_good(context, rate, plays):
    kinds = ({}, {"noise": True, "tail": True}, {"trouble": True})
    context.outcomes = [
        rollout_plays.Play(
            rollout_plays.Load(rate, **kinds[n % len(kinds)]), n
        ).run()
        for n in range(plays)
    ]


@then("fewer than 1 in 200 of them were rolled back")
def check_few_rolled_back(context):
    back = [o for o in context.outcomes if o.stage is not Stage.COMPLETED]
    context.back = back
    assert len(back) * 200 <= len(context.outcomes), back


@then("all others were completed by their deadline")
def check_in_time(context):
    others = [o for o in context.outcomes if o not in context.back]
    assert max(o.at_s for o in others) <= 12, others


@when(
    "roll-outs of a {bad} version at {rate:d} a second are played "
    "{plays:d} times"
)
def play_bad(context, bad, rate, plays):
    load = rollout_plays.Load(rate, bad=bad, noise=True)
    context.outcomes = [
        rollout_plays.Play(load, seed).run() for seed in range(plays)
    ]


@then("each was rolled back with at most {share:f} of the allowed requests")
def check_exposure(context, share):
    for outcome in context.outcomes:
        # So few requests that no bound is reached may tell too little.
        assert (
            outcome.stage is Stage.ROLLED_BACK
            or outcome.requests < 2 * rollout_plays.LIMITS.slack
        ), outcome
        assert outcome.sent <= share * outcome.allowed, outcome


# State.


def announce(context, version, number, sequence=1, cold_ms=0):
    record = control_pb2.InstanceRecord(
        address=f"10.0.0.{number}:80",
        instance=f"i-{number}",
        born_ms=number,
        sequence=sequence,
        service="s",
        data_centre="brest",
        slots=4,
        state=incarnations.READY,
        software=version,
        cold_until_log_ms=cold_ms,
    )
    apply(context, instances_seen=control_pb2.InstancesSeen(instances=[record]))


def apply(context, **kind):
    context.index += 1
    command = control_pb2.Command(log_ms=context.log_ms, **kind)
    context.result = machine.apply(context.tables, command, context.index)
    return context.result


def order(context, version, duration_ms=12_000):
    return apply(
        context,
        start_rollout=control_pb2.StartRollout(
            service="s", version=version, duration_ms=duration_ms
        ),
    )


def move(context, stage, from_step=None):
    row = commands.find(context.tables, "s")
    return apply(
        context,
        move_rollout=control_pb2.MoveRollout(
            service="s",
            order=row.order,
            from_step=row.step if from_step is None else from_step,
            stage=int(stage),
        ),
    )


@given("a service with targets of version v1")
def make_service(context):
    context.tables = tables_lib.Tables()
    context.index = context.log_ms = 0
    for number in (1, 2):
        announce(context, "v1", number)
        entry = control_pb2.EntryRecord(session=number, name=f"e-{number}")
        context.tables.put(
            tables_lib.entry_key(number), context.index, entry=entry
        )


@when("a roll-out to v2 is ordered")
def order_v2(context):
    assert order(context, "v2").status == commands.OK, context.result
    context.book = bookkeeping.Book(context.index)


@then("the same order is accepted again")
@then("the same order is accepted again, without effect")
def check_accepted_again(context):
    before = commands.find(context.tables, "s")
    assert order(context, "v2").status == commands.OK, context.result
    assert commands.find(context.tables, "s") == before


@then("an order of v3 is a conflict")
def check_conflict(context):
    assert order(context, "v3").status == commands.CONFLICT
    assert order(context, "v2", 1).status == commands.CONFLICT


@when("the state is saved and loaded")
def save_and_load(context):
    before = commands.find(context.tables, "s")
    state = context.tables.save()
    context.tables = tables_lib.Tables()
    context.tables.load(state)
    assert commands.find(context.tables, "s") == before


@when("an earlier leader moves it from another step")
def move_late(context):
    context.before = commands.find(context.tables, "s")
    move(context, Stage.ALL, context.before.step - 1)


@then("it is a conflict and nothing moves")
def check_not_moved(context):
    assert context.result.status == commands.CONFLICT
    assert commands.find(context.tables, "s") == context.before


@when("it is rolled back")
def roll_back(context):
    assert move(context, Stage.ROLLED_BACK).status == commands.OK


@when("{ms:d} ms go by on the log's clock")
def pass_log_time(context, ms):
    context.log_ms += ms


@then("it runs again")
def check_runs(context):
    assert commands.is_running(commands.find(context.tables, "s"))


@when("it completes")
def complete(context):
    announce(context, "v2", 3)
    assert move(context, Stage.COMPLETED).status == commands.OK


@then("the targets of v1 are gone, and stay so after a late heartbeat")
def check_gone(context):
    announce(context, "v1", 1, sequence=9)
    states = {row.software: row.state for row in context.tables.instances()}
    assert states == {"v1": incarnations.GONE, "v2": incarnations.READY}
    announce(context, "v1", 4)
    found = instances.find(context.tables, "10.0.0.4:80")
    assert found.state == incarnations.READY


@then("it can't be withdrawn")
def check_not_withdrawn(context):
    withdrawn = control_pb2.WithdrawRollout(service="s", operator="o")
    apply(context, withdraw_rollout=withdrawn)
    assert context.result.status == commands.REFUSED


def report(context, session, old_running=0):
    row = commands.find(context.tables, "s")
    counts = control_pb2.RolloutCounts(route="r")
    for version in ("old", "new"):
        for name in ("ended", "timed"):
            setattr(counts, f"{version}_{name}", context.log_ms // 50)
    counts.new_sent = counts.new_ended
    context.book.record(
        session,
        control_pb2.RolloutReport(
            service="s",
            order=row.order,
            step=row.step,
            process=session,
            old_running=old_running,
            routes=[counts],
        ),
        row,
        float(context.log_ms),
    )


def run(context, sessions, until, stop_at=None, old_running=0):
    """Plays the leader; returns the stages that it went through."""
    stages = []
    while context.log_ms < until:
        context.log_ms += 100
        row = commands.find(context.tables, "s")
        if not commands.is_running(row) or row.stage == stop_at:
            break
        for session in sessions:
            report(context, session, old_running if session == 2 else 0)
        progress = context.book.make_progress(
            row, context.tables, context.log_ms, float(context.log_ms)
        )
        found = rollout_steps.plan(progress, rollout_steps.Limits())
        if found is not None:
            assert move(context, found.stage).status == commands.OK
            stages.append(found.stage)
    return stages


@when("one of two entries reports all the time")
def report_one(context):
    announce(context, "v2", 3)
    context.stages = run(context, [1], 20_000)


@then("it is rolled back at its deadline, and never left its trial")
def check_deadline(context):
    assert context.stages == [Stage.ROLLED_BACK], context.stages
    assert 12_000 <= context.log_ms < 13_000, context.log_ms


@when("both entries report good answers up to the last step")
def report_both(context):
    announce(context, "v2", 3)
    announce(context, "v2", 4)
    stages = run(context, [1, 2], 12_000, Stage.FINAL)
    expected = [Stage.RAMP, Stage.ALL, Stage.FINAL]
    assert [s for s in stages if s is not Stage.TRIAL] == expected, stages


@when("a new leader hears of one that still runs {count:d} at v1")
def change_leader(context, count):
    context.book = bookkeeping.Book(context.book.order)
    context.stages = run(context, [1], context.log_ms + 1000)
    context.stages += run(
        context, [1, 2], context.log_ms + 1000, old_running=count
    )


@then("it does not complete")
def check_not_complete(context):
    assert not context.stages, context.stages


@when("that one reports none")
def report_none(context):
    context.stages = run(context, [1, 2], context.log_ms + 1000)


@then("it completes")
def check_completes(context):
    assert context.stages == [Stage.COMPLETED], context.stages


# Entries.


class Entry:
    """The targets and roll-outs of an entry."""

    def __init__(self):
        self.clock = clock.ManualClock()
        gossip = gossip_lib.Gossip("e", self.clock, lambda: None)
        self.targets = targets_lib.Targets("brest", "e", gossip, self.clock)
        self.in_touch, self.told = True, []
        self.rollouts = entry_lib.EntryRollouts(
            self.targets,
            lambda _within_ms: self.in_touch,
            metrics_lib.Metrics(),
            self.clock,
            random.Random(1),
        )
        self.rollouts.on_stop = lambda: self.told.append(True)
        self.targets.rollouts = self.rollouts
        self.view = view_lib.View()

    def follow(self, tables):
        """Applies all rows, as the entry's session does."""
        self.view.apply_reply(
            control_pb2.FollowReply(
                version=tables.version, whole=True, records=tables.read("")
            )
        )
        changes = self.view.pop_changes()
        self.targets.apply_changes(self.view, changes)
        self.rollouts.apply(self.view.rollouts)

    def list_allowed(self, wants_new, service="s"):
        """Returns the versions, and the targets, that a request may reach."""
        allowed = [
            t
            for t in self.targets.get(service)
            if self.rollouts.allows(t, wants_new)
        ]
        assert wants_new or all(map(self.targets.is_current, allowed))
        return {t.software for t in allowed}, allowed


@given("an entry with targets of v1 and v2")
def make_entry(context):
    make_service(context)
    for number in range(10, 30):
        announce(context, "v2", number)
    context.entry = Entry()
    context.entry.follow(context.tables)


@then("its requests go to both versions")
def check_both(context):
    assert context.entry.list_allowed(False)[0] == {"v1", "v2"}


@when("a roll-out to v2 with 10% is in force")
def start_with_share(context):
    order(context, "v2")
    context.first = commands.find(context.tables, "s")
    share = control_pb2.MoveRollout(
        service="s",
        order=context.first.order,
        from_step=1,
        stage=control_pb2.ROLLOUT_TRIAL,
        share_ppm=100_000,
    )
    apply(context, move_rollout=share)
    context.entry.follow(context.tables)


@then("10% of the requests are drawn for some targets of v2")
def check_drawn(context):
    entry = context.entry
    drawn = sum(entry.rollouts.draw("s") for _ in range(10_000))
    assert 900 <= drawn <= 1100, drawn
    versions, allowed = entry.list_allowed(True)
    assert (versions, len(allowed)) == ({"v2"}, 2), allowed


@then("all others may go to targets of v1 only")
def check_others_old(context):
    assert context.entry.list_allowed(False)[0] == {"v1"}


@then("no request may go to v2")
def check_old_only(context):
    for wants_new in (False, True):
        assert context.entry.list_allowed(wants_new)[0] == {"v1"}
    check_none_current(context)


@then("no target of v2 is current")
def check_none_current(context):
    assert not any(
        context.entry.targets.is_current(target)
        for target in context.entry.targets.get("s")
        if target.software == "v2"
    )


@when("the entry is out of touch with control")
def lose_touch(context):
    context.entry.in_touch = False


@when("the entry is in touch, and {count:d} answers of v2 failed")
def fail_answers(context, count):
    context.entry.in_touch = True
    answer(context, "v1", 200, False)
    answer(context, "v2", count, True)


def answer(context, version, count, failed):
    """Lets the entry have answers of a version."""
    entry = context.entry
    targets = [t for t in entry.targets.get("s") if t.software == version]
    # Its time does not count, since no loop runs here.
    targets[0].cold_until = entry.clock.now() + 1
    for _ in range(count):
        entry.rollouts.watch(targets[0], ROUTE).end(failed)


@then("it has stopped, and tells so in its datagrams and polls")
def check_stopped(context):
    rollouts = context.entry.rollouts
    assert context.entry.told == [True]
    assert rollouts.list_stops() == {"s": context.first.order}
    poll = control_pb2.PollRequest()
    rollouts.add_reports(poll)
    assert poll.rollouts[0].doubt, poll
    assert poll.rollouts[0].routes[0].new_failed, poll
    other = Entry()
    other.follow(context.tables)
    other.rollouts.record_stops(rollouts.list_stops())
    assert other.list_allowed(True)[0] == {"v1"}


@when("an older row of the roll-out arrives")
def apply_older(context):
    context.entry.rollouts.apply({"s": context.first})
    context.entry.rollouts.apply({})


@when("the roll-out reaches its {stage:w} step")
def make_final(context, stage):
    move(context, Stage[stage.upper()])
    context.entry.follow(context.tables)


@then("no request may go to v1, in touch or not")
def check_new_only(context):
    for in_touch in (True, False):
        context.entry.in_touch = in_touch
        assert context.entry.list_allowed(False)[0] == {"v2"}


@when("it is withdrawn")
def withdraw(context):
    withdrawn = control_pb2.WithdrawRollout(service="s", operator="o")
    assert apply(context, withdraw_rollout=withdrawn).status == commands.OK
    context.entry.in_touch = True
    context.entry.follow(context.tables)


@when("targets of v1 move to another service by reuse of their addresses")
def reuse_addresses(context):
    for number in (1, 2):
        record = control_pb2.InstanceRecord(
            address=f"10.0.0.{number}:80",
            instance=f"i-{number}-again",
            born_ms=1000 + number,
            service="other",
            state=incarnations.READY,
            slots=4,
            software="v2",
        )
        seen = control_pb2.InstancesSeen(instances=[record])
        apply(context, instances_seen=seen)
    context.entry.follow(context.tables)


@then("those of the other service are served")
def check_other_service(context):
    assert len(context.entry.list_allowed(False, "other")[1]) == 2
    assert context.entry.list_allowed(False) == (set(), [])


# Operators.


class Control:
    """A control group that commits at once."""

    def __init__(self, context):
        self.context = context

    async def read(self, req, _timeout_ms):
        """Returns the rows with a prefix."""
        rows = self.context.tables.read(req.key)
        return result.Success(control_pb2.ReadReply(records=rows))

    async def propose(self, proposed, _timeout_ms):
        """Applies one command."""
        kind = proposed[0].WhichOneof("kind")
        done = apply(self.context, **{kind: getattr(proposed[0], kind)})
        return result.Success([done])


@given("a control group that knows a route to it")
def add_route(context):
    service = document_lib.RoutedService()
    document = document_lib.RoutesDocument((), {"s": service})
    command = change.make_command(1, 0, document, b"f", b"source")
    assert apply(context, apply_routes=command.apply_routes).status == 0
    context.calls = rollout_calls.RolloutHandlers(Control(context)).handlers()


def call(context, name, **body):
    return asyncio.run(context.calls[f"/v1/rollouts/{name}"](body))


def call_start(context, **changes):
    good = {"service": "s", "version": "v2", "duration_s": 12, "operator": "o"}
    return call(context, "start", **(good | changes))


@then("a wrong order of an operator is refused with a remedy")
def check_wrong_order(context):
    for changes in (
        {"service": "none"},
        {"version": ""},
        {"duration_s": 0},
        {"duration_s": 1e9},
        {"duration_s": float("nan")},
    ):
        found = call_start(context, **changes)
        assert isinstance(found, result.Failure), changes
        assert found.failure().remedy
    assert call(context, "show").unwrap() == {"rollouts": []}


@when("an operator orders a roll-out to v2")
def call_order(context):
    for _ in range(2):
        assert call_start(context).unwrap()["version"]


@then("it is shown as in trial, and another one is refused")
def check_trial(context):
    check_shown(context, "trial")
    found = call_start(context, version="v3")
    assert isinstance(found, result.Failure), found


@when("the operator withdraws it")
def call_withdraw(context):
    call(context, "withdraw", service="s", operator="o").unwrap()


@then("it is shown as {stage}")
def check_shown(context, stage):
    (shown,) = call(context, "show", service="s").unwrap()["rollouts"]
    assert (shown["stage"], shown["version"]) == (stage, "v2"), shown


# Together with other changes.


@when("a target of v1 is replaced by one of v3")
def release(context):
    gone = control_pb2.InstanceName(instance="i-1")
    apply(context, instances_gone=control_pb2.InstancesGone(instances=[gone]))
    announce(context, "v3", 40)
    context.entry.follow(context.tables)


@then("requests that aren't drawn may go to v1 and v3 only")
def check_release(context):
    assert context.entry.list_allowed(False)[0] == {"v1", "v3"}
    assert context.entry.list_allowed(True)[0] == {"v2"}


@when("a target in trial is taken out of service")
def take_out(context):
    (target, *_) = context.entry.list_allowed(True)[1]
    out = control_pb2.TakeOut(
        change_id="12345678", address=target.address, force=True
    )
    assert apply(context, take_out=out).status == commands.OK
    context.taken_out = target.address
    context.entry.follow(context.tables)


@then("no target that is taken out is in trial")
def check_none_out(context):
    allowed = context.entry.list_allowed(True)[1]
    assert allowed
    assert context.taken_out not in [t.address for t in allowed], allowed


@then("targets of another part of the split get requests as before")
def check_split(context):
    reuse_addresses(context)
    for wants_new in (False, True):
        found = context.entry.list_allowed(wants_new, "other")
        assert len(found[1]) == 2, found
