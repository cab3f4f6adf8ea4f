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
from cardamomkeel.operators import listings
from cardamomkeel.operators import member_commands
from cardamomkeel.operators import resolutions
from cardamomkeel.operators import secret as secret_lib
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

At = options.At
SecretFile = options.SecretFile
_call = options.call
_fail = options.fail
_print = options.show

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
    secret = secret_lib.read_secret(secret_file)
    if not isinstance(secret, result.Success):
        _fail(secret.failure())
    for address in at:
        done = client.call([address], secret.unwrap(), path, body)
        if isinstance(done, result.Success):
            return done.unwrap()
    return _fail(done.failure())


def _change(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict, wait: bool
) -> None:
    """Has a change accepted, and waits for it where asked to."""
    clk = clock.MonotonicClock()
    sent_at = clk.now()
    done = _call(at, secret_file, path, body)
    _print(done)
    if not wait:
        return
    waited = _call(at, secret_file, "/v1/wait", {"version": done["version"]})
    waited["took_ms"] = int(clk.now() - sent_at)
    _print(waited)
    if not waited["in_force"]:
        raise typer.Exit(STATUS_NOT_IN_FORCE)


def _read_text(path: pathlib.Path) -> str:
    checked = reader.read_file(path, services.ServicesText)
    if not isinstance(checked, result.Success):
        _fail(checked.failure())
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
        _fail(checked.failure())
    print(f"{path} is well-formed")


@app.command()
def show(
    at: At,
    secret_file: SecretFile,
    text: typing.Annotated[
        bool, typer.Option("--text", help="Only the settings text.")
    ] = False,
) -> None:
    """Shows the configuration in force and who serves it."""
    answer = _call(at, secret_file, "/v1/show", {})
    if not text:
        _print(answer)
        return
    for record in answer.get("records", []):
        if "settings" in record:
            print(record["settings"]["text"])


@app.command()
def apply(
    path: pathlib.Path,
    at: At,
    secret_file: SecretFile,
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
        _fail(
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
    at: At,
    secret_file: SecretFile,
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
    at: At,
    secret_file: SecretFile,
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
def dump(at: At, secret_file: SecretFile) -> None:
    """Shows the state of one process."""
    _print(_call(at, secret_file, "/dump", {}))


resolutions.add_commands(app, _call, _print, At, SecretFile)


@app.command()
def entries(at: At, secret_file: SecretFile) -> None:
    """Lists the entries."""
    rows = listings.list_entries(_call(at, secret_file, "/v1/show", {}))
    print(listings.render(listings.ENTRY_COLUMNS, rows))


@app.command()
def targets(at: At, secret_file: SecretFile) -> None:
    """Lists the backend servers that have announced themselves."""
    rows = listings.list_targets(_call(at, secret_file, "/v1/show", {}))
    print(listings.render(listings.TARGET_COLUMNS, rows))


@app.command()
def explain(
    at: At,
    secret_file: SecretFile,
    request: RequestId = "",
    target: TargetAddress = "",
    version: Version = 0,
) -> None:
    """Explains a request, a backend server or a late change."""
    if version:
        body = {"version": version, "timeout_ms": 0}
        _print(_call(at, secret_file, "/v1/wait", body))
        return
    body = {"request_id": request, "target": target}
    _print(_call_any(at, secret_file, "/v1/explain", body))


@app.command()
def settings_page() -> None:
    """Prints the page that lists all settings."""
    print(page.render(), end="")


def main() -> None:
    """Runs the command line."""
    app()
