"""Seeded sequences of faults under load, judged by what ran and was told."""

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
# Fresh seeds are below this, short enough to be typed again.
MOST_SEED = 1_000_000


def draw(seed: int, faults: int, kinds: typing.Iterable[str]) -> list[str]:
    """Returns the names of the faults of a seed."""
    return random.Random(seed).sample(sorted(kinds), faults)


def run_platform_seed(
    seed: int,
    names: list[str],
    keep: pathlib.Path | None = None,
    entries: int = ENTRIES,
) -> tuple[list[str], platform_soak.Run]:
    """Runs one seeded sequence on the platform's programs.

    Args:
        seed: Seeds the pauses between the faults and what they happen to.
        names: The names of the faults, in their order.
        keep: Where to keep settings and logs.
        entries: How many entries run.

    Returns:
        What was promised and not held, and the run.
    """
    fleet = platform_lib.Fleet(entries, relayed=True)
    run = platform_soak.Run(fleet, seed)
    try:
        run.begin()
        time.sleep(platform_soak.BEFORE_S)
        with concurrent.futures.ThreadPoolExecutor(len(names)) as pool:
            jobs = []
            for name in names:
                pause_s = run.rng.uniform(0, platform_soak.MOST_PAUSE_S)
                run.steps.append(f"{name} after {pause_s:.1f} s")
                time.sleep(pause_s)
                fault = platform_fault_kinds.FAULTS[name]
                jobs.append(pool.submit(fault, run))
            for job in jobs:
                job.result()
        time.sleep(platform_soak.AFTER_S)
        run.end()
        broken = run.judge()
    finally:
        run.end()
        if keep is not None:
            kept = keep / f"seed-{seed}"
            shutil.copytree(fleet.folder, kept, dirs_exist_ok=True)
        fleet.close()
    return broken, run


def run_seed(
    seed: int, names: list[str], keep: pathlib.Path | None = None
) -> tuple[list[str], fault_run.Run]:
    """Runs one seeded sequence on a fresh small deployment.

    Args:
        seed: Seeds the pauses between the faults and what they happen to.
        names: The names of the faults, in their order.
        keep: Where to keep settings and logs.

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
    run = fault_run.Run(deployment, relays, seed)
    try:
        deployment.start()
        deployment.wait_ready()
        run.run([fault_kinds.FAULTS[name] for name in names])
        broken = fault_judge.judge(run)
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


def _run_one(
    args: argparse.Namespace, seed: int, names: list[str]
) -> tuple[list[str], str]:
    """Returns what one seed broke, and a line about it."""
    if args.on == "platform":
        broken, run = run_platform_seed(seed, names, args.keep, args.entries)
        served = sum(call.status == 200 for call in run.calls)
        steps = "; ".join(run.steps)
        return broken, f"{steps}: {served} of {len(run.calls)} requests"
    broken, run = run_seed(seed, names, args.keep)
    answered = sum(
        any(got.outcome == "answered" for got in booking.told)
        for booking in run.told.bookings
    )
    return broken, (
        f"{'; '.join(run.steps)}: {answered} of {len(run.told.bookings)} "
        f"bookings and {len(run.told.lookups)} lookups"
    )


def _list_seeds(args: argparse.Namespace) -> typing.Iterator[int]:
    """Yields the seeds that the command line asks for."""
    if args.seed is not None:
        yield args.seed
        return
    if args.minutes is None:
        yield from range(args.first_seed, args.first_seed + args.seeds)
        return
    until = time.monotonic() + args.minutes * 60
    while time.monotonic() < until:
        yield secrets.randbelow(MOST_SEED)


def main() -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seed", type=int, help="This seed alone, to see it again."
    )
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument(
        "--minutes",
        type=float,
        help="Fresh seeds for so long, in place of --first-seed and --seeds.",
    )
    parser.add_argument(
        "--entries",
        type=int,
        default=ENTRIES,
        help="Entries on the platform.",
    )
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument(
        "--kinds", help="Names of the faults, with commas; else drawn."
    )
    parser.add_argument("--keep", type=pathlib.Path, help="Keep logs here.")
    parser.add_argument(
        "--on",
        choices=["own", "platform"],
        default="own",
        help="The product's own programs, or those of the platform.",
    )
    args = parser.parse_args()
    kinds = fault_kinds.FAULTS
    if args.on == "platform":
        kinds = platform_fault_kinds.FAULTS
    red = 0
    for seed in _list_seeds(args):
        names = draw(seed, args.faults, kinds)
        if args.kinds:
            names = args.kinds.split(",")
        try:
            broken, report = _run_one(args, seed, names)
        except (TimeoutError, httpx.HTTPError) as exc:
            print(
                f"seed {seed}: {names} did not run through: {exc!r}", flush=True
            )
            red += 1
            continue
        held = "held" if not broken else "NOT HELD"
        print(f"seed {seed}: {report}: {held}", flush=True)
        for line in broken[:10]:
            print(f"  {line}", flush=True)
        red += bool(broken)
    return 1 if red else 0


if __name__ == "__main__":
    sys.exit(main())
