"""The ASGI application for callers and backend servers."""

import dataclasses
import math
import random

import loguru
from returns import result

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.backend_servers import announcements as announcements_lib
from cardamomkeel.callers import addresses
from cardamomkeel.callers import answers
from cardamomkeel.callers import http1
from cardamomkeel.callers import requests
from cardamomkeel.policy import body_limits
from cardamomkeel.routing import decisions as decisions_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import router as router_lib
from cardamomkeel.routing import session as session_lib

NOT_RUN = [(messages.OUTCOME, messages.Outcome.NOT_RUN.value.encode())]
UNKNOWN = [(messages.OUTCOME, messages.Outcome.UNKNOWN.value.encode())]

logger = loguru.logger


@dataclasses.dataclass
class CallersApp:
    """Serves requests, addresses of entries and announcements."""

    session: session_lib.Session
    router: router_lib.Router
    announcements: announcements_lib.Announcements
    clk: clock.Clock
    keep_addresses_ms: int
    recent_results: decisions_lib.RecentResults
    share: buffers.Share
    rng: random.Random = dataclasses.field(default_factory=random.Random)

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
        except requests.CallerDisconnectedError:
            logger.info("caller disconnected before its request was complete")

    async def _serve(self, scope, receive, send) -> None:
        path = scope["raw_path"].decode("ascii")
        if path.startswith(requests.PREFIX):
            reservation = self.share.create_reservation()
            try:
                await self._serve_call(scope, receive, send, reservation)
            finally:
                reservation.release()
        elif path == "/v1/addresses":
            await self._serve_addresses(scope, send)
        elif path == "/v1/announce":
            await self._serve_announcement(scope, receive, send)
        else:
            error = errors.RequestError(
                f"there is no {path}", "see docs/callers.md", 404
            )
            await answers.send_error(send, error.status, error, NOT_RUN)

    async def _serve_call(
        self, scope, receive, send, reservation: buffers.Reservation
    ) -> None:
        started = self.clk.now()
        given_id = requests.get_header(scope, decisions_lib.REQUEST_ID)
        request_id = self.recent_results.make_id(given_id)
        id_headers = [(decisions_lib.REQUEST_ID, request_id.encode())]
        if not self.session.is_fresh():
            service, _ = requests.split_path(scope, requests.PREFIX)
            req_result = addresses.make_not_fresh_result(
                self._list_other_entries(), requests.may_be_retry(scope)
            )
            self.recent_results.record(request_id, service, req_result, started)
            await answers.send_result(
                send, req_result, scope["method"], extra_headers=id_headers
            )
            return
        body = await requests.read_body(
            receive, reservation, requests.get_content_length(scope)
        )
        parsed = body.bind(
            lambda content: requests.make_request(
                scope, content, self.session.view, self.clk.now()
            )
        )
        if not isinstance(parsed, result.Success):
            error = parsed.failure()
            logger.info(
                "refused request", request_id=request_id, reason=str(error)
            )
            outcome_headers = NOT_RUN
            if error.status == requests.BUFFERS_FULL_STATUS and (
                requests.may_be_retry(scope)
            ):
                # An earlier request with this key may have run.
                outcome_headers = UNKNOWN
            await answers.send_error(
                send, error.status, error, outcome_headers + id_headers
            )
            return
        req = parsed.unwrap()
        # A request that may run only once is not cancelled, so that a retry
        # gets its outcome.
        scope[http1.CANCELLABLE] = req.idempotent
        req_result = await self.router.handle(req)
        is_stream = req_result.stream is not None
        if is_stream:
            await answers.send_result(
                send, req_result, req.method, extra_headers=id_headers
            )
            req_result = answers.get_stream_result(req_result)
        scope[http1.CANCELLABLE] = False
        self.recent_results.record(request_id, req.service, req_result, started)
        self._log_failure(request_id, req, req_result)
        if not is_stream:
            await answers.send_result(
                send, req_result, req.method, extra_headers=id_headers
            )

    def _log_failure(
        self,
        request_id: str,
        req: messages.Request,
        req_result: messages.RequestResult,
    ) -> None:
        if req_result.outcome is messages.Outcome.ANSWERED:
            return
        logger.info(
            "request not answered",
            request_id=request_id,
            service=req.service,
            outcome=req_result.outcome.value,
            target=req_result.target,
            reason=str(req_result.error),
        )

    async def _serve_addresses(self, scope, send) -> None:
        query = scope.get("query_string", b"").decode("latin-1")
        params = dict(
            pair.partition("=")[::2] for pair in query.split("&") if pair
        )
        service = params.get("service", "")
        view = self.session.view
        if not self.session.is_fresh():
            await self._refuse_addresses(send)
            return
        if service and view.get_service(service) is None:
            error = errors.RequestError(
                f"there is no service {service!r}",
                "name a service of the settings text",
                404,
            )
            await answers.send_error(send, error.status, error)
            return
        body = {
            "addresses": addresses.list_addresses(
                view, service, params.get("data_centre", ""), self.rng
            ),
            "keep_ms": self.keep_addresses_ms,
        }
        await answers.send_json(send, 200, body)

    async def _refuse_addresses(self, send) -> None:
        other_entries = self._list_other_entries()
        body = {
            "kind": errors.UnavailableError.kind,
            "message": "this entry can't confirm its settings",
            "remedy": addresses.format_remedy(other_entries),
            "addresses": other_entries,
            "keep_ms": 0,
        }
        await answers.send_json(send, 503, body)

    def _list_other_entries(self) -> list[str]:
        """Returns the last known addresses of other entries."""
        return addresses.list_addresses(
            self.session.view,
            "",
            "",
            self.rng,
            excluded_session=self.session.id,
        )

    async def _serve_announcement(self, scope, receive, send) -> None:
        reservation = self.share.create_reservation()
        try:
            raw = await requests.read_body(
                receive,
                reservation,
                requests.get_content_length(scope),
                body_limits.SHORT_BODY_BYTES,
            )
        finally:
            reservation.release()
        if not isinstance(raw, result.Success):
            error = raw.failure()
            await answers.send_error(send, error.status, error)
            return
        handled = await self.announcements.handle(raw.unwrap())
        if isinstance(handled, result.Success):
            reply = handled.unwrap().model_dump()
            await answers.send_json(send, 200, reply)
            return
        error = handled.failure()
        headers = []
        if isinstance(error, errors.TooEarlyError):
            after_s = math.ceil(clock.seconds(error.retry_after_ms))
            headers.append((b"retry-after", b"%d" % after_s))
        await answers.send_error(send, error.status, error, headers)
