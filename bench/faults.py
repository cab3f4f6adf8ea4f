"""Seeded sequences of faults under load, judged by what ran and was told."""

import argparse
import pathlib
import random
import shutil
import sys
import tempfile

import httpx

from bench import deployment as deployment_lib
from bench import fault_judge
from bench import fault_kinds
from bench import fault_run
from bench import relay


def draw(seed: int, faults: int) -> list[str]:
    """Returns the names of the faults of a seed."""
    return random.Random(seed).sample(sorted(fault_kinds.FAULTS), faults)


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


def main() -> int:
    """Runs the seeds that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--faults", type=int, default=2)
    parser.add_argument(
        "--kinds", help="Names of the faults, with commas; else drawn."
    )
    parser.add_argument("--keep", type=pathlib.Path, help="Keep logs here.")
    args = parser.parse_args()
    red = 0
    for seed in range(args.first_seed, args.first_seed + args.seeds):
        names = args.kinds.split(",") if args.kinds else draw(seed, args.faults)
        try:
            broken, run = run_seed(seed, names, args.keep)
        except (TimeoutError, httpx.HTTPError) as exc:
            print(
                f"seed {seed}: {names} did not run through: {exc!r}", flush=True
            )
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
