"""Measures the service during and after the simultaneous loss of entries.

Several entries are killed together under load. For each target that they owned,
the record of the fake backend servers shows when it received a request again.
Several source folders can be compared in one run; their rounds alternate.
"""

import argparse
import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import statistics
import tempfile
import time

from bench import balancers
from bench import deployment as deployment_lib
from bench import http_client
from bench import load as load_lib

MAX_ATTEMPTS = 4
RETRY_PAUSE_S = 0.02
# How long a caller avoids an entry that it could not reach.
AVOID_S = 5.0


class RetryingSystem(balancers.System):
    """Sends requests as callers that retry at other entries.

    Retries follow connection errors and keep the idempotency key.
    """

    def __init__(self, deployment, http, rng):
        super().__init__(deployment, http, rng)
        self._avoid_until: dict[str, float] = {}

    async def _addresses(self, caller, service: str) -> list[str]:
        addresses = await super()._addresses(caller, service)
        now = time.monotonic()
        return sorted(
            addresses, key=lambda a: now < self._avoid_until.get(a, 0)
        )

    async def send(self, job: balancers.Job) -> str:
        """Sends a request, retrying with the same key on connection errors."""
        caller = self._rng.choice(self._callers)
        for _ in range(MAX_ATTEMPTS):
            address = ""
            try:
                address = (await self._addresses(caller, job.service))[0]
                return await self._send_to(address, job)
            except balancers.CONNECTION_ERRORS:
                self._avoid_until[address] = time.monotonic() + AVOID_S
                await asyncio.sleep(RETRY_PAUSE_S)
        return "unreachable"


@dataclasses.dataclass(frozen=True)
class Options:
    """The parameters of one measurement.

    Attributes:
        lost: How many entries that own targets are killed at once.
        rate: Requests per second.
        before_s: How long the load runs before the entries are killed.
        after_s: How long the load runs after the entries are killed.
        deadline_ms: The deadline of each request.
        seed: Draws the requests and the entries to kill.
    """

    lost: int = 6
    rate: float = 200.0
    before_s: float = 6.0
    after_s: float = 18.0
    deadline_ms: int = load_lib.DEADLINE_MS
    seed: int = 1


@dataclasses.dataclass(frozen=True)
class Loss:
    """The loss of several entries.

    Attributes:
        targets: The services of the targets that the entries owned, by
            address.
        started: Unix time at which the load started.
        lost_at: Unix time at which the entries had been killed.
    """

    targets: dict[str, str]
    started: float
    lost_at: float


def _kill_owners(
    deployment: deployment_lib.Deployment, options: Options
) -> tuple[dict[str, str], float]:
    """Kills entries that own targets.

    Returns:
        The service of each target that they owned, by address, and the Unix
        time at which all entries had exited.
    """
    owned = {
        name: deployment.dump_entry(name)["owned"]
        for name in deployment.entries
    }
    owners = [name for name in owned if owned[name]]
    names = random.Random(options.seed).sample(owners, options.lost)
    for name in names:
        deployment.entries[name].send_signal(signal.SIGKILL)
    for name in names:
        deployment.entries[name].kill()
    targets = {
        address: row["service"]
        for name in names
        for address, row in owned[name].items()
    }
    return targets, time.time()


async def measure(
    deployment: deployment_lib.Deployment, options: Options
) -> dict:
    """Kills entries under load and returns the figures."""
    rng = random.Random(options.seed)
    http = http_client.Client()
    load = load_lib.Load(
        list(deployment.shape.services), options.rate, rng, options.deadline_ms
    )
    system = RetryingSystem(deployment, http, rng)
    deployment.call_servers("/clear")
    started = time.time()
    running = asyncio.create_task(
        load.run(system, options.before_s + options.after_s)
    )
    await asyncio.sleep(options.before_s)
    targets, lost_at = await asyncio.to_thread(
        _kill_owners, deployment, options
    )
    await running
    http.close()
    return _summarize(deployment, load, Loss(targets, started, lost_at))


def _summarize(
    deployment: deployment_lib.Deployment, load: load_lib.Load, loss: Loss
) -> dict:
    record = deployment.list_runs()
    first_run: dict[str, float] = {}
    for run in record:
        if run["started"] > loss.lost_at:
            first_run.setdefault(run["address"], run["started"] - loss.lost_at)
    idle_s = [first_run.get(a, float("inf")) for a in loss.targets]
    runs = collections.Counter(run["key"] for run in record if run["key"])
    servers = deployment.call_servers("/servers")
    figures = {
        "lost_targets": len(loss.targets),
        "until_work_again_s_median": round(statistics.median(idle_s), 2),
        "until_work_again_s_most": round(max(idle_s), 2),
        "overruns": sum(server["overruns"] for server in servers),
        "booked_twice": sum(count > 1 for count in runs.values()),
    }
    loss_due_s = loss.lost_at - loss.started
    recovered_s = loss_due_s + max(
        (idle for idle in idle_s if idle < float("inf")), default=0.0
    )
    phases = {
        "before": (0.0, loss_due_s),
        "until all serve again": (loss_due_s, recovered_s),
        "after": (recovered_s, float("inf")),
    }
    first_service = next(iter(deployment.shape.services))
    for name, (start_s, end_s) in phases.items():
        samples = [s for s in load.samples if start_s <= s.due_s < end_s]
        figures[name] = load_lib.summarize(samples, first_service)
    return figures


def main() -> None:
    """Runs the rounds that the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--deployment",
        choices=load_lib.DEPLOYMENTS,
        default="ar-gwenn-skouarn",
    )
    parser.add_argument(
        "--lost", type=int, default=6, help="number of entries to kill"
    )
    parser.add_argument("--deadline-ms", type=int, default=2000)
    parser.add_argument("--rounds", type=int, default=1)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--source",
        action="append",
        help="a source folder to measure; several are compared",
    )
    args = parser.parse_args()
    shape = load_lib.DEPLOYMENTS[args.deployment]
    for round_number in range(args.rounds):
        options = Options(
            lost=args.lost,
            deadline_ms=args.deadline_ms,
            seed=args.seed + round_number,
        )
        for source in args.source or [os.environ.get("PYTHONPATH", "src")]:
            os.environ["PYTHONPATH"] = source
            figures = _measure_once(shape, options)
            print(f"{source}, {args.lost} of {shape.entries} entries lost")
            load_lib.print_table(figures, "  ")


def _measure_once(shape: deployment_lib.Shape, options: Options) -> dict:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-bench-"))
    deployment = deployment_lib.Deployment(folder, shape)
    try:
        deployment.start()
        deployment.wait_ready()
        return asyncio.run(measure(deployment, options))
    finally:
        deployment.kill_all()
        deployment.remove()


if __name__ == "__main__":
    main()
