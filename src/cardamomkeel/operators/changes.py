"""What operators ask of a control VM."""

import dataclasses
import difflib

import anyio
from google.protobuf import json_format
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.settings import services
from cardamomkeel.wire import control_pb2

COMMIT_TIMEOUT_MS = 5000.0
PROGRESS_PAUSE_MS = 50.0


class Apply(process.Strict):
    """A new settings text."""

    text: str
    base_revision: int
    change_id: str = pydantic.Field(min_length=8)
    operator: str


class Out(process.Strict):
    """A data centre, or one backend server, to take out or bring back."""

    data_centre: str = ""
    address: str = ""
    change_id: str = pydantic.Field(min_length=8)
    operator: str
    force: bool = False


class Wait(process.Strict):
    """A version of the state to wait for."""

    version: int
    timeout_ms: int = 10_000


@dataclasses.dataclass
class Changes:
    """Has operators' changes committed by whichever control VM leads."""

    control: client_lib.ControlClient
    clk: clock.Clock

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {
            "/v1/show": self.show,
            "/v1/apply": self.apply,
            "/v1/take-out": self.take_out,
            "/v1/bring-back": self.bring_back,
            "/v1/wait": self.wait,
        }

    async def show(self, body: app_lib.Body) -> result.Result:
        """Returns the whole configuration and who serves it."""
        read = await self.control.read(
            control_pb2.ReadRequest(), COMMIT_TIMEOUT_MS
        )
        return read.map(
            lambda reply: json_format.MessageToDict(
                reply, preserving_proto_field_name=True
            )
        )

    async def apply(self, body: app_lib.Body) -> result.Result:
        """Replaces the settings text."""
        asked = bodies.validate(Apply, body)
        if not isinstance(asked, result.Success):
            return asked
        change = asked.unwrap()
        checked = reader.parse(
            change.text, services.ServicesText, "the new settings text"
        )
        if not isinstance(checked, result.Success):
            return checked
        command = control_pb2.Command(
            change_settings=control_pb2.ChangeSettings(**change.model_dump())
        )
        return await self._commit(command, change.text)

    async def take_out(self, body: app_lib.Body) -> result.Result:
        """Takes a data centre or a backend server out of service."""
        asked = bodies.validate(Out, body)
        if not isinstance(asked, result.Success):
            return asked
        out = asked.unwrap()
        return await self._commit(
            control_pb2.Command(
                take_out=control_pb2.TakeOut(**out.model_dump())
            ),
            remedy="bring others back first, or use --force",
        )

    async def bring_back(self, body: app_lib.Body) -> result.Result:
        """Brings a data centre or a backend server back into service."""
        asked = bodies.validate(Out, body)
        if not isinstance(asked, result.Success):
            return asked
        fields = asked.unwrap().model_dump(exclude={"force"})
        return await self._commit(
            control_pb2.Command(bring_back=control_pb2.BringBack(**fields)),
            remedy="see with `show` what is taken out",
        )

    async def wait(self, body: app_lib.Body) -> result.Result:
        """Waits until a version is in force everywhere."""
        asked = bodies.validate(Wait, body)
        if not isinstance(asked, result.Success):
            return asked
        wait = asked.unwrap()
        started = self.clk.now()
        until = started + wait.timeout_ms
        while True:
            read = await self.control.read(
                control_pb2.ReadRequest(key="-", version=wait.version),
                COMMIT_TIMEOUT_MS,
            )
            if not isinstance(read, result.Success):
                return read
            late = read.unwrap().progress
            cut_off = [entry.name for entry in late if entry.lease_over]
            missing = [entry.name for entry in late if not entry.lease_over]
            if not missing or self.clk.now() >= until:
                return result.Success(
                    {
                        "in_force": not missing,
                        "late": missing,
                        "without_lease": cut_off,
                        "waited_ms": int(self.clk.now() - started),
                    }
                )
            await anyio.sleep(clock.seconds(PROGRESS_PAUSE_MS))

    async def _commit(
        self,
        command: control_pb2.Command,
        text: str = "",
        remedy: str = "see `show`",
    ) -> result.Result[app_lib.Body, errors.Error]:
        done = await self.control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            return done
        outcome = done.unwrap()[0]
        if outcome.status == control_pb2.STATUS_CONFLICT:
            return result.Failure(_conflict(outcome, text))
        if outcome.status != control_pb2.STATUS_OK:
            return result.Failure(errors.ConflictError(outcome.message, remedy))
        return result.Success(
            {"revision": outcome.revision, "version": outcome.version}
        )


def _conflict(
    outcome: control_pb2.CommandResult, text: str
) -> errors.ConflictError:
    difference = "\n".join(
        difflib.unified_diff(
            outcome.text.splitlines(),
            text.splitlines(),
            f"revision {outcome.revision} by {outcome.operator}",
            "your text",
            lineterm="",
        )
    )
    return errors.ConflictError(
        f"{outcome.message}\n{difference}",
        "take revision "
        f"{outcome.revision} with `show`, make your change in it and apply "
        "that",
    )
