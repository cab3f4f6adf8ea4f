"""Runs behave and closes with a line that counts its scenarios.

Scenarios that KNOWN-RED.txt lists may fail; all others may not.
"""

import json
import pathlib
import subprocess
import sys
import tempfile

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
TEST_FIELD = "test:"


def read_known_red() -> set[str]:
    """Returns the scenarios that may fail, as `feature: scenario`."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix(TEST_FIELD).strip()
        for line in KNOWN_RED.read_text(encoding="utf-8").splitlines()
        if line.startswith(TEST_FIELD)
    }


def run_behave(args: list[str]) -> tuple[int, list[tuple[str, str]]]:
    """Runs behave; returns its exit status and each scenario's status."""
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        done = subprocess.run(
            [
                *[sys.executable, "-m", "behave", "--no-capture"],
                *["--format", "json", "--outfile", report.name],
                *["--format", "plain"],
                *["--no-skipped", "--logging-level", "WARNING", *args],
            ],
            cwd=ROOT,
            check=False,
        )
        raw = report.read()
    features = json.loads(raw) if raw.strip() else []
    scenarios = [
        (f"{feature['name']}: {element['name']}".strip(), element["status"])
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    return done.returncode, scenarios


def main() -> int:
    """Returns 0 where all passed that had to."""
    known_red = read_known_red()
    status, scenarios = run_behave(sys.argv[1:])
    passed = [name for name, got in scenarios if got == "passed"]
    failed = [
        name
        for name, got in scenarios
        if got not in ("passed", "skipped", "untested")
    ]
    red = [name for name in failed if name in known_red]
    new = [name for name in failed if name not in known_red]
    for name in red:
        print(f"known red: {name}")
    for name in new:
        print(f"failed: {name}")
    # A hook that failed leaves no failed scenario behind.
    broken = status != 0 and not failed
    if broken:
        print("behave failed outside of scenarios")
    print(f"{len(passed)} passed, {len(new) + broken} failed")
    return 0 if passed and not new and not broken else 1


if __name__ == "__main__":
    sys.exit(main())
