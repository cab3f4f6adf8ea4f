"""Has one change of an operator committed."""

from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.wire import control_pb2

# How long a change may take to be written down, an election included.
COMMIT_TIMEOUT_MS: clock.Millis = 5000.0


async def commit(
    control: client_lib.ControlClient, command: control_pb2.Command
) -> result.Result[control_pb2.CommandResult, errors.Error]:
    """Returns what the command came to, accepted or not."""
    done = await control.propose([command], COMMIT_TIMEOUT_MS)
    return done.map(lambda results: results[0])


def describe(
    outcome: control_pb2.CommandResult, remedy: str = "see `show`"
) -> result.Result[dict[str, int], errors.Error]:
    """Returns the answer to an operator's change."""
    if outcome.status != control_pb2.STATUS_OK:
        return result.Failure(errors.ConflictError(outcome.message, remedy))
    return result.Success(
        {"revision": outcome.revision, "version": outcome.version}
    )
