"""The `routes` commands of operators."""

import pathlib
import typing

from returns import result
import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import routes_report
from cardamomkeel.routes import document as document_lib
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


def _read_in_force(
    against: pathlib.Path | None, at: list[str], secret_file: pathlib.Path
) -> document_lib.RoutesDocument | None:
    """Returns the routes to compare with, or None if none are named."""
    if against is not None:
        return _read(against).document
    if not at:
        return None
    answer = options.call(at, secret_file, "/v1/routes/show", {})
    if not answer["number"]:
        return document_lib.RoutesDocument((), {})
    parsed = text_lib.parse(answer["text"], "the routes in force")
    if not isinstance(parsed, result.Success):
        options.fail(parsed.failure())
    return parsed.unwrap().document


@app.command()
def check(
    path: pathlib.Path,
    against: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Show what differs from the routes of this file."),
    ] = None,
    in_force: typing.Annotated[
        bool,
        typer.Option(
            "--in-force", help="Show what differs from the routes in force."
        ),
    ] = False,
    at: options.At = (),
    secret_file: options.SecretFile = pathlib.Path(),
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Checks routes without applying them.

    Exits with 0 if nothing is found, with 1 if the routes are invalid, and
    with 2 if they are valid but hold entries that can never match or limits
    that contradict each other.
    """
    read = reader.read_text(path)
    if not isinstance(read, result.Success):
        options.fail(read.failure())
    report = routes_report.Report(str(path), read.unwrap())
    parsed = text_lib.parse(report.text, str(path))
    if isinstance(parsed, result.Success):
        compared = _read_in_force(against, at if in_force else [], secret_file)
        routes_report.check(report, parsed.unwrap().document, compared)
    else:
        report.error = parsed.failure()
    print(report.render_json() if as_json else report.render())
    raise typer.Exit(report.status)


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
