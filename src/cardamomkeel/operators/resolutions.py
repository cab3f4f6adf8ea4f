"""Operators' calls and commands for unknown outcomes and quarantines."""

import dataclasses
import enum
import getpass
import secrets
import typing

import pydantic
from returns import result
import typer

from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# Long enough to include an election of the control group.
COMMIT_TIMEOUT_MS = 5000.0
FINGERPRINT = r"^[0-9a-f]{32}$"


class ResolvedOutcome(enum.Enum):
    """Whether a request of unknown outcome ran, as an operator found out."""

    RAN = "ran"
    DID_NOT_RUN = "did-not-run"


_STATES = {
    ResolvedOutcome.RAN: control_pb2.CLAIM_ANSWERED,
    ResolvedOutcome.DID_NOT_RUN: control_pb2.CLAIM_RELEASED,
}


class Resolution(process.Strict):
    """The outcome of an unknown request, or a quarantine to lift."""

    service: str = ""
    key: str = ""
    ran: ResolvedOutcome | None = None
    fingerprint: str = pydantic.Field("", pattern=rf"{FINGERPRINT}|^$")
    change_id: str = pydantic.Field(min_length=8)
    operator: str = pydantic.Field(min_length=1)

    @pydantic.model_validator(mode="after")
    def _check_names(self) -> "Resolution":
        named = bool(self.service and self.key and self.ran)
        if named == bool(self.fingerprint):
            raise ValueError(
                "name either service, key and whether it ran, or a fingerprint"
            )
        return self


@dataclasses.dataclass
class ResolutionHandlers:
    """Lists unresolved requests, and commits operators' resolutions."""

    control: client_lib.ControlClient

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {
            "/v1/unknown": self.list_unresolved,
            "/v1/resolve": self.resolve,
        }

    async def list_unresolved(self, body: app_lib.Body) -> result.Result:
        """Lists requests of unknown outcome, and those in quarantine."""
        read = await self.control.read(
            control_pb2.ReadRequest(key="quarantine/", list_unknown=True),
            COMMIT_TIMEOUT_MS,
        )
        return read.map(_describe_unresolved)

    async def resolve(self, body: app_lib.Body) -> result.Result:
        """Resolves one unknown outcome, or lifts one quarantine."""
        try:
            resolution = Resolution.model_validate(body)
        except pydantic.ValidationError as exc:
            return result.Failure(
                errors.SettingsError(
                    f"wrong call: {exc.errors()[0]['msg']}",
                    "see `cardamomkeel unknown list` for what is open",
                )
            )
        proposed = await self.control.propose(
            [control_pb2.Command(resolve=_make_command(resolution))],
            COMMIT_TIMEOUT_MS,
        )
        return proposed.bind(lambda results: _describe_result(results[0]))


def _make_command(resolution: Resolution) -> control_pb2.Resolve:
    return control_pb2.Resolve(
        change_id=resolution.change_id,
        service=resolution.service,
        key=resolution.key,
        state=_STATES.get(resolution.ran, control_pb2.CLAIM_NONE),
        fingerprint=bytes.fromhex(resolution.fingerprint),
        operator=resolution.operator,
    )


def _describe_result(
    committed: control_pb2.CommandResult,
) -> result.Result[app_lib.Body, errors.Error]:
    if committed.status == control_pb2.STATUS_OK:
        return result.Success({"resolved": True, "version": committed.version})
    return result.Failure(
        errors.ConflictError(
            committed.message, "see `cardamomkeel unknown list`"
        )
    )


def _describe_unresolved(reply: control_pb2.ReadReply) -> app_lib.Body:
    rows = [record.quarantine for record in reply.records]
    return {
        "unknown": [
            {"service": claim.service, "key": claim.key}
            for claim in reply.unknown_claims
        ],
        "quarantines": [
            {
                "service": row.service,
                "fingerprint": row.fingerprint.hex(),
                "targets": list(row.targets),
            }
            for row in rows
            if row.active
        ],
    }


def add_commands(
    app: typer.Typer,
    call: typing.Callable[..., app_lib.Body],
    show: typing.Callable[[app_lib.Body], None],
    at_type: typing.Any,
    secret_file_type: typing.Any,
) -> None:
    """Adds `unknown list` and `resolve` to the command line.

    Args:
        app: The command line that gets the commands.
        call: Calls a process.
        show: Prints the answer.
        at_type: The option that names processes.
        secret_file_type: The option that names the secret's file.
    """
    unknown = typer.Typer(
        no_args_is_help=True, help="Lists requests of unknown outcome."
    )
    app.add_typer(unknown, name="unknown")

    @unknown.callback()
    def _callback() -> None:
        """Lists requests of unknown outcome."""

    @unknown.command("list")
    def list_unresolved(at: at_type, secret_file: secret_file_type) -> None:
        """Lists requests of unknown outcome, and those in quarantine."""
        show(call(at, secret_file, "/v1/unknown", {}))

    @app.command()
    def resolve(
        at: at_type,
        secret_file: secret_file_type,
        service: str = "",
        key: str = "",
        ran: ResolvedOutcome | None = None,
        fingerprint: str = "",
        change_id: str = "",
        operator: str = "",
    ) -> None:
        """Resolves whether an unknown request ran, or lifts a quarantine."""
        body = {
            "service": service,
            "key": key,
            "fingerprint": fingerprint,
            "change_id": change_id or secrets.token_hex(8),
            "operator": operator or getpass.getuser(),
        }
        if ran is not None:
            body["ran"] = ran.value
        show(call(at, secret_file, "/v1/resolve", body))
