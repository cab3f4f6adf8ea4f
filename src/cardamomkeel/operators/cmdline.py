"""The command line of operators."""

import getpass
import pathlib
import secrets
import typing

from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import member_commands
from cardamomkeel.operators import resolutions
from cardamomkeel.settings import reader
from cardamomkeel.settings import services

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


def _finish(
    at: list[str], secret_file: pathlib.Path, done: dict, wait: bool
) -> None:
    """Reports an accepted change and waits for it where asked to."""
    _print(done)
    if not wait:
        return
    waited = _call(at, secret_file, "/v1/wait", {"version": done["version"]})
    _print(waited)
    if not waited["in_force"]:
        raise typer.Exit(2)


def _read_text(path: pathlib.Path) -> str:
    checked = reader.read_file(path, services.ServicesText)
    if not isinstance(checked, result.Success):
        _fail(checked.failure())
    return path.read_text(encoding="utf-8")


@app.command()
def check(path: pathlib.Path) -> None:
    """Checks a settings text without applying it."""
    _read_text(path)
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
    done = _call(at, secret_file, "/v1/apply", body)
    _finish(at, secret_file, done, wait)


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
    done = _call(at, secret_file, "/v1/take-out", body)
    _finish(at, secret_file, done, wait)


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
    done = _call(at, secret_file, "/v1/bring-back", body)
    _finish(at, secret_file, done, wait)


@app.command()
def dump(at: At, secret_file: SecretFile) -> None:
    """Shows the state of one process."""
    _print(_call(at, secret_file, "/dump", {}))


resolutions.add_commands(app, _call, _print, At, SecretFile)


def main() -> None:
    """Runs the command line."""
    app()
