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


def _make_headers(req_result: messages.RequestResult) -> messages.Headers:
    headers = [(messages.OUTCOME, req_result.outcome.value.encode())]
    if req_result.target:
        headers.append((messages.TARGET, req_result.target.encode()))
    return headers


async def send_result(
    send_event: Send,
    req_result: messages.RequestResult,
    method: str,
    forwarded: bool = False,
    extra_headers: messages.Headers | None = None,
) -> None:
    """Sends the result of a request.

    Args:
        send_event: The ASGI function.
        req_result: The result.
        method: The method of the request.
        forwarded: Whether the request was forwarded by another entry.
        extra_headers: Additional headers.
    """
    if req_result.stream is not None and req_result.stream.is_truncated():
        req_result = get_stream_result(req_result)
    headers = _make_headers(req_result) + (extra_headers or [])
    if forwarded:
        headers.append((messages.SIGN, req_result.sign.value.encode()))
        headers.append((messages.INSTANCE, req_result.instance.encode()))
    if req_result.answer is not None:
        # An answer to HEAD keeps the length of the body that is not sent.
        has_body = method != "HEAD" and req_result.stream is None
        dropped = _LENGTH if has_body else _NOTHING
        forwarded_headers = http_headers.keep_end_to_end(
            req_result.answer.headers, dropped
        )
        if req_result.stream is not None:
            await _send_stream(
                send_event,
                req_result.answer.status,
                forwarded_headers + headers,
                req_result.stream,
            )
            return
        await send(
            send_event,
            req_result.answer.status,
            forwarded_headers + headers,
            req_result.answer.body,
        )
        return
    error = req_result.error or errors.UnavailableError(
        "no answer", "try again"
    )
    status = DEFAULT_STATUS[req_result.outcome]
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


def get_stream_result(
    req_result: messages.RequestResult,
) -> messages.RequestResult:
    """Returns the result after streaming; UNKNOWN if the body is incomplete."""
    if req_result.stream is None or req_result.stream.is_complete():
        return req_result
    return messages.RequestResult(
        messages.Outcome.UNKNOWN,
        error=errors.UnavailableError(
            "its answer was cut after it had begun",
            "send it again with the same key, or where it may run twice",
        ),
        sign=req_result.sign,
        target=req_result.target,
        instance=req_result.instance,
    )
