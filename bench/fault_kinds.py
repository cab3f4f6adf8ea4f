"""Faults that can be injected into a deployment under load, by name.

Each function injects one fault and returns once the fault is over. Seeds draw
faults by the names of these functions.
"""

import json
import secrets
import shutil
import time
import typing

from bench import caller as caller_lib
from bench import deployment as deployment_lib
from bench import fault_judge
from bench import fault_run

LOOKUP_SERVICE = "dossier"
BOOKING_SERVICE = "keepsake"
# Exceeds the lease of 3 s, so that a frozen process loses its lease.
FREEZE_S = 5.0
SHORT_FAULT_S = 3.0
LONG_PARTITION_S = 15.0
# How long a server or data centre stays out after its drain has to be over.
OUT_OF_SERVICE_S = 2.0
COLD_START_REQUESTS = 10
CRASHING_REQUESTS = 8
SETTINGS_CHANGES = 100


def kill_entry(run: fault_run.Run) -> None:
    """Kills an entry and restarts it."""
    process = run.pick_process(run.deployment.entries)
    process.kill()
    time.sleep(1)
    process.start()


def freeze_entry(run: fault_run.Run) -> None:
    """Freezes an entry for longer than its lease."""
    process = run.pick_process(run.deployment.entries)
    process.freeze()
    time.sleep(FREEZE_S)
    process.thaw()


def kill_leader(run: fault_run.Run) -> None:
    """Kills the leader of the control VMs and restarts it."""
    name = run.deployment.leader() or "control-1"
    process = run.deployment.controls[name]
    process.kill()
    time.sleep(1)
    process.start()


def freeze_leader(run: fault_run.Run) -> None:
    """Freezes the leader of the control VMs for longer than its lease."""
    name = run.deployment.leader() or "control-1"
    process = run.deployment.controls[name]
    process.freeze()
    time.sleep(FREEZE_S)
    process.thaw()


def lose_disk(run: fault_run.Run) -> None:
    """Kills a control VM and restarts it with an empty disk."""
    process = run.pick_process(run.deployment.controls)
    process.kill()
    shutil.rmtree(run.deployment.folder / f"{process.name}-data")
    process.start()


def cut_off_control(run: fault_run.Run) -> None:
    """Isolates a control VM: its links drop all bytes without an error."""
    process = run.pick_process(run.deployment.controls)
    run.relays.isolate(process.name, "silence")
    time.sleep(FREEZE_S)
    run.relays.heal()


def cut_off_entry(run: fault_run.Run) -> None:
    """Drops all bytes between an entry and the control VMs."""
    process = run.pick_process(run.deployment.entries)
    for control in run.deployment.controls:
        run.relays.inject("silence", process.name, control)
    time.sleep(FREEZE_S)
    run.relays.heal()


def silence_connections(run: fault_run.Run) -> None:
    """Drops all bytes on open connections; new connections work."""
    run.relays.inject("silence_open", "*", "*")
    time.sleep(SHORT_FAULT_S)


def reset_connections(run: fault_run.Run) -> None:
    """Resets all open connections."""
    run.relays.inject("reset", "*", "*")


def take_out_data_centre(run: fault_run.Run) -> None:
    """Takes a data centre out of service and brings it back."""
    data_centre = run.rng.choice(run.deployment.shape.data_centres)
    try:
        reply = run.deployment.change_data_centre("/v1/take-out", data_centre)
    except TimeoutError:
        return
    if "revision" not in reply:
        return
    since = time.time()
    time.sleep(fault_judge.MAX_DRAIN_S + OUT_OF_SERVICE_S)
    servers = run.deployment.call_servers("/servers")
    addresses = frozenset(
        s["address"] for s in servers if s["data_centre"] == data_centre
    )
    run.out_of_service.append(
        fault_run.OutOfService(data_centre, addresses, since, time.time())
    )
    run.deployment.change_data_centre("/v1/bring-back", data_centre)


def make_cold(run: fault_run.Run) -> None:
    """Crashes backend servers, which restart cold."""
    addresses = [a for s in run.deployment.server_addresses.values() for a in s]
    for address in run.rng.sample(addresses, 3):
        run.deployment.call_servers("/crash", {"address": address})
        time.sleep(0.3)


def fall_cold(run: fault_run.Run) -> None:
    """Puts backend servers into cold start without announcing it."""
    addresses = [a for s in run.deployment.server_addresses.values() for a in s]
    for address in run.rng.sample(addresses, 3):
        run.silent_cold_starts[address] = (
            run.silent_cold_starts.get(address, 0) + 1
        )
        run.set_server(address, cold_runs=COLD_START_REQUESTS)
        time.sleep(0.3)


def slow_down(run: fault_run.Run) -> None:
    """Makes one backend server much slower for a while."""
    address = run.pick_server(LOOKUP_SERVICE)
    run.set_server(address, latency_ms=300)
    time.sleep(SHORT_FAULT_S)
    run.set_server(address, latency_ms=5)


def fail_fast(run: fault_run.Run) -> None:
    """Makes one backend server fail every request immediately for a while."""
    address = run.pick_server(LOOKUP_SERVICE)
    run.set_server(address, fail_fast=True)
    time.sleep(SHORT_FAULT_S)
    run.set_server(address, fail_fast=False)


def shed_load(run: fault_run.Run) -> None:
    """Makes one backend server refuse every request for a while."""
    address = run.pick_server(BOOKING_SERVICE)
    run.set_server(address, shed=True)
    time.sleep(SHORT_FAULT_S)
    run.set_server(address, shed=False)


