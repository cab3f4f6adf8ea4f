"""Serves the metrics and the state of a process to operators."""

import collections.abc
import typing

import orjson

from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import messages


class OperatorEndpoints:
    """Handles requests for `/metrics` and `/state`."""

    def __init__(
        self,
        metrics: metrics_lib.Metrics,
        dump: collections.abc.Callable[[], dict[str, typing.Any]],
    ):
        self._metrics = metrics
        self._dump = dump

    async def handle(self, req: messages.Request) -> messages.Response:
        """Returns the response to one request."""
        if req.path == "/metrics":
            kind = metrics_lib.CONTENT_TYPE.encode()
            return messages.Response(
                200, [(b"Content-Type", kind)], self._metrics.render()
            )
        if req.path == "/state":
            return messages.Response(
                200,
                [(b"Content-Type", b"application/json")],
                orjson.dumps(self._dump()),
            )
        return messages.Response(404)
