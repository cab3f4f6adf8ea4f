"""Steps of roll-outs that meet faults, without processes."""

import dataclasses

from behave import then
from behave import when

from cardamomkeel.policy import rollout_steps
from cardamomkeel.policy import rollout_verdict
from cardamomkeel.rollouts import bookkeeping
from cardamomkeel.state.commands import rollouts as commands
from cardamomkeel.wire import control_pb2
from features.steps import rollouts


@when("it has {old:d} {kind} answers of v1 and {new:d} {new_kind} ones of v2")
def give_answers(context, old, kind, new, new_kind):
    rollouts.answer(context, "v1", old, kind == "bad")
    rollouts.answer(context, "v2", new, new_kind == "bad")


@when("the roll-out moves to its {stage:w}")
@when("the roll-out moves to {stage:w} requests")
def move_entry(context, stage):
    assert (
        rollouts.move(context, rollouts.Stage[stage.upper()]).status
        == commands.OK
    )
    context.entry.follow(context.tables)


@then("it has not stopped")
def check_going_on(context):
    assert not context.entry.rollouts.list_stops()


@then("it has stopped")
def check_has_stopped(context):
    assert context.entry.rollouts.list_stops()


@when(
    "the entries report {old:d} answers of v1, {old_bad:d} bad, and {new:d} "
    "of v2, {new_bad:d} bad"
)
def report_answers(context, old, old_bad, new, new_bad):
    context.log_ms += 2000
    if not hasattr(context, "counts"):
        context.counts = control_pb2.RolloutCounts(route="r")
    counts = context.counts
    counts.old_ended += old
    counts.old_failed += old_bad
    counts.new_sent += new
    counts.new_ended += new
    counts.new_failed += new_bad
    report_counts(context)


def report_counts(context, doubt=""):
    row = commands.find(context.tables, "s")
    for session in (1, 2):
        told = control_pb2.RolloutReport(
            service="s", order=row.order, step=row.step, process=session
        )
        told.routes.append(context.counts)
        told.doubt = doubt
        context.book.record(session, told, row, float(context.log_ms))


@when("its leader moves it to its ramp")
def move_to_ramp(context):
    assert rollouts.move(context, rollouts.Stage.RAMP).status == commands.OK


@when("a new leader hears of all this")
def hear_again(context, doubt=""):
    context.book = bookkeeping.Book(context.book.order)
    context.log_ms += 1000
    find_progress(context)
    report_counts(context, doubt)


@when("a new leader hears of all this, and that an entry has stopped")
def hear_of_stop(context):
    hear_again(context, "failed")


def find_progress(context):
    row = commands.find(context.tables, "s")
    return context.book.make_progress(
        row, context.tables, context.log_ms, float(context.log_ms)
    )


@then("nothing speaks against v2")
def check_not_bad(context):
    found = find_progress(context)
    verdicts = {found.verdict, found.gate_verdict, found.late_verdict}
    assert verdicts == {rollout_verdict.Verdict.GOOD}, found


@then("v2 is bad")
def check_bad(context):
    found = find_progress(context)
    assert found.verdict is rollout_verdict.Verdict.BAD, found


@then("it knows of {sent:d} requests to v2, and of {rate:d} requests a second")
def check_counted(context, sent, rate):
    found = find_progress(context)
    assert (found.new_sent, found.requests_per_s) == (sent, rate), found
    context.log_ms += 900
    assert find_progress(context).requests_per_s == 0, found


@when("a roll-out to {version:w} is ordered and in its trial")
def start_other(context, version):
    assert rollouts.order(context, version).status == commands.OK, (
        context.result
    )
    context.entry.follow(context.tables)


@then("there are slots of v1 only")
def check_slots(context):
    context.book = bookkeeping.Book(context.index)
    found = find_progress(context)
    assert (found.new_slots, found.old_slots) == (0, 8), found


@when("{count:d} more versions are rolled back")
def roll_back_more(context, count):
    for number in range(4, 4 + count):
        start_other(context, f"v{number}")
        rollouts.withdraw(context)


@then("{count:d} versions are barred, but not {version:w}")
def check_barred(context, count, version):
    barred = commands.find(context.tables, "s").barred
    assert len(set(barred)) == count, barred
    assert version not in barred, barred


@when("servers of v1 and v2 start again")
def start_again(context):
    rollouts.announce(context, "v1", 50)
    rollouts.announce(context, "v2", 51)
    context.entry.follow(context.tables)


@when("a row of an older order arrives that has made more steps")
def apply_older_order(context):
    row = control_pb2.RolloutRecord(
        service="s",
        version="v3",
        order=context.first.order - 1,
        step=9,
        stage=control_pb2.ROLLOUT_COMPLETED,
    )
    context.entry.rollouts.apply({"s": row})


@when("servers of v2 begin their cold start")
def start_cold(context):
    rollouts.announce(context, "v2", 3, cold_ms=5000)
    context.reporting = [1, 2]


@when("the servers of v1 are lost, and one of two entries reports")
def lose_earlier(context):
    gone = [control_pb2.InstanceName(instance=f"i-{n}") for n in (1, 2)]
    rollouts.apply(
        context, instances_gone=control_pb2.InstancesGone(instances=gone)
    )
    context.reporting = [2]
    context.book = bookkeeping.Book(context.book.order)


@then("it stays in its trial for {ms:d} ms")
def check_stays(context, ms):
    stages = rollouts.run(context, context.reporting, context.log_ms + ms)
    assert set(stages) <= {rollouts.Stage.TRIAL}, stages


@when("both entries report")
def report_again(context):
    context.stages = rollouts.run(context, [1, 2], context.log_ms + 100)


@then("it moves to all requests at once")
def check_all(context):
    assert context.stages == [rollouts.Stage.ALL], context.stages


@then("it stays in its trial if something speaks against v2")
def check_doubt(context):
    found = dataclasses.replace(
        find_progress(context),
        stage=rollouts.Stage.TRIAL,
        gate_verdict=rollout_verdict.Verdict.DOUBTFUL,
    )
    assert found.new_slots and not found.old_slots, found
    assert rollout_steps.plan(found, rollout_steps.Limits()) is None, found
