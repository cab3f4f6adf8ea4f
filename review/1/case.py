"""A core machine is replaced as planned; then another one loses its disk.

An empty core machine with another address is added to the three that run. Once
it has had `catch-up-s`, one of the three is removed for good with SIGTERM. A
second later a configuration is acknowledged, and right after that another of
the three loses its disk. It is back half a second later.
"""

import json
import os
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from stand_ins import client  # noqa: E402
from stand_ins import platform  # noqa: E402
from stand_ins import targets  # noqa: E402

TROUBLE = os.environ.get("TROUBLE") != "0"
CATCH_UP_S = 4.0
# From the end of the removed machine to the configuration.
PAUSE_S = 1.0
RECOVERY_S = 15.0
READ_S = 20.0


def find_leader(system):
    """Returns the core machine that became leader last."""

    def led_at(machine):
        lines = [x for x in machine.log().splitlines() if "became leader" in x]
        return lines[-1][9:41] if lines else ""

    return max(system.cores, key=led_at)


def replace(system, record):
    """Replaces one core machine that does not lead, the new one first.

    Returns:
        The machine whose disk is lost later.
    """
    leader = find_leader(system)
    removed, other = [core for core in system.cores if core is not leader]
    record.write(f"{leader.name} leads")
    successor = platform.Machine(
        system, "core-successor", "core", removed.zone, f"{system.net}.14"
    )
    system.cores.append(successor)
    successor.start(bootstrap=False)
    time.sleep(CATCH_UP_S + 0.5)
    record.write(f"{successor.name} has had its catch-up-s")
    removed.kill(signal.SIGTERM)
    removed.process = None
    system.cores.remove(removed)
    record.write(f"{removed.name} has ended and is removed for good")
    time.sleep(PAUSE_S)
    return other


def play(system, farm, record):
    """Plays the case; returns whether the configuration is read back."""
    system.start()
    routes = [("look", "/look/", "safe", 4000, 600, "dossier")]
    if system.order("PUT", "/-/config", platform.make_config(1, 0, routes)) is (
        None
    ):
        return None
    for zone in platform.ZONES:
        farm.add("dossier", zone)
    if not system.wait_ready():
        return None
    losing = replace(system, record) if TROUBLE else None
    routes.append(("more", "/more/", "safe", 4000, 600, "dossier"))
    config = platform.make_config(2, 1, routes)
    got = system.order("PUT", "/-/config", config)
    if got is None or got[0] != 200:
        return None
    if losing is not None:
        losing.kill()
        for path in losing.data.iterdir():
            path.unlink()
        record.write(f"{losing.name} has lost its disk")
        time.sleep(platform.RESTART_DELAY_S)
        losing.start(bootstrap=False)
    record.write("all machines are back")
    time.sleep(RECOVERY_S)
    record.write("recovery-s is over")
    got = system.order("GET", "/-/config", within_s=READ_S)
    conn = client.Connection(system, system.fronts[0])
    conn.request("GET", "/look/1")
    conn.close()
    return got is not None and got[0] == 200 and json.loads(got[1]) == config


def main():
    """Runs the case; returns the exit status."""
    record = platform.Record(FOLDER)
    system = platform.System(record)
    farm = targets.Farm(system, record)
    try:
        was_read = play(system, farm, record)
    finally:
        farm.close()
        system.close(keep_logs_in=record)
    record.write(f"the acknowledged configuration is read back: {was_read}")
    if was_read is None:
        return 2
    return 0 if was_read else 1


if __name__ == "__main__":
    sys.exit(platform.run_case(main))
