"""Measures a deployment under open-loop load.

Requests are sent at planned times, whatever the answers do, and latency counts
from the planned time, so that a stall shows in every request that it delays.
`tail` measures tail latency while backend servers slow down for a moment, and
compares it with baselines in the same run. `idle` measures the announcements,
CPU and memory of the deployment without load. `leaving` measures answers and
latency while a data centre is taken out and brought back.
"""

import argparse
import asyncio
import dataclasses
import json
import os
import pathlib
import random
import secrets
import statistics
import tempfile
import time

from bench import balancers
from bench import deployment as deployment_lib
from bench import http_client

DEPLOYMENTS = {
    "ar-gwenn-skouarn": deployment_lib.AR_GWENN_SKOUARN,
    "cart-commons": deployment_lib.CART_COMMONS,
}
DEADLINE_MS = 2000
# At this interval a random backend server slows down for a moment.
SLOWDOWN_INTERVAL_S = 0.25
SLOWDOWN_S = 0.5
SLOWDOWN_LATENCY_MS = 60.0
LATENCY_MS = 5.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")


@dataclasses.dataclass(frozen=True)
class Sample:
    """One request: planned time, latency since then, and outcome."""

    due_s: float
    latency_ms: float
    outcome: str
    service: str


class Load:
    """Sends requests at a rate that does not depend on the answers."""

    def __init__(
        self,
        services: list[str],
        rate: float,
        rng: random.Random,
        deadline_ms: int = DEADLINE_MS,
    ):
        self._deadline_ms = deadline_ms
        self._services = services
        self._rate = rate
        self._rng = rng
        self.samples: list[Sample] = []

    def _make_job(self) -> balancers.Job:
        fraction = self._rng.random()
        if fraction < 0.7:
            return balancers.Job(
                self._services[0], "GET", "/lookup", "", self._deadline_ms
            )
        service = self._services[1 if fraction < 0.9 else 2]
        key = f"{self._rng.getrandbits(64):x}"
        return balancers.Job(service, "POST", "/book", key, self._deadline_ms)

    async def run(self, balancer: balancers.Balancer, seconds: float) -> None:
        """Sends requests for some seconds and waits for all results."""
        started = time.monotonic()
        due = 0.0
        async with asyncio.TaskGroup() as tasks:
            while due < seconds:
                due += self._rng.expovariate(self._rate)
                wait_s = started + due - time.monotonic()
                if wait_s > 0:
                    await asyncio.sleep(wait_s)
                job = self._make_job()
                tasks.create_task(self._send(balancer, job, started, due))

    async def _send(
        self,
        balancer: balancers.Balancer,
        job: balancers.Job,
        started: float,
        due: float,
    ) -> None:
        try:
            outcome = await balancer.send(job)
        except balancers.CONNECTION_ERRORS as exc:
            outcome = type(exc).__name__
        latency_ms = (time.monotonic() - started - due) * 1000
        self.samples.append(Sample(due, latency_ms, outcome, job.service))


def percentile(values: list[float], share: float) -> float:
    """Returns the percentile of the values; `share` is from 0 to 1."""
    if not values:
        return float("nan")
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def summarize(samples: list[Sample], first_service: str) -> dict:
    """Returns the figures of one run."""
    lookups = [s.latency_ms for s in samples if s.service == first_service]
    others = [s.latency_ms for s in samples if s.service != first_service]
    answered = sum(s.outcome == "answered" for s in samples)
    return {
        "requests": len(samples),
        "answered": answered,
        "lookup_p50_ms": round(percentile(lookups, 0.5), 2),
        "lookup_p99_ms": round(percentile(lookups, 0.99), 2),
        "lookup_p999_ms": round(percentile(lookups, 0.999), 2),
        "booking_p50_ms": round(percentile(others, 0.5), 2),
        "booking_p99_ms": round(percentile(others, 0.99), 2),
    }


async def slow_servers_down(
    deployment: deployment_lib.Deployment, rng: random.Random
) -> None:
    """Slows random backend servers down for a moment, until cancelled."""
    addresses = [a for s in deployment.server_addresses.values() for a in s]

    async def slow_down(address: str) -> None:
        where = {"where": {"address": address}}
        slow = where | {"latency_ms": SLOWDOWN_LATENCY_MS}
        await asyncio.to_thread(deployment.call_servers, "/set", slow)
        await asyncio.sleep(SLOWDOWN_S)
        normal = {"where": {"address": address}, "latency_ms": LATENCY_MS}
        await asyncio.to_thread(deployment.call_servers, "/set", normal)

    async with asyncio.TaskGroup() as tasks:
        while True:
            tasks.create_task(slow_down(rng.choice(addresses)))
            await asyncio.sleep(SLOWDOWN_INTERVAL_S)


async def measure_tail(
    deployment: deployment_lib.Deployment, args: argparse.Namespace
) -> dict:
    """Runs the system and the baselines in turn; returns medians of each."""
    rounds: dict[str, list[dict]] = {}
    services = list(deployment.shape.services)
    for round_number in range(args.rounds):
        for kind in balancers.BALANCERS:
            rng = random.Random(args.seed + round_number)
            http = http_client.Client()
            load = Load(services, args.rate, rng)
            deployment.call_servers("/clear")
            slowdowns = asyncio.create_task(
                slow_servers_down(
                    deployment, random.Random(args.seed + round_number)
                )
            )
            await load.run(kind(deployment, http, rng), args.seconds)
            slowdowns.cancel()
            await asyncio.sleep(SLOWDOWN_S)
            deployment.call_servers("/set", {"latency_ms": LATENCY_MS})
            http.close()
            figures = summarize(load.samples, services[0])
            servers = deployment.call_servers("/servers")
            figures["overruns"] = sum(s["overruns"] for s in servers)
            rounds.setdefault(kind.name, []).append(figures)
    return {name: _medians(runs) for name, runs in rounds.items()}


