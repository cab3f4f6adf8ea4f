"""Runs the platform's programs as processes, as the platform does.

Each VM has its own loopback address; the ports are the same on all VMs.
"""

import itertools
import json
import os
import pathlib
import resource
import secrets
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

import httpx

from bench import platform_targets
from bench import relay

# The name of all entries as one side of a relay.
ENTRIES = "entries"
ZONES = ("brest", "vannes", "rennes")
START_TIMEOUT_S = 60.0
# Programs with this folder in their path have a `sitecustomize` for slow disks.
SLOW_DISK = pathlib.Path(__file__).parent / "slow_disk"
# How many lines of each log are shown when a test gets no answer.
LAST_LINES = 12
_nets = itertools.count(os.getpid() % 200)

SERVICES = ["dossier", "keepsake"]


def make_config(number, base=0, **changes):
    """Returns a configuration as the platform's operator writes it."""
    routes = [
        ["look", "desk.example", "/look/", "safe", 2000, 600, 1, None, 2]
        + ["dossier"],
        ["book", "desk.example", "/book/", "unsafe", 2000, 600, 0, None, 2]
        + ["keepsake"],
    ]
    columns = ["name", "hostname", "path-prefix", "type", "timeout-ms"]
    columns += ["aim-ms", "priority", "traffic-split", "attempts", "service"]
    service = ["/health", 260, "h1", False, 3.0, 4.0]
    return {
        "version": f"{number:08x}",
        "base-version": f"{base:08x}",
        "routes": {"columns": columns, "rows": routes},
        "services": {
            "columns": ["name", "health-path", "max-conns", "protocol"]
            + ["tls", "warmup-s", "warmup-per-s"],
            "rows": [[name, *service] for name in SERVICES],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 1_000_000,
            "header-timeout-ms": 1000,
            "idle-timeout-ms": 15000,
        },
    } | changes


