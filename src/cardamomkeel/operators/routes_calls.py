"""Operators' calls about routes."""

import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.operators import commits
from cardamomkeel.routes import change
from cardamomkeel.routes import packing
from cardamomkeel.routes import text as text_lib
from cardamomkeel.settings import process
from cardamomkeel.state import keys
from cardamomkeel.wire import control_pb2

SOURCE = "the new routes"
REMEDY = "see `cardamomkeel routes show`"


class Apply(process.Strict):
    """New routes with their number, and the number of the routes to replace."""

    text: str
    number: int = pydantic.Field(ge=1)
    base_number: int = pydantic.Field(ge=0)


class RoutesHandlers:
    """Commits new routes, and shows those in force."""

    def __init__(self, control: client_lib.ControlClient):
        self._control = control

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/routes/apply": self.apply, "/v1/routes/show": self.show}

    async def apply(self, body: app_lib.Body) -> result.Result:
        """Replaces the routes; a resend of the same routes is accepted."""
        validated = bodies.validate(Apply, body)
        if not isinstance(validated, result.Success):
            return validated
        request = validated.unwrap()
        parsed = text_lib.parse(request.text, SOURCE)
        if not isinstance(parsed, result.Success):
            return parsed
        read = parsed.unwrap()
        command = change.make_command(
            request.number,
            request.base_number,
            read.document,
            read.fingerprint,
            read.text.encode(),
        )
        committed = await commits.commit(self._control, command)
        return committed.bind(lambda outcome: commits.describe(outcome, REMEDY))

    async def show(
        self, body: app_lib.Body
    ) -> result.Result[app_lib.Body, errors.Error]:
        """Returns the routes in force, as they were written."""
        read = await self._control.read(
            control_pb2.ReadRequest(key=keys.ROUTES_SOURCE_KEY),
            commits.COMMIT_TIMEOUT_MS,
        )
        return read.map(_describe)


def _describe(reply: control_pb2.ReadReply) -> app_lib.Body:
    for record in reply.records:
        source = record.routes_source
        text = packing.unpack(source.source).decode()
        return {"number": source.number, "text": text}
    return {"number": 0, "text": ""}
