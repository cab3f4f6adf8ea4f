"""Steps about accepted settings that stay in force."""

import concurrent.futures
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib


def read_settings(context, address=""):
    """Returns the settings in force, or None if they are not served."""
    deployment = context.deployment
    if address:
        got = deployment.call(address, "/v1/show")
        if got.status_code != 200:
            return None
        answer = got.json()
    else:
        answer = deployment.operate("/v1/show", {}, 30)
    rows = [row["settings"] for row in answer["records"] if "settings" in row]
    return rows[0]


def make_text(context, mark):
    return context.deployment.shape.text + f"\n// {mark}\n"


def apply_change(context, mark, change_id=""):
    """Applies a change based on the revision in force, and checks the answer.

    Returns:
        The revision that the change is based on.
    """
    base = int(read_settings(context)["revision"])
    context.accepted = make_text(context, mark)
    context.got = context.deployment.apply(context.accepted, base, change_id)
    assert context.got["revision"] > base, context.got
    return base


@when(
    "{count:d} operators each apply a text of their own from the same revision"
)
def race(context, count):
    base = int(read_settings(context)["revision"])

    def apply(number):
        text = make_text(context, f"operator {number}")
        return text, context.deployment.apply(text, base)

    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        context.outcomes = list(pool.map(apply, range(count)))


@then("one is accepted and the others get the difference to its text")
def check_race(context):
    won = [pair for pair in context.outcomes if "revision" in pair[1]]
    assert len(won) == 1, context.outcomes
    context.accepted, context.got = won[0]
    mark = context.accepted.splitlines()[-1]
    for text, got in context.outcomes:
        if text != context.accepted:
            assert f"-{mark}" in got["message"], got
            assert f"+{text.splitlines()[-1]}" in got["message"], got


@then("every entry shows the accepted text within {seconds:d} s")
def check_shown(context, seconds):
    deployment = context.deployment
    revision = int(context.got["revision"])
    deployment_lib.wait_for(
        lambda: all(
            deployment.dump_entry(name).get("revision") == revision
            for name in deployment.entries
        ),
        seconds,
        f"revision {revision} is shown",
    )
    text = read_settings(context)["text"]
    assert text == context.accepted, (
        f"{text[-80:]!r} {context.accepted[-80:]!r}"
    )


@given("a change whose answer was lost")
def lose_answer(context):
    context.base = apply_change(context, "first", "change-lost-answer")
    context.first = context.got


def resend(context):
    text = make_text(context, "first")
    context.again = context.deployment.apply(
        text, context.base, "change-lost-answer"
    )


@when("the leader is killed and the change is sent again")
def resend_to_next(context):
    leader = context.deployment.leader()
    context.deployment.controls[leader].kill()
    resend(context)
    context.deployment.controls[leader].start()


@when("the first change is sent again")
def resend_first(context):
    resend(context)


@then("it gets the first result")
def check_first_result(context):
    assert context.again == context.first, context.again


@when("another change is accepted, all processes are killed and started")
def restart_all(context):
    apply_change(context, "second")
    deployment = context.deployment
    killed = [*deployment.controls.values(), *deployment.entries.values()]
    for process in killed:
        process.kill()
    for process in killed:
        process.start()


@given("a change is accepted")
@when("a change is accepted")
def accept_change(context):
    apply_change(context, f"at {time.monotonic()}")


@when("{name} is killed and started")
def restart_entry(context, name):
    context.deployment.entries[name].kill()
    context.deployment.entries[name].start()


def partition(context, name, seconds):
    context.partitioned = name
    context.deployment.relays.isolate(name)
    time.sleep(seconds)


@given("a follower whose packets have been dropped for {seconds:d} s")
def partition_follower(context, seconds):
    deployment = context.deployment
    leader = deployment_lib.wait_for(deployment.leader, 10, "a leader") and (
        deployment.leader()
    )
    name = next(n for n in deployment.controls if n != leader)
    partition(context, name, seconds)
    context.leader = deployment.leader()
    context.term = deployment.dump_control(context.leader)["term"]


@given("the leader's packets have been dropped for {seconds:d} s")
def partition_leader(context, seconds):
    deployment_lib.wait_for(context.deployment.leader, 10, "a leader")
    partition(context, context.deployment.leader(), seconds)


@then("the follower serves nothing")
@then("the partitioned leader serves nothing")
def check_serves_nothing(context):
    address = context.deployment.control_operators[context.partitioned]
    assert read_settings(context, address) is None
    assert not context.deployment.dump_control(context.partitioned)["ready"]


@when("the network heals")
def heal(context):
    context.deployment.relays.heal()


@then("the leader and its term stay for {seconds:d} s")
def check_leader_stays(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        dump = context.deployment.dump_control(context.leader)
        assert dump["role"] == "leader", dump
        assert dump["term"] == context.term, dump
        time.sleep(0.1)


@then("no process shows an older revision")
def check_no_older(context):
    deployment = context.deployment
    revision = int(context.got["revision"])
    for address in deployment.control_operators.values():
        deployment_lib.wait_for(
            lambda at=address: is_served(context, at), 10, "it serves"
        )
        assert int(read_settings(context, address)["revision"]) >= revision
    for name in deployment.entries:
        assert deployment.dump_entry(name)["revision"] >= revision


def is_served(context, address):
    try:
        return read_settings(context, address) is not None
    except httpx.HTTPError:
        return False
