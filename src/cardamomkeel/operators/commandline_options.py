"""Options, calls and output that operators' commands share."""

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
        envvar="CARDAMOMKEEL_SECRET_FILE",
        help="File with the operators' secret.",
    ),
]
ChangeId = typing.Annotated[
    str, typer.Option(help="Id of the change; repeat it to resend the change.")
]
Operator = typing.Annotated[
    str, typer.Option(help="Name of who makes the change.")
]
Wait = typing.Annotated[
    bool,
    typer.Option(
        "--wait", help="Wait until the change is in force everywhere."
    ),
]

# Exit status of a change that is accepted but not in force everywhere.
EXIT_NOT_IN_FORCE = 2
# Random ids of 64 bits practically never collide.
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
    """Returns the answer to a call, or ends the command with the error."""
    answer = client.call(at, read_secret(secret_file), path, body)
    if not isinstance(answer, result.Success):
        fail(answer.failure())
    return answer.unwrap()


def print_answer(answer: dict) -> None:
    """Prints an answer as JSON."""
    print(json.dumps(answer, indent=2, sort_keys=True))


def identify_change(change_id: str, operator: str) -> dict[str, str]:
    """Returns the id and the operator of a change.

    The defaults are a random id and the user who runs the command.
    """
    return {
        "change_id": change_id or secrets.token_hex(CHANGE_ID_BYTES),
        "operator": operator or getpass.getuser(),
    }


def send_change(
    at: list[str], secret_file: pathlib.Path, path: str, body: dict, wait: bool
) -> None:
    """Sends a change and, with `wait`, waits until it is in force."""
    clk = clock.MonotonicClock()
    sent_at = clk.now()
    accepted = call(at, secret_file, path, body)
    print_answer(accepted)
    if not wait:
        return
    progress = call(
        at, secret_file, "/v1/wait", {"version": accepted["version"]}
    )
    progress["took_ms"] = int(clk.now() - sent_at)
    print_answer(progress)
    if not progress["in_force"]:
        raise typer.Exit(EXIT_NOT_IN_FORCE)
