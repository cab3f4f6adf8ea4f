"""Seeded sequences of faults under load, judged by what ran and was told.

The judge is the record of the stand-ins for backend servers and what callers
were told, never a counter of the system.
"""

import argparse
import concurrent.futures
import dataclasses
import hashlib
import json
import pathlib
import random
import secrets
import shutil
import sys
import tempfile
import threading
import time
import typing

import httpx

from bench import caller as caller_lib
from bench import deployment as deployment_lib
from bench import relay

CALLERS = 6
DEADLINE_MS = 1500
CALLER_TIMEOUT_S = 3.0
LOAD_S = 12.0
# Longer than a lease of 3 s, so that a frozen process loses it.
FREEZE_S = 5.0
SILENCE_S = 3.0
HEAL_WITHIN_S = 45.0
# What the users ask for: no new work a few seconds after acceptance.
OUT_WITHIN_S = 5.0
BOOKING_ATTEMPTS = 4
ATTEMPT_PAUSE_S = 0.2


@dataclasses.dataclass
class Booking:
    """One booking and what its caller was told, attempt by attempt."""

    key: str
    body: bytes
    told: list[caller_lib.Got] = dataclasses.field(default_factory=list)


@dataclasses.dataclass
class Told:
    """All that callers were told."""

    bookings: list[Booking] = dataclasses.field(default_factory=list)
    lookups: list[tuple[str, caller_lib.Got]] = dataclasses.field(
        default_factory=list
    )


class Run:
    """One deployment under load while faults happen to it.

    Attributes:
        deployment: The deployment.
        relays: Its relays.
        rng: Draws the faults.
        told: What callers were told.
        steps: The faults so far, for the report.
        outs: When each data centre was out for certain, and until when.
        revisions: Revisions of settings in the order they were accepted.
    """

    def __init__(
        self,
        deployment: deployment_lib.Deployment,
        relays: relay.Relays,
        seed: int,
    ):
        self.deployment = deployment
        self.relays = relays
        self.rng = random.Random(seed)
        self.told = Told()
        self.steps: list[str] = []
        self.outs: list[tuple[str, float, float]] = []
        self._stop = threading.Event()
        self._lock = threading.Lock()

    # Load.

    def _run_caller(self, number: int) -> None:
        rng = random.Random(number)
        data_centres = self.deployment.shape.data_centres
        caller = caller_lib.Caller(
            list(self.deployment.callers_addresses.values()),
            data_centres[number % len(data_centres)],
            CALLER_TIMEOUT_S,
        )
        while not self._stop.is_set():
            if rng.random() < 0.5:
                self._look_up(caller, rng)
            else:
                self._book(caller, rng)
            time.sleep(0.02)

    def _call(self, caller, rng, **job) -> caller_lib.Got | None:
        try:
            addresses = caller.addresses(job["service"])
        except LookupError:
            time.sleep(ATTEMPT_PAUSE_S)
            return None
        return caller.call(
            address=rng.choice(addresses), deadline_ms=DEADLINE_MS, **job
        )

    def _look_up(self, caller, rng) -> None:
        path = f"/own/{rng.getrandbits(48):x}"
        got = self._call(caller, rng, service="dossier", path=path)
        if got is not None:
            with self._lock:
                self.told.lookups.append((path, got))

    def _book(self, caller, rng) -> None:
        key = secrets.token_hex(8)
        booking = Booking(key, b'{"key": "%s"}' % key.encode())
        with self._lock:
            self.told.bookings.append(booking)
        service = rng.choice(["keepsake", "creneau"])
        for _ in range(BOOKING_ATTEMPTS):
            got = self._call(
                caller,
                rng,
                service=service,
                method="POST",
                path="/book",
                key=key,
                body=booking.body,
            )
            if got is not None:
                booking.told.append(got)
                if got.outcome == "answered":
                    return
            time.sleep(ATTEMPT_PAUSE_S)

    def run(self, faults: int) -> None:
        """Keeps callers calling while faults happen one on the other."""
        with concurrent.futures.ThreadPoolExecutor(CALLERS + faults) as pool:
            callers = [
                pool.submit(self._run_caller, number)
                for number in range(CALLERS)
            ]
            time.sleep(1)
            names = self.rng.sample(sorted(FAULTS), faults)
            jobs = []
            for name in names:
                pause = self.rng.uniform(0, 2)
                self.steps.append(f"{name} after {pause:.1f} s")
                time.sleep(pause)
                jobs.append(pool.submit(FAULTS[name], self))
            try:
                for job in jobs:
                    job.result()
                time.sleep(2)
            finally:
                self._stop.set()
            self.relays.heal()
            for caller in callers:
                caller.result()

    def pick(self, processes: dict) -> deployment_lib.Process:
        """Returns any process of a group."""
        return processes[self.rng.choice(sorted(processes))]

    # Judgement.

    def judge(self) -> list[str]:
        """Returns what was promised and not held."""
        record = self.deployment.record()
        servers = self.deployment.ask_servers("/servers")
        return [
            *self._judge_bookings(record),
            *self._judge_lookups(),
            *_judge_servers(servers),
            *self._judge_outs(record, servers),
        ]

    def _judge_bookings(self, record: list[dict]) -> list[str]:
        runs: dict[str, int] = {}
        for run in record:
            runs[run["key"]] = runs.get(run["key"], 0) + 1
        faults = []
        for booking in self.told.bookings:
            ran = runs.get(booking.key, 0)
            outcomes = [got.outcome for got in booking.told]
            if ran > 1:
                faults.append(f"{booking.key} ran {ran} times: {outcomes}")
            if ran and outcomes and set(outcomes) == {"not-run"}:
                faults.append(f"{booking.key} ran, told {outcomes}")
            if not ran and "answered" in outcomes:
                faults.append(f"{booking.key} was answered and never ran")
            for got in booking.told:
                if got.outcome == "answered":
                    faults += _judge_answer(got, booking)
        return faults

    def _judge_lookups(self) -> list[str]:
        faults = []
        for path, got in self.told.lookups:
            if got.outcome == "answered" and got.status == 200:
                answer = json.loads(got.body)
                if answer["path"] != path:
                    faults.append(f"{path} got the answer of {answer}")
            elif got.outcome not in ("answered", "not-run", "unknown"):
                faults.append(f"{path} got no outcome: {got}")
        return faults

    def _judge_outs(self, record: list[dict], servers: list[dict]) -> list[str]:
        places = {s["address"]: s["data_centre"] for s in servers}
        return [
            f"{run['address']} got work in {data_centre}, out since "
            f"{run['started'] - since:.1f} s"
            for data_centre, since, until in self.outs
            for run in record
            if places[run["address"]] == data_centre
            and since + OUT_WITHIN_S < run["started"] < until
        ]

    def wait_healed(self) -> None:
        """Waits until every entry answers a lookup again."""
        entries = self.deployment.callers_addresses

        def healed() -> bool:
            caller = caller_lib.Caller(list(entries.values()), "", 3.0)
            return all(
                caller.call("dossier", address=address).outcome == "answered"
                for address in entries.values()
            )

        deployment_lib.wait_for(healed, HEAL_WITHIN_S, "all entries answer")


