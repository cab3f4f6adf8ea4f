"""Starts the programs of the deploy file as the platform does.

Each machine has its own loopback address; the ports are the same on all.
"""

import http.client
import itertools
import json
import os
import pathlib
import secrets
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("breizh-brest", "breizh-vannes", "breizh-rennes")
# The bounds of the site gwenn-keel.
BOUNDS = {
    "seed-lag-s": 3,
    "addr-reuse-s": 2,
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "grace-s": 6,
    "loss-slack-ms": 200,
    "config-apply-ms": 2000,
    "downgrade-slack-ms": 250,
    "max-skew-ms": 5000,
    "retry-budget-ratio": 0.2,
    "budget-window-s": 10,
    "retry-budget-slack": 62,
    "warmup-factor": 1.5,
    "warmup-slack": 5,
    "evacuation-ms": 5000,
    "recovery-s": 15,
    "ttl_max_s": 5,
    "probes-per-s": 60,
}
# The pause of the platform before it restarts a process.
RESTART_DELAY_S = 0.5


def run_case(main):
    """Returns the exit status of a case; 2 if it ended with an error."""
    try:
        return main()
    except Exception:
        traceback.print_exc()
        return 2


class Record:
    """Writes what is sent, answered and run to `record.txt`."""

    def __init__(self, folder):
        self._path = folder / "record.txt"
        self._path.write_text("", encoding="utf-8")
        self._lock = threading.Lock()
        self.began = time.monotonic()

    def now(self):
        """Returns the seconds since the start of the script."""
        return time.monotonic() - self.began

    def write(self, text):
        """Writes one line with its time."""
        with self._lock, open(self._path, "a", encoding="utf-8") as file:
            file.write(f"{self.now():8.3f} {text}\n")


def _read_commands():
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    return {role["on"]: role["run"] for role in deploy["roles"].values()}


def _has_free_ports(ips, ports):
    for ip in ips:
        for port in ports:
            with socket.socket() as sock:
                try:
                    sock.bind((ip, port))
                except OSError:
                    return False
    return True


