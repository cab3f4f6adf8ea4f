"""Steps of roll-outs with real processes."""

import threading
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import platform_targets

PATH = "/-/rollouts"
# Many callers send to each of two entries.
CALLERS = 4
PAUSE_S = 0.04


def order(context, service, version, duration_s):
    body = {
        "service": service,
        "to-version": version,
        "duration-s": duration_s,
    }
    return context.fleet.call_control("POST", PATH, body)


@when("a roll-out of {service} to {version} in {duration_s:d} s is ordered")
def start(context, service, version, duration_s):
    context.answer = order(context, service, version, duration_s)
    context.ordered_at = time.monotonic()


@then("each wrong order of a roll-out is answered with its status")
def check_wrong(context):
    good = {"service": "dossier", "to-version": "v2", "duration-s": 12}
    wrong = [
        good | {name: value}
        for name, values in {
            "service": ["none", "", 1, None],
            "to-version": ["", 2, None],
            "duration-s": [0, -1, 1e9, 1e400, "12", True, None],
        }.items()
        for value in values
    ]
    wrong += [{k: v for k, v in good.items() if k != name} for name in good]
    fleet = context.fleet
    for body in wrong:
        got = fleet.call_control("POST", PATH, body)
        assert got.status_code == 400, (body, got)
    for raw in (b"", b"[]", b"\xff", b'{"service":"dossier"'):
        got = fleet.call_control("POST", PATH, raw=raw)
        assert got.status_code == 400, (raw, got)
    got = fleet.call_control("DELETE", f"{PATH}/dossier")
    assert got.status_code == 405, got


@then("a question about a roll-out that was never ordered is answered 404")
def check_unknown(context):
    for service in ("dossier", "none"):
        got = context.fleet.call_control("GET", f"{PATH}/{service}")
        assert got.status_code == 404, got


def get_state(fleet, vm, service="dossier"):
    got = fleet.request(vm, "GET", f"{PATH}/{service}")
    if got is None or got.status_code != 200:
        return None
    return got.json()["state"]


@then("every control VM says that the roll-out of dossier is {state}")
def check_state(context, state):
    fleet = context.fleet
    for vm in fleet.cores:
        fleet.wait_for(lambda vm=vm: get_state(fleet, vm) == state, 10)


@when("two of the control VMs are killed")
def kill_two(context):
    for vm in context.fleet.cores[:2]:
        vm.kill()


@then("a roll-out of keepsake is answered 503")
def check_unavailable(context):
    body = {"service": "keepsake", "to-version": "v2", "duration-s": 12}
    last = context.fleet.cores[2]
    got = context.fleet.request(last, "POST", PATH, body)
    assert got.status_code == 503, got


@given("two targets of dossier with version v2")
def add_new(context):
    fleet = context.fleet
    context.new = []
    for _ in range(2):
        number = len(fleet.farm.targets) + 1
        target = fleet.farm.add(f"{fleet.net}.{100 + number}", f"i-{number}")
        target.service, target.zone, target.seq = "dossier", "brest", 0
        target.announced_address = target.address
        target.born = int(time.time() * 1000)
        fleet.announce(target, version="v2")
        context.new.append(target)


@given("the targets of v2 fail")
def fail_new(context):
    for target in context.new:
        target.default_behaviour = "error"


@when("lookups are sent all the time")
def send_lookups(context):
    """Sends lookups to both entries until the scenario ends."""
    context.stop, context.unanswered, context.sent = threading.Event(), [], []

    def send(front):
        while not context.stop.is_set():
            try:
                got = context.fleet.call(front=front)
                ok = got.content == platform_targets.BODY
                if not ok:
                    item = (front, got.status_code, got.text)
                    context.unanswered.append(item)
            except httpx.HTTPError as exc:
                context.unanswered.append((front, 0, repr(exc)))
            context.sent.append(time.monotonic())
            time.sleep(PAUSE_S)

    context.senders = [
        threading.Thread(target=send, args=(n % 2,), daemon=True)
        for n in range(CALLERS)
    ]
    for sender in context.senders:
        sender.start()
    context.add_cleanup(end_senders, context.stop, context.senders)


def end_senders(stop, senders):
    stop.set()
    for sender in senders:
        sender.join(5)


@when("the leader is killed after 3 s, and an entry is started again")
def kill_leader(context):
    fleet = context.fleet
    time.sleep(max(0.0, context.ordered_at + 3 - time.monotonic()))
    leader = max(
        fleet.cores, key=lambda vm: vm.log().rfind("became leader") >= 0
    )
    leader.kill()
    fleet.fronts[1].kill()
    fleet.fronts[1].start()


def wait_for_state(context, state, within_s):
    fleet = context.fleet
    alive = [vm for vm in fleet.cores if vm.process.poll() is None]
    left_s = context.ordered_at + within_s - time.monotonic()
    fleet.wait_for(
        lambda: any(get_state(fleet, vm) == state for vm in alive), left_s
    )
    context.ended_at = time.monotonic()


@then("the roll-out of dossier is completed within {within_s:d} s")
def check_completed(context, within_s):
    wait_for_state(context, "completed", within_s)


@then("the roll-out of dossier is rolled back within {within_s:d} s")
def check_rolled_back(context, within_s):
    wait_for_state(context, "rolled_back", within_s)


@then(
    "the targets of v1 get no request after that, while they announce "
    "themselves"
)
def check_old_idle(context):
    old = context.targets[0]
    context.fleet.announce(old)
    time.sleep(1.0)
    assert not [a for a in old.arrivals if a.at > context.ended_at]
    assert not old.running


@then("each lookup was answered, and v2 got few before all of them")
def check_answered(context):
    assert len(context.sent) > 100, context.sent
    # The entry that was killed refuses connections until it is back.
    failed = [item for item in context.unanswered if item[0] == 0]
    assert not failed, failed[:5]
    early = context.ordered_at + 6
    counts = [
        len([a for a in target.arrivals if a.at < early])
        for target in context.fleet.farm.targets
        if target.service == "dossier"
    ]
    assert 0 < sum(counts[1:]) < 0.5 * sum(counts), counts


@then("v2 gets nothing from then on, also after all programs are started again")
def check_new_idle(context):
    fleet = context.fleet
    for vm in fleet.cores + fleet.fronts:
        vm.kill()
    for vm in fleet.cores + fleet.fronts:
        vm.start()
    for target in context.new:
        fleet.announce(target, version="v2")
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))
    before = len(context.targets[0].arrivals)
    fleet.wait_for(lambda: len(context.targets[0].arrivals) > before + 20)
    late = [
        arrival
        for target in context.new
        for arrival in target.arrivals
        if arrival.at > context.ended_at + 0.5
    ]
    assert not late, late
    got = sum(len(target.arrivals) for target in context.new)
    sent = [at for at in context.sent if at < context.ended_at]
    assert got <= 0.1 * len(sent) + 50, (got, len(sent))
