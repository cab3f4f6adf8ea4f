"""Runs a deployment whose entries route to all targets, as processes."""

import dataclasses
import itertools
import json
import pathlib
import secrets
import subprocess
import sys
import time

import httpx

from bench import deployment as deployment_lib
from bench import platform_targets
from cardamomkeel.gateway import names as names_lib

GATEWAY = "cardamomkeel.daemons.gateway"
DATA_CENTRES = ("brest", "vannes")
HOST_NAME = "desk.example"
NAMES = names_lib.HeaderNames()
# Longer than any operators' command, also on a busy machine.
COMMAND_WITHIN_S = 60.0


@dataclasses.dataclass
class Entry:
    """One entry and its addresses."""

    name: str
    process: deployment_lib.Process
    callers: str
    directory: str
    operators: str


class RoutedDeployment:
    """Three control VMs, two entries, and targets that a test adds.

    Attributes:
        controls: The deployment of the control VMs.
        entries: The entries, one in each data centre.
        farm: The targets.
    """

    def __init__(self, folder: pathlib.Path):
        shape = deployment_lib.Shape(DATA_CENTRES, {}, "", 3, entries=0)
        self.controls = deployment_lib.Deployment(folder, shape)
        self.folder = folder
        self.entries = [
            self._make_entry(f"entry-{number + 1}", data_centre)
            for number, data_centre in enumerate(DATA_CENTRES)
        ]
        self.farm = platform_targets.Farm(NAMES)
        self._client = httpx.Client(timeout=10, trust_env=False)
        self._numbers = itertools.count(1)

    def _make_entry(self, name: str, data_centre: str) -> Entry:
        free_address = deployment_lib.free_address
        callers, directory, operators = (
            free_address(),
            free_address(),
            free_address(),
        )
        path = self.folder / f"{name}.json"
        path.write_text(
            json.dumps(
                {
                    "name": name,
                    "data_centre": data_centre,
                    "callers_address": callers,
                    "directory_address": directory,
                    "entries_address": free_address(),
                    "operators_address": operators,
                    "secret_file": str(self.controls.secret_file),
                    "control": self.controls.control_addresses,
                    "keep_addresses_ms": 500,
                    "listen_on_ms": 1000,
                }
            )
        )
        process = deployment_lib.Process(
            name,
            [GATEWAY, "run", "--settings", str(path)],
            self.folder / f"{name}.log",
        )
        return Entry(name, process, callers, directory, operators)

    def start(self) -> None:
        """Starts all programs; waits until every entry lists all entries."""
        for name, process in self.controls.controls.items():
            self.controls.init(name)
            process.start()
        for entry in self.entries:
            entry.process.start()
        for entry in self.entries:
            self.wait_for(
                lambda entry=entry: (
                    len(self.list_entries(entry)) == len(self.entries)
                ),
                "every entry names all entries",
            )

    def close(self) -> None:
        """Stops all programs and targets, and deletes the files."""
        for entry in self.entries:
            entry.process.kill()
        for process in self.controls.controls.values():
            process.kill()
        self.farm.close()
        self._client.close()
        self.controls.remove()

    def wait_for(self, condition, what, timeout_s=30.0) -> None:
        """Waits until a condition is met; HTTP errors count as not met."""

        def is_met() -> bool:
            try:
                return condition()
            except httpx.HTTPError:
                return False

        deployment_lib.wait_for(is_met, timeout_s, what)

    # Operators.

    def has_targets(self, entry: Entry, targets) -> bool:
        """Returns whether an entry has the rows of all given targets."""
        dump = self.controls.call(entry.operators, "/dump").json()
        return {target.address for target in targets} <= set(dump["targets"])

    def run(self, *args: str) -> subprocess.CompletedProcess:
        """Runs a command of operators on all control VMs."""
        at = itertools.chain.from_iterable(
            ("--at", address)
            for address in self.controls.control_operators.values()
        )
        secret = ["--secret-file", str(self.controls.secret_file)]
        return subprocess.run(
            [sys.executable, "-m", "cardamomkeel", *args, *at, *secret],
            capture_output=True,
            text=True,
            timeout=COMMAND_WITHIN_S,
            check=False,
        )

    # Backend servers.

    def add_target(self, service: str, data_centre: str = DATA_CENTRES[0]):
        """Starts a target and announces it to an entry."""
        number = next(self._numbers)
        target = self.farm.add(deployment_lib.HOST, f"start-{number}")
        target.service, target.data_centre = service, data_centre
        target.born_ms = int(time.time() * 1000)
        got = self.announce(target)
        assert got.status_code == 200, got.text
        return target

    def announce(self, target, **changes) -> httpx.Response:
        """Sends an announcement of a target to an entry."""
        body = {
            "service": target.service,
            "address": target.address,
            "data_centre": target.data_centre,
            "slots": target.slots,
            "instance": target.instance,
            "born_ms": target.born_ms,
            "sequence": next(self._numbers),
        } | changes
        return self.announce_raw(json.dumps(body).encode())

    def announce_raw(self, body: bytes) -> httpx.Response:
        """Sends bytes as an announcement."""
        url = f"http://{self.entries[0].directory}/v1/announce"
        return self._client.post(url, content=body)

    # Callers.

    def list_entries(self, entry: Entry, data_centre: str = "") -> list[str]:
        """Returns the entries that an entry lists to callers."""
        url = f"http://{entry.directory}/v1/addresses"
        got = self._client.get(url, params={"data_centre": data_centre})
        return got.json().get("addresses", [])

    def call(self, path, method="GET", body=b"", entry=0) -> httpx.Response:
        """Sends a request to an entry."""
        headers = {
            "host": HOST_NAME,
            NAMES.request_id: secrets.token_hex(8),
            NAMES.deadline: "4000",
        }
        url = f"http://{self.entries[entry].callers}{path}"
        return self._client.request(method, url, headers=headers, content=body)
