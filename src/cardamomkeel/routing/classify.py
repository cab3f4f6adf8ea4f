"""Classification of the results of attempts."""

import dataclasses

from returns import result

from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.routing import messages
from cardamomkeel.wire import control_pb2

_SIGNS = {
    client_lib.FailureKind.NOT_SENT: messages.Sign.REFUSED,
    client_lib.FailureKind.BROKEN: messages.Sign.BROKEN,
    client_lib.FailureKind.TIMED_OUT: messages.Sign.TIMED_OUT,
}


def classify(
    sent: result.Result[messages.Answer, client_lib.SendFailure],
    target: control_pb2.TargetRecord,
) -> messages.RequestResult:
    """Returns the result of an attempt at a request.

    Args:
        sent: The answer, or the failure of the attempt.
        target: The target that the request was sent to.
    """
    if isinstance(sent, result.Success):
        return _classify_answer(sent.unwrap(), target)
    failure = sent.failure()
    sign = _SIGNS[failure.kind]
    if failure.kind is client_lib.FailureKind.NOT_SENT:
        return messages.not_run(
            f"{target.address} can't be reached: {failure.message}",
            "send it again",
            sign,
            target.address,
        )
    req_result = messages.not_run(
        f"{target.address} did not answer: {failure.message}",
        "find out whether it ran before sending it again",
        sign,
        target.address,
    )
    return dataclasses.replace(
        req_result,
        outcome=messages.Outcome.UNKNOWN,
        instance=target.instance,
    )


def _classify_answer(
    answer: messages.Answer, target: control_pb2.TargetRecord
) -> messages.RequestResult:
    reason = answer.header(messages.NOT_RUN)
    if answer.status == 503 and reason:
        if answer.stream is not None:
            answer.stream.close()
        return messages.not_run(
            f"{target.address} did not run it: {reason.decode('latin-1')}",
            "send it again",
            messages.Sign.SHED,
            target.address,
        )
    sign = messages.Sign.SUCCESS
    if answer.status >= 500:
        sign = messages.Sign.SERVER_ERROR
    return messages.RequestResult(
        messages.Outcome.ANSWERED,
        answer=answer,
        sign=sign,
        target=target.address,
        instance=target.instance,
    )
