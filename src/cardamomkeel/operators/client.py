"""Calls of operators' commands to processes."""

import typing

import httpx
from returns import result

from cardamomkeel import errors

# For one call, which may wait until a change is in force.
TIMEOUT_S = 20.0


def call(
    addresses: list[str], secret: str, path: str, body: dict[str, typing.Any]
) -> result.Result[dict[str, typing.Any], errors.Error]:
    """Calls processes in turn until one answers.

    The next process is called after one that does not answer, or answers with
    status 503. A call may thus reach several processes, so each change has an
    id.

    Args:
        addresses: Operators' addresses of the processes.
        secret: The operators' secret.
        path: The path of the call.
        body: The body of the call.

    Returns:
        The answer, or the error of the last process called.
    """
    failure: errors.Error = errors.UnavailableError(
        "no address is given", "name one with --at"
    )
    for address in addresses:
        try:
            response = httpx.post(
                f"http://{address}{path}",
                json=body,
                headers={"authorization": f"Bearer {secret}"},
                timeout=TIMEOUT_S,
                trust_env=False,
                verify=False,
            )
        except httpx.HTTPError as exc:
            failure = errors.UnavailableError(
                f"{address} does not answer: {exc!r}",
                "see that it runs, or name others with --at",
            )
            continue
        try:
            answer = response.json()
        except ValueError:
            # A process that is stopping may send a status without a body.
            failure = errors.UnavailableError(
                f"{address} gives no answer but status {response.status_code}",
                "call again, or name others with --at",
            )
            continue
        if response.status_code == 200:
            return result.Success(answer)
        failure = errors.ConflictError(answer["message"], answer["remedy"])
        if response.status_code != 503:
            break
    return result.Failure(failure)
