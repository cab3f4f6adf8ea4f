"""The ASGI application for other entries."""

import dataclasses

import loguru
from returns import result

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel.callers import answers
from cardamomkeel.callers import http1
from cardamomkeel.callers import requests
from cardamomkeel.entries import forward
from cardamomkeel.routing import messages
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import session as session_lib

logger = loguru.logger


@dataclasses.dataclass
class EntriesApp:
    """Makes one attempt at each request that another entry forwards."""

    owner: owner_lib.Owner
    session: session_lib.Session
    clk: clock.Clock
    share: buffers.Share

    async def __call__(
        self,
        scope: requests.Scope,
        receive: requests.Receive,
        send: answers.Send,
    ) -> None:
        """Serves one request."""
        if scope["type"] != "http":
            return
        reservation = self.share.create_reservation()
        try:
            await self._serve(scope, receive, send, reservation)
        except requests.CallerDisconnectedError:
            return
        finally:
            scope[http1.CANCELLABLE] = False
            reservation.release()

    async def _serve(
        self, scope, receive, send, reservation: buffers.Reservation
    ) -> None:
        body = await requests.read_body(
            receive, reservation, requests.get_content_length(scope)
        )
        if not isinstance(body, result.Success):
            error = body.failure()
            req_result = messages.not_run(error.message, error.remedy)
        else:
            req_result = await self._dispatch(scope, body.unwrap())
        request_id = requests.get_header(scope, messages.REQUEST_ID)
        extra_headers = []
        if request_id:
            extra_headers.append((messages.REQUEST_ID, request_id))
        await answers.send_result(
            send,
            req_result,
            scope["method"],
            forwarded=True,
            extra_headers=extra_headers,
        )

    async def _dispatch(
        self, scope: requests.Scope, body: bytes
    ) -> messages.RequestResult:
        try:
            req = self._make_request(scope, body)
            if req.session and req.session not in self.session.view.entries:
                return messages.not_run(
                    "the entry that claimed it lost its session",
                    "send it again",
                )
            excluded = requests.get_header(scope, messages.EXCLUDE).decode()
            scope[http1.CANCELLABLE] = req.idempotent
            return await self.owner.dispatch(
                req, frozenset(excluded.split(","))
            )
        except Exception:
            logger.exception("forwarded request failed")
            return messages.INTERNAL_FAILURE

    def _make_request(
        self, scope: requests.Scope, body: bytes
    ) -> messages.Request:
        service, path = requests.split_path(scope, forward.PREFIX)
        remaining_ms = int(
            requests.get_header(scope, messages.DEADLINE) or b"0"
        )
        depth = int(requests.get_header(scope, messages.DEPTH) or b"0")
        return messages.Request(
            service=service,
            method=scope["method"],
            path=path,
            headers=http_headers.keep_end_to_end(
                scope["headers"], requests.OWN_HEADERS
            ),
            body=body,
            deadline=self.clk.now() + remaining_ms,
            depth=depth,
            is_retry=bool(requests.get_header(scope, messages.EXCLUDE)),
            idempotent=self._is_idempotent(service, scope["method"]),
            session=int(requests.get_header(scope, messages.SESSION) or b"0"),
        )

    def _is_idempotent(self, name: str, method: str) -> bool:
        service = self.owner.get_service(name)
        return service is not None and requests.is_idempotent(service, method)
