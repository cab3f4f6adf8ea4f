"""The `rollout` commands of operators."""

import getpass
import typing

import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import listings

COLUMNS = ("service", "version", "stage", "share_ppm", "reason")

Service = typing.Annotated[str, typer.Option(help="Name of the service.")]
Version = typing.Annotated[
    str, typer.Option(help="The version that its backend servers announce.")
]
Duration = typing.Annotated[
    float, typer.Option(help="Seconds from the order to the deadline.")
]

app = typer.Typer(
    no_args_is_help=True, help="Rolls out versions of backend servers."
)


@app.command()
def start(
    at: options.At,
    secret_file: options.SecretFile,
    service: Service,
    version: Version,
    duration_s: Duration,
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Orders a roll-out; after a lost answer, send the same one again."""
    body = {
        "service": service,
        "version": version,
        "duration_s": duration_s,
        "operator": operator or getpass.getuser(),
    }
    options.send_change(at, secret_file, "/v1/rollouts/start", body, wait)


@app.command()
def show(
    at: options.At, secret_file: options.SecretFile, service: Service
) -> None:
    """Shows the newest roll-out of a service."""
    body = {"service": service}
    options.print_answer(
        options.call(at, secret_file, "/v1/rollouts/show", body)
    )


@app.command("list")
def list_all(at: options.At, secret_file: options.SecretFile) -> None:
    """Lists the newest roll-out of each service."""
    answer = options.call(at, secret_file, "/v1/rollouts/show", {})
    rows = listings.sort(COLUMNS, answer["rollouts"])
    print(listings.render(COLUMNS, rows))


@app.command()
def withdraw(
    at: options.At,
    secret_file: options.SecretFile,
    service: Service,
    operator: options.Operator = "",
    wait: options.Wait = False,
) -> None:
    """Rolls back a roll-out that runs."""
    body = {"service": service, "operator": operator or getpass.getuser()}
    options.send_change(at, secret_file, "/v1/rollouts/withdraw", body, wait)
