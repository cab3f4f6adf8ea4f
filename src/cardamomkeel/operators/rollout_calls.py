"""Operators' calls about roll-outs of a service's version."""

import math

import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.operators import commits
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.settings import process
from cardamomkeel.settings import structs
from cardamomkeel.state import keys
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

REMEDY = "see `cardamomkeel rollout show`"
# A longer roll-out is a mistake of the order.
MAX_DURATION_S = 86_400.0


class Start(process.Strict):
    """An order to move a service to backend servers of a version."""

    service: str = pydantic.Field(min_length=1)
    version: str = pydantic.Field(min_length=1)
    duration_s: float = pydantic.Field(
        gt=0, le=MAX_DURATION_S, allow_inf_nan=False
    )
    operator: str


class Withdraw(process.Strict):
    """An order to roll back."""

    service: str = pydantic.Field(min_length=1)
    operator: str


class Show(process.Strict):
    """The service whose newest roll-out is shown; empty for all."""

    service: str = ""


class RolloutHandlers:
    """Orders, withdraws and shows roll-outs through the control leader."""

    def __init__(self, control: client_lib.ControlClient):
        self._control = control

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {
            "/v1/rollouts/start": self.start,
            "/v1/rollouts/show": self.show,
            "/v1/rollouts/withdraw": self.withdraw,
        }

    async def start(self, body: app_lib.Body) -> result.Result:
        """Orders a roll-out; a resend of the same order is accepted."""
        validated = bodies.validate(Start, body)
        if not isinstance(validated, result.Success):
            return validated
        order = validated.unwrap()
        known = await self._list_services()
        if not isinstance(known, result.Success):
            return known
        if order.service not in known.unwrap():
            return result.Failure(
                errors.RequestError(
                    f"no route names service {order.service!r}",
                    "add it to the routes or correct the name",
                )
            )
        return await self._commit(
            control_pb2.Command(
                start_rollout=control_pb2.StartRollout(
                    service=order.service,
                    version=order.version,
                    duration_ms=math.ceil(
                        order.duration_s * clock.MS_PER_SECOND
                    ),
                    operator=order.operator,
                )
            )
        )

    async def _list_services(self) -> result.Result[set[str], errors.Error]:
        """Returns the services that the newest routes name."""
        read = await self._control.read(
            control_pb2.ReadRequest(key=keys.ROUTES_KEY),
            commits.COMMIT_TIMEOUT_MS,
        )
        return read.map(_read_services)

    async def withdraw(self, body: app_lib.Body) -> result.Result:
        """Rolls back the roll-out of a service."""
        validated = bodies.validate(Withdraw, body)
        if not isinstance(validated, result.Success):
            return validated
        fields = validated.unwrap().model_dump()
        return await self._commit(
            control_pb2.Command(
                withdraw_rollout=control_pb2.WithdrawRollout(**fields)
            )
        )

    async def show(self, body: app_lib.Body) -> result.Result:
        """Returns the newest roll-out of one service, or of each."""
        validated = bodies.validate(Show, body)
        if not isinstance(validated, result.Success):
            return validated
        service = validated.unwrap().service
        read = await self._control.read(
            control_pb2.ReadRequest(key=tables_lib.rollout_key(service)),
            commits.COMMIT_TIMEOUT_MS,
        )
        return read.map(
            lambda reply: {
                "rollouts": [
                    _describe(record.rollout)
                    for record in reply.records
                    if service in ("", record.rollout.service)
                ]
            }
        )

    async def _commit(
        self, command: control_pb2.Command
    ) -> result.Result[app_lib.Body, errors.Error]:
        committed = await commits.commit(self._control, command)
        return committed.bind(lambda outcome: commits.describe(outcome, REMEDY))


def _read_services(reply: control_pb2.ReadReply) -> set[str]:
    for record in reply.records:
        if record.key != keys.ROUTES_KEY:
            continue
        document = structs.decode(
            packing.unpack(record.routes.document),
            document_lib.RoutesDocument,
            "routes in force",
        )
        return set(document.unwrap().services)
    return set()


def _describe(row: control_pb2.RolloutRecord) -> app_lib.Body:
    stage = control_pb2.RolloutStage.Name(row.stage)
    return {
        "service": row.service,
        "version": row.version,
        "stage": stage.removeprefix("ROLLOUT_").lower(),
        "share_ppm": row.share_ppm,
        "step": row.step,
        "duration_ms": row.duration_ms,
        "reason": row.reason,
        "operator": row.operator,
        "barred": list(row.barred),
    }
