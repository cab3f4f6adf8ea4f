"""Handles the platform's orders to roll out a version of a service."""

import math
import typing
import urllib.parse

import anyio
import loguru
import orjson
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import group_calls
from cardamomkeel.gateway import messages
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.settings import structs
from cardamomkeel.state import keys
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

PATH = "/-/rollouts"
OPERATOR = "platform"
# Operators try another control VM after this status.
UNAVAILABLE = 503
# A longer roll-out is a mistake of the order.
MAX_DURATION_S = 86_400.0
MAX_NAME_LENGTH = 200

logger = loguru.logger

_JSON = (b"Content-Type", b"application/json")
# Another roll-out runs: like a configuration that is based on an older one. A
# 409 would say that the order itself is in progress.
_STATUSES = {
    control_pb2.STATUS_OK: 200,
    control_pb2.STATUS_CONFLICT: 412,
    control_pb2.STATUS_REFUSED: 400,
}
_STATES = {
    control_pb2.ROLLOUT_COMPLETED: "completed",
    control_pb2.ROLLOUT_ROLLED_BACK: "rolled_back",
}
_Name = typing.Annotated[
    str,
    pydantic.Field(strict=True, min_length=1, max_length=MAX_NAME_LENGTH),
]


class _Order(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        alias_generator=lambda name: name.replace("_", "-"), extra="ignore"
    )

    service: _Name
    to_version: _Name
    duration_s: typing.Annotated[
        float,
        pydantic.Field(
            strict=True, gt=0, le=MAX_DURATION_S, allow_inf_nan=False
        ),
    ]


def parse(raw: bytes) -> result.Result[control_pb2.StartRollout, errors.Error]:
    """Parses an order, or returns why it is invalid."""
    try:
        order = _Order.model_validate(orjson.loads(raw))
    except ValueError as exc:
        return result.Failure(
            errors.RequestError(
                f"the order can't be read: {exc}",
                "send service, to-version and duration-s",
            )
        )
    return result.Success(
        control_pb2.StartRollout(
            service=order.service,
            version=order.to_version,
            duration_ms=math.ceil(order.duration_s * clock.MS_PER_SECOND),
            operator=OPERATOR,
        )
    )


def _make_response(status: int, **body) -> messages.Response:
    return messages.Response(status, [_JSON], orjson.dumps(body))


def _make_unavailable_response() -> messages.Response:
    return _make_response(
        UNAVAILABLE, error="the control group can't tell now; try again"
    )


class Rollouts:
    """Answers orders to roll out a version, and questions about them."""

    def __init__(
        self, calls: group_calls.GroupCalls, given_up_check_ms: clock.Millis
    ):
        """Creates the handler of one control VM.

        Args:
            calls: Sends calls to the control group.
            given_up_check_ms: How long an order waits for the end of its
                connection before it is carried out.
        """
        self._calls = calls
        self._given_up_check_ms = given_up_check_ms

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handles one request."""
        service = urllib.parse.unquote(req.path[len(PATH) + 1 :])
        if service and req.method == "GET":
            return await self._show(service)
        if not service and req.method == "POST":
            return await self._start(req.body)
        return _make_response(405, error="send POST, or GET with a service")

    async def _start(self, raw: bytes) -> messages.Response:
        parsed = parse(raw)
        if not isinstance(parsed, result.Success):
            logger.warning("rejected roll-out", reason=str(parsed.failure()))
            return _make_response(400, error=parsed.failure().message)
        order = parsed.unwrap()
        await anyio.sleep(clock.seconds(self._given_up_check_ms))
        is_known = await self._is_known(order.service)
        if is_known is None:
            return _make_unavailable_response()
        if not is_known:
            reason = f"there is no service {order.service}"
            logger.warning("rejected roll-out", reason=reason)
            return _make_response(400, error=reason)
        done = await self._calls.propose(
            control_pb2.Command(start_rollout=order)
        )
        if done is None:
            return _make_unavailable_response()
        logger.info(
            "received roll-out",
            service=order.service,
            version=order.version,
            duration_ms=order.duration_ms,
            status=_STATUSES[done.status],
            reason=done.message,
        )
        if done.status == control_pb2.STATUS_OK:
            return _make_response(200)
        return _make_response(_STATUSES[done.status], error=done.message)

    async def _is_known(self, service: str) -> bool | None:
        """Returns whether the newest routes name a service.

        Returns None if no leader confirms them.
        """
        rows = await self._calls.read_rows(keys.ROUTES_KEY)
        if rows is None:
            return None
        for row in rows:
            if row.key != keys.ROUTES_KEY:
                continue
            document = structs.decode(
                packing.unpack(row.routes.document),
                document_lib.RoutesDocument,
                "routes in force",
            )
            return service in document.unwrap().services
        return False

    async def _show(self, service: str) -> messages.Response:
        key = tables_lib.rollout_key(service)
        rows = await self._calls.read_rows(key)
        if rows is None:
            return _make_unavailable_response()
        for row in rows:
            if row.key == key:
                state = _STATES.get(row.rollout.stage, "running")
                body = {"state": state, "to-version": row.rollout.version}
                return _make_response(200, **body)
        return _make_response(404, error=f"{service} has no roll-out")
