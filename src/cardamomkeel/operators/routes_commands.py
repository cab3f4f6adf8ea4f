"""The `routes` commands of operators."""

import pathlib
import typing

from returns import result
import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.routes import text as text_lib
from cardamomkeel.settings import reader

BaseNumber = typing.Annotated[
    int, typer.Option(help="Number of the routes that these replace.")
]
Number = typing.Annotated[
    int,
    typer.Option(
        help="Number of these routes; by default one above --base-number."
    ),
]

app = typer.Typer(
    no_args_is_help=True, help="Checks, changes and shows routes."
)


def _read(path: pathlib.Path) -> text_lib.RoutesText:
    """Returns checked routes, or ends the command with the error."""
    read = reader.read_text(path)
    parsed = read.bind(lambda text: text_lib.parse(text, str(path)))
    if not isinstance(parsed, result.Success):
        options.fail(parsed.failure())
    return parsed.unwrap()


@app.command()
def check(path: pathlib.Path) -> None:
    """Checks routes without applying them; exits with 1 if they are wrong."""
    _read(path)
    print(f"{path} is well-formed")


@app.command()
def show(
    at: options.At,
    secret_file: options.SecretFile,
    text: typing.Annotated[
        bool, typer.Option("--text", help="Print only the text.")
    ] = False,
) -> None:
    """Shows the routes in force and their number."""
    answer = options.call(at, secret_file, "/v1/routes/show", {})
    if text:
        print(answer["text"], end="")
    else:
        options.print_answer(answer)


@app.command()
def apply(
    path: pathlib.Path,
    at: options.At,
    secret_file: options.SecretFile,
    base_number: BaseNumber,
    number: Number = 0,
    wait: options.Wait = False,
) -> None:
    """Replaces the routes; after a lost answer, send the same ones again."""
    body = {
        "text": _read(path).text,
        "number": number or base_number + 1,
        "base_number": base_number,
    }
    options.send_change(at, secret_file, "/v1/routes/apply", body, wait)
