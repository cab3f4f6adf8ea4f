"""Writes answers to callers over ASGI."""

import typing

import orjson

from cardamomkeel import errors
from cardamomkeel.routing import messages

Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]

DEFAULT_STATUS = {
    messages.Outcome.NOT_RUN: 503,
    messages.Outcome.UNKNOWN: 502,
}
_OWN_LENGTH = frozenset(
    [b"content-length", b"transfer-encoding", b"connection", b"keep-alive"]
)


async def send(
    send_event: Send, status: int, headers: messages.Headers, body: bytes
) -> None:
    """Sends a whole answer."""
    length = (b"content-length", b"%d" % len(body))
    await send_event(
        {
            "type": "http.response.start",
            "status": status,
            "headers": [*headers, length],
        }
    )
    await send_event({"type": "http.response.body", "body": body})


async def send_json(
    send_event: Send,
    status: int,
    body: typing.Any,
    headers: messages.Headers | None = None,
) -> None:
    """Sends an object as JSON."""
    kind = (b"content-type", b"application/json")
    await send(send_event, status, [kind, *(headers or [])], orjson.dumps(body))


async def send_error(
    send_event: Send,
    status: int,
    error: errors.Error,
    headers: messages.Headers | None = None,
) -> None:
    """Sends an error with its remedy."""
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
    }
    await send_json(send_event, status, body, headers)


def _describe(ended: messages.Ended) -> messages.Headers:
    headers = [(messages.OUTCOME, ended.outcome.value.encode())]
    if ended.target:
        headers.append((messages.TARGET, ended.target.encode()))
    return headers


async def send_ended(
    send_event: Send,
    ended: messages.Ended,
    forwarded: bool = False,
    more: messages.Headers | None = None,
) -> None:
    """Sends how a request ended.

    Args:
        send_event: The ASGI function.
        ended: How the request ended.
        forwarded: Whether the other side is an entry.
        more: Headers to send besides.
    """
    headers = _describe(ended) + (more or [])
    if forwarded:
        headers.append((messages.SIGN, ended.sign.value.encode()))
        headers.append((messages.INSTANCE, ended.instance.encode()))
    if ended.answer is not None:
        kept = [
            (name, value)
            for name, value in ended.answer.headers
            if name.lower() not in _OWN_LENGTH
        ]
        await send(
            send_event, ended.answer.status, kept + headers, ended.answer.body
        )
        return
    error = ended.error or errors.UnavailableError("no answer", "try again")
    status = DEFAULT_STATUS[ended.outcome]
    if isinstance(error, errors.RequestError):
        status = error.status
    await send_error(send_event, status, error, headers)
