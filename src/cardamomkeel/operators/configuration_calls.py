"""Operators' calls that show the state and change what is in service."""

import dataclasses

import anyio
from google.protobuf import json_format
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.operators import commits
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# Between two reads of the entries that don't follow a version yet.
POLL_INTERVAL_MS = 50.0


class Out(process.Strict):
    """A data centre or a backend server to take out or bring back."""

    data_centre: str = ""
    address: str = ""
    change_id: str = pydantic.Field(min_length=8)
    operator: str
    force: bool = False


class Wait(process.Strict):
    """A version of the state to wait for, and the longest wait."""

    version: int
    timeout_ms: int = 10_000


@dataclasses.dataclass
class ConfigurationHandlers:
    """Reads the state, and commits changes, through the control leader."""

    control: client_lib.ControlClient
    clk: clock.Clock

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {
            "/v1/show": self.show,
            "/v1/take-out": self.take_out,
            "/v1/bring-back": self.bring_back,
            "/v1/wait": self.wait,
        }

    async def show(self, body: app_lib.Body) -> result.Result:
        """Returns the configuration in force, with all entries and targets."""
        read = await self.control.read(
            control_pb2.ReadRequest(), commits.COMMIT_TIMEOUT_MS
        )
        return read.map(
            lambda reply: json_format.MessageToDict(
                reply, preserving_proto_field_name=True
            )
        )

    async def take_out(self, body: app_lib.Body) -> result.Result:
        """Takes a data centre or a backend server out of service."""
        validated = bodies.validate(Out, body)
        if not isinstance(validated, result.Success):
            return validated
        out = validated.unwrap()
        return await self._commit(
            control_pb2.Command(
                take_out=control_pb2.TakeOut(**out.model_dump())
            ),
            remedy="bring others back first, or use --force",
        )

    async def bring_back(self, body: app_lib.Body) -> result.Result:
        """Brings a data centre or a backend server back into service."""
        validated = bodies.validate(Out, body)
        if not isinstance(validated, result.Success):
            return validated
        fields = validated.unwrap().model_dump(exclude={"force"})
        return await self._commit(
            control_pb2.Command(bring_back=control_pb2.BringBack(**fields)),
            remedy="see with `show` what is taken out",
        )

    async def wait(self, body: app_lib.Body) -> result.Result:
        """Waits until a version is in force everywhere, or for the timeout."""
        validated = bodies.validate(Wait, body)
        if not isinstance(validated, result.Success):
            return validated
        request = validated.unwrap()
        started = self.clk.now()
        until = started + request.timeout_ms
        while True:
            read = await self.control.read(
                control_pb2.ReadRequest(key="-", version=request.version),
                commits.COMMIT_TIMEOUT_MS,
            )
            if not isinstance(read, result.Success):
                return read
            behind = read.unwrap().progress
            without_lease = [e.name for e in behind if e.lease_over]
            late = [e.name for e in behind if not e.lease_over]
            if not late or self.clk.now() >= until:
                return result.Success(
                    {
                        "in_force": not late,
                        "late": late,
                        "without_lease": without_lease,
                        "waited_ms": int(self.clk.now() - started),
                    }
                )
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def _commit(
        self, command: control_pb2.Command, remedy: str
    ) -> result.Result[app_lib.Body, errors.Error]:
        committed = await commits.commit(self.control, command)
        return committed.bind(lambda outcome: commits.describe(outcome, remedy))
