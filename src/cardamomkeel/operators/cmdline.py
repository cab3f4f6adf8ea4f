"""The command line of operators."""

import pathlib
import typing

from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.log_lines import page as log_page_lib
from cardamomkeel.operators import accounts_commands
from cardamomkeel.operators import client
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import history_command
from cardamomkeel.operators import listings
from cardamomkeel.operators import member_commands
from cardamomkeel.operators import resolutions
from cardamomkeel.operators import rollout_commands
from cardamomkeel.operators import routes_commands
from cardamomkeel.operators import settings_commands
from cardamomkeel.operators import status_command
from cardamomkeel.settings import page

RequestId = typing.Annotated[
    str, typer.Option(help="Value of cardamomkeel-request-id in an answer.")
]
TargetAddress = typing.Annotated[
    str, typer.Option(help="Address of a backend server.")
]
Version = typing.Annotated[
    int, typer.Option(help="Version that an accepted change has got.")
]

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="Configures and inspects a running cardamomkeel.",
)
app.add_typer(member_commands.app, name="member")
app.add_typer(rollout_commands.app, name="rollout")
app.add_typer(routes_commands.app, name="routes")
app.add_typer(accounts_commands.app, name="accounts")
app.command()(status_command.status)
app.command()(history_command.history)


def _call_until_success(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict
) -> dict:
    """Returns the answer of the first process whose call succeeds."""
    secret = options.read_secret(secret_file)
    for address in at:
        called = client.call([address], secret, path, body)
        if isinstance(called, result.Success):
            return called.unwrap()
    return options.fail(called.failure())


settings_commands.add_commands(app)


def _make_out_of_service_body(
    data_centre: str, server: str, change_id: str, operator: str
) -> dict:
    if bool(data_centre) == bool(server):
        options.fail(
            errors.SettingsError(
                "name either a data centre or a backend server",
                "give one of --data-centre and --server",
            )
        )
    return {
        "data_centre": data_centre,
        "address": server,
        **options.identify_change(change_id, operator),
    }


@app.command()
def take_out(
    at: options.At,
    secret_file: options.SecretFile,
    data_centre: str = "",
    server: str = "",
    change_id: options.ChangeId = "",
    operator: options.Operator = "",
    force: bool = False,
    wait: options.Wait = False,
) -> None:
    """Takes a data centre or a backend server out of service."""
    body = _make_out_of_service_body(data_centre, server, change_id, operator)
    body["force"] = force
    options.send_change(at, secret_file, "/v1/take-out", body, wait)


@app.command()
def bring_back(
    at: options.At,
    secret_file: options.SecretFile,
    data_centre: str = "",
    server: str = "",
    change_id: options.ChangeId = "",
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Brings a data centre or a backend server back into service."""
    body = _make_out_of_service_body(data_centre, server, change_id, operator)
    options.send_change(at, secret_file, "/v1/bring-back", body, wait)


@app.command()
def dump(at: options.At, secret_file: options.SecretFile) -> None:
    """Shows the state of one process."""
    options.print_answer(options.call(at, secret_file, "/dump", {}))


resolutions.add_commands(
    app, options.call, options.print_answer, options.At, options.SecretFile
)


def _print_sorted(
    columns: tuple[str, ...], rows: list[listings.Record]
) -> None:
    print(listings.render(columns, listings.sort(columns, rows)))


@app.command()
def entries(at: options.At, secret_file: options.SecretFile) -> None:
    """Lists the entries."""
    rows = listings.list_entries(options.call(at, secret_file, "/v1/show", {}))
    _print_sorted(listings.ENTRY_COLUMNS, rows)


@app.command()
def targets(at: options.At, secret_file: options.SecretFile) -> None:
    """Lists the backend servers that announce themselves."""
    rows = listings.list_targets(options.call(at, secret_file, "/v1/show", {}))
    _print_sorted(listings.TARGET_COLUMNS, rows)


@app.command()
def explain(
    at: options.At,
    secret_file: options.SecretFile,
    request: RequestId = "",
    target: TargetAddress = "",
    version: Version = 0,
) -> None:
    """Explains a request, a backend server or a change not yet in force."""
    if version:
        body = {"version": version, "timeout_ms": 0}
        options.print_answer(options.call(at, secret_file, "/v1/wait", body))
        return
    body = {"request_id": request, "target": target}
    options.print_answer(
        _call_until_success(at, secret_file, "/v1/explain", body)
    )


@app.command()
def settings_page() -> None:
    """Prints the page that lists all settings."""
    print(page.render(), end="")


@app.command()
def log_page() -> None:
    """Prints the page that lists all log messages."""
    print(log_page_lib.render(), end="")


def main() -> None:
    """Runs the command line."""
    app()
