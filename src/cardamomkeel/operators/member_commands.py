"""The `member` commands of operators."""

import typer

from cardamomkeel.operators import commandline_options as options

app = typer.Typer(
    no_args_is_help=True, help="Shows and changes the control group."
)


@app.command(name="list")
def list_members(at: options.At, secret_file: options.SecretFile) -> None:
    """Shows the control VMs and which of them vote."""
    options.print_answer(options.call(at, secret_file, "/v1/member-list", {}))


@app.command()
def add(name: str, at: options.At, secret_file: options.SecretFile) -> None:
    """Adds a control VM to the group; start it with an empty data folder."""
    body = {"name": name}
    options.print_answer(options.call(at, secret_file, "/v1/member-add", body))


@app.command()
def remove(name: str, at: options.At, secret_file: options.SecretFile) -> None:
    """Removes a control VM; refused if the quorum would be lost."""
    body = {"name": name}
    options.print_answer(
        options.call(at, secret_file, "/v1/member-remove", body)
    )
