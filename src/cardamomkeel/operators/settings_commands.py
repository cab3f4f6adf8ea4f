"""The commands of operators that check, show and change settings."""

import enum
import pathlib
import typing

import pydantic
from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.settings import services

BaseRevision = typing.Annotated[
    int,
    typer.Option(
        help="Revision of the settings text that the change is based on."
    ),
]
Service = typing.Annotated[str, typer.Argument(help="Name of a service.")]


class SettingsKind(enum.Enum):
    """The program that the settings of a file belong to."""

    SERVICES = "services"
    ENTRY = "entry"
    CONTROL = "control"
    GATEWAY = "gateway"


MODELS: dict[SettingsKind, type[pydantic.BaseModel]] = {
    SettingsKind.SERVICES: services.ServicesText,
    SettingsKind.ENTRY: process.EntrySettings,
    SettingsKind.CONTROL: process.ControlSettings,
    SettingsKind.GATEWAY: process.GatewaySettings,
}


def check(
    path: pathlib.Path,
    of: typing.Annotated[
        SettingsKind, typer.Option(help="Program that the settings belong to.")
    ] = SettingsKind.SERVICES,
) -> None:
    """Checks settings without applying them; exits with 1 if wrong."""
    checked = reader.read_file(path, MODELS[of])
    if not isinstance(checked, result.Success):
        options.fail(checked.failure())
    print(f"{path} is well-formed")


def show(
    at: options.At,
    secret_file: options.SecretFile,
    text: typing.Annotated[
        bool, typer.Option("--text", help="Print only the settings text.")
    ] = False,
) -> None:
    """Shows the configuration in force, with all entries and targets."""
    answer = options.call(at, secret_file, "/v1/show", {})
    if not text:
        options.print_answer(answer)
        return
    for record in answer.get("records", []):
        if "settings" in record:
            print(record["settings"]["text"], end="")


def apply(
    path: pathlib.Path,
    at: options.At,
    secret_file: options.SecretFile,
    base_revision: BaseRevision,
    change_id: options.ChangeId = "",
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Replaces the settings text."""
    checked = reader.read_file(path, services.ServicesText)
    if not isinstance(checked, result.Success):
        options.fail(checked.failure())
    body = {
        # Unchanged, with its line endings.
        "text": path.read_bytes().decode("utf-8"),
        "base_revision": base_revision,
        **options.identify_change(change_id, operator),
    }
    options.send_change(at, secret_file, "/v1/apply", body, wait)


def set_values(
    service: Service,
    values: typing.Annotated[
        list[str], typer.Argument(help="Settings, each as name=value.")
    ],
    at: options.At,
    secret_file: options.SecretFile,
    base_revision: BaseRevision,
    change_id: options.ChangeId = "",
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Changes settings of one service and keeps the rest of the text."""
    body = {
        "service": service,
        "values": dict(_read_value(value) for value in values),
        "base_revision": base_revision,
        **options.identify_change(change_id, operator),
    }
    options.send_change(at, secret_file, "/v1/set", body, wait)


def unset(
    service: Service,
    names: typing.Annotated[
        list[str], typer.Argument(help="Names of settings.")
    ],
    at: options.At,
    secret_file: options.SecretFile,
    base_revision: BaseRevision,
    change_id: options.ChangeId = "",
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Resets settings of one service to their defaults."""
    body = {
        "service": service,
        "removed": names,
        "base_revision": base_revision,
        **options.identify_change(change_id, operator),
    }
    options.send_change(at, secret_file, "/v1/set", body, wait)


def _read_value(assignment: str) -> tuple[str, typing.Any]:
    name, equals, value = assignment.partition("=")
    try:
        if equals:
            return name, reader.load(value)
    except ValueError:
        pass
    return options.fail(
        errors.SettingsError(
            f"{assignment!r} is no setting with a value",
            "write name=value with a value in JSON, as slots=4, "
            "idempotent=true or 'depends_on=[\"dossier\"]'",
        )
    )


def add_commands(app: typer.Typer) -> None:
    """Adds the commands to the command line."""
    app.command()(check)
    app.command()(show)
    app.command()(apply)
    app.command(name="set")(set_values)
    app.command()(unset)
