"""Steps for control VMs that fail and are repaired."""

import resource
import shutil
import time

from behave import given
from behave import then
from behave import when

from bench import deployment as deployment_lib

SPARE_BYTES = 50_000
# How long a control VM runs on a disk that is still full.
FULL_S = 2.0
LAST_LINES = 20


def control_process(context, name):
    return context.deployment.controls[name]


@given("control VM {name} is killed and its data folder wiped")
def wipe(context, name):
    control_process(context, name).kill()
    shutil.rmtree(context.deployment.folder / f"{name}-data")


@given("control VM {name} is killed")
@when("control VM {name} is killed")
def kill_control(context, name):
    control_process(context, name).kill()


@when("control VM {name} starts again")
def start_control(context, name):
    control_process(context, name).start()


@when("init is run again for {name}")
def init_again(context, name):
    context.deployment.init(name)


@then("{name} votes under a new id within {seconds:d} s")
def check_votes(context, name, seconds):
    def votes():
        dump = context.deployment.dump_control(name)
        voters = [
            member["id"]
            for member in dump.get("members", {}).get("members", [])
            if member.get("voter")
        ]
        return dump.get("member") in voters

    deployment_lib.wait_for(votes, seconds, f"{name} votes")
    own = context.deployment.dump_control(name)["member"]
    assert own != f"{name}.first", own


def change(context, timeout_s):
    """Applies a settings text based on the current revision."""
    deployment = context.deployment
    got = deployment.operate("/v1/show", {}, timeout_s)
    base = next(
        int(record["settings"]["revision"])
        for record in got["records"]
        if "settings" in record
    )
    return deployment.apply(deployment.shape.text + " ", base)


@then("a change of the settings is accepted within {seconds:d} s")
def check_accepted(context, seconds):
    context.got = change(context, seconds)
    assert "revision" in context.got, context.got


@then("no change of the settings is accepted for {seconds:d} s")
def check_not_accepted(context, seconds):
    try:
        got = context.deployment.operate("/v1/show", {}, seconds)
    except TimeoutError:
        return
    raise AssertionError(got)


@then("every entry has it in force within {seconds:d} s")
def check_in_force(context, seconds):
    deployment = context.deployment
    revision = context.got["revision"]
    deployment_lib.wait_for(
        lambda: all(
            deployment.dump_entry(name).get("revision") == revision
            and deployment.dump_entry(name)["fresh"]
            for name in deployment.entries
        ),
        seconds,
        f"revision {revision} is in force",
    )


@given("the {role} can't write more data to its disk")
def limit_disk(context, role):
    deployment = context.deployment
    context.limited = deployment.leader()
    if role == "follower":
        others = set(deployment.controls) - {context.limited}
        context.limited = min(others)
    fill_disk(context, SPARE_BYTES)


def fill_disk(context, spare_bytes):
    """Lets the log of a control VM grow by some bytes; returns the old limit.

    The process still has to write to its own log file.
    """
    log = context.deployment.folder / f"{context.limited}-data" / "log"
    size = log.stat().st_size + spare_bytes
    pid = control_process(context, context.limited).pid
    unlimited = resource.prlimit(pid, resource.RLIMIT_FSIZE)
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, unlimited[1]))
    return unlimited


@when("a large change of the settings is sent to another control VM")
def send_change(context):
    change_text(context, 1, 2 * SPARE_BYTES)


def change_text(context, base, spaces):
    """Appends some spaces to the text through a VM whose disk has room."""
    deployment = context.deployment
    follower = next(n for n in deployment.controls if n != context.limited)
    body = {
        "text": deployment.shape.text + " " * spaces,
        "base_revision": base,
        "change_id": f"change-{base}-on-a-full-disk",
        "operator": "tests",
    }
    address = deployment.control_operators[follower]
    got = deployment.call(address, "/v1/apply", body).json()
    assert got.get("revision") == base + 1, got


