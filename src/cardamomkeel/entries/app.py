"""The ASGI application towards other entries."""

import dataclasses

from returns import result

from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel.callers import answers
from cardamomkeel.callers import http1
from cardamomkeel.callers import requests
from cardamomkeel.entries import forward
from cardamomkeel.routing import messages
from cardamomkeel.routing import owner as owner_lib


@dataclasses.dataclass
class EntriesApp:
    """Makes one attempt for another entry."""

    owner: owner_lib.Owner
    clk: clock.Clock

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
            body = await requests.read_body(receive)
        except requests.CallerLeftError:
            return
        if not isinstance(body, result.Success):
            error = body.failure()
            ended = messages.not_run(error.message, error.remedy)
        else:
            req = self._make_request(scope, body.unwrap())
            excluded = requests.get_header(scope, messages.EXCLUDE).decode()
            scope[http1.CANCELLABLE] = req.idempotent
            ended = await self.owner.dispatch(
                req, frozenset(excluded.split(","))
            )
        scope[http1.CANCELLABLE] = False
        await answers.send_ended(send, ended, scope["method"], forwarded=True)

    def _make_request(
        self, scope: requests.Scope, body: bytes
    ) -> messages.Request:
        service, path = requests.split_path(scope, forward.PREFIX)
        left = int(requests.get_header(scope, messages.DEADLINE) or b"0")
        depth = int(requests.get_header(scope, messages.DEPTH) or b"0")
        return messages.Request(
            service=service,
            method=scope["method"],
            path=path,
            headers=http_headers.keep_end_to_end(
                scope["headers"], requests.OWN_HEADERS
            ),
            body=body,
            deadline=self.clk.now() + left,
            depth=depth,
            is_retry=bool(requests.get_header(scope, messages.EXCLUDE)),
            idempotent=self._is_idempotent(service, scope["method"]),
        )

    def _is_idempotent(self, name: str, method: str) -> bool:
        service = self.owner.get_service(name)
        return service is not None and requests.is_idempotent(service, method)