def _judge_answer(got: caller_lib.Got, booking: Booking) -> list[str]:
    if got.status != 200:
        return [f"{booking.key} was answered with {got.status}"]
    answer = json.loads(got.body)
    wanted = hashlib.sha256(booking.body).hexdigest()
    if (answer["key"], answer["body_hash"]) == (booking.key, wanted):
        return []
    return [f"{booking.key} got the answer of {answer['key']}"]


def _judge_servers(servers: list[dict]) -> list[str]:
    return [
        f"{server['address']} was overrun {server['overruns']} times"
        for server in servers
        if server["overruns"]
    ]


# The faults. Each returns once it is over.


def kill_entry(run: Run) -> None:
    """Kills an entry and starts it again."""
    process = run.pick(run.deployment.entries)
    process.kill()
    time.sleep(1)
    process.start()


def freeze_entry(run: Run) -> None:
    """Freezes an entry for longer than its lease."""
    process = run.pick(run.deployment.entries)
    process.freeze()
    time.sleep(FREEZE_S)
    process.thaw()


def kill_leader(run: Run) -> None:
    """Kills the control VM that leads and starts it again."""
    name = run.deployment.leader() or "control-1"
    process = run.deployment.controls[name]
    process.kill()
    time.sleep(1)
    process.start()


def freeze_leader(run: Run) -> None:
    """Freezes the control VM that leads."""
    name = run.deployment.leader() or "control-1"
    process = run.deployment.controls[name]
    process.freeze()
    time.sleep(FREEZE_S)
    process.thaw()


def lose_disk(run: Run) -> None:
    """Kills a control VM and starts it with an empty disk."""
    process = run.pick(run.deployment.controls)
    process.kill()
    shutil.rmtree(run.deployment.folder / f"{process.name}-data")
    process.start()


