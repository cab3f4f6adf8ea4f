"""Checks a configuration of the platform before it is sent.

`python3 -m cardamomkeel.platform.check NEW --against OLD` reports what
`cardamomkeel routes check` reports of routes, with the exit statuses of that
command.
"""

import pathlib
import typing

import orjson
from returns import result
import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import routes_report
from cardamomkeel.platform import configurations
from cardamomkeel.settings import positions
from cardamomkeel.settings import reader

# The tables of a configuration, by the name of the list in the document.
_TABLES = {"routes": "routes", "services": "services", "accounts": "tenants"}
_LIMITS = {
    "header_bytes": "max-header-bytes",
    "body_bytes": "max-body-bytes",
    "header_ms": "header-timeout-ms",
    "idle_ms": "idle-timeout-ms",
}


def _make_path_mapper(text: str) -> routes_report.PathMapper:
    """Returns what maps paths in the document to rows of the configuration."""
    services = orjson.loads(text)["services"]
    name_column = services["columns"].index("name")
    rows = {row[name_column]: i for i, row in enumerate(services["rows"])}

    def to_text_path(path: positions.Path) -> positions.Path:
        table = str(path[0])
        if table == "limits":
            return ("limits", _LIMITS[str(path[1])])
        if len(path) == 1:
            return (_TABLES[table],)
        row = rows[str(path[1])] if table == "services" else path[1]
        return (_TABLES[table], "rows", row)

    return to_text_path


def _read_text(path: pathlib.Path) -> str:
    read = reader.read_text(path)
    if not isinstance(read, result.Success):
        options.fail(read.failure())
    return read.unwrap()


def check(
    path: pathlib.Path,
    against: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help="Show what differs from this configuration."),
    ] = None,
    as_json: typing.Annotated[
        bool, typer.Option("--json", help="Print JSON.")
    ] = False,
) -> None:
    """Checks a configuration; exits with 0, 1 or 2 as `routes check` does."""
    report = routes_report.Report(str(path), _read_text(path))
    parsed = configurations.parse(report.text.encode())
    if isinstance(parsed, result.Success):
        report.to_text_path = _make_path_mapper(report.text)
        in_force = None
        if against is not None:
            earlier = configurations.parse(_read_text(against).encode())
            if not isinstance(earlier, result.Success):
                options.fail(earlier.failure())
            in_force = earlier.unwrap().document
        routes_report.check(report, parsed.unwrap().document, in_force)
    else:
        report.error = parsed.failure()
    print(report.render_json() if as_json else report.render())
    raise typer.Exit(report.status)


if __name__ == "__main__":
    typer.run(check)
