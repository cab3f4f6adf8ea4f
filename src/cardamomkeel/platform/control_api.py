"""Serves the platform's calls to control: operators and backend servers."""

import secrets

import loguru
import orjson
from returns import result

from cardamomkeel.control import group_calls
from cardamomkeel.gateway import messages
from cardamomkeel.platform import configurations
from cardamomkeel.platform import heartbeats
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import reader
from cardamomkeel.wire import control_pb2

INSTANCES = "/-/instances/"
EVACUATIONS = "/-/evacuations/"
CONFIG = "/-/config"
OPERATOR = "platform"
UNAVAILABLE = 503

logger = loguru.logger

_JSON = (b"Content-Type", b"application/json")
_STATUSES = {
    control_pb2.STATUS_OK: 200,
    control_pb2.STATUS_CONFLICT: 412,
    control_pb2.STATUS_REFUSED: 400,
}


def _answer(status: int, **body) -> messages.Response:
    return messages.Response(status, [_JSON], orjson.dumps(body))


def unavailable() -> messages.Response:
    """Returns the answer where nobody can tell now."""
    return _answer(
        UNAVAILABLE, error="the control group can't tell now; try again"
    )


class ControlApi:
    """Carries out what operators and backend servers ask for."""

    def __init__(
        self,
        calls: group_calls.GroupCalls,
        get_routes,
        zones: frozenset[str],
        control_port: str,
    ):
        """Makes the handler of one control VM.

        Args:
            calls: Reaches the control group.
            get_routes: Returns the routes as last known here.
            zones: The data centres that there are.
            control_port: The port of `control`, the same on all VMs.
        """
        self._calls = calls
        self._get_routes = get_routes
        self._zones = zones
        self._control_port = control_port
        self._services: tuple[int, frozenset[str]] = (0, frozenset())

    async def handle(self, req: messages.Request) -> messages.Response:
        """Answers one call."""
        response = await self._handle(req)
        if response.status == UNAVAILABLE:
            logger.warning(
                "no control VM could tell", method=req.method, path=req.path
            )
        return response

    async def _handle(self, req: messages.Request) -> messages.Response:
        path = req.path
        if path.startswith(INSTANCES):
            return await self._handle_instance(req, path[len(INSTANCES) :])
        if path == CONFIG and req.method == "PUT":
            return await self._put_config(req.body)
        if path == CONFIG and req.method == "GET":
            return await self._get_config()
        if path.startswith(EVACUATIONS):
            return await self._evacuate(req.method, path[len(EVACUATIONS) :])
        return _answer(404, error=f"there is nothing at {path}")

    # Backend servers.

    async def _handle_instance(
        self, req: messages.Request, instance: str
    ) -> messages.Response:
        if not instance:
            return _answer(400, error="the path names no instance")
        if req.method == "DELETE":
            return await self._leave(instance)
        if req.method != "PUT":
            return _answer(405, error="send PUT or DELETE")
        parsed = heartbeats.parse(instance, req.body, self._zones)
        if not isinstance(parsed, result.Success):
            logger.warning(
                "passed over a heartbeat", reason=str(parsed.failure())
            )
            return _answer(400, error=parsed.failure().message)
        told = parsed.unwrap()
        if not self._is_known(told.service):
            logger.warning(
                "passed over a heartbeat",
                reason=f"{instance} names service {told.service}",
            )
            return _answer(400, error=f"there is no service {told.service}")
        if not await self._calls.announce(told):
            return unavailable()
        return _answer(200, **self._name_leader())

    def _is_known(self, service: str) -> bool:
        """Tells whether a service is named by the routes in force."""
        routes = self._get_routes()
        if not routes.number:
            return True
        if self._services[0] != routes.number:
            document = reader.parse_json(
                routes.document.decode(),
                document_lib.RoutesDocument,
                "routes in force",
            ).unwrap()
            self._services = (routes.number, frozenset(document.services))
        return service in self._services[1]

    def _name_leader(self) -> dict[str, str]:
        """Returns where later heartbeats need no second hop."""
        host, _, _ = self._calls.leader_address().rpartition(":")
        if not host:
            return {}
        return {"heartbeat-url": f"{host}:{self._control_port}"}

    async def _leave(self, instance: str) -> messages.Response:
        command = control_pb2.Command(
            instances_gone=control_pb2.InstancesGone(
                instances=[control_pb2.InstanceName(instance=instance)]
            )
        )
        done = await self._calls.propose(command)
        if done is None:
            return unavailable()
        logger.info("a target said farewell", instance=instance)
        return _answer(200)

    # Operators.

    async def _put_config(self, raw: bytes) -> messages.Response:
        parsed = configurations.parse(raw)
        if not isinstance(parsed, result.Success):
            logger.warning(
                "refused a configuration", reason=str(parsed.failure())
            )
            return _answer(400, error=parsed.failure().message)
        config = parsed.unwrap()
        command = control_pb2.Command(
            apply_routes=control_pb2.ApplyRoutes(
                base_number=config.base_number,
                number=config.number,
                document=config.document.model_dump_json().encode(),
                fingerprint=config.fingerprint,
                source=config.source,
            )
        )
        done = await self._calls.propose(command)
        if done is None:
            return unavailable()
        logger.info(
            "was sent a configuration",
            number=config.number,
            base=config.base_number,
            status=_STATUSES[done.status],
            reason=done.message,
        )
        if done.status == control_pb2.STATUS_OK:
            return _answer(200)
        return _answer(_STATUSES[done.status], error=done.message)

    async def _get_config(self) -> messages.Response:
        routes = await self._calls.read_routes()
        if routes is None:
            return unavailable()
        if not routes.number:
            return _answer(404, error="there is no configuration yet")
        return messages.Response(200, [_JSON], routes.source)

    async def _evacuate(self, method: str, zone: str) -> messages.Response:
        if self._zones and zone not in self._zones:
            return _answer(404, error=f"there is no data centre {zone!r}")
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
            return _answer(405, error="send POST or DELETE")
        done = await self._calls.propose(command)
        if done is None:
            return unavailable()
        # What is in service already is brought back by a resend.
        logger.info("evacuation", zone=zone, method=method, reason=done.message)
        return _answer(200)
