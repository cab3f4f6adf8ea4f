"""Counts requests in flight, and closes connections during a stop."""

import typing

from cardamomkeel.control import signal

CLOSE = (b"connection", b"close")


class InFlight:
    """Wraps ASGI applications and counts the requests that they serve.

    Attributes:
        count: The number of requests being served.
        closing: Whether each answer closes its connection.
    """

    def __init__(self):
        self.count = 0
        self.closing = False
        self._request_ended = signal.Signal()

    def wrap(self, app: typing.Callable) -> typing.Callable:
        """Returns an application that counts its requests."""

        async def counted(scope, receive, send) -> None:
            if scope["type"] != "http":
                await app(scope, receive, send)
                return
            self.count += 1
            try:
                await app(scope, receive, self._with_close_header(scope, send))
            finally:
                self.count -= 1
                self._request_ended.notify()

        return counted

    def _with_close_header(
        self, scope, send: typing.Callable
    ) -> typing.Callable:
        # HTTP/2 has no such header; the server announces the end of the
        # connection itself.
        if scope.get("http_version", "1.1").startswith("2"):
            return send

        async def closing_send(event: dict[str, typing.Any]) -> None:
            if self.closing and event["type"] == "http.response.start":
                headers = [*event.get("headers", []), CLOSE]
                event = {**event, "headers": headers}
            await send(event)

        return closing_send

    async def wait_until_idle(self) -> None:
        """Waits until no request is being served."""
        while self.count:
            await self._request_ended.wait()
