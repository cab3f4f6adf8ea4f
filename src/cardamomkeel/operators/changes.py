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
from cardamomkeel.operators import validation
from cardamomkeel.settings import process
from cardamomkeel.settings import reader
from cardamomkeel.settings import services
from cardamomkeel.wire import control_pb2

COMMIT_TIMEOUT_MS = 5000.0
PROGRESS_PAUSE_MS = 50.0

_validate = validation.validate


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
        asked = _validate(Apply, body)
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
        asked = _validate(Out, body)
        if not isinstance(asked, result.Success):
            return asked
        out = asked.unwrap()
        if not out.force:
            refused = await self._check_rest(out)
            if refused is not None:
                return result.Failure(refused)
        return await self._commit(
            control_pb2.Command(
                take_out=control_pb2.TakeOut(**out.model_dump())
            )
        )

    async def bring_back(self, body: app_lib.Body) -> result.Result:
        """Brings a data centre or a backend server back into service."""
        asked = _validate(Out, body)
        if not isinstance(asked, result.Success):
            return asked
        fields = asked.unwrap().model_dump(exclude={"force"})
        return await self._commit(
            control_pb2.Command(bring_back=control_pb2.BringBack(**fields))
        )

    async def _check_rest(self, out: Out) -> errors.Error | None:
        """Returns why a service would be left without a target, if so."""
        read = await self.control.read(
            control_pb2.ReadRequest(), COMMIT_TIMEOUT_MS
        )
        if not isinstance(read, result.Success):
            return read.failure()
        records = read.unwrap().records
        outs = [r.out for r in records if r.HasField("out")]
        outs.append(
            control_pb2.OutRecord(
                data_centre=out.data_centre, address=out.address
            )
        )
        targets = [r.target for r in records if r.HasField("target")]
        named = {target.service for target in targets}
        left = {t.service for t in targets if not _is_out(t, outs)}
        if named <= left:
            return None
        return errors.ConflictError(
            "these services would have no target left: "
            + ", ".join(sorted(named - left)),
            "bring others back first, or use --force",
        )

    async def wait(self, body: app_lib.Body) -> result.Result:
        """Waits until a version is in force everywhere."""
        asked = _validate(Wait, body)
        if not isinstance(asked, result.Success):
            return asked
        wait = asked.unwrap()
        until = self.clk.now() + wait.timeout_ms
        while True:
            read = await self.control.read(
                control_pb2.ReadRequest(key="-", version=wait.version),
                COMMIT_TIMEOUT_MS,
            )
            if not isinstance(read, result.Success):
                return read
            late = [
                entry.name
                for entry in read.unwrap().progress
                if not entry.lease_over
            ]
            if not late or self.clk.now() >= until:
                return result.Success({"in_force": not late, "late": late})
            await anyio.sleep(clock.seconds(PROGRESS_PAUSE_MS))

    async def _commit(
        self, command: control_pb2.Command, text: str = ""
    ) -> result.Result[app_lib.Body, errors.Error]:
        done = await self.control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            return done
        outcome = done.unwrap()[0]
        if outcome.status == control_pb2.STATUS_CONFLICT:
            return result.Failure(_conflict(outcome, text))
        if outcome.status != control_pb2.STATUS_OK:
            return result.Failure(
                errors.ConflictError(outcome.message, "see `show`")
            )
        return result.Success(
            {"revision": outcome.revision, "version": outcome.version}
        )


def _is_out(
    target: control_pb2.TargetRecord, outs: list[control_pb2.OutRecord]
) -> bool:
    return any(
        out.address == target.address
        if out.address
        else out.data_centre == target.data_centre
        for out in outs
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
