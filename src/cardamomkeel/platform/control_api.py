"""Serves a control VM's platform API to operators and backend servers."""

import dataclasses
import secrets

import anyio
import loguru
import orjson
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import group_calls
from cardamomkeel.gateway import messages
from cardamomkeel.log_lines import limits
from cardamomkeel.platform import configurations
from cardamomkeel.platform import heartbeats
from cardamomkeel.platform import rollouts
from cardamomkeel.policy import body_limits
from cardamomkeel.routes import change
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2

INSTANCES = "/-/instances/"
EVACUATIONS = "/-/evacuations/"
CONFIG = "/-/config"
OPERATOR = "platform"
# Operators and backend servers try another control VM after this status.
UNAVAILABLE = 503
# How long an order waits for the end of its connection before it is carried
# out.
GIVEN_UP_CHECK_MS = 20.0

logger = loguru.logger

_JSON = (b"Content-Type", b"application/json")
_STATUSES = {
    control_pb2.STATUS_OK: 200,
    control_pb2.STATUS_CONFLICT: 412,
    control_pb2.STATUS_REFUSED: 400,
}


def _make_response(status: int, **body) -> messages.Response:
    return messages.Response(status, [_JSON], orjson.dumps(body))


def make_unavailable_response() -> messages.Response:
    """Returns the response for an unavailable control group."""
    return _make_response(
        UNAVAILABLE, error="the control group can't tell now; try again"
    )


@dataclasses.dataclass(frozen=True)
class Location:
    """The data centre and address of a control VM.

    Attributes:
        data_centre: The data centre in which the control VM runs.
        address: The address that serves backend servers and operators.
    """

    data_centre: str
    address: str


class BodyLimits:
    """Allows short bodies, and longer ones for configurations."""

    def __init__(self, configuration_bytes: int):
        self._configuration_bytes = configuration_bytes

    def get_limit(self, method: str, path: str) -> int:
        """Returns the limit in bytes."""
        if (method, path) == ("PUT", CONFIG):
            return self._configuration_bytes
        return body_limits.SHORT_BODY_BYTES


