"""The command line of the load and experiment tool, `cardamomkeel-load`."""

import pathlib
import typing

import anyio
from returns import result
import typer

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel import logs
from cardamomkeel.client import client as client_lib
from cardamomkeel.experiments import compare as compare_lib
from cardamomkeel.experiments import operator as operator_lib
from cardamomkeel.experiments import plan as plan_lib
from cardamomkeel.experiments import results
from cardamomkeel.experiments import run as run_lib
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import listings
from cardamomkeel.settings import reader

CALL_COLUMNS = (
    "phase",
    "service",
    "sent",
    "answered",
    "not_run",
    "unknown",
    "repeats",
    "p50_ms",
    "p99_ms",
    "p999_ms",
    "most_ms",
)
CHANGE_COLUMNS = ("name", "accepted_ms", "in_force_ms")

PlanPath = typing.Annotated[
    pathlib.Path, typer.Argument(help="A plan, in JSON with comments.")
]
Entry = typing.Annotated[
    list[str],
    typer.Option(
        envvar="CARDAMOMKEEL_ENTRY",
        help="Callers' address of an entry; may be given several times.",
    ),
]
At = typing.Annotated[
    list[str],
    typer.Option(
        "--at",
        envvar="CARDAMOMKEEL_AT",
        help="Operators' address of a control VM, for plans with changes.",
    ),
]
SecretFile = typing.Annotated[
    pathlib.Path | None,
    typer.Option(
        envvar="CARDAMOMKEEL_SECRET_FILE", help="File with the secret."
    ),
]
DataCentre = typing.Annotated[
    str, typer.Option(help="Data centre of the caller.")
]
ResultPath = typing.Annotated[
    pathlib.Path | None, typer.Option(help="File to write the figures to.")
]

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="Runs load tests on a running cardamomkeel, and compares runs.",
)


def _read_plan(path: pathlib.Path) -> plan_lib.Plan:
    read = reader.read_file(path, plan_lib.Plan)
    if not isinstance(read, result.Success):
        options.fail(read.failure())
    return read.unwrap()


@app.command()
def check(path: PlanPath) -> None:
    """Checks a plan without running it."""
    plan = _read_plan(path)
    print(f"{path} is well-formed: {plan.name}, {plan.seconds:g} s")


@app.command()
def run(
    path: PlanPath,
    entry: Entry,
    at: At = [],  # noqa: B006  typer copies it
    secret_file: SecretFile = None,
    data_centre: DataCentre = "",
    result_file: ResultPath = None,
) -> None:
    """Runs a plan against a running deployment and prints the figures."""
    logs.set_up("cardamomkeel-load")
    plan = _read_plan(path)
    clk = clock.MonotonicClock()
    operator = _make_operator(plan, at, secret_file, clk)
    figures = anyio.run(_run, plan, entry, data_centre, operator, clk)
    _print(figures)
    if result_file is not None:
        results.write(result_file, figures)


def _make_operator(
    plan: plan_lib.Plan,
    at: list[str],
    secret_file: pathlib.Path | None,
    clk: clock.Clock,
) -> operator_lib.Operator | None:
    needs_operator = any(change.rate is None for change in plan.changes)
    if not needs_operator:
        return None
    if not at or secret_file is None:
        options.fail(
            errors.SettingsError(
                "the plan takes data centres out or brings them back",
                "name the control VMs with --at and give --secret-file",
            )
        )
    secret = options.read_secret(secret_file)
    return operator_lib.Operator(at, secret, clk)


async def _run(
    plan: plan_lib.Plan,
    entries: list[str],
    data_centre: str,
    operator: operator_lib.Operator | None,
    clk: clock.Clock,
) -> results.Figures:
    client = client_lib.Client(entries, clk, data_centre)
    try:
        return await run_lib.Run(plan, client, operator, clk).run()
    finally:
        await client.close()


def _print(figures: results.Figures) -> None:
    rows = results.list_rows(figures)
    print(_render(CALL_COLUMNS, rows))
    if figures.changes:
        changes = [change.model_dump() for change in figures.changes]
        print("\n" + _render(CHANGE_COLUMNS, changes))
    print(
        f"\ncalls were sent {figures.late_p99_ms:g} ms late or less for 99 in "
        f"100; load average before: {figures.load_before:g} on "
        f"{figures.cores} cores"
    )


def _render(columns: tuple[str, ...], rows: list[dict[str, typing.Any]]) -> str:
    texts = [{name: str(row[name]) for name in columns} for row in rows]
    return listings.render(columns, texts)


@app.command()
def compare(before: pathlib.Path, after: pathlib.Path) -> None:
    """Compares the figures of two runs of one plan."""
    read = [results.read(path) for path in (before, after)]
    for figures in read:
        if not isinstance(figures, result.Success):
            options.fail(figures.failure())
    compared = compare_lib.compare(*(figures.unwrap() for figures in read))
    if not isinstance(compared, result.Success):
        options.fail(compared.failure())
    print(listings.render(compare_lib.COLUMNS, compared.unwrap()))


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
