"""Sends requests by httpx."""

import anyio
import httpx
from returns import result

from cardamomkeel import clock
from cardamomkeel.backend_servers import client
from cardamomkeel.routing import messages

CONNECTIONS_PER_ADDRESS = 250
CONNECT_MS = 500.0

_NOT_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)


class HttpxClient:
    """A client that keeps connections open between requests."""

    def __init__(self, reach: dict[str, str], clk: clock.Clock):
        self._reach = reach
        self._clock = clk
        limits = httpx.Limits(
            max_connections=None,
            max_keepalive_connections=CONNECTIONS_PER_ADDRESS,
        )
        timeout = httpx.Timeout(None, connect=clock.seconds(CONNECT_MS))
        self._http = httpx.AsyncClient(
            limits=limits, timeout=timeout, trust_env=False
        )

    async def send(
        self,
        address: str,
        req: messages.Request,
        headers: messages.Headers,
        deadline: clock.Millis,
        guard: client.Guard = client.NO_GUARD,
    ) -> result.Result[messages.Answer, client.SendFailure]:
        """Sends a request and returns its whole answer."""
        left = deadline - self._clock.now()
        if left <= 0 or not guard.may_send():
            return _failed(client.FailureKind.NOT_SENT, "no time is left")
        address = self._reach.get(address, address)
        try:
            with anyio.fail_after(clock.seconds(left)):
                got = await self._http.request(
                    req.method,
                    f"http://{address}{req.path}",
                    headers=headers,
                    content=req.body,
                )
        except _NOT_SENT as exc:
            return _failed(client.FailureKind.NOT_SENT, repr(exc))
        except TimeoutError:
            return _failed(
                client.FailureKind.TIMED_OUT, "no answer before the deadline"
            )
        except (httpx.HTTPError, OSError) as exc:
            return _failed(client.FailureKind.BROKEN, repr(exc))
        return result.Success(
            messages.Answer(got.status_code, list(got.headers.raw), got.content)
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()


def _failed(
    kind: client.FailureKind, message: str
) -> result.Result[messages.Answer, client.SendFailure]:
    return result.Failure(client.SendFailure(kind, message))
