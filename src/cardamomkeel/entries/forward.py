"""Forwards requests to the entry that owns a target for them."""

import dataclasses
import enum
import typing

from returns import result

from cardamomkeel import clock
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.routing import messages

PREFIX = "/v1/forward/"
# Headers for other entries; they are removed from answers to callers.
OWN_HEADERS = (
    messages.OUTCOME,
    messages.SIGN,
    messages.TARGET,
    messages.INSTANCE,
)

EnumT = typing.TypeVar("EnumT", bound=enum.Enum)


class Forwarder:
    """Sends requests to other entries, which never forward them again."""

    def __init__(self, http: client_lib.Client, clk: clock.Clock):
        self._http = http
        self._clock = clk

    async def forward(
        self, address: str, req: messages.Request, excluded: frozenset[str]
    ) -> messages.RequestResult:
        """Sends a request to another entry, which makes one attempt at it."""
        remaining_ms = max(1, int(req.deadline - self._clock.now()))
        headers = [
            *req.headers,
            (messages.DEADLINE, b"%d" % remaining_ms),
            (messages.DEPTH, b"%d" % req.depth),
            (messages.EXCLUDE, ",".join(sorted(excluded)).encode()),
            (messages.SESSION, b"%d" % req.session),
        ]
        forwarded = dataclasses.replace(
            req, path=f"{PREFIX}{req.service}{req.path}"
        )
        sent = await self._http.send(address, forwarded, headers, req.deadline)
        if isinstance(sent, result.Success):
            return parse_answer(sent.unwrap())
        failure = sent.failure()
        req_result = messages.not_run(
            f"entry {address} did not answer: {failure.message}",
            "send it again",
            messages.Sign.UNREACHABLE,
        )
        if failure.kind is client_lib.FailureKind.NOT_SENT:
            return req_result
        return dataclasses.replace(req_result, outcome=messages.Outcome.UNKNOWN)


def _read_enum(answer: messages.Answer, name: bytes, default: EnumT) -> EnumT:
    """Returns the enum value of a header, or the default if it is invalid."""
    try:
        return type(default)(answer.header(name).decode("latin-1"))
    except ValueError:
        return default


def parse_answer(answer: messages.Answer) -> messages.RequestResult:
    """Returns the result of a request that another entry handled.

    An answer without an outcome header is UNKNOWN: the entry may have failed
    after the request ran.
    """
    outcome = _read_enum(answer, messages.OUTCOME, messages.Outcome.UNKNOWN)
    sign = _read_enum(answer, messages.SIGN, messages.Sign.NONE)
    target = answer.header(messages.TARGET).decode("latin-1")
    instance = answer.header(messages.INSTANCE).decode("latin-1")
    if outcome is not messages.Outcome.ANSWERED:
        if answer.stream is not None:
            answer.stream.close()
        req_result = messages.not_run(
            answer.body.decode("utf-8", "replace"),
            "send it again where it did not run",
            sign,
            target,
        )
        return dataclasses.replace(
            req_result, outcome=outcome, instance=instance
        )
    return messages.RequestResult(
        outcome,
        answer=messages.Answer(
            answer.status,
            [(n, v) for n, v in answer.headers if n.lower() not in OWN_HEADERS],
            answer.body,
            answer.stream,
        ),
        sign=sign,
        target=target,
        instance=instance,
    )
