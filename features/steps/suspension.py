"""Steps about a VM that is suspended, or whose time of day is set."""

import itertools
import time
from unittest import mock

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.routing import session as session_lib

HOUR_S = 3600.0
real_time = time.time
LEASE_MS = 3000.0


@given("a clock of this VM")
def make_clock(context):
    context.clock = clock.MonotonicClock()
    context.started = context.clock.now()


@given("an entry that has just renewed its lease")
def make_session(context):
    make_clock(context)
    cfg = settings_lib.GatewaySettings(
        name="entry-1",
        data_centre="brest",
        callers_address="127.0.0.1:1",
        entries_address="127.0.0.1:2",
        operators_address="127.0.0.1:3",
        control={"control-1": "127.0.0.1:4"},
    )
    context.session = session_lib.Session(
        cfg, mock.Mock(), context.clock, lambda: None, keeps_view=True
    )
    context.session.lease_until = context.clock.now() + LEASE_MS
    assert context.session.is_fresh()


def patch(context, target, **kwargs):
    patcher = mock.patch(target, **kwargs)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when("the VM is suspended for {ms:d} ms")
def suspend(context, ms):
    stands_still = {time.CLOCK_MONOTONIC: 0.0, time.CLOCK_BOOTTIME: ms / 1000}
    read = time.clock_gettime
    patch(context, "time.monotonic", return_value=time.monotonic())
    patch(
        context,
        "time.clock_gettime",
        side_effect=lambda kind: read(kind) + stands_still.get(kind, 0.0),
    )


@when("the time of day is set {direction} by an hour")
def set_time(context, direction):
    shift_s = HOUR_S if direction == "forward" else -HOUR_S
    patch(context, "time.time", return_value=time.time() + shift_s)


@then("{ms:d} ms have passed on the clock")
def check_passed(context, ms):
    passed_ms = context.clock.now() - context.started
    assert ms <= passed_ms < ms + 1000, passed_ms


@then("less than {ms:d} ms have passed on the clock")
def check_little_passed(context, ms):
    passed_ms = context.clock.now() - context.started
    assert 0 <= passed_ms < ms, passed_ms


@then("the entry can't confirm its settings")
def check_not_fresh(context):
    assert not context.session.is_fresh()


@when(
    "the time of day jumps by an hour, forward and back, between {count:d} "
    "lookups"
)
def look_up_while_time_jumps(context, count):
    shifts = itertools.cycle([HOUR_S, 0.0, -HOUR_S, 0.0])
    context.answers = []
    for number in range(count):
        now = real_time() + next(shifts)
        with mock.patch("time.time", return_value=now):
            context.answers.append(context.rig.call(path=f"/look/{number}"))


@then("each lookup was answered completely within {most:d} ms")
def check_lookups(context, most):
    for answer in context.answers:
        assert answer.status == 200, answer
        assert answer.took_s * 1000 <= most, answer
