"""The `accounts` commands of operators."""

import collections.abc
import os
import pathlib
import secrets
import typing

from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.accounts import credentials
from cardamomkeel.accounts import digests
from cardamomkeel.accounts import text_edit
from cardamomkeel.operators import commandline_options as options
from cardamomkeel.routes import text as text_lib

# The digits of a digest that `list` shows; enough to tell keys apart.
SHOWN_DIGITS = 8
KEY_BYTES = 24

KeyFile = typing.Annotated[
    pathlib.Path,
    typer.Option(help="File with the key; nothing of it is printed."),
]

app = typer.Typer(
    no_args_is_help=True, help="Lists accounts, adds and withdraws their keys."
)


def _show(at: list[str], secret_file: pathlib.Path) -> tuple[int, str]:
    """Returns the number and the text of the routes in force."""
    answer = options.call(at, secret_file, "/v1/routes/show", {})
    return answer["number"], answer["text"]


def _read_digest(path: pathlib.Path) -> str:
    """Returns the digest of the key in a file, or ends the command."""
    try:
        key = path.read_bytes().strip()
    except OSError as exc:
        options.fail(
            errors.SettingsError(
                f"the key file {path} can't be read: {exc.strerror}",
                "name a file that is readable",
            )
        )
    found = credentials.read([(b"authorization", b"Bearer " + key)])
    if found.fault:
        options.fail(
            errors.SettingsError(
                f"{path} holds no key that can be sent as a bearer token",
                "a key is one line of visible ASCII characters, at most "
                f"{credentials.MAX_KEY_BYTES}",
            )
        )
    return digests.make(key)


def _make_key(path: pathlib.Path) -> None:
    """Writes a new key to a file that only its owner may read."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with open(os.open(path, flags, 0o600), "w", encoding="ascii") as file:
            file.write(secrets.token_urlsafe(KEY_BYTES) + "\n")
    except OSError as exc:
        options.fail(
            errors.SettingsError(
                f"the key file {path} can't be written: {exc.strerror}",
                "name a file in a folder that is writable",
            )
        )


@app.command(name="list")
def list_accounts(at: options.At, secret_file: options.SecretFile) -> None:
    """Lists the accounts, with the begin of the digests of their keys."""
    number, text = _show(at, secret_file)
    accounts = ()
    if number:
        parsed = text_lib.parse(text, text_edit.SOURCE)
        if not isinstance(parsed, result.Success):
            options.fail(parsed.failure())
        accounts = parsed.unwrap().document.accounts or ()
    rows = [
        {
            "name": account.name,
            "keys": [d[:SHOWN_DIGITS] for d in account.key_digests],
            "priority": account.priority,
            "rate_per_s": account.rate_per_s,
            "burst": account.burst,
        }
        for account in accounts
    ]
    options.print_answer({"number": number, "accounts": rows})


def _apply(
    at: list[str],
    secret_file: pathlib.Path,
    edit: collections.abc.Callable[[str], text_edit.Result],
    wait: bool,
) -> None:
    number, text = _show(at, secret_file)
    edited = edit(text)
    if not isinstance(edited, result.Success):
        options.fail(edited.failure())
    body = {
        "text": edited.unwrap(),
        "number": number + 1,
        "base_number": number,
    }
    options.send_change(at, secret_file, "/v1/routes/apply", body, wait)


@app.command()
def add_key(
    name: str,
    key_file: KeyFile,
    at: options.At,
    secret_file: options.SecretFile,
    wait: options.Wait = False,
) -> None:
    """Adds a key to an account; makes a new one if the file is not there."""
    if not key_file.exists():
        _make_key(key_file)
    digest = _read_digest(key_file)
    _apply(
        at,
        secret_file,
        lambda text: text_edit.add_key(text, name, digest),
        wait,
    )


@app.command()
def withdraw_key(
    name: str,
    key_file: KeyFile,
    at: options.At,
    secret_file: options.SecretFile,
    wait: options.Wait = False,
) -> None:
    """Withdraws a key from an account; requests with it are refused."""
    digest = _read_digest(key_file)
    _apply(
        at,
        secret_file,
        lambda text: text_edit.withdraw_key(text, name, digest),
        wait,
    )
