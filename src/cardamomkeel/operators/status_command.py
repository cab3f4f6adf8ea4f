"""The `status` command of operators."""

import typing

import orjson
from returns import result
import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators import listings
from cardamomkeel.operators.findings import base
from cardamomkeel.operators.findings import registry

COLUMNS = ("level", "subject", "message", "remedy")
# Exit status if an operator has to act.
EXIT_ACTION_REQUIRED = 4

AsJson = typing.Annotated[
    bool, typer.Option("--json", help="Print the findings as JSON.")
]


def status(
    at: options.At, secret_file: options.SecretFile, json: AsJson = False
) -> None:
    """Shows what needs attention; exits with 4 if an operator has to act."""
    gathered = fleet_lib.gather(at, options.read_secret(secret_file))
    if not isinstance(gathered, result.Success):
        options.fail(gathered.failure())
    fleet = gathered.unwrap()
    findings = registry.find_all(fleet)
    if json:
        print(orjson.dumps(findings, option=orjson.OPT_INDENT_2).decode())
    else:
        _print(fleet, findings)
    if any(finding.level is base.Level.ACT for finding in findings):
        raise typer.Exit(EXIT_ACTION_REQUIRED)


def _print(fleet: fleet_lib.Fleet, findings: list[base.Finding]) -> None:
    answering = sum(state is not None for state in fleet.controls.values())
    print(
        f"{answering} control VMs, {len(fleet.entries)} entries, "
        f"{len(fleet.targets)} targets, version {fleet.version}"
    )
    rows = [
        {
            "level": finding.level.value,
            "subject": finding.subject,
            "message": finding.message,
            "remedy": finding.remedy,
        }
        for finding in findings
    ]
    print(listings.render(COLUMNS, rows) if rows else "nothing to report")
