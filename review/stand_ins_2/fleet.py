"""Starts the programs of the deploy file as processes on loopback addresses.

Stand-in for the platform of the users' pages: it writes the settings files,
starts each program with the words of `deploy/system.toml`, sends signals, and
starts a process that has ended again.
"""

import json
import os
import pathlib
import secrets
import shutil
import signal
import subprocess
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ("brest", "vannes", "rennes")
# The values of a small deployment of the users' site files.
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
CONTRACTS = "base drain config cost retry recover health places"
LIMITS = {
    "front": {
        "cpu-share": 0.86,
        "cores": 1,
        "memory-mb": 300,
        "max-fds": 4100,
        "link-mbps": 1000.0,
        "disk-mb": 0,
    },
    "core": {
        "cpu-share": 0.86,
        "cores": 3,
        "memory-mb": 296,
        "max-fds": 4096,
        "link-mbps": 1000.0,
        "disk-mb": 256,
    },
}


class Machine:
    """One machine and the process of its program.

    Attributes:
        ip: Its loopback address.
        zone: Its zone.
        process: The process; None before the first start.
    """

    def __init__(self, fleet, role, zone, number, ip):
        self.fleet = fleet
        self.role = role
        self.zone = zone
        self.ip = ip
        self.name = f"{role}-{zone}-{number}"
        self.bootstrap = True
        self.folder = fleet.folder / self.name
        self.folder.mkdir()
        self.process = None

    def listen(self):
        """Returns the addresses that the program serves."""
        port = self.fleet.port
        if self.role == "core":
            return {"control": f"{self.ip}:{port}"}
        return {
            "front": f"{self.ip}:{port + 1}",
            "ready": f"{self.ip}:{port + 2}",
            "directory": f"{self.ip}:{port + 3}",
        }

    def address(self, what):
        """Returns one of the addresses as host and port."""
        host, _, port = self.listen()[what].rpartition(":")
        return host, int(port)

    def start(self):
        """Writes the settings file and starts the program."""
        fleet = self.fleet
        data = self.folder / "data"
        if self.role == "core":
            data.mkdir(exist_ok=True)
        path = self.folder / "local.json"
        settings = {
            "self": {
                "node-name": self.name,
                "role": self.role,
                "instance-class": self.role,
                "serves": fleet.roles[self.role]["serves"],
                "ip": self.ip,
                "zone": self.zone,
                "region": "breizh",
                "counts-as-loss": self.role == "core",
                "bootstrap": self.bootstrap,
                "data-dir": str(data) if self.role == "core" else None,
                "limits": LIMITS[self.role],
            },
            "network": {
                "listen": self.listen(),
                "port-range": [fleet.port + 4, fleet.port + 19],
                "seeds": [m.listen()["control"] for m in fleet.cores],
                "zones": dict.fromkeys(ZONES, "breizh"),
            },
            "platform": {
                "discovery": "registration",
                "entry": "directory",
                "heartbeat-ms": 1500,
            },
            "timeouts": {
                "contracts": CONTRACTS.split(),
                "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
                "bounds": BOUNDS,
            },
        }
        path.write_text(json.dumps(settings), encoding="utf-8")
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        env = {k: v for k, v in os.environ.items() if k in kept}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["CARDAMOMKEEL_NODE_FILE"] = str(path)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                fleet.roles[self.role]["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.bootstrap = False

    def send_signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def log(self):
        """Returns what the program has written."""
        return (self.folder / "log").read_text("utf-8", "replace")


class Fleet:
    """A small deployment.

    Attributes:
        cores: Three control machines, one in each zone.
        fronts: The entry machines.
    """

    def __init__(self, front_zones):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text("utf-8"))
        self.roles = deploy["roles"]
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{60 + secrets.randbelow(150)}.{secrets.randbelow(250)}"
        self.port = 20000 + 20 * secrets.randbelow(500)
        self.cores, self.fronts = [], []
        for number, zone in enumerate(ZONES):
            ip = f"{self.net}.{11 + number}"
            self.cores.append(Machine(self, "core", zone, 1, ip))
        for number, zone in enumerate(front_zones):
            ip = f"{self.net}.{31 + number}"
            self.fronts.append(Machine(self, "front", zone, number + 1, ip))

    def start(self):
        """Starts all programs."""
        for machine in self.cores + self.fronts:
            machine.start()

    def list_ended(self):
        """Returns the names of the machines whose process has ended."""
        return [
            machine.name
            for machine in self.cores + self.fronts
            if machine.process.poll() is not None
        ]

    def close(self):
        """Ends all processes and deletes the files."""
        started = [m for m in self.cores + self.fronts if m.process is not None]
        for machine in started:
            if machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.terminate()
        until = time.monotonic() + 1.0
        for machine in started:
            try:
                machine.process.wait(max(0.0, until - time.monotonic()))
            except subprocess.TimeoutExpired:
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
