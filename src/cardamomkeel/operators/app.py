"""The ASGI application for operators, which every process serves."""

import collections.abc
import dataclasses
import typing

import orjson
from returns import result

from cardamomkeel import errors
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.callers import answers
from cardamomkeel.callers import requests
from cardamomkeel.operators import secret as secret_lib

Body = dict[str, typing.Any]
Handler = collections.abc.Callable[
    [Body], collections.abc.Awaitable[result.Result[Body, errors.Error]]
]

# Any other error has its own status, or 400.
STATUS_BY_ERROR = {
    errors.ConflictError: 409,
    errors.UnavailableError: 503,
    errors.SettingsError: 400,
}


@dataclasses.dataclass
class OperatorsApp:
    """Serves metrics without a secret, and all other paths only with it.

    Attributes:
        secret: The operators' secret.
        metrics: The metrics of this process.
        dump: Returns the state of this process, for `/dump`.
        handlers: The handlers of operators' calls, by path.
    """

    secret: str
    metrics: metrics_lib.Metrics
    dump: typing.Callable[[], Body]
    handlers: dict[str, Handler]

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
            return

    async def _serve(self, scope, receive, send) -> None:
        path = scope["path"]
        if path == "/metrics":
            content_type = (b"content-type", metrics_lib.CONTENT_TYPE.encode())
            await answers.send(send, 200, [content_type], self.metrics.render())
            return
        authorization = requests.get_header(scope, b"authorization")
        if not secret_lib.is_allowed(authorization, self.secret):
            error = errors.RequestError(
                "the operators' secret is missing or wrong",
                "name its file with --secret-file",
                401,
            )
            await answers.send_error(send, error.status, error)
        elif path == "/dump":
            await answers.send_json(send, 200, self.dump())
        elif path in self.handlers:
            await self._handle(self.handlers[path], receive, send)
        else:
            error = errors.RequestError(
                f"there is no {path}", "see docs/operators.md", 404
            )
            await answers.send_error(send, error.status, error)

    async def _handle(self, handler: Handler, receive, send) -> None:
        raw = await requests.read_body(receive)
        if not isinstance(raw, result.Success):
            error = raw.failure()
            await answers.send_error(send, error.status, error)
            return
        try:
            body = orjson.loads(raw.unwrap() or b"{}")
        except orjson.JSONDecodeError as exc:
            error = errors.RequestError(f"no JSON: {exc}", "send an object")
            await answers.send_error(send, error.status, error)
            return
        outcome = await handler(body)
        if isinstance(outcome, result.Success):
            await answers.send_json(send, 200, outcome.unwrap())
            return
        error = outcome.failure()
        status = STATUS_BY_ERROR.get(type(error), getattr(error, "status", 400))
        await answers.send_error(send, status, error)
