"""Options and output that the commands of operators share."""

import json
import pathlib
import sys
import typing

from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.operators import client
from cardamomkeel.operators import secret as secret_lib

At = typing.Annotated[
    list[str],
    typer.Option(
        "--at",
        envvar="CARDAMOMKEEL_AT",
        help="Operators' address of a process; may be given several times.",
    ),
]
SecretFile = typing.Annotated[
    pathlib.Path,
    typer.Option(
        envvar="CARDAMOMKEEL_SECRET_FILE", help="File with the secret."
    ),
]


def fail(error: errors.Error) -> typing.NoReturn:
    """Ends the command with an error and its remedy."""
    print(f"error: {error.message}\nremedy: {error.remedy}", file=sys.stderr)
    raise typer.Exit(1)


def read_secret(path: pathlib.Path) -> str:
    """Returns the secret, or ends the command with the error."""
    secret = secret_lib.read_secret(path)
    if not isinstance(secret, result.Success):
        fail(secret.failure())
    return secret.unwrap()


def call(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict
) -> dict:
    """Calls a process, or ends the command with the error."""
    done = client.call(at, read_secret(secret_file), path, body)
    if not isinstance(done, result.Success):
        fail(done.failure())
    return done.unwrap()


def show(answer: dict) -> None:
    """Prints an answer."""
    print(json.dumps(answer, indent=2, sort_keys=True))
