"""Operators' calls about the members of the control group."""

import dataclasses

from google.protobuf import json_format
from returns import result

from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# Long enough to include an election of the control group.
TIMEOUT_MS = 5000.0


class Named(process.Strict):
    """The name of a control VM."""

    name: str


@dataclasses.dataclass
class MemberHandlers:
    """Lists and changes the members through the control leader."""

    control: client_lib.ControlClient

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {
            "/v1/member-list": self.list,
            "/v1/member-add": self.add,
            "/v1/member-remove": self.remove,
        }

    async def list(self, body: app_lib.Body) -> result.Result:
        """Returns the members, confirmed by a majority."""
        read = await self.control.read(
            control_pb2.ReadRequest(key="-"), TIMEOUT_MS
        )
        return read.map(
            lambda reply: json_format.MessageToDict(
                reply.members, preserving_proto_field_name=True
            )
        )

    async def add(self, body: app_lib.Body) -> result.Result:
        """Allows the control VM of a name to join the group."""
        return await self._change(body, remove=False)

    async def remove(self, body: app_lib.Body) -> result.Result:
        """Removes a control VM from the group."""
        return await self._change(body, remove=True)

    async def _change(self, body: app_lib.Body, remove: bool) -> result.Result:
        validated = bodies.validate(Named, body)
        if not isinstance(validated, result.Success):
            return validated
        req = control_pb2.ChangeMembersRequest(
            name=validated.unwrap().name, remove=remove
        )
        changed = await self.control.change_members(req, TIMEOUT_MS)
        if not isinstance(changed, result.Success):
            return changed
        if changed.unwrap().status != control_pb2.STATUS_OK:
            return result.Failure(
                errors.ConflictError(
                    changed.unwrap().message,
                    "bring back those that do not answer, or give them an "
                    "empty data folder, before this one goes",
                )
            )
        return await self.list({})