def drain(run: fault_run.Run) -> None:
    """Makes a backend server announce that it drains, then serve again."""
    address = run.pick_server(BOOKING_SERVICE)
    before = run.deployment.call_servers("/announcements")["count"]
    run.set_server(address, state="draining")
    # The announcement is accepted once an entry has answered it.
    deployment_lib.wait_for(
        lambda: _is_shown_draining(run, address),
        fault_run.RECOVERY_TIMEOUT_S,
        f"an announcement after {before} is accepted",
    )
    since = time.time()
    time.sleep(fault_judge.MAX_DRAIN_S + OUT_OF_SERVICE_S)
    out = fault_run.OutOfService(
        address, frozenset([address]), since, time.time()
    )
    run.out_of_service.append(out)
    run.set_server(address, state="ready")


def _is_shown_draining(run: fault_run.Run, address: str) -> bool:
    shown = run.deployment.operate("/v1/show", {})
    return any(
        record["target"].get("state") == "draining"
        for record in shown["records"]
        if record.get("target", {}).get("address") == address
    )


def crash_by_request(run: fault_run.Run) -> None:
    """Repeats a request that crashes each backend server that runs it."""
    path = f"/crash/{run.rng.getrandbits(48):x}"
    run.crashing_paths.append(path)
    entries = list(run.deployment.callers_addresses.values())
    caller = caller_lib.Caller(entries, "", fault_run.CALLER_TIMEOUT_S)
    for number in range(CRASHING_REQUESTS):
        caller.call(
            LOOKUP_SERVICE,
            path=path,
            deadline_ms=fault_run.REQUEST_DEADLINE_MS,
            address=entries[number % len(entries)],
        )
        time.sleep(fault_run.ATTEMPT_PAUSE_S)


def _make_settings_text(run: fault_run.Run, queue: int) -> str:
    text = json.loads(run.deployment.shape.text)
    text["services"][LOOKUP_SERVICE]["queue"] = queue
    return json.dumps(text)


def _apply_settings(
    run: fault_run.Run, text: str, base: int, change_id: str
) -> dict:
    """Applies a settings text and returns the answer.

    Without an answer the result of the change is unknown: the returned dict is
    empty and the text is not recorded as accepted.
    """
    try:
        reply = run.deployment.apply(text, base, change_id)
    except TimeoutError:
        return {}
    if "revision" in reply:
        accepted = fault_run.AcceptedSettings(int(reply["revision"]), text)
        run.accepted.append(accepted)
    return reply


def race_operators(run: fault_run.Run) -> None:
    """Has two operators apply different texts and repeat their changes.

    A repeated change must return the revision of the first attempt, and only
    one of the operators may succeed.
    """
    base, _ = fault_judge.show_settings(run.deployment)
    results = []
    for queue in (63, 65):
        text = _make_settings_text(run, queue)
        change_id = secrets.token_hex(8)
        first = _apply_settings(run, text, base, change_id)
        again = _apply_settings(run, text, base, change_id)
        if "revision" in first and first["revision"] != again.get("revision"):
            run.violations.append(
                f"{first}, repeated with another result: {again}"
            )
        results.append(first)
    accepted = [reply for reply in results if "revision" in reply]
    if len(accepted) > 1:
        run.violations.append(f"both operators succeeded: {accepted}")


def change_often(run: fault_run.Run) -> None:
    """Restarts a control VM and an entry after many changes."""
    for number in range(SETTINGS_CHANGES):
        base, _ = fault_judge.show_settings(run.deployment)
        text = _make_settings_text(run, 50 + number % 20)
        _apply_settings(run, text, base, secrets.token_hex(8))
    for group in (run.deployment.controls, run.deployment.entries):
        process = run.pick_process(group)
        process.kill()
        process.start()


def cut_off_control_long(run: fault_run.Run) -> None:
    """Isolates a control VM for long while the settings change."""
    process = run.pick_process(run.deployment.controls)
    run.relays.isolate(process.name, "silence")
    until = time.monotonic() + LONG_PARTITION_S
    number = 0
    while time.monotonic() < until:
        number += 1
        base, _ = fault_judge.show_settings(run.deployment)
        text = _make_settings_text(run, 30 + number % 20)
        _apply_settings(run, text, base, secrets.token_hex(8))
        time.sleep(0.5)
    run.relays.heal()


def lose_second_control(run: fault_run.Run) -> None:
    """Erases the disk of a control VM, then kills another control VM.

    The second one is killed as soon as the first one votes again.
    """
    first, second = run.rng.sample(sorted(run.deployment.controls), 2)
    process = run.deployment.controls[first]
    process.kill()
    shutil.rmtree(run.deployment.folder / f"{first}-data")
    process.start()
    deployment_lib.wait_for(
        lambda: _is_voter(run, first),
        fault_run.RECOVERY_TIMEOUT_S,
        f"{first} votes",
    )
    process = run.deployment.controls[second]
    process.kill()
    time.sleep(SHORT_FAULT_S)
    process.start()


def _is_voter(run: fault_run.Run, name: str) -> bool:
    dump = run.deployment.dump_control(name)
    members = dump.get("members", {}).get("members", [])
    voters = [member["id"] for member in members if member.get("voter")]
    return dump.get("member") in voters


FAULTS: dict[str, typing.Callable[[fault_run.Run], None]] = {
    fault.__name__: fault
    for fault in (
        kill_entry,
        freeze_entry,
        kill_leader,
        freeze_leader,
        lose_disk,
        cut_off_control,
        cut_off_entry,
        silence_connections,
        reset_connections,
        take_out_data_centre,
        make_cold,
        fall_cold,
        slow_down,
        fail_fast,
        shed_load,
        drain,
        crash_by_request,
        race_operators,
        change_often,
        cut_off_control_long,
        lose_second_control,
    )
}
