"""After hundreds of changes no control process can start again."""

import asyncio
import json
import pathlib
import random
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from stand_ins_2 import actors  # noqa: E402
from stand_ins_2 import fleet as fleet_lib  # noqa: E402
from stand_ins_2 import http1  # noqa: E402
from stand_ins_2 import running  # noqa: E402

# The largest `big_config` of the users' site files, with a few routes before.
ROUTES = 1824 + 12
CHANGES = 900
# With fewer changes in the time for them, the case could not run.
LEAST_CHANGES = 840
CHANGES_S = 86.0
LIMIT_BYTES = fleet_lib.LIMITS["core"]["memory-mb"] * 1_000_000
WATCH_S = 0.005
RESTART_S = 0.3
# `recovery-s`, and 3 s more.
READ_BACK_S = 18.0
LETTERS = "abcdefghijklmnopqrstuvwxyz"
SERVICES = ["dossier", "keepsake", "creneau"]


def make_routes(rng):
    """Returns routes with names like those of the pages."""

    def make_word(letters, digits):
        word = "".join(rng.choice(LETTERS) for _ in range(letters))
        return word + "".join(rng.choice("0123456789") for _ in range(digits))

    routes = []
    for _ in range(ROUTES):
        name = "r-" + make_word(1, 1) + make_word(2, 1) + make_word(2, 0)
        host = make_word(4, 2) + ".example"
        parts = make_word(4, 3), make_word(2, 2), make_word(3, 3)
        prefix = "/" + "/".join(parts) + "/"
        kind = rng.choice(["safe", "unsafe"])
        service = rng.choice(SERVICES)
        routes.append([name, host, prefix, kind, 600, 250, 2, None, 2, service])
    return routes


def read_most_bytes(pid):
    """Returns the most memory that a process has used so far."""
    text = pathlib.Path(f"/proc/{pid}/status").read_text()
    for line in text.splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    return 0


class LogCase(running.Case):
    """Many changes of a configuration with many routes, and one restart."""

    def __init__(self):
        super().__init__(["brest"])
        self.most = {}
        self.ends = {machine.name: 0 for machine in self.fleet.cores}
        self.is_killing = False

    async def watch(self, machine):
        """Ends a process that uses too much, and starts ended ones again."""
        while True:
            await asyncio.sleep(WATCH_S)
            if self.is_killing:
                continue
            if machine.process.poll() is None:
                used = read_most_bytes(machine.process.pid)
                self.most[machine.name] = used
                if used <= LIMIT_BYTES:
                    continue
                machine.send_signal(signal.SIGKILL)
                machine.process.wait()
            self.ends[machine.name] += 1
            used_mb = self.most.get(machine.name, 0) // 1_000_000
            self.note(f"{machine.name} ends; it has used {used_mb} MB")
            await asyncio.sleep(RESTART_S)
            machine.start()

    async def change(self, routes):
        """Sends changes one after the other; returns the newest version."""
        version = 1
        until = time.monotonic() + CHANGES_S
        while version < CHANGES and time.monotonic() < until:
            routes[version % ROUTES][4] = 601 + version
            config = actors.make_config(version + 1, version, routes, SERVICES)
            got = await self.control.call("PUT", "/-/config", config)
            if got is None or got.status != 200:
                raise RuntimeError(f"change {version + 1} is not taken: {got}")
            version += 1
        return version

    async def read_back(self):
        """Asks all core machines for the configuration, for some time.

        Returns:
            The version of the first answer; None if there was none.
        """
        answers = {}
        until = time.monotonic() + READ_BACK_S
        while time.monotonic() < until:
            for machine in self.fleet.cores:
                address = machine.address("control")
                got = await http1.call(
                    address, "GET", "/-/config", {"Host": "control"}
                )
                status = got and got.status
                answers[status] = answers.get(status, 0) + 1
                if status == 200:
                    return int(json.loads(got.body)["version"], 16)
            await asyncio.sleep(0.1)
        self.lines.append(f"reads by status: {answers}")
        return None

    def kill_all(self):
        """Kills the processes of the core, and starts them again."""
        self.is_killing = True
        for machine in self.fleet.cores:
            machine.send_signal(signal.SIGKILL)
        for machine in self.fleet.cores:
            machine.process.wait()
        time.sleep(RESTART_S)
        for machine in self.fleet.cores:
            machine.start()
        self.is_killing = False

    async def run(self):
        """Plays the case; returns whether the rule held."""
        routes = make_routes(random.Random(1))
        await self.start(routes, SERVICES)
        watches = [
            asyncio.create_task(self.watch(machine))
            for machine in self.fleet.cores
        ]
        version = await self.change(routes)
        if version < LEAST_CHANGES:
            raise RuntimeError(f"only {version} changes in {CHANGES_S} s")
        self.note(f"version {version} is acknowledged")
        sizes = [
            (machine.folder / "data" / "log").stat().st_size
            for machine in self.fleet.cores
        ]
        self.note(f"bytes of the logs: {sizes}; memory: {self.most}")
        await asyncio.sleep(0.5)
        if running.TROUBLE:
            self.kill_all()
            self.note("all processes of the core were killed, and are back")
        found = await self.read_back()
        for watch in watches:
            watch.cancel()
        self.lines += [
            f"ends over the limit of {LIMIT_BYTES} bytes: {self.ends}",
            f"acknowledged: {version}; read back: {found}",
        ]
        return found == version


if __name__ == "__main__":
    running.main(LogCase, HERE, ["became leader", '"error"'])
