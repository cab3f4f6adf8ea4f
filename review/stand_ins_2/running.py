"""Runs a case: its record, its processes and its exit status."""

import asyncio
import os
import pathlib
import sys
import time

from stand_ins_2 import actors
from stand_ins_2 import fleet as fleet_lib

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Case:
    """A deployment and what happened in it.

    Attributes:
        fleet: The processes.
        control: Calls the control machines.
        servers: The stand-ins for servers.
        lines: The record.
    """

    def __init__(self, front_zones):
        self.fleet = fleet_lib.Fleet(front_zones)
        self.control = actors.Control(self.fleet)
        self.servers = []
        self.lines = []
        self.began = time.monotonic()

    def note(self, text, at=None):
        """Adds a line to the record."""
        at = time.monotonic() if at is None else at
        self.lines.append(f"{at - self.began:8.3f} {text}")

    async def start(self, routes, services):
        """Starts the programs, and sends the first configuration.

        Raises:
            RuntimeError: The configuration is not taken.
        """
        self.fleet.start()
        config = actors.make_config(1, 0, routes, services)
        got = await self.control.call("PUT", "/-/config", config)
        if got is None or got.status != 200:
            raise RuntimeError(f"no configuration: {got}")

    async def add_server(self, service, zone, warm=True, **settings):
        """Starts a server, one that has been warm for long unless told."""
        number = len(self.servers) + 1
        host = f"{self.fleet.net}.{100 + number}"
        server = actors.Server(
            self.control, service, zone, host, f"i-{number:04d}"
        )
        for name, value in settings.items():
            setattr(server, name, value)
        self.servers.append(server)
        await server.start(warm)
        return server

    async def run(self):
        """Plays the case; returns whether the rule held."""
        raise NotImplementedError

    def add_logs(self, words):
        """Adds the lines of the programs' logs that hold one of some words."""
        for machine in self.fleet.cores + self.fleet.fronts:
            if machine.process is None:
                continue
            for line in machine.log().splitlines():
                if any(word in line for word in words):
                    self.lines.append(f"{machine.name}: {line[:250]}")


def main(make_case, folder, words=()):
    """Runs a case and exits with 0, 1 or 2.

    Args:
        make_case: Makes the case.
        folder: Where the record is written.
        words: Which lines of the programs' logs belong to the record.
    """
    case = make_case()
    status = 2
    try:
        status = 0 if asyncio.run(case.run()) else 1
    except Exception as exc:
        case.note(f"could not run: {exc!r}")
    finally:
        case.add_logs(words)
        case.fleet.close()
    case.lines.append(f"trouble: {TROUBLE}; exit status {status}")
    text = "\n".join(case.lines) + "\n"
    (pathlib.Path(folder) / "record.txt").write_text(text, "utf-8")
    sys.exit(status)
