"""The command line of operators."""

import enum
import getpass
import pathlib
import secrets
import typing

import pydantic
from returns import result
import typer

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.operators import client
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import history_command
from cardamomkeel.operators import listings
from cardamomkeel.operators import member_commands
from cardamomkeel.operators import resolutions
from cardamomkeel.operators import status_command
from cardamomkeel.settings import page
from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.settings import services

RequestId = typing.Annotated[
    str, typer.Option(help="The cardamomkeel-request-id of an answer.")
]
TargetAddress = typing.Annotated[
    str, typer.Option(help="Address of a backend server.")
]
Version = typing.Annotated[
    int, typer.Option(help="The version that a change was accepted as.")
]

STATUS_NOT_IN_FORCE = 2

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="Changes, checks and explains a running cardamomkeel.",
)
app.add_typer(member_commands.app, name="member")
app.command()(status_command.status)
app.command()(history_command.history)


ChangeId = typing.Annotated[
    str, typer.Option(help="Give the same one to resend a change.")
]
Operator = typing.Annotated[str, typer.Option(help="Who makes the change.")]
WaitOption = typing.Annotated[
    bool, typer.Option("--wait", help="Return once it is in force everywhere.")
]


def _call_any(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict
) -> dict:
    """Asks the processes named until one knows the answer."""
    secret = options.read_secret(secret_file)
    for address in at:
        done = client.call([address], secret, path, body)
        if isinstance(done, result.Success):
            return done.unwrap()
    return options.fail(done.failure())


def _change(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict, wait: bool
) -> None:
    """Has a change accepted, and waits for it where asked to."""
    clk = clock.MonotonicClock()
    sent_at = clk.now()
    done = options.call(at, secret_file, path, body)
    options.show(done)
    if not wait:
        return
    waited = options.call(
        at, secret_file, "/v1/wait", {"version": done["version"]}
    )
    waited["took_ms"] = int(clk.now() - sent_at)
    options.show(waited)
    if not waited["in_force"]:
        raise typer.Exit(STATUS_NOT_IN_FORCE)


def _read_text(path: pathlib.Path) -> str:
    checked = reader.read_file(path, services.ServicesText)
    if not isinstance(checked, result.Success):
        options.fail(checked.failure())
    return path.read_text(encoding="utf-8")


class Program(enum.Enum):
    """Whose settings a file holds."""

    SERVICES = "services"
    ENTRY = "entry"
    CONTROL = "control"


MODELS: dict[Program, type[pydantic.BaseModel]] = {
    Program.SERVICES: services.ServicesText,
    Program.ENTRY: process.EntrySettings,
    Program.CONTROL: process.ControlSettings,
}


@app.command()
def check(
    path: pathlib.Path,
    of: typing.Annotated[
        Program, typer.Option(help="Whose settings they are.")
    ] = Program.SERVICES,
) -> None:
    """Checks settings without applying them; status 1 where wrong."""
    checked = reader.read_file(path, MODELS[of])
    if not isinstance(checked, result.Success):
        options.fail(checked.failure())
    print(f"{path} is well-formed")


@app.command()
def show(
    at: options.At,
    secret_file: options.SecretFile,
    text: typing.Annotated[
        bool, typer.Option("--text", help="Only the settings text.")
    ] = False,
) -> None:
    """Shows the configuration in force and who serves it."""
    answer = options.call(at, secret_file, "/v1/show", {})
    if not text:
        options.show(answer)
        return
    for record in answer.get("records", []):
        if "settings" in record:
            print(record["settings"]["text"])


@app.command()
def apply(
    path: pathlib.Path,
    at: options.At,
    secret_file: options.SecretFile,
    base_revision: typing.Annotated[
        int, typer.Option(help="The revision that the change was made from.")
    ],
    change_id: ChangeId = "",
    operator: Operator = "",
    wait: WaitOption = False,
) -> None:
    """Replaces the settings text."""
    body = {
        "text": _read_text(path),
        "base_revision": base_revision,
        "change_id": change_id or secrets.token_hex(8),
        "operator": operator or getpass.getuser(),
    }
    _change(at, secret_file, "/v1/apply", body, wait)


def _out_body(
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
        "change_id": change_id or secrets.token_hex(8),
        "operator": operator or getpass.getuser(),
    }


@app.command()
def take_out(
    at: options.At,
    secret_file: options.SecretFile,
    data_centre: str = "",
    server: str = "",
    change_id: ChangeId = "",
    operator: Operator = "",
    force: bool = False,
    wait: WaitOption = False,
) -> None:
    """Takes a data centre or a backend server out of service."""
    body = _out_body(data_centre, server, change_id, operator)
    body["force"] = force
    _change(at, secret_file, "/v1/take-out", body, wait)


@app.command()
def bring_back(
    at: options.At,
    secret_file: options.SecretFile,
    data_centre: str = "",
    server: str = "",
    change_id: ChangeId = "",
    operator: Operator = "",
    wait: WaitOption = False,
) -> None:
    """Brings a data centre or a backend server back into service."""
    body = _out_body(data_centre, server, change_id, operator)
    _change(at, secret_file, "/v1/bring-back", body, wait)


@app.command()
def dump(at: options.At, secret_file: options.SecretFile) -> None:
    """Shows the state of one process."""
    options.show(options.call(at, secret_file, "/dump", {}))


resolutions.add_commands(
    app, options.call, options.show, options.At, options.SecretFile
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
    """Lists the backend servers that have announced themselves."""
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
    """Explains a request, a backend server or a late change."""
    if version:
        body = {"version": version, "timeout_ms": 0}
        options.show(options.call(at, secret_file, "/v1/wait", body))
        return
    body = {"request_id": request, "target": target}
    options.show(_call_any(at, secret_file, "/v1/explain", body))


@app.command()
def settings_page() -> None:
    """Prints the page that lists all settings."""
    print(page.render(), end="")


def main() -> None:
    """Runs the command line."""
    app()
