"""What operators ask of a control VM."""

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

# How often it is looked whether a change is in force everywhere.
POLL_INTERVAL_MS = 50.0


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
class ConfigurationCalls:
    """Has operators' changes committed by whichever control VM leads."""

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
        """Returns the whole configuration and who serves it."""
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
                commits.COMMIT_TIMEOUT_MS,
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
            await anyio.sleep(clock.seconds(POLL_INTERVAL_MS))

    async def _commit(
        self, command: control_pb2.Command, remedy: str
    ) -> result.Result[app_lib.Body, errors.Error]:
        done = await commits.commit(self.control, command)
        return done.bind(lambda outcome: commits.describe(outcome, remedy))
