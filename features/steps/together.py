"""Steps of faults together and twice."""

from behave import then
from behave import when

from bench import faults as faults_lib


@when("{names} happen under load, drawn by seed {seed:d}")
def happen(context, names, seed):
    seed = int(context.config.userdata.get("seed", seed))
    context.broken, run = faults_lib.run_seed(seed, names.split(","))
    print(f"seed {seed}: {'; '.join(run.steps)}")
    assert run.told.bookings and run.told.lookups


@then("all that must always hold was held")
def check_held(context):
    assert not context.broken, "\n".join(context.broken)