class Vm:
    """One VM and the process of its program."""

    def __init__(self, fleet, name, role, zone, ip):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.bootstrap = True
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.process = None
        self._max_file_bytes = None

    def start(self):
        """Writes the settings file and starts the program."""
        fleet = self.fleet
        listen = {"control": f"{self.ip}:{fleet.port}"}
        if self.role == "front":
            listen = {
                "front": f"{self.ip}:{fleet.port}",
                "ready": f"{self.ip}:{fleet.port + 1}",
                "directory": f"{self.ip}:{fleet.port + 2}",
            }
        path = self.folder / "node.json"
        data_folder = self.folder / "data"
        path.write_text(
            json.dumps(
                {
                    "self": {
                        "node-name": self.name,
                        "role": self.role,
                        "ip": self.ip,
                        "zone": self.zone,
                        "bootstrap": self.bootstrap,
                        "data-dir": None
                        if self.role == "front"
                        else str(data_folder),
                        "limits": fleet.limits,
                    },
                    "network": {
                        "listen": listen,
                        "port-range": [fleet.port + 3, fleet.port + 8],
                        "seeds": [f"{ip}:{fleet.port}" for ip in fleet.seeds],
                        "zones": dict.fromkeys(ZONES, "breizh"),
                    },
                    "new-table": {"new-field": 1},
                }
            ),
            encoding="utf-8",
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "cardamomkeel.platform", self.role],
            env=self._make_environment(path),
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        # Not written by the process itself, whose disk may be full.
        threading.Thread(
            target=self._copy_log, args=(self.process.stdout,), daemon=True
        ).start()
        self._limit_files()
        self.bootstrap = False

    def _make_environment(self, path):
        env = {**os.environ, "CARDAMOMKEEL_NODE_FILE": str(path)}
        if self.fleet.can_slow_disks:
            env["PYTHONPATH"] = str(SLOW_DISK)
            env["SLOW_DISK_FILE"] = str(self.folder / SLOW_DISK.name)
        return env

    def slow_disk(self, least_ms, most_ms):
        """Makes each sync of the program's disk take longer, at random."""
        (self.folder / SLOW_DISK.name).write_text(f"{least_ms} {most_ms}")

    def _copy_log(self, output):
        with output, open(self.folder / "log", "ab", buffering=0) as log:
            while data := output.read1():
                log.write(data)

    def set_file_limit(self, size):
        """Lets no file of the program grow beyond a size, as on a full disk.

        Args:
            size: The size in bytes; None for no limit.
        """
        self._max_file_bytes = size
        self._limit_files()

    def _limit_files(self):
        if self.process is None or self.process.poll() is not None:
            return
        size = self._max_file_bytes
        soft = resource.RLIM_INFINITY if size is None else size
        limit = resource.RLIMIT_FSIZE
        hard = resource.prlimit(self.process.pid, limit)[1]
        resource.prlimit(self.process.pid, limit, (soft, hard))

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the program, and waits until it exits."""
        self.process.send_signal(number)
        return self.process.wait(20)

    def lose_disk(self):
        """Empties the disk."""
        shutil.rmtree(self.folder / "data", ignore_errors=True)

    def log(self):
        """Returns the output of the program."""
        return (self.folder / "log").read_text(encoding="utf-8")

    def url(self, path, offset=0):
        """Returns the URL of a path at a port of the VM."""
        return f"http://{self.ip}:{self.fleet.port + offset}{path}"


class Fleet:
    """A small deployment on the platform.

    Attributes:
        cores: The control VMs.
        fronts: The entry VMs.
        relays: Relays between entries and backend servers; None for direct
            connections.
        limits: The resource limits that the settings files name.
        can_slow_disks: Whether `Vm.slow_disk` may be called.
    """

    def __init__(
        self,
        fronts=2,
        cores=3,
        relayed=False,
        limits=None,
        can_slow_disks=False,
    ):
        self.limits = limits or {}
        self.can_slow_disks = can_slow_disks
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
        self.net = f"127.{10 + next(_nets) % 200}.{secrets.randbelow(250)}"
        self.port = 20000 + secrets.randbelow(8000)
        # Only the first three control VMs are seeds; the others join them.
        self.seeds = [f"{self.net}.{11 + n}" for n in range(len(ZONES))]
        self.cores = [
            Vm(
                self,
                f"core-{ZONES[n]}" if n < len(ZONES) else f"core-{n}",
                "core",
                ZONES[n % len(ZONES)],
                f"{self.net}.{11 + n}",
            )
            for n in range(cores)
        ]
        self.fronts = [
            Vm(self, f"front-{n}", "front", ZONES[0], f"{self.net}.{20 + n}")
            for n in range(fronts)
        ]
        self.farm = platform_targets.Farm()
        self.relays = relay.Relays() if relayed else None
        self.client = httpx.Client(timeout=2.0)
        # Guards the sequence numbers of the targets' heartbeats.
        self._announce_lock = threading.Lock()

    def start(self):
        """Starts all programs."""
        for vm in self.cores + self.fronts:
            vm.start()

    def close(self):
        """Stops all programs and targets, and deletes the files."""
        for vm in self.cores + self.fronts:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        if self.relays is not None:
            self.relays.close()
        self.farm.close()
        self.client.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Operators.

    def call_control(self, method, path, body=None, raw=None, within_s=20.0):
        """Sends a request to the control VMs until one answers below 500."""
        until = time.monotonic() + within_s
        for vm in itertools.cycle(self.cores):
            if time.monotonic() > until:
                raise TimeoutError(
                    f"{method} {path} got no clear answer\n"
                    + "\n".join(map(self.describe, self.cores))
                )
            got = self.request(vm, method, path, body, raw)
            if got is not None and got.status_code < 500:
                return got
            time.sleep(0.05)
        return None

    def describe(self, vm):
        """Returns whether a program runs, and its last lines of the log."""
        last = vm.log().splitlines()[-LAST_LINES:]
        status = vm.process.poll() if vm.process else "not started"
        return "\n".join([f"{vm.name}, exit status {status}:", *last])

    def request(self, vm, method, path, body=None, raw=None):
        """Sends a request to one control VM; returns None without an answer."""
        content = raw if raw is not None else None
        if body is not None:
            content = json.dumps(body).encode()
        try:
            return self.client.request(method, vm.url(path), content=content)
        except httpx.HTTPError:
            return None

    # Backend servers.

    def add_target(self, service, zone=ZONES[0]):
        """Starts a target and announces it to control."""
        number = len(self.farm.targets) + 1
        target = self.farm.add(f"{self.net}.{100 + number}", f"i-{number}")
        target.service, target.zone, target.seq = service, zone, 0
        target.announced_address = target.address
        if self.relays is not None:
            target.announced_address = self.relays.add(
                ENTRIES, target.instance, target.address
            )
        target.born = int(time.time() * 1000)
        self.announce(target)
        return target

    def announce(self, target, state="ready", within_s=20.0, **changes):
        """Sends a heartbeat of a target."""
        with self._announce_lock:
            target.seq += 1
            number = target.seq
        heartbeat = {
            "service": target.service,
            "address": target.announced_address,
            "zone": target.zone,
            "version": "v1",
            "slots": target.slots,
            "state": state,
            "warmup-left-ms": 0,
            "seq": number,
            "born": target.born,
        } | changes
        path = f"/-/instances/{target.instance}"
        return self.call_control("PUT", path, heartbeat, within_s=within_s)

    # Callers.

    def call(
        self,
        path="/look/1",
        method="GET",
        body=b"",
        front=0,
        request_id=None,
    ):
        """Sends a request to an entry."""
        vm = self.fronts[front]
        headers = {
            "host": "desk.example",
            "request-id": request_id or secrets.token_hex(8),
            "deadline-ms": "4000",
        }
        return self.client.request(
            method, vm.url(path), headers=headers, content=body
        )

    def wait_for(self, check, within_s=START_TIMEOUT_S):
        """Waits until a condition is met."""
        until = time.monotonic() + within_s
        while True:
            try:
                if check():
                    return
            except httpx.HTTPError:
                pass
            if time.monotonic() > until:
                raise TimeoutError("it does not hold yet")
            time.sleep(0.05)

    def is_ready(self, vm):
        """Returns whether an entry reports that it is ready."""
        return self.client.get(vm.url("/-/ready", 1)).status_code == 200
