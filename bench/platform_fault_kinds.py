"""Faults that can be injected into the platform's programs, by name.

Each function injects one fault and returns once the fault is over. Seeds draw
faults by the names of these functions.
"""

import signal
import time
import typing

from bench import platform as platform_lib
from bench import platform_soak

DOWNTIME_S = 1.0
FREEZE_S = 3.0
TARGET_FAULT_S = 2.0
# In each direction, a large part of a request's deadline.
DELAY_MS = 400.0
CONFIG_CHANGES = 8


def kill_entry(run: platform_soak.Run) -> None:
    """Kills an entry and restarts it."""
    _restart(run, [run.rng.choice(run.fleet.fronts)], signal.SIGKILL)


def stop_entries(run: platform_soak.Run) -> None:
    """Restarts the entries one after the other, with SIGTERM."""
    for vm in run.fleet.fronts:
        _restart(run, [vm], signal.SIGTERM)


def freeze_entry(run: platform_soak.Run) -> None:
    """Freezes an entry."""
    _freeze(run, run.rng.choice(run.fleet.fronts))


def reload_entries(run: platform_soak.Run) -> None:
    """Makes all entries reload their settings."""
    for vm in run.fleet.fronts:
        vm.process.send_signal(signal.SIGHUP)


def kill_control(run: platform_soak.Run) -> None:
    """Kills a control VM and restarts it."""
    _restart(run, [run.rng.choice(run.fleet.cores)], signal.SIGKILL)


def freeze_control(run: platform_soak.Run) -> None:
    """Freezes a control VM."""
    _freeze(run, run.rng.choice(run.fleet.cores))


def lose_disk(run: platform_soak.Run) -> None:
    """Kills a control VM and restarts it with an empty disk."""
    vm = run.rng.choice(run.fleet.cores)
    vm.kill()
    vm.lose_disk()
    vm.start()


def kill_all(run: platform_soak.Run) -> None:
    """Kills all control VMs and entries at once and restarts them."""
    _restart(run, run.fleet.cores + run.fleet.fronts, signal.SIGKILL)


def _restart(
    run: platform_soak.Run, vms: list[platform_lib.Vm], number: signal.Signals
) -> None:
    began = time.monotonic()
    if number == signal.SIGKILL:
        for vm in vms:
            _record_disruption(run, vm, began, began + DOWNTIME_S)
    else:
        for vm in vms:
            run.restarts.append(
                platform_soak.Disruption(vm.name, began, began + DOWNTIME_S)
            )
    for vm in vms:
        vm.process.send_signal(number)
    for vm in vms:
        vm.process.wait(20)
    time.sleep(DOWNTIME_S)
    for vm in vms:
        vm.start()


def _record_disruption(
    run: platform_soak.Run, vm: platform_lib.Vm, since: float, until: float
) -> None:
    run.disruptions.append(platform_soak.Disruption(vm.name, since, until))


def _freeze(run: platform_soak.Run, vm: platform_lib.Vm) -> None:
    began = time.monotonic()
    _record_disruption(run, vm, began, began + FREEZE_S)
    vm.process.send_signal(signal.SIGSTOP)
    time.sleep(FREEZE_S)
    vm.process.send_signal(signal.SIGCONT)


def change_often(run: platform_soak.Run) -> None:
    """Applies configurations in quick succession."""
    for _ in range(CONFIG_CHANGES):
        config = platform_lib.make_config(
            run.config_number + 1, run.config_number
        )
        reply = run.fleet.call_control("PUT", "/-/config", config)
        if reply.status_code != 200:
            raise AssertionError(f"a change was refused: {reply.text}")
        run.config_number += 1


def say_farewell(run: platform_soak.Run) -> None:
    """Deregisters a target, which continues to serve, and adds another one."""
    target = _remove_target(run)
    path = f"/-/instances/{target.instance}"
    run.fleet.call_control("DELETE", path)
    _record_out_of_service(run, "farewell", target)
    run.fleet.add_target(target.service, target.zone)


def drain_target(run: platform_soak.Run) -> None:
    """Makes a target announce that it drains, and adds another one."""
    target = _remove_target(run)
    run.fleet.announce(target, "draining")
    _record_out_of_service(run, "draining", target)
    run.fleet.add_target(target.service, target.zone)


def _pick_target(run: platform_soak.Run):
    service = run.rng.choice(platform_lib.SERVICES)
    return run.rng.choice(run.pick_targets(service))


def _remove_target(run: platform_soak.Run):
    target = _pick_target(run)
    run.removed.add(target)
    return target


