"""Commits one change of an operator."""

from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.wire import control_pb2

# Long enough to include an election of the control group.
COMMIT_TIMEOUT_MS: clock.Millis = 5000.0


async def commit(
    control: client_lib.ControlClient, command: control_pb2.Command
) -> result.Result[control_pb2.CommandResult, errors.Error]:
    """Commits a command and returns its result, accepted or refused."""
    proposed = await control.propose([command], COMMIT_TIMEOUT_MS)
    return proposed.map(lambda results: results[0])


def describe(
    outcome: control_pb2.CommandResult, remedy: str = "see `show`"
) -> result.Result[dict[str, int], errors.Error]:
    """Returns the result of a command as the answer to an operator."""
    if outcome.status != control_pb2.STATUS_OK:
        return result.Failure(errors.ConflictError(outcome.message, remedy))
    return result.Success(
        {"revision": outcome.revision, "version": outcome.version}
    )
