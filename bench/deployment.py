"""Starts and stops the processes of a deployment on this machine."""

import dataclasses
import functools
import itertools
import json
import os
import pathlib
import random
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import time
import typing

import httpx

from bench import relay as relay_lib

CONTROL = "cardamomkeel.daemons.control"
ENTRY = "cardamomkeel.daemons.entry"
HOST = "127.0.0.1"
# Programs with this folder in their path have a `sitecustomize` for slow disks.
SLOW_DISK = pathlib.Path(__file__).parent / "slow_disk"
# Generous, for a busy machine; tests check no guarantee with it.
START_TIMEOUT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Shape:
    """The size and the settings of a deployment.

    Attributes:
        data_centres: The names of the data centres.
        services: The number of targets by service.
        text: The settings text.
        slots: The slots of each target.
        entries: The number of entry VMs.
        controls: The number of control VMs.
    """

    data_centres: tuple[str, ...]
    services: dict[str, int]
    text: str
    slots: int
    entries: int = 17
    controls: int = 3


def _make_settings_text(services: dict[str, dict]) -> str:
    return json.dumps({"services": services}, indent=2)


AR_GWENN_SKOUARN = Shape(
    ("brest", "vannes", "rennes"),
    {"dossier": 20, "keepsake": 10, "creneau": 6},
    _make_settings_text(
        {
            "dossier": {"idempotent": True, "slots": 3},
            "keepsake": {"depends_on": ["dossier"], "slots": 3},
            "creneau": {"depends_on": ["dossier", "keepsake"], "slots": 3},
        }
    ),
    slots=3,
)
CART_COMMONS = Shape(
    ("port-of-spain", "san-fernando", "chaguanas"),
    {"stockboard": 20, "growerpay": 10, "feedesk": 6},
    _make_settings_text(
        {
            "stockboard": {"idempotent": True, "slots": 6},
            "growerpay": {"depends_on": ["stockboard"], "slots": 6},
            "feedesk": {"depends_on": ["stockboard"], "slots": 6},
        }
    ),
    slots=6,
)


def make_small(shape: Shape, entries: int = 3) -> Shape:
    """Returns a smaller deployment of the same services."""
    services = dict.fromkeys(shape.services, 3)
    return dataclasses.replace(shape, services=services, entries=entries)


# Below the ephemeral ports, which the system assigns to outgoing connections.
FIRST_PORT = 10_000
LAST_PORT = 32_000
# Tests that run in parallel use separate ranges: a port that one test has
# reserved for a process that it is about to start looks free to the others.
PORTS_PER_RANGE = 1000


class _PortRange:
    """A range of ports that only this process uses.

    The process keeps the first port of the range bound, which marks the range
    as used for other processes.
    """

    def __init__(self):
        starts = list(range(FIRST_PORT, LAST_PORT, PORTS_PER_RANGE))
        random.SystemRandom().shuffle(starts)
        for first in starts:
            guard = socket.socket()
            try:
                guard.bind((HOST, first))
            except OSError:
                guard.close()
                continue
            self._guard = guard
            self._ports = itertools.cycle(
                range(first + 1, min(first + PORTS_PER_RANGE, LAST_PORT))
            )
            return
        raise RuntimeError("no range of ports is free; run fewer tests at once")

    def acquire(self) -> int:
        """Returns a port that no process listens on."""
        while True:
            port = next(self._ports)
            with socket.socket() as probe:
                try:
                    probe.bind((HOST, port))
                except OSError:
                    continue
                return port


@functools.cache
def _port_range() -> _PortRange:
    return _PortRange()


def free_port() -> int:
    """Returns a port that no process listens on."""
    return _port_range().acquire()


def free_address() -> str:
    """Returns an address that no process listens on."""
    return f"{HOST}:{free_port()}"