def cut_off_control(run: Run) -> None:
    """Cuts a control VM off silently."""
    process = run.pick(run.deployment.controls)
    run.relays.isolate(process.name, "silence")
    time.sleep(FREEZE_S)
    run.relays.heal()


def cut_off_entry(run: Run) -> None:
    """Cuts an entry off from all control VMs silently."""
    process = run.pick(run.deployment.entries)
    for control in run.deployment.controls:
        run.relays.inject("silence", process.name, control)
    time.sleep(FREEZE_S)
    run.relays.heal()


def silence_connections(run: Run) -> None:
    """Makes all open connections go silent; new ones work."""
    run.relays.inject("silence_open", "*", "*")
    time.sleep(SILENCE_S)


def reset_connections(run: Run) -> None:
    """Resets all open connections."""
    run.relays.inject("reset", "*", "*")


def take_out_data_centre(run: Run) -> None:
    """Takes a data centre out and brings it back."""
    gone = run.rng.choice(run.deployment.shape.data_centres)
    try:
        done = run.deployment.take("/v1/take-out", gone)
    except TimeoutError:
        return
    if "revision" not in done:
        return
    since = time.time()
    time.sleep(OUT_WITHIN_S + 2)
    run.outs.append((gone, since, time.time()))
    run.deployment.take("/v1/bring-back", gone)


def make_cold(run: Run) -> None:
    """Lets backend servers start anew without warning."""
    addresses = [a for s in run.deployment.server_addresses.values() for a in s]
    for address in run.rng.sample(addresses, 3):
        run.deployment.ask_servers("/crash", {"address": address})
        time.sleep(0.3)


def slow_down(run: Run) -> None:
    """Makes one backend server much slower for a while."""
    address = run.rng.choice(run.deployment.server_addresses["dossier"])
    where = {"address": address}
    run.deployment.ask_servers("/set", {"where": where, "latency_ms": 300})
    time.sleep(SILENCE_S)
    run.deployment.ask_servers("/set", {"where": where, "latency_ms": 5})


def race_operators(run: Run) -> None:
    """Lets two operators apply different texts from the same revision."""
    text = json.loads(run.deployment.shape.text)
    shown = run.deployment.operate("/v1/show", {})
    base = next(
        int(record["settings"]["revision"])
        for record in shown["records"]
        if "settings" in record
    )
    results = []
    for queue in (63, 65):
        text["services"]["dossier"]["queue"] = queue
        results.append(run.deployment.apply(json.dumps(text), base))
    accepted = [done for done in results if "revision" in done]
    assert len(accepted) <= 1, results


FAULTS: dict[str, typing.Callable[[Run], None]] = {
    fault.__name__: fault
    for fault in (
        kill_entry,
        freeze_entry,
        kill_leader,
        freeze_leader,
        lose_disk,
        cut_off_control,
        cut_off_entry,
        silence_connections,
        reset_connections,
        take_out_data_centre,
        make_cold,
        slow_down,
        race_operators,
    )
}


def run_seed(
    seed: int, faults: int, keep: pathlib.Path | None = None
) -> tuple[list[str], Run]:
    """Runs one seeded sequence on a fresh small deployment.

    Returns:
        What was promised and not held, and the run.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-faults-"))
    relays = relay.Relays()
    deployment = deployment_lib.Deployment(
        folder,
        deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN),
        relays=relays,
    )
    run = Run(deployment, relays, seed)
    try:
        deployment.start()
        deployment.wait_ready()
        run.run(faults)
        broken = run.judge()
        try:
            run.wait_healed()
        except TimeoutError as exc:
            broken.append(str(exc))
    finally:
        deployment.kill_all()
        relays.close()
        if keep is not None:
            shutil.copytree(folder, keep / f"seed-{seed}", dirs_exist_ok=True)
        deployment.remove()
    return broken, run


def main() -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument("--keep", type=pathlib.Path, help="Keep logs here.")
    args = parser.parse_args()
    red = 0
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        try:
            broken, run = run_seed(seed, args.faults, args.keep)
        except (TimeoutError, httpx.HTTPError) as exc:
            print(f"seed {seed}: did not run through: {exc!r}", flush=True)
            red += 1
            continue
        answered = sum(
            any(got.outcome == "answered" for got in booking.told)
            for booking in run.told.bookings
        )
        print(
            f"seed {seed}: {'; '.join(run.steps)}: "
            f"{answered} of {len(run.told.bookings)} bookings and "
            f"{len(run.told.lookups)} lookups: "
            f"{'held' if not broken else 'NOT HELD'}",
            flush=True,
        )
        for line in broken[:10]:
            print(f"  {line}", flush=True)
        red += bool(broken)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
