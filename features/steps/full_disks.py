"""Steps about control VMs whose disks are full for a while."""

from behave import then
from behave import when

from bench import full_disks


@when(
    "the disks of {count:d} control VMs are full in turn, {moment}, with seed "
    "{seed:d}"
)
def fill_disks(context, count, moment, seed):
    seed = int(context.config.userdata.get("seed", seed))
    play = full_disks.Play(
        seed, cores=count, is_forming=moment != "while they run"
    )
    context.problems = play.run()
    context.steps_played = play.steps


@then("all changes were acknowledged in time, and none is lost")
def check_play(context):
    report = "\n".join([*context.steps_played, *context.problems])
    assert not context.problems, report