def _record_out_of_service(run: platform_soak.Run, name: str, target) -> None:
    since = time.monotonic() + platform_soak.DRAIN_S
    run.out_of_service.append(
        platform_soak.OutOfService(name, (target,), since)
    )


def leave_in_answers(run: platform_soak.Run) -> None:
    """Makes a target say in its answers that it leaves, and adds another one.

    Its heartbeats go on saying that it is ready.
    """
    target = _pick_target(run)
    run.fleet.add_target(target.service, target.zone)
    target.leaving = "1"
    time.sleep(platform_soak.DRAIN_S + TARGET_FAULT_S)


def push_back(run: platform_soak.Run) -> None:
    """Makes a target push back for a while."""
    target = _pick_target(run)
    target.push_back = [str(TARGET_FAULT_S)]
    time.sleep(TARGET_FAULT_S)
    target.push_back = None


def crash_target(run: platform_soak.Run) -> None:
    """Stops a target without deregistering it."""
    target = _remove_target(run)
    run.fleet.farm.do(target.stop())


def reset_answers(run: platform_soak.Run) -> None:
    """Makes a target run requests and reset connections for a while."""
    _misbehave(run, "reset")


def hang(run: platform_soak.Run) -> None:
    """Makes a target answer nothing for a while."""
    _misbehave(run, "hang")


def refuse(run: platform_soak.Run) -> None:
    """Makes a target refuse requests as overloaded for a while."""
    _misbehave(run, "full")


def stray_answers(run: platform_soak.Run) -> None:
    """Makes a target answer each request twice for a while."""
    _misbehave(run, "twice")


def _misbehave(run: platform_soak.Run, behaviour: str) -> None:
    target = _pick_target(run)
    target.default_behaviour = behaviour
    time.sleep(TARGET_FAULT_S)
    target.default_behaviour = "ok"


def evacuate(run: platform_soak.Run) -> None:
    """Takes a data centre out of service and brings it back."""
    zone = run.rng.choice(platform_lib.ZONES)
    path = f"/-/evacuations/{zone}"
    run.fleet.call_control("POST", path)
    since = time.monotonic() + platform_soak.EVACUATION_S
    time.sleep(platform_soak.EVACUATION_S + DOWNTIME_S)
    targets = tuple(t for t in run.fleet.farm.targets if t.zone == zone)
    until = time.monotonic()
    run.fleet.call_control("DELETE", path)
    run.out_of_service.append(
        platform_soak.OutOfService(zone, targets, since, until)
    )


def silence_connections(run: platform_soak.Run) -> None:
    """Drops all bytes on open connections to targets; new ones work."""
    run.fleet.relays.inject("silence_open", platform_lib.ENTRIES, "*")


def reset_connections(run: platform_soak.Run) -> None:
    """Resets all open connections to targets."""
    run.fleet.relays.inject("reset", platform_lib.ENTRIES, "*")


def cut_off_target(run: platform_soak.Run) -> None:
    """Closes and refuses connections to a target for a while."""
    _inject_link_fault(run, "cut")


def silence_target(run: platform_soak.Run) -> None:
    """Drops all bytes from and to a target for a while."""
    _inject_link_fault(run, "silence")


def cut_one_way(run: platform_soak.Run) -> None:
    """Drops the bytes to a target, but not those from it, for a while."""
    _inject_link_fault(run, "one_way")


def delay_target(run: platform_soak.Run) -> None:
    """Delays the bytes from and to a target for a while."""
    _inject_link_fault(run, "delay")


def _inject_link_fault(run: platform_soak.Run, fault: str) -> None:
    target = _pick_target(run)
    relays = run.fleet.relays
    relays.inject(fault, platform_lib.ENTRIES, target.instance, DELAY_MS)
    time.sleep(TARGET_FAULT_S)
    relays.heal(target.instance)


FAULTS: dict[str, typing.Callable[[platform_soak.Run], None]] = {
    fault.__name__: fault
    for fault in (
        kill_entry,
        stop_entries,
        freeze_entry,
        reload_entries,
        kill_control,
        freeze_control,
        lose_disk,
        kill_all,
        change_often,
        say_farewell,
        drain_target,
        leave_in_answers,
        push_back,
        crash_target,
        reset_answers,
        hang,
        refuse,
        stray_answers,
        evacuate,
        silence_connections,
        reset_connections,
        cut_off_target,
        silence_target,
        cut_one_way,
        delay_target,
    )
}
