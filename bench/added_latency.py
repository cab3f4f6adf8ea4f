"""Measures what one entry adds to a call, beside the direct call.

Calls go in turn straight to a fake backend server and through the entry that
owns it, over one keep-alive connection each, so that both meet the same noise
of the machine. The CPU time of the entry process is read from /proc.
"""

import argparse
import dataclasses
import json
import os
import pathlib
import socket
import statistics
import tempfile
import time

from bench import deployment as deployment_lib

SERVICE = "dossier"
SLOTS = 6
READ_BYTES = 65536
MS_PER_SECOND = 1000.0
TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one run showed, in milliseconds but for the last two."""

    service_ms: float
    calls: int
    direct_p50: float
    direct_p99: float
    through_p50: float
    through_p99: float
    added_p50: float
    added_p99: float
    ratio_p50: float
    calls_per_core_second: float


class Connection:
    """One keep-alive connection of a caller."""

    def __init__(self, address: str, path: str):
        self._address = address
        self._request = (
            f"POST {path} HTTP/1.1\r\nHost: {address}\r\n"
            "Content-Length: 0\r\n\r\n"
        ).encode()
        self._connect()

    def _connect(self) -> None:
        host, port = self._address.rsplit(":", 1)
        self._sock = socket.create_connection((host, int(port)), TIMEOUT_S)
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def call(self) -> float:
        """Sends one request; returns how long its answer took in ms."""
        started = time.perf_counter()
        self._sock.sendall(self._request)
        got = b""
        while not _is_whole(got):
            part = self._sock.recv(READ_BYTES)
            if not part:
                raise ConnectionError("the answer was cut")
            got += part
        elapsed_ms = (time.perf_counter() - started) * MS_PER_SECOND
        if not got.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(got.decode())
        if b"connection: close" in got.lower():
            self._connect()
        return elapsed_ms


def _is_whole(got: bytes) -> bool:
    head, end, body = got.partition(b"\r\n\r\n")
    if not end:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return False


def read_cpu_s(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text()
    fields = stat.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(len(values) * share)]


def measure(
    deployment: deployment_lib.Deployment, service_ms: float, calls: int
) -> Figures:
    """Measures one service time."""
    deployment.ask_servers("/set", {"latency_ms": service_ms})
    target = deployment.server_addresses[SERVICE][0]
    entry = next(iter(deployment.entries))
    direct = Connection(target, "/own")
    through = Connection(
        deployment.callers_addresses[entry], f"/v1/call/{SERVICE}/own"
    )
    for _ in range(calls // 10):
        direct.call()
        through.call()
    direct_ms, through_ms = [], []
    pid = deployment.entries[entry].pid
    cpu_s = read_cpu_s(pid)
    for _ in range(calls):
        direct_ms.append(direct.call())
        through_ms.append(through.call())
    cpu_s = read_cpu_s(pid) - cpu_s
    return _summarize(service_ms, direct_ms, through_ms, cpu_s)


def _summarize(
    service_ms: float,
    direct_ms: list[float],
    through_ms: list[float],
    cpu_s: float,
) -> Figures:
    direct_p50 = statistics.median(direct_ms)
    through_p50 = statistics.median(through_ms)
    direct_p99 = _quantile(direct_ms, 0.99)
    through_p99 = _quantile(through_ms, 0.99)
    return Figures(
        service_ms=service_ms,
        calls=len(direct_ms),
        direct_p50=round(direct_p50, 3),
        direct_p99=round(direct_p99, 3),
        through_p50=round(through_p50, 3),
        through_p99=round(through_p99, 3),
        added_p50=round(through_p50 - direct_p50, 3),
        added_p99=round(through_p99 - direct_p99, 3),
        ratio_p50=round(through_p50 / direct_p50, 2),
        calls_per_core_second=round(len(through_ms) / max(cpu_s, 0.01)),
    )


def _make_shape() -> deployment_lib.Shape:
    text = {"services": {SERVICE: {"idempotent": True, "slots": SLOTS}}}
    return deployment_lib.Shape(
        ("brest",), {SERVICE: 1}, json.dumps(text), SLOTS, entries=1
    )


def run(calls: int, service_times_ms: list[float]) -> list[Figures]:
    """Starts a deployment of one entry and measures it."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    deployment = deployment_lib.Deployment(folder, _make_shape())
    try:
        deployment.start()
        deployment.wait_ready()
        return [
            measure(deployment, service_ms, calls)
            for service_ms in service_times_ms
        ]
    finally:
        deployment.kill_all()
        deployment.remove()


def main() -> None:
    """Prints one JSON line per service time."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=2000)
    parser.add_argument("--service-ms", type=float, nargs="+", default=[0, 3])
    args = parser.parse_args()
    for figures in run(args.calls, args.service_ms):
        print(json.dumps(dataclasses.asdict(figures)))


if __name__ == "__main__":
    main()
