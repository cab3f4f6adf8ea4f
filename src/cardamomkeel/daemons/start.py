"""Start and stop code shared by the long-running programs."""

import collections.abc
import signal
import sys
import typing

import anyio
import loguru
from returns import result

from cardamomkeel import errors
from cardamomkeel import listening

Value = typing.TypeVar("Value")

logger = loguru.logger


def exit_with_error(error: errors.Error) -> typing.NoReturn:
    """Logs and prints an error with its remedy, and exits with status 1."""
    logger.error(error.message, kind=error.kind, remedy=error.remedy)
    print(f"error: {error.message}\nremedy: {error.remedy}", file=sys.stderr)
    sys.exit(1)


def unwrap_or_exit(outcome: result.Result[Value, errors.Error]) -> Value:
    """Returns the value of a success; exits with the error of a failure."""
    if not isinstance(outcome, result.Success):
        exit_with_error(outcome.failure())
    return outcome.unwrap()


def run_to_end(run: collections.abc.Callable[[], Value]) -> Value:
    """Runs a program; prints errors that have a remedy without a traceback."""
    try:
        return run()
    except listening.ListenError as exc:
        exit_with_error(exc.error)
    except BaseExceptionGroup as group:
        listen_errors = group.subgroup(listening.ListenError)
        if listen_errors is not None:
            exit_with_error(_first_exception(listen_errors).error)
        if group.subgroup(SystemExit) is None:
            raise
        # A task called `exit_with_error`, which printed the error.
        sys.exit(1)


def _first_exception(group: BaseExceptionGroup) -> BaseException:
    first: BaseException = group
    while isinstance(first, BaseExceptionGroup):
        first = first.exceptions[0]
    return first


async def wait_for_stop(stop: anyio.Event) -> None:
    """Sets an event on the first SIGTERM or SIGINT; logs and ignores others."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stop.is_set():
                logger.warning(
                    "ignored repeated stop signal", signal=int(number)
                )
            else:
                logger.info("received stop signal", signal=int(number))
                stop.set()
