"""Measures the latency that entries add to a call.

Direct calls to a fake backend server alternate with calls through an entry, so
that both are exposed to the same noise of the machine. The entry owns the
backend server or, with --forwarded, has to forward to the owner. Each path
uses one keep-alive connection per caller. The CPU time of the entry processes
is read from /proc. With --base, a deployment of other sources runs at the same
time, and the calls of both alternate.
"""

import argparse
import concurrent.futures
import dataclasses
import itertools
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
SOURCES = pathlib.Path(__file__).parent.parent / "src"
# Each round is split into blocks, between which the versions alternate.
BLOCKS_PER_ROUND = 10
READ_BYTES = 65536
MS_PER_SECOND = 1000.0
TIMEOUT_S = 10.0


@dataclasses.dataclass(frozen=True)
class Case:
    """The parameters of one measurement.

    Attributes:
        service_ms: How long a backend server takes to answer.
        callers: The number of concurrent callers.
        forwarded: Whether the called entry owns no target.
        targets: The number of targets.
        calls: The number of calls on each path in one round.
    """

    service_ms: float
    callers: int
    forwarded: bool
    targets: int
    calls: int


@dataclasses.dataclass(frozen=True)
class Figures:
    """The results of one version in one round.

    Latencies are in ms; `direct` is without an entry, `through` with one.
    """

    version: str
    case: Case
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
        """Sends one request; returns the latency of its answer in ms.

        Raises:
            ConnectionError: The connection ended before a complete answer.
            RuntimeError: The status of the answer is not 200.
        """
        started = time.perf_counter()
        self._sock.sendall(self._request)
        received = b""
        while not _is_complete(received):
            chunk = self._sock.recv(READ_BYTES)
            if not chunk:
                raise ConnectionError(
                    "connection closed before a complete answer"
                )
            received += chunk
        elapsed_ms = (time.perf_counter() - started) * MS_PER_SECOND
        if not received.startswith(b"HTTP/1.1 200"):
            raise RuntimeError(received.decode())
        if b"connection: close" in received.lower():
            self._connect()
        return elapsed_ms


def _is_complete(received: bytes) -> bool:
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
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


