"""Runs behave and prints how many scenarios passed and failed.

Only the scenarios that KNOWN-RED.txt lists may fail.
"""

import concurrent.futures
import dataclasses
import json
import os
import pathlib
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"
# The number of features that run at once; each starts its own processes.
PARALLEL_FEATURES = int(os.environ.get("TEST_JOBS", "4"))
# The features that take longest are started first.
LONG_FEATURES = frozenset(["ownership", "together", "take_out"])


def read_known_red() -> set[str]:
    """Returns the scenarios that may fail, as `feature: scenario`."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.startswith(TEST_FIELD)
    }


@dataclasses.dataclass
class Run:
    """The result of one run of behave.

    Attributes:
        feature: The path of the feature.
        status: The exit status of behave.
        output: The output of behave.
        scenarios: The name and status of each scenario.
        duration_s: The duration of the run.
    """

    feature: str
    status: int
    output: str
    scenarios: list[tuple[str, str]]
    duration_s: float


def run_behave(feature: str, options: list[str]) -> Run:
    """Runs one feature in a separate process."""
    started = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        completed = subprocess.run(
            [
                *[sys.executable, "-m", "behave", "--no-capture"],
                *["--format", "json", "--outfile", report.name],
                *["--format", "plain"],
                *["--no-skipped", "--logging-level", "WARNING"],
                *[feature, *options],
            ],
            cwd=ROOT,
            check=False,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        raw = report.read()
    features = json.loads(raw) if raw.strip() else []
    scenarios = [
        (f"{feature['name']}: {element['name']}".strip(), element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    output = completed.stdout.decode("utf-8", "replace")
    duration_s = time.monotonic() - started
    return Run(feature, completed.returncode, output, scenarios, duration_s)


def run_all(args: list[str]) -> list[Run]:
    """Runs features in parallel, and prints the output of each when done."""
    features = [arg for arg in args if arg.endswith(".feature")]
    options = [arg for arg in args if arg not in features]
    if not features:
        found = sorted((ROOT / "features").glob("*.feature"))
        features = [str(path.relative_to(ROOT)) for path in found]
    # A long feature that starts last would delay the end of the run.
    features.sort(key=lambda name: pathlib.Path(name).stem not in LONG_FEATURES)
    runs = []
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_FEATURES) as pool:
        futs = [pool.submit(run_behave, name, options) for name in features]
        for fut in concurrent.futures.as_completed(futs):
            run = fut.result()
            runs.append(run)
            print(run.output, flush=True)
            print(f"{run.feature} took {run.duration_s:.0f} s", flush=True)
    return runs


def count_failed_outside_scenarios(runs: list[Run]) -> int:
    """Counts runs that failed although none of their scenarios failed."""
    broken = 0
    for run in runs:
        # A failed hook fails the run without a failed scenario.
        passing = ("passed", "skipped", "untested")
        if run.status != 0 and all(
            status in passing for _, status in run.scenarios
        ):
            print(f"behave failed outside of scenarios: {run.feature}")
            broken += 1
    return broken


def main() -> int:
    """Returns 0 if all scenarios passed, except those that may fail."""
    known_red = read_known_red()
    runs = run_all(sys.argv[1:])
    scenarios = [scenario for run in runs for scenario in run.scenarios]
    passed = [name for name, status in scenarios if status == "passed"]
    failed = [
        name
        for name, status in scenarios
        if status not in ("passed", "skipped", "untested")
    ]
    known_failures = [name for name in failed if name in known_red]
    new_failures = [name for name in failed if name not in known_red]
    for name in known_failures:
        print(f"known red: {name}")
    for name in new_failures:
        print(f"failed: {name}")
    broken = count_failed_outside_scenarios(runs)
    print(f"{len(passed)} passed, {len(new_failures) + broken} failed")
    return 0 if passed and not new_failures and not broken else 1


if __name__ == "__main__":
    sys.exit(main())