class Process:
    """One process that a test starts and stops."""

    def __init__(
        self,
        name: str,
        args: list[str],
        log: pathlib.Path,
        env: dict[str, str] | None = None,
    ):
        self.name = name
        self._args = args
        self.log = log
        self._env = env or {}
        self._popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Starts the process and appends its output to the log file."""
        with open(self.log, "ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *self._args],
                stdout=log,
                stderr=log,
                env=os.environ | {"PYTHONUNBUFFERED": "1"} | self._env,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self._popen is not None and self._popen.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it runs."""
        if self.is_running():
            self._popen.send_signal(number)

    def kill(self) -> None:
        """Kills the process, also if it is frozen, and waits for its end."""
        self.send_signal(signal.SIGCONT)
        self.send_signal(signal.SIGKILL)
        if self._popen is not None:
            self._popen.wait()

    def freeze(self) -> None:
        """Suspends the process until `thaw`."""
        self.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes the process."""
        self.send_signal(signal.SIGCONT)

    def stop(self, timeout_s: float = 60.0) -> int:
        """Terminates the process and returns its exit status."""
        self.send_signal(signal.SIGTERM)
        return self._popen.wait(timeout_s)


class Deployment:
    """The processes, addresses and settings of one deployment.

    Attributes:
        folder: The folder of settings, data and logs.
        controls: The control processes by name.
        entries: The entry processes by name.
        servers: The process of the fake backend servers.
        callers_addresses: The callers' addresses of the entries, by name.
    """

    # The file that tells control VMs how slow their disks are.
    _SLOW_DISK_FILE = "slow_disk"

    def __init__(
        self,
        folder: pathlib.Path,
        shape: Shape,
        timings: dict[str, int] | None = None,
        entry_settings: dict[str, typing.Any] | None = None,
        relays: relay_lib.Relays | None = None,
        can_slow_disks: bool = False,
    ):
        self.folder = folder
        self.shape = shape
        self._timings = timings or {}
        self._entry_settings = entry_settings or {}
        self.relays = relays
        self._can_slow_disks = can_slow_disks
        self.folder.mkdir(parents=True, exist_ok=True)
        self.secret_file = folder / "secret"
        self.secret_file.write_text(secrets.token_hex(16))
        self.control_addresses = {
            f"control-{i + 1}": free_address() for i in range(shape.controls)
        }
        self.controls: dict[str, Process] = {}
        self.control_operators: dict[str, str] = {}
        self.entries: dict[str, Process] = {}
        self.entry_operators: dict[str, str] = {}
        self.callers_addresses: dict[str, str] = {}
        self.entries_addresses: dict[str, str] = {}
        self.servers_admin = f"{HOST}:{free_port()}"
        for number in range(shape.entries):
            name = f"entry-{number + 1}"
            self.callers_addresses[name] = free_address()
            self.entries_addresses[name] = free_address()
            self.entry_operators[name] = free_address()
        self.servers = self._make_servers()
        for number, name in enumerate(self.control_addresses):
            self._make_control(name, number)
        for number, name in enumerate(self.callers_addresses):
            self._make_entry(name, number)

    def _data_centre(self, number: int) -> str:
        return self.shape.data_centres[number % len(self.shape.data_centres)]

    def entry_data_centre(self, name: str) -> str:
        """Returns the data centre of an entry."""
        return self._data_centre(list(self.callers_addresses).index(name))

    def _write(self, name: str, settings: typing.Any) -> pathlib.Path:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2))
        return path

    def _add_relays(self, name: str) -> dict[str, str]:
        """Adds relays from one process to the others.

        Returns:
            The address of the relay by address of the other process.
        """
        if self.relays is None:
            return {}
        others = dict(self.control_addresses)
        if name in self.entries_addresses:
            others |= self.entries_addresses
            for addresses in self.server_addresses.values():
                others |= {address: address for address in addresses}
        return {
            address: self.relays.add(name, other, address)
            for other, address in others.items()
            if other != name
        }

    def _make_control(self, name: str, number: int) -> None:
        self.control_operators[name] = free_address()
        path = self._write(
            name,
            {
                "name": name,
                "data_centre": self._data_centre(number),
                "data_folder": str(self.folder / f"{name}-data"),
                "address": self.control_addresses[name],
                "operators_address": self.control_operators[name],
                "secret_file": str(self.secret_file),
                "control": self.control_addresses,
                "reach": self._add_relays(name),
                "timings": self._timings,
            },
        )
        self.controls[name] = Process(
            name,
            [CONTROL, "run", "--settings", str(path)],
            self.folder / f"{name}.log",
            self._make_control_environment(),
        )

    def _make_control_environment(self) -> dict[str, str]:
        if not self._can_slow_disks:
            return {}
        return {
            "PYTHONPATH": str(SLOW_DISK),
            "SLOW_DISK_FILE": str(self.folder / self._SLOW_DISK_FILE),
        }

    def slow_disks(self, least_ms: int, most_ms: int) -> None:
        """Makes each sync of all control VMs take longer, at random.

        The deployment has to be created with `can_slow_disks`.
        """
        path = self.folder / self._SLOW_DISK_FILE
        path.write_text(f"{least_ms} {most_ms}")

    def _make_entry(self, name: str, number: int) -> None:
        path = self._write(
            name,
            {
                "name": name,
                "data_centre": self._data_centre(number),
                "callers_address": self.callers_addresses[name],
                "entries_address": self.entries_addresses[name],
                "operators_address": self.entry_operators[name],
                "secret_file": str(self.secret_file),
                "control": self.control_addresses,
                "reach": self._add_relays(name),
                "timings": self._timings,
                **self._entry_settings,
            },
        )
        self.entries[name] = Process(
            name,
            [ENTRY, "run", "--settings", str(path)],
            self.folder / f"{name}.log",
        )

    def _make_servers(self) -> Process:
        self.server_addresses: dict[str, list[str]] = {}
        rows = []
        for service, count in self.shape.services.items():
            self.server_addresses[service] = []
            for number in range(count):
                address = free_address()
                self.server_addresses[service].append(address)
                rows.append(
                    {
                        "service": service,
                        "address": address,
                        "data_centre": self._data_centre(number),
                        "slots": self.shape.slots,
                    }
                )
        path = self._write("servers", rows)
        return Process(
            "servers",
            [
                "bench.fake_servers",
                "--servers",
                str(path),
                "--entries",
                ",".join(self.callers_addresses.values()),
                "--admin-port",
                self.servers_admin.rpartition(":")[2],
            ],
            self.folder / "servers.log",
        )

    # Starting and stopping.

    def init(self, name: str) -> None:
        """Creates the data folder of one control VM."""
        subprocess.run(
            [
                sys.executable,
                "-m",
                CONTROL,
                "init",
                "--settings",
                str(self.folder / f"{name}.json"),
            ],
            check=True,
            capture_output=True,
        )

    def start(self) -> None:
        """Starts all processes and applies the settings text."""
        for name, process in self.controls.items():
            self.init(name)
            process.start()
        for process in self.entries.values():
            process.start()
        self.apply(self.shape.text, 0, timeout_s=START_TIMEOUT_S)
        self.servers.start()

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until an entry reports each target as owned."""
        wanted = sum(self.shape.services.values())
        wait_for(
            lambda: (
                sum(
                    len(self.dump_entry(name).get("owned", {}))
                    for name in self.entries
                )
                == wanted
            ),
            timeout_s,
            "every target is owned",
        )

    def wait_started(self, timeout_s: float = START_TIMEOUT_S) -> None:
        """Waits until all targets are owned and every entry holds a lease.

        Some entries may own all targets before the others have joined.
        """
        self.wait_ready(timeout_s)
        wait_for(
            lambda: all(
                self.dump_entry(name).get("fresh") for name in self.entries
            ),
            timeout_s,
            "every entry holds a lease",
        )

    def processes(self) -> list[Process]:
        """Returns all processes."""
        return [
            self.servers,
            *self.entries.values(),
            *self.controls.values(),
        ]

    def kill_all(self) -> None:
        """Kills all processes."""
        for process in self.processes():
            process.kill()

    def remove(self) -> None:
        """Deletes all files."""
        shutil.rmtree(self.folder, ignore_errors=True)

    # Operators.

    def call(
        self, address: str, path: str, body: dict | None = None
    ) -> httpx.Response:
        """Calls the operators' interface of one process."""
        secret = self.secret_file.read_text()
        return httpx.post(
            f"http://{address}{path}",
            json=body or {},
            headers={"authorization": f"Bearer {secret}"},
            timeout=10,
            trust_env=False,
            verify=False,
        )

    def operate(self, path: str, body: dict, timeout_s: float = 20.0) -> dict:
        """Sends an operators' call to the control VMs until one accepts it.

        Raises:
            TimeoutError: No control VM accepted the call in time.
        """
        until = time.monotonic() + timeout_s
        while True:
            for address in self.control_operators.values():
                try:
                    got = self.call(address, path, body)
                except httpx.HTTPError:
                    continue
                if got.status_code != 503:
                    return got.json()
            if time.monotonic() > until:
                raise TimeoutError(f"no control VM accepts {path}")
            time.sleep(0.1)

    def apply(
        self,
        text: str,
        base: int,
        change_id: str = "",
        timeout_s: float = 20.0,
    ) -> dict:
        """Applies a settings text."""
        return self.operate(
            "/v1/apply",
            {
                "text": text,
                "base_revision": base,
                "change_id": change_id or secrets.token_hex(8),
                "operator": "tests",
            },
            timeout_s,
        )

    def change_data_centre(
        self, path: str, data_centre: str, **options
    ) -> dict:
        """Takes a data centre out or brings it back."""
        return self.operate(
            path,
            {
                "data_centre": data_centre,
                "change_id": secrets.token_hex(8),
                "operator": "tests",
                **options,
            },
        )

    def dump_entry(self, name: str) -> dict:
        """Returns the state of an entry; empty if it does not answer."""
        return self._dump(self.entry_operators[name])

    def dump_control(self, name: str) -> dict:
        """Returns the state of a control VM; empty if it does not answer."""
        return self._dump(self.control_operators[name])

    def _dump(self, address: str) -> dict:
        try:
            return self.call(address, "/dump").json()
        except httpx.HTTPError:
            return {}

    def leader(self) -> str:
        """Returns the name of the leader, or an empty string."""
        for name in self.controls:
            if self.dump_control(name).get("role") == "leader":
                return name
        return ""

    # The fake backend servers.

    def call_servers(self, path: str, body: dict | None = None):
        """Calls the admin interface of the fake backend servers."""
        return httpx.post(
            f"http://{self.servers_admin}{path}",
            json=body or {},
            timeout=10,
            trust_env=False,
            verify=False,
        ).json()

    def list_runs(self) -> list[dict]:
        """Returns the requests that the fake backend servers ran."""
        return self.call_servers("/record")


def wait_for(
    condition: typing.Callable[[], bool], timeout_s: float, what: str
) -> float:
    """Waits until a condition holds; returns the wait in seconds.

    Raises:
        TimeoutError: The condition did not hold in time; the message names
            `what`.
    """
    started = time.monotonic()
    while not condition():
        if time.monotonic() - started > timeout_s:
            raise TimeoutError(f"not within {timeout_s} s: {what}")
        time.sleep(0.05)
    return time.monotonic() - started