class CallPath:
    """The connections of all callers on one path to a backend server."""

    def __init__(self, addresses: list[str], path: str, callers: int):
        selected = itertools.islice(itertools.cycle(addresses), callers)
        self._conns = [Connection(address, path) for address in selected]
        self._executor = concurrent.futures.ThreadPoolExecutor(callers)
        self.latencies_ms: list[float] = []

    def call(self, calls: int) -> None:
        """Makes calls, divided among the connections; records latencies."""
        calls_per_connection = max(1, calls // len(self._conns))
        if len(self._conns) == 1:
            self.latencies_ms.extend(
                self._conns[0].call() for _ in range(calls_per_connection)
            )
            return
        for latencies_ms in self._executor.map(
            lambda conn: [conn.call() for _ in range(calls_per_connection)],
            self._conns,
        ):
            self.latencies_ms.extend(latencies_ms)


class Version:
    """A deployment of one version of the sources."""

    def __init__(self, name: str, sources: pathlib.Path, case: Case):
        self.name = name
        self._sources = sources
        self._case = case
        folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
        self._deployment = deployment_lib.Deployment(folder, _make_shape(case))
        self._cpu_s = 0.0

    def start(self) -> None:
        """Starts the deployment, connects the callers and warms it up."""
        case, deployment = self._case, self._deployment
        os.environ["PYTHONPATH"] = str(self._sources)
        deployment.start()
        deployment.wait_ready()
        deployment.call_servers("/set", {"latency_ms": case.service_ms})
        owners = [
            name
            for name in deployment.entries
            if deployment.dump_entry(name)["owned"]
        ]
        others = [name for name in deployment.entries if name not in owners]
        entry = (others if case.forwarded else owners)[0]
        self._direct = CallPath(
            deployment.server_addresses[SERVICE], "/own", case.callers
        )
        self._through = CallPath(
            [deployment.callers_addresses[entry]],
            f"/v1/call/{SERVICE}/own",
            case.callers,
        )
        self._direct.call(case.calls // 10)
        self._through.call(case.calls // 2)

    def start_round(self) -> None:
        """Discards the results of the previous round."""
        self._direct.latencies_ms.clear()
        self._through.latencies_ms.clear()
        self._cpu_s = 0.0

    def run_block(self) -> None:
        """Makes one block of calls on each path."""
        block = self._case.calls // BLOCKS_PER_ROUND
        step = block if self._case.callers > 1 else 1
        cpu_before_s = self._read_cpu_s()
        for _ in range(block // step):
            self._direct.call(step)
            self._through.call(step)
        self._cpu_s += self._read_cpu_s() - cpu_before_s

    def _read_cpu_s(self) -> float:
        entries = self._deployment.entries.values()
        return sum(read_cpu_s(entry.pid) for entry in entries)

    def finish_round(self) -> Figures:
        """Returns the results of the round."""
        return _summarize(
            self.name,
            self._case,
            self._direct.latencies_ms,
            self._through.latencies_ms,
            self._cpu_s,
        )

    def stop(self) -> None:
        """Stops all processes and removes their folder."""
        self._deployment.kill_all()
        self._deployment.remove()


def _summarize(
    version: str,
    case: Case,
    direct_ms: list[float],
    through_ms: list[float],
    cpu_s: float,
) -> Figures:
    direct_p50 = statistics.median(direct_ms)
    through_p50 = statistics.median(through_ms)
    direct_p99 = _quantile(direct_ms, 0.99)
    through_p99 = _quantile(through_ms, 0.99)
    return Figures(
        version=version,
        case=case,
        direct_p50=round(direct_p50, 3),
        direct_p99=round(direct_p99, 3),
        through_p50=round(through_p50, 3),
        through_p99=round(through_p99, 3),
        added_p50=round(through_p50 - direct_p50, 3),
        added_p99=round(through_p99 - direct_p99, 3),
        ratio_p50=round(through_p50 / direct_p50, 2),
        calls_per_core_second=round(len(through_ms) / max(cpu_s, 0.01)),
    )


def _make_shape(case: Case) -> deployment_lib.Shape:
    text = {"services": {SERVICE: {"idempotent": True, "slots": SLOTS}}}
    return deployment_lib.Shape(
        ("brest",),
        {SERVICE: case.targets},
        json.dumps(text),
        SLOTS,
        entries=2 if case.forwarded else 1,
    )


def run(
    case: Case, rounds: int, base: pathlib.Path | None = None
) -> list[Figures]:
    """Measures one case; returns the figures of each round."""
    versions = [Version("this", SOURCES, case)]
    if base is not None:
        versions.insert(0, Version("base", base, case))
    figures = []
    try:
        for version in versions:
            version.start()
        for _ in range(rounds):
            for version in versions:
                version.start_round()
            for _ in range(BLOCKS_PER_ROUND):
                for version in versions:
                    version.run_block()
            figures.extend(version.finish_round() for version in versions)
    finally:
        for version in versions:
            version.stop()
    return figures


def compute_medians(figures: list[Figures]) -> list[dict]:
    """Returns the medians of the rounds, one row for each version."""
    rows = []
    for version in dict.fromkeys(f.version for f in figures):
        matching = [f for f in figures if f.version == version]
        row = {"version": version} | dataclasses.asdict(matching[0].case)
        for field in dataclasses.fields(Figures)[2:]:
            values = [getattr(f, field.name) for f in matching]
            row[field.name] = round(statistics.median(values), 3)
        rows.append(row)
    return rows


def main() -> None:
    """Prints one JSON line per case and version: medians of the rounds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--calls", type=int, default=1000)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--service-ms", type=float, nargs="+", default=[0, 3])
    parser.add_argument("--callers", type=int, nargs="+", default=[1])
    parser.add_argument("--targets", type=int, default=1)
    parser.add_argument("--forwarded", action="store_true")
    parser.add_argument(
        "--base", type=pathlib.Path, help="folder of other sources"
    )
    args = parser.parse_args()
    for service_ms in args.service_ms:
        for callers in args.callers:
            case = Case(
                service_ms, callers, args.forwarded, args.targets, args.calls
            )
            for row in compute_medians(run(case, args.rounds, args.base)):
                print(json.dumps(row), flush=True)


if __name__ == "__main__":
    main()
