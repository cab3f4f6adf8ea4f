"""Injects seeded sequences of faults under load and checks the results.

The checks compare what backend servers ran with what callers and operators
were answered.
"""

import argparse
import concurrent.futures
import pathlib
import random
import secrets
import shutil
import sys
import tempfile
import time
import typing

import httpx

from bench import deployment as deployment_lib
from bench import fault_judge
from bench import fault_kinds
from bench import fault_run
from bench import platform as platform_lib
from bench import platform_fault_kinds
from bench import platform_soak
from bench import relay

ENTRIES = 3
# Fresh seeds are below this limit, so that they are short to type.
SEED_LIMIT = 1_000_000


def draw_faults(
    seed: int, count: int, kinds: typing.Iterable[str]
) -> list[str]:
    """Returns the names of `count` faults, drawn by a seed."""
    return random.Random(seed).sample(sorted(kinds), count)


def run_platform_seed(
    seed: int,
    names: list[str],
    keep_folder: pathlib.Path | None = None,
    entries: int = ENTRIES,
) -> tuple[list[str], platform_soak.Run]:
    """Injects one seeded sequence of faults into the platform's programs.

    Args:
        seed: Draws the pauses between the faults and the processes, backend
            servers and links that the faults affect.
        names: The names of the faults, in the order of injection.
        keep_folder: Where to copy settings and logs; None to discard them.
        entries: The number of entries to start.

    Returns:
        The violations of the system's guarantees, and the run.
    """
    fleet = platform_lib.Fleet(entries, relayed=True)
    run = platform_soak.Run(fleet, seed)
    try:
        run.start()
        time.sleep(platform_soak.LOAD_BEFORE_FAULTS_S)
        with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
            jobs = []
            for name in names:
                pause_s = run.rng.uniform(0, platform_soak.MAX_PAUSE_S)
                run.steps.append(f"{name} after {pause_s:.1f} s")
                time.sleep(pause_s)
                fault = platform_fault_kinds.FAULTS[name]
                jobs.append(pool.submit(fault, run))
            for job in jobs:
                job.result()
        time.sleep(platform_soak.LOAD_AFTER_FAULTS_S)
        run.stop()
        violations = run.find_violations()
    finally:
        run.stop()
        if keep_folder is not None:
            copy = keep_folder / f"seed-{seed}"
            shutil.copytree(fleet.folder, copy, dirs_exist_ok=True)
        fleet.close()
    return violations, run


def run_seed(
    seed: int, names: list[str], keep_folder: pathlib.Path | None = None
) -> tuple[list[str], fault_run.Run]:
    """Injects one seeded sequence of faults into a new small deployment.

    Args:
        seed: Draws the pauses between the faults and the processes, backend
            servers and links that the faults affect.
        names: The names of the faults, in the order of injection.
        keep_folder: Where to copy settings and logs; None to discard them.

    Returns:
        The violations of the system's guarantees, and the run.
    """
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-faults-"))
    relays = relay.Relays()
    deployment = deployment_lib.Deployment(
        folder,
        deployment_lib.make_small(deployment_lib.AR_GWENN_SKOUARN),
        relays=relays,
    )
    run = fault_run.Run(deployment, relays, seed)
    try:
        deployment.start()
        deployment.wait_ready()
        run.run([fault_kinds.FAULTS[name] for name in names])
        violations = fault_judge.find_violations(run)
        try:
            run.wait_recovered()
        except TimeoutError as exc:
            violations.append(str(exc))
    finally:
        deployment.kill_all()
        relays.close()
        if keep_folder is not None:
            shutil.copytree(
                folder, keep_folder / f"seed-{seed}", dirs_exist_ok=True
            )
        deployment.remove()
    return violations, run


def _run_one_seed(
    args: argparse.Namespace, seed: int, names: list[str]
) -> tuple[list[str], str]:
    """Returns the violations of one seed and a summary of its run."""
    if args.on == "platform":
        violations, run = run_platform_seed(
            seed, names, args.keep, args.entries
        )
        served = sum(call.status == 200 for call in run.calls)
        steps = "; ".join(run.steps)
        return violations, f"{steps}: {served} of {len(run.calls)} requests"
    violations, run = run_seed(seed, names, args.keep)
    answered = sum(
        any(result.outcome == "answered" for result in booking.results)
        for booking in run.call_records.bookings
    )
    return violations, (
        f"{'; '.join(run.steps)}: {answered} of "
        f"{len(run.call_records.bookings)} bookings "
        f"and {len(run.call_records.lookups)} lookups"
    )


def _list_seeds(args: argparse.Namespace) -> typing.Iterator[int]:
    """Yields the seeds that the command line selects."""
    if args.seed is not None:
        yield args.seed
        return
    if args.minutes is None:
        yield from range(args.first_seed, args.first_seed + args.seeds)
        return
    until = time.monotonic() + args.minutes * 60
    while time.monotonic() < until:
        yield secrets.randbelow(SEED_LIMIT)


def main() -> int:
    """Runs the selected seeds; returns 1 if any of them failed, else 0."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, help="Run only this seed, to replay it."
    )
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument(
        "--minutes",
        type=float,
        help="Run fresh seeds for this many minutes; ignores --first-seed and "
        "--seeds.",
    )
    parser.add_argument(
        "--entries",
        type=int,
        default=ENTRIES,
        help="Number of entries on the platform.",
    )
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument(
        "--kinds",
        help="Names of the faults, separated by commas; drawn if omitted.",
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="Folder to copy settings and logs to."
    )
    parser.add_argument(
        "--on",
        choices=["own", "platform"],
        default="own",
        help="Run the product's own programs or those of the platform.",
    )
    args = parser.parse_args()
    kinds = fault_kinds.FAULTS
    if args.on == "platform":
        kinds = platform_fault_kinds.FAULTS
    failed_seeds = 0
    for seed in _list_seeds(args):
        names = draw_faults(seed, args.faults, kinds)
        if args.kinds:
            names = args.kinds.split(",")
        try:
            violations, report = _run_one_seed(args, seed, names)
        except (TimeoutError, httpx.HTTPError) as exc:
            print(f"seed {seed}: {names} did not complete: {exc!r}", flush=True)
            failed_seeds += 1
            continue
        verdict = "passed" if not violations else "FAILED"
        print(f"seed {seed}: {report}: {verdict}", flush=True)
        for line in violations[:10]:
            print(f"  {line}", flush=True)
        failed_seeds += bool(violations)
    return 1 if failed_seeds else 0


if __name__ == "__main__":
    sys.exit(main())