@then("it exits with status {status:d} and reports the disk")
def check_ended_by_disk(context, status):
    process = control_process(context, context.limited)
    deployment_lib.wait_for(lambda: not process.is_running(), 10, "it ends")
    ended, log = process.stop(), process.log.read_text()
    assert ended == status, f"{ended}: {log}"
    assert "can't be written" in log, log


@when(
    "each control VM exits for its full disk in turn, and starts while it is "
    "still full"
)
def fill_disks_in_turn(context):
    deployment = context.deployment
    for revision, name in enumerate(sorted(deployment.controls), start=1):
        context.limited = name
        process = control_process(context, name)
        limit = fill_disk(context, SPARE_BYTES)
        change_text(context, revision, 2 * SPARE_BYTES * revision)
        deployment_lib.wait_for(lambda p=process: not p.is_running(), 10, "end")
        process.start()
        fill_disk(context, 0)
        time.sleep(FULL_S)
        if process.is_running():
            resource.prlimit(process.pid, resource.RLIMIT_FSIZE, limit)
        else:
            process.start()
        try:
            deployment_lib.wait_for(
                lambda name=name: deployment.dump_control(name).get("leader"),
                10,
                f"{name} follows a leader",
            )
        except TimeoutError as exc:
            raise TimeoutError(f"{exc}\n{read_end(process)}") from exc


def read_end(process):
    """Returns whether a process runs, and its last lines of the log."""
    lines = process.log.read_text().splitlines()[-LAST_LINES:]
    return "\n".join([f"running: {process.is_running()}", *lines])


@then("every control VM runs and follows a leader")
def check_all_follow(context):
    for name in context.deployment.controls:
        assert context.deployment.dump_control(name)["leader"], name


@when("an operator removes {name} and adds it")
def remove_and_add(context, name):
    context.deployment.operate("/v1/member-remove", {"name": name})
    context.got = context.deployment.operate("/v1/member-add", {"name": name})


@then("{name} is expected")
def check_expected(context, name):
    assert context.got.get("expected") == [name], context.got


@then("it says that {name} is not expected within {seconds:d} s")
def check_not_expected(context, name, seconds):
    log = control_process(context, name).log
    deployment_lib.wait_for(
        lambda: f"{name} is not expected" in log.read_text(),
        seconds,
        f"{name} is not expected",
    )


@when("an operator adds {name}")
def add_member(context, name):
    context.got = context.deployment.operate("/v1/member-add", {"name": name})


@when("an operator removes {name}")
def remove_member(context, name):
    # The leader first has to detect the unresponsive member.
    time.sleep(1.5)
    context.got = context.deployment.operate(
        "/v1/member-remove", {"name": name}
    )


@then("that is refused since {name} does not answer")
def check_removal_refused(context, name):
    assert "do not answer" in context.got.get("message", ""), context.got
    assert name in context.got["message"]


@then("the group has the voters {names}")
def check_voters(context, names):
    voters = [m["name"] for m in context.got["members"] if m.get("voter")]
    assert sorted(voters) == names.split(), context.got


@given("the leader and its term are recorded")
def record_leader(context):
    context.leader = context.deployment.leader()
    context.term = context.deployment.dump_control(context.leader)["term"]


@when(
    "all connections between control VMs and from entries become unresponsive"
)
def silence_open(context):
    for client in [*context.deployment.controls, *context.deployment.entries]:
        for server in context.deployment.controls:
            context.deployment.relays.inject("silence_open", client, server)


@then("no lease runs out for {seconds:d} s")
def check_leases(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for name in context.deployment.entries:
            assert context.deployment.dump_entry(name)["fresh"], name
        time.sleep(0.05)


@then("the leader and its term have not changed")
def check_same_leader(context):
    dump = context.deployment.dump_control(context.leader)
    assert dump["role"] == "leader", dump
    assert dump["term"] == context.term, dump
