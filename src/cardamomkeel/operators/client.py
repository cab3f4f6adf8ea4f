"""Calls of the command line to the operators' interface."""

import typing

import httpx
from returns import result

from cardamomkeel import errors

# How long a process may take: a change that waits until it is in force.
TIMEOUT_S = 20.0


def call(
    addresses: list[str], secret: str, path: str, body: dict[str, typing.Any]
) -> result.Result[dict[str, typing.Any], errors.Error]:
    """Calls the first process that answers.

    A call may reach more than one process, so changes carry an id.
    """
    failure: errors.Error = errors.UnavailableError(
        "no address is given", "name one with --at"
    )
    for address in addresses:
        try:
            got = httpx.post(
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
            answer = got.json()
        except ValueError:
            # A process that is ending may send the status alone.
            failure = errors.UnavailableError(
                f"{address} gives no answer but status {got.status_code}",
                "call again, or name others with --at",
            )
            continue
        if got.status_code == 200:
            return result.Success(answer)
        failure = errors.ConflictError(answer["message"], answer["remedy"])
        if got.status_code != 503:
            break
    return result.Failure(failure)