def _medians(runs: list[dict]) -> dict:
    return {
        name: round(statistics.median(run[name] for run in runs), 2)
        for name in runs[0]
    }


def cpu_seconds(pid: int) -> float:
    """Returns the CPU time that a process has used, in seconds."""
    stat = pathlib.Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2]
    fields = stat.split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Returns the resident memory of a process in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def measure_idle(
    deployment: deployment_lib.Deployment, args: argparse.Namespace
) -> dict:
    """Returns the CPU, memory and announcements of a system without load."""
    groups = {
        "control": deployment.controls.values(),
        "entry": deployment.entries.values(),
    }
    before = {
        p.pid: cpu_seconds(p.pid) for group in groups.values() for p in group
    }
    announced = deployment.call_servers("/announcements")["count"]
    started = time.monotonic()
    await asyncio.sleep(args.seconds)
    elapsed = time.monotonic() - started
    announced = deployment.call_servers("/announcements")["count"] - announced
    figures = {"announcements_per_s": round(announced / elapsed, 2)}
    for name, group in groups.items():
        shares = [
            100 * (cpu_seconds(p.pid) - before[p.pid]) / elapsed for p in group
        ]
        figures[f"{name}_cpu_percent_median"] = round(
            statistics.median(shares), 2
        )
        figures[f"{name}_cpu_percent_most"] = round(max(shares), 2)
        figures[f"{name}_memory_mb_most"] = round(
            max(resident_mb(p.pid) for p in group), 1
        )
    return figures


async def measure_take_out(
    deployment: deployment_lib.Deployment, args: argparse.Namespace
) -> dict:
    """Returns the figures before, during and after a take-out.

    One data centre is taken out and brought back. The last figure is the
    latest start of a request in that data centre after the take-out was
    accepted.
    """
    services = list(deployment.shape.services)
    rng = random.Random(args.seed)
    http = http_client.Client()
    load = Load(services, args.rate, rng)
    data_centre = deployment.shape.data_centres[0]
    deployment.call_servers("/clear")
    system = balancers.System(deployment, http, rng)
    running = asyncio.create_task(load.run(system, 3 * args.seconds))
    await asyncio.sleep(args.seconds)
    taken_out_s = await _operate(deployment, "/v1/take-out", data_centre)
    await asyncio.sleep(args.seconds)
    brought_back_s = await _operate(deployment, "/v1/bring-back", data_centre)
    await running
    http.close()
    servers = deployment.call_servers("/servers")
    affected = {
        s["address"] for s in servers if s["data_centre"] == data_centre
    }
    start_delays_s = [
        run["started"] - taken_out_s
        for run in deployment.list_runs()
        if run["address"] in affected
        and taken_out_s < run["started"] < brought_back_s
    ]
    phases = {"before": 0, "out": 1, "back": 2}
    figures = {
        name: summarize(
            [s for s in load.samples if int(s.due_s // args.seconds) == phase],
            services[0],
        )
        for name, phase in phases.items()
    }
    figures["last_new_work_after_acceptance_ms"] = round(
        1000 * max(start_delays_s, default=0.0), 1
    )
    return figures


async def _operate(
    deployment: deployment_lib.Deployment, path: str, data_centre: str
) -> float:
    """Makes an operator's change; returns the time of acceptance.

    Raises:
        RuntimeError: The change was rejected.
    """
    body = {
        "data_centre": data_centre,
        "change_id": secrets.token_hex(8),
        "operator": "bench",
    }
    reply = await asyncio.to_thread(deployment.operate, path, body)
    if "revision" not in reply:
        raise RuntimeError(f"{path} was rejected: {reply}")
    return time.time()


MEASUREMENTS = {
    "tail": measure_tail,
    "idle": measure_idle,
    "leaving": measure_take_out,
}


def print_table(figures: dict, indent: str = "") -> None:
    """Prints nested figures, one per line."""
    for name, value in figures.items():
        if isinstance(value, dict):
            print(f"{indent}{name}")
            print_table(value, indent + "  ")
        else:
            print(f"{indent}{name:36} {value:>10}")


def main() -> None:
    """Runs the measurements that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment", choices=DEPLOYMENTS, default="ar-gwenn-skouarn"
    )
    parser.add_argument("--measure", choices=MEASUREMENTS, action="append")
    parser.add_argument("--rate", type=float, default=200.0)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", type=pathlib.Path)
    args = parser.parse_args()
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-bench-"))
    deployment = deployment_lib.Deployment(folder, DEPLOYMENTS[args.deployment])
    figures = {}
    try:
        deployment.start()
        deployment.wait_ready()
        for name in args.measure or MEASUREMENTS:
            figures[name] = asyncio.run(MEASUREMENTS[name](deployment, args))
    finally:
        deployment.kill_all()
        deployment.remove()
    print(f"{args.deployment}, {args.rate:g} requests/s, seed {args.seed}")
    print_table(figures)
    if args.json:
        args.json.write_text(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
