"""The ASGI application towards callers and backend servers."""

import dataclasses

import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.backend_servers import announcements as announcements_lib
from cardamomkeel.callers import addresses
from cardamomkeel.callers import answers
from cardamomkeel.callers import http1
from cardamomkeel.callers import requests
from cardamomkeel.routing import messages
from cardamomkeel.routing import router as router_lib
from cardamomkeel.routing import session as session_lib

NOT_RUN = [(messages.OUTCOME, messages.Outcome.NOT_RUN.value.encode())]

logger = loguru.logger


@dataclasses.dataclass
class CallersApp:
    """Serves addresses, requests and announcements."""

    session: session_lib.Session
    router: router_lib.Router
    announcements: announcements_lib.Announcements
    clk: clock.Clock
    keep_addresses_ms: int

    async def __call__(
        self,
        scope: requests.Scope,
        receive: requests.Receive,
        send: answers.Send,
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        try:
            await self._serve(scope, receive, send)
        except requests.CallerLeftError:
            logger.info("a caller left before its request was whole")

    async def _serve(self, scope, receive, send) -> None:
        path = scope["raw_path"].decode("ascii")
        if path.startswith(requests.PREFIX):
            await self._call(scope, receive, send)
        elif path == "/v1/addresses":
            await self._addresses(scope, send)
        elif path == "/v1/announce":
            await self._announce(receive, send)
        else:
            error = errors.RequestError(
                f"there is no {path}", "see docs/callers.md", 404
            )
            await answers.send_error(send, error.status, error, NOT_RUN)

    async def _call(self, scope, receive, send) -> None:
        if not self.session.is_fresh():
            ended = messages.not_fresh(requests.may_be_repeat(scope))
            await answers.send_ended(send, ended, scope["method"])
            return
        body = await requests.read_body(receive)
        made = body.bind(
            lambda whole: requests.make_request(
                scope, whole, self.session.view, self.clk.now()
            )
        )
        if not isinstance(made, result.Success):
            error = made.failure()
            logger.info("refused request", reason=str(error))
            await answers.send_error(send, error.status, error, NOT_RUN)
            return
        req = made.unwrap()
        # What may run only once goes on to its end, for the repeat.
        scope[http1.CANCELLABLE] = req.idempotent
        ended = await self.router.handle(req)
        scope[http1.CANCELLABLE] = False
        await answers.send_ended(send, ended, req.method)

    async def _addresses(self, scope, send) -> None:
        query = scope.get("query_string", b"").decode("latin-1")
        asked = dict(
            pair.partition("=")[::2] for pair in query.split("&") if pair
        )
        service = asked.get("service", "")
        view = self.session.view
        if service and view.get_service(service) is None:
            error = errors.RequestError(
                f"there is no service {service!r}",
                "name a service of the settings text",
                404,
            )
            await answers.send_error(send, error.status, error)
            return
        body = {
            "addresses": addresses.get_addresses(
                view, service, asked.get("data_centre", "")
            ),
            "keep_ms": self.keep_addresses_ms,
        }
        await answers.send_json(send, 200, body)

    async def _announce(self, receive, send) -> None:
        raw = await requests.read_body(receive)
        if not isinstance(raw, result.Success):
            error = raw.failure()
            await answers.send_error(send, error.status, error)
            return
        taken = await self.announcements.take(raw.unwrap())
        if isinstance(taken, result.Success):
            reply = taken.unwrap().model_dump()
            await answers.send_json(send, 200, reply)
            return
        error = taken.failure()
        await answers.send_error(send, error.status, error)