class Machine:
    """One machine and the process of its program."""

    def __init__(self, system, name, kind, zone, ip):
        self.system = system
        self.name, self.kind, self.zone, self.ip = name, kind, zone, ip
        self.folder = system.folder / name
        self.data = self.folder / "data"
        self.data.mkdir(parents=True)
        self.process = None

    def _make_settings(self, bootstrap):
        port = self.system.port
        listen = {"control": f"{self.ip}:{port}"}
        if self.kind == "front":
            listen = {
                "front": f"{self.ip}:{port}",
                "ready": f"{self.ip}:{port + 1}",
                "directory": f"{self.ip}:{port + 2}",
            }
        is_core = self.kind == "core"
        return {
            "self": {
                "node-name": self.name,
                "role": self.kind,
                "instance-class": self.kind,
                "serves": sorted(listen),
                "ip": self.ip,
                "zone": self.zone,
                "region": "breizh",
                "counts-as-loss": is_core,
                "bootstrap": bootstrap,
                "data-dir": str(self.data) if is_core else None,
                "limits": {
                    "cpu-share": 0.86,
                    "cores": 3 if is_core else 1,
                    "memory-mb": 300,
                    "max-fds": 4096,
                    "link-mbps": 1000.0,
                    "disk-mb": 256 if is_core else 0,
                },
            },
            "network": {
                "listen": listen,
                "port-range": [port + 3, port + 18],
                "seeds": [f"{ip}:{port}" for ip in self.system.seeds],
                "zones": dict.fromkeys(ZONES, "breizh"),
            },
            "platform": {
                "discovery": "registration",
                "entry": "directory",
                "heartbeat-ms": 1500,
            },
            "timeouts": {
                "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }

    def start(self, bootstrap):
        """Writes the settings file and starts the program."""
        path = self.folder / "local.json"
        settings = self._make_settings(bootstrap)
        path.write_text(json.dumps(settings), encoding="utf-8")
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        env["CARDAMOMKEEL_NODE_FILE"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                self.system.commands[self.kind].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )
        self.system.record.write(f"{self.name} starts, bootstrap={bootstrap}")

    def kill(self, number=signal.SIGKILL):
        """Sends a signal to the process and waits until it has ended."""
        self.system.record.write(f"{self.name} gets signal {int(number)}")
        self.process.send_signal(number)
        return self.process.wait(20)

    def log(self):
        """Returns what the program has written."""
        return (self.folder / "log").read_text("utf-8", "replace")


class System:
    """A small deployment: three core machines and some fronts."""

    def __init__(self, record, fronts=3):
        self.record = record
        self.commands = _read_commands()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        count = len(ZONES)
        while True:
            self.net = f"127.{secrets.randbelow(200) + 20}"
            self.net += f".{secrets.randbelow(250)}"
            self.port = 20000 + secrets.randbelow(9000)
            ips = [f"{self.net}.{11 + n}" for n in range(count)]
            front_ips = [f"{self.net}.{31 + n}" for n in range(fronts)]
            if _has_free_ports(
                ips + front_ips, range(self.port, self.port + 19)
            ):
                break
        self.seeds = ips
        self.cores = [
            Machine(self, f"core-{zone}-1", "core", zone, ip)
            for zone, ip in zip(ZONES, ips, strict=True)
        ]
        self.fronts = [
            Machine(self, f"front-{n + 1}", "front", ZONES[n % count], ip)
            for n, ip in enumerate(front_ips)
        ]

    def start(self):
        """Starts all machines for the first time."""
        for machine in self.cores + self.fronts:
            machine.start(bootstrap=True)

    def close(self, keep_logs_in=None):
        """Ends all processes and deletes the files."""
        for machine in self.cores + self.fronts:
            process = machine.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        if keep_logs_in is not None:
            for machine in self.cores + self.fronts:
                if machine.process is not None:
                    keep_logs_in.write(f"== log of {machine.name}")
                    for line in machine.log().splitlines()[-20:]:
                        keep_logs_in.write(line)
        shutil.rmtree(self.folder, ignore_errors=True)

    def call(self, machine, method, path, body=None):
        """Sends one call to `control` of a machine; None without an answer."""
        conn = http.client.HTTPConnection(machine.ip, self.port, timeout=1.0)
        try:
            headers = {"Content-Type": "application/json"}
            conn.request(method, path, body, headers)
            got = conn.getresponse()
            return got.status, got.read()
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def order(self, method, path, body=None, within_s=20.0):
        """Sends an order to one machine after the other until it is clear.

        Returns:
            The status and the body; None without a clear answer in time.
        """
        text = None if body is None else json.dumps(body).encode()
        until = time.monotonic() + within_s
        pause_s = 0.05
        for machine in itertools.cycle(self.cores):
            got = self.call(machine, method, path, text)
            status = None if got is None else got[0]
            self.record.write(
                f"operator: {method} {path} at {machine.name}: {status}"
            )
            if got is not None and got[0] < 500 and got[0] not in (408, 429):
                return got
            if time.monotonic() > until:
                return None
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        return None

    def is_ready(self, machine):
        """Returns whether a front says that it is ready."""
        conn = http.client.HTTPConnection(
            machine.ip, self.port + 1, timeout=1.0
        )
        try:
            conn.request("GET", "/-/ready")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def wait_ready(self, within_s=20.0):
        """Waits until all fronts are ready and know the targets.

        Returns:
            Whether all fronts are ready.
        """
        until = time.monotonic() + within_s
        while time.monotonic() < until:
            if all(self.is_ready(machine) for machine in self.fronts):
                time.sleep(BOUNDS["config-apply-ms"] / 1000 + 1)
                return True
            time.sleep(0.1)
        return False


def make_config(number, base, routes):
    """Returns a configuration.

    Args:
        number: Its version.
        base: The version that it builds on.
        routes: Rows of name, prefix, type, timeout-ms, aim-ms and service.
    """
    columns = ["name", "hostname", "path-prefix", "type", "timeout-ms"]
    columns += ["aim-ms", "priority", "traffic-split", "attempts", "service"]
    rows = [
        [name, "desk.example", prefix, kind, timeout, aim, 1, None, 2, service]
        for name, prefix, kind, timeout, aim, service in routes
    ]
    service_columns = ["name", "health-path", "max-conns", "protocol", "tls"]
    service_columns += ["warmup-s", "warmup-per-s"]
    return {
        "version": f"{number:08x}",
        "base-version": f"{base:08x}",
        "routes": {"columns": columns, "rows": rows},
        "services": {
            "columns": service_columns,
            "rows": [
                [name, "/health", 260, "h1", False, 3.0, 21.0]
                for name in sorted({row[-1] for row in routes})
            ],
        },
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 67108864,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
    }
