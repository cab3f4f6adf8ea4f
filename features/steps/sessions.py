"""Steps of an entry's session, with control VMs that cannot be reached."""

import asyncio
import collections

import anyio
from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process

NOBODY = "127.0.0.1:1"
# Several questions, or attempts to join, fit into this.
WAIT_S = 0.7


def make_settings(controls=(NOBODY,)):
    return process.EntrySettings(
        name="entry-1",
        data_centre="brest",
        callers_address=NOBODY,
        entries_address=NOBODY,
        operators_address=NOBODY,
        secret_file="-",
        control={address: address for address in controls},
    )


def make_session(context, keeps_view):
    cfg = make_settings()
    clk = clock.MonotonicClock()
    client = client_lib.ControlClient([NOBODY], {}, clk)
    session = session_lib.Session(
        cfg, client, clk, lambda: None, keeps_view=keeps_view
    )
    context.asked = 0
    for owner, name in ((client._channels, "call"), (session._link, "ask")):
        count_calls(context, owner, name)
    return session


def count_calls(context, owner, name):
    func = getattr(owner, name)

    async def counted(*args, **kwargs):
        context.asked += 1
        return await func(*args, **kwargs)

    setattr(owner, name, counted)


@given(
    "an entry that {keeps} its rows without a session, and control VMs that "
    "refuse"
)
def make(context, keeps):
    context.keeps = keeps == "keeps"


ERRORS = {
    "CancelledError": asyncio.CancelledError,
    "RuntimeError": RuntimeError,
}


@when("its first attempt to join ends with {error}")
def fail_join(context, error):
    async def run():
        session = make_session(context, context.keeps)
        propose = session._client.propose

        async def failing(*args, **kwargs):  # noqa: ARG001
            session._client.propose = propose
            raise ERRORS[error]

        session._client.propose = failing
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await asyncio.sleep(WAIT_S)
            context.before = context.asked
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()

    asyncio.run(run())


@then("it still asks control VMs")
def check_asks(context):
    assert context.asked > context.before, context.asked


@when("its task group is cancelled")
def cancel_group(context):
    async def run():
        session = make_session(context, context.keeps)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()
        context.before = context.asked
        await asyncio.sleep(WAIT_S)

    asyncio.run(run())


@then("it asks nobody any more")
def check_silent(context):
    assert context.before
    assert context.asked == context.before


@when("{count:d} entries begin")
def begin(context, count):
    cfg = make_settings([f"127.0.0.1:{port}" for port in (1, 2, 3)])
    clk = clock.MonotonicClock()
    context.first = collections.Counter(
        session_lib.Session(cfg, None, clk, lambda: None)._pick_address()
        for _ in range(count)
    )


@then(
    "they ask each of {controls:d} control VMs first at least {least:d} times"
)
def check_spread(context, controls, least):
    assert len(context.first) == controls, context.first
    assert min(context.first.values()) >= least, context.first