class ControlApi:
    """Handles requests of operators and backend servers."""

    def __init__(
        self,
        calls: group_calls.GroupCalls,
        get_routes,
        zones: frozenset[str],
        location: Location,
        clk: clock.Clock,
    ):
        """Creates the handler of one control VM.

        Args:
            calls: Sends calls to the control group.
            get_routes: Returns the routes last received by this VM.
            zones: The data centres of the deployment; empty if unknown.
            location: The data centre and address of this control VM.
            clk: The clock.
        """
        self._calls = calls
        self._get_routes = get_routes
        self._zones = zones
        self._location = location
        self._unavailable_log_limit = limits.Limit(
            "control group unavailable", clk
        )
        self._rejected_log_limit = limits.Limit("rejected heartbeat", clk)
        self._services: tuple[int, frozenset[str]] = (0, frozenset())
        # One at a time, since each takes many times the memory of its text.
        self._decoding = anyio.Lock()
        self._rollouts = rollouts.Rollouts(calls, GIVEN_UP_CHECK_MS)

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handles one request."""
        response = await self._handle(req)
        if (
            response.status == UNAVAILABLE
            and self._unavailable_log_limit.may_write()
        ):
            logger.warning(
                "control group unavailable", method=req.method, path=req.path
            )
        return response

    async def _handle(self, req: messages.Request) -> messages.Response:
        path = req.path
        if path.startswith(INSTANCES):
            return await self._handle_instance(req, path[len(INSTANCES) :])
        if path == CONFIG and req.method == "PUT":
            return await self._put_config(bytes(req.body))
        if path == CONFIG and req.method == "GET":
            return await self._get_config()
        if path == rollouts.PATH or path.startswith(rollouts.PATH + "/"):
            return await self._rollouts.handle(req)
        if path.startswith(EVACUATIONS):
            return await self._evacuate(req.method, path[len(EVACUATIONS) :])
        return _make_response(404, error=f"there is nothing at {path}")

    # Backend servers.

    async def _handle_instance(
        self, req: messages.Request, instance: str
    ) -> messages.Response:
        if not instance:
            return _make_response(400, error="the path names no instance")
        if req.method == "DELETE":
            return await self._remove_instance(instance)
        if req.method != "PUT":
            return _make_response(405, error="send PUT or DELETE")
        parsed = heartbeats.parse(instance, bytes(req.body), self._zones)
        if not isinstance(parsed, result.Success):
            self._log_rejected_heartbeat(str(parsed.failure()))
            return _make_response(400, error=parsed.failure().message)
        record = parsed.unwrap()
        if not self._is_known_service(record.service):
            self._log_rejected_heartbeat(
                f"{instance} names service {record.service}"
            )
            return _make_response(
                400, error=f"there is no service {record.service}"
            )
        if not await self._calls.announce(record):
            return make_unavailable_response()
        return _make_response(200, **self._make_redirect_fields(record))

    def _log_rejected_heartbeat(self, reason: str) -> None:
        if self._rejected_log_limit.may_write():
            logger.warning("rejected heartbeat", reason=reason)

    def _is_known_service(self, service: str) -> bool:
        """Returns whether the routes in force name a service.

        Returns True if there are no routes yet.
        """
        routes = self._get_routes()
        if not routes.number:
            return True
        if self._services[0] != routes.number:
            document = structs.decode(
                packing.unpack(routes.document),
                document_lib.RoutesDocument,
                "routes in force",
            ).unwrap()
            self._services = (routes.number, frozenset(document.services))
        return service in self._services[1]

    def _make_redirect_fields(
        self, record: control_pb2.InstanceRecord
    ) -> dict[str, str]:
        """Returns where a backend server should send its next heartbeats.

        Empty for a backend server of another data centre, which tries further
        control VMs until it finds one in its own.
        """
        if record.data_centre != self._location.data_centre:
            return {}
        return {"heartbeat-url": self._location.address}

    async def _remove_instance(self, instance: str) -> messages.Response:
        command = control_pb2.Command(
            instances_gone=control_pb2.InstancesGone(
                instances=[control_pb2.InstanceName(instance=instance)]
            )
        )
        done = await self._calls.propose(command)
        if done is None:
            return make_unavailable_response()
        logger.info("target deregistered", instance=instance)
        return _make_response(200)

    # Operators.

    async def _put_config(self, raw: bytes) -> messages.Response:
        async with self._decoding:
            parsed = await configurations.parse_in_turns(raw)
        if not isinstance(parsed, result.Success):
            logger.warning(
                "rejected configuration", reason=str(parsed.failure())
            )
            return _make_response(400, error=parsed.failure().message)
        config = parsed.unwrap()
        command = change.make_command(
            config.number,
            config.base_number,
            config.document,
            config.fingerprint,
            config.source,
        )
        done = await self._calls.propose(command)
        if done is None:
            return make_unavailable_response()
        logger.info(
            "received configuration",
            number=config.number,
            base=config.base_number,
            status=_STATUSES[done.status],
            reason=done.message,
        )
        if done.status == control_pb2.STATUS_OK:
            return _make_response(200)
        return _make_response(_STATUSES[done.status], error=done.message)

    async def _get_config(self) -> messages.Response:
        routes = await self._calls.read_routes()
        if routes is None:
            return make_unavailable_response()
        if not routes.number:
            return _make_response(404, error="there is no configuration yet")
        return messages.Response(200, [_JSON], packing.unpack(routes.source))

    async def _evacuate(self, method: str, zone: str) -> messages.Response:
        if self._zones and zone not in self._zones:
            return _make_response(
                404, error=f"there is no data centre {zone!r}"
            )
        # An order that was held up on its way may come after newer ones, and
        # nothing in it tells. Its caller has given it up: the end of the
        # connection is right behind it, and cancels the call.
        await anyio.sleep(clock.seconds(GIVEN_UP_CHECK_MS))
        change_id = secrets.token_hex(8)
        if method == "POST":
            command = control_pb2.Command(
                take_out=control_pb2.TakeOut(
                    change_id=change_id,
                    data_centre=zone,
                    operator=OPERATOR,
                    force=True,
                )
            )
        elif method == "DELETE":
            command = control_pb2.Command(
                bring_back=control_pb2.BringBack(
                    change_id=change_id, data_centre=zone, operator=OPERATOR
                )
            )
        else:
            return _make_response(405, error="send POST or DELETE")
        done = await self._calls.propose(command)
        if done is None:
            return make_unavailable_response()
        # Bringing back a data centre that is in service is no error: the
        # request may have been resent.
        logger.info(
            "received evacuation request"
            if method == "POST"
            else "received request to end evacuation",
            data_centre=zone,
            reason=done.message,
        )
        return _make_response(200)
