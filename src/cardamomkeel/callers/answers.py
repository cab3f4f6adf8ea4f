"""Writes answers to callers over ASGI."""

import typing

import anyio
import loguru
import orjson

from cardamomkeel import errors
from cardamomkeel import http_headers
from cardamomkeel.routing import messages

Send = typing.Callable[[dict[str, typing.Any]], typing.Awaitable[None]]

DEFAULT_STATUS = {
    messages.Outcome.NOT_RUN: 503,
    messages.Outcome.UNKNOWN: 502,
}
_LENGTH = frozenset([b"content-length"])
_NOTHING: frozenset[bytes] = frozenset()
_NO_BODY = frozenset([204, 304])

logger = loguru.logger


async def send(
    send_event: Send, status: int, headers: messages.Headers, body: bytes
) -> None:
    """Sends a complete answer, with a content length if none is given."""
    if status not in _NO_BODY and not _has_length(headers):
        headers = [*headers, (b"content-length", b"%d" % len(body))]
    await send_event(
        {
            "type": "http.response.start",
            "status": status,
            "headers": headers,
        }
    )
    await send_event({"type": "http.response.body", "body": body})


def _has_length(headers: messages.Headers) -> bool:
    return any(name.lower() == b"content-length" for name, _ in headers)


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


def _make_headers(ended: messages.RequestResult) -> messages.Headers:
    headers = [(messages.OUTCOME, ended.outcome.value.encode())]
    if ended.target:
        headers.append((messages.TARGET, ended.target.encode()))
    return headers


async def send_result(
    send_event: Send,
    ended: messages.RequestResult,
    method: str,
    forwarded: bool = False,
    extra_headers: messages.Headers | None = None,
) -> None:
    """Sends the result of a request.

    Args:
        send_event: The ASGI function.
        ended: The result.
        method: The method of the request.
        forwarded: Whether the request was forwarded by another entry.
        extra_headers: Additional headers.
    """
    if ended.stream is not None and ended.stream.is_truncated():
        ended = get_stream_result(ended)
    headers = _make_headers(ended) + (extra_headers or [])
    if forwarded:
        headers.append((messages.SIGN, ended.sign.value.encode()))
        headers.append((messages.INSTANCE, ended.instance.encode()))
    if ended.answer is not None:
        # An answer to HEAD keeps the length of the body that is not sent.
        has_body = method != "HEAD" and ended.stream is None
        dropped = _LENGTH if has_body else _NOTHING
        kept = http_headers.keep_end_to_end(ended.answer.headers, dropped)
        if ended.stream is not None:
            await _send_stream(
                send_event, ended.answer.status, kept + headers, ended.stream
            )
            return
        await send(
            send_event, ended.answer.status, kept + headers, ended.answer.body
        )
        return
    error = ended.error or errors.UnavailableError("no answer", "try again")
    status = DEFAULT_STATUS[ended.outcome]
    if isinstance(error, errors.RequestError):
        status = error.status
    await send_error(send_event, status, error, headers)


async def _send_stream(
    send_event: Send,
    status: int,
    headers: messages.Headers,
    stream: messages.Stream,
) -> None:
    """Forwards a body as it arrives.

    A truncated body gets no final event, so that the server closes the
    connection and the caller can tell that the body is incomplete.
    """
    start = {"type": "http.response.start", "status": status}
    try:
        await send_event({**start, "headers": headers})
        with anyio.CancelScope() as scope:
            # Sending may be blocked by the caller when the stream fails.
            stream.on_failure(scope.cancel)
            while part := await stream.read():
                await send_event(_make_body_event(part, more=True))
            await send_event(_make_body_event(b"", more=False))
    except messages.TruncatedBodyError as exc:
        logger.info("answer was truncated", reason=str(exc))
    finally:
        stream.close()


def _make_body_event(body: bytes, more: bool) -> dict[str, typing.Any]:
    return {"type": "http.response.body", "body": body, "more_body": more}


def get_stream_result(ended: messages.RequestResult) -> messages.RequestResult:
    """Returns the result after streaming; UNKNOWN if the body is incomplete."""
    if ended.stream is None or ended.stream.is_complete():
        return ended
    return messages.RequestResult(
        messages.Outcome.UNKNOWN,
        error=errors.UnavailableError(
            "its answer was cut after it had begun",
            "send it again with the same key, or where it may run twice",
        ),
        sign=ended.sign,
        target=ended.target,
        instance=ended.instance,
    )
