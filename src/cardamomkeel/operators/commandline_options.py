"""Options and output that the commands of operators share."""

import getpass
import json
import pathlib
import secrets
import sys
import typing

from returns import result
import typer

from cardamomkeel import clock
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

ChangeId = typing.Annotated[
    str, typer.Option(help="Give the same one to resend a change.")
]
Operator = typing.Annotated[str, typer.Option(help="Who makes the change.")]
Wait = typing.Annotated[
    bool, typer.Option("--wait", help="Return once it is in force everywhere.")
]

# The exit status of a change that is accepted and not in force everywhere.
EXIT_NOT_IN_FORCE = 2
# Ids that never meet by chance.
CHANGE_ID_BYTES = 8


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


def print_answer(answer: dict) -> None:
    """Prints an answer."""
    print(json.dumps(answer, indent=2, sort_keys=True))


def identify_change(change_id: str, operator: str) -> dict[str, str]:
    """Returns who makes a change, and the id that tells it from others."""
    return {
        "change_id": change_id or secrets.token_hex(CHANGE_ID_BYTES),
        "operator": operator or getpass.getuser(),
    }


def send_change(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict, wait: bool
) -> None:
    """Has a change accepted, and waits for it where asked to."""
    clk = clock.MonotonicClock()
    sent_at = clk.now()
    done = call(at, secret_file, path, body)
    print_answer(done)
    if not wait:
        return
    waited = call(at, secret_file, "/v1/wait", {"version": done["version"]})
    waited["took_ms"] = int(clk.now() - sent_at)
    print_answer(waited)
    if not waited["in_force"]:
        raise typer.Exit(EXIT_NOT_IN_FORCE)
