"""Serves ASGI applications until an event is set."""

import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
import loguru

# How long calls of operators in flight may take during a stop.
GRACE_PERIOD_S = 5.0
# How long an idle connection of an operator is kept open.
KEEP_ALIVE_S = 60.0

logger = loguru.logger


def _log_failures(app: typing.Callable) -> typing.Callable:
    """Returns an application that logs its exceptions."""

    async def logged(scope, receive, send) -> None:
        try:
            await app(scope, receive, send)
        except Exception:
            logger.exception("request failed", path=scope.get("path"))
            raise

    return logged


async def serve(app: typing.Callable, address: str, stop: anyio.Event) -> None:
    """Serves an application at one address.

    Args:
        app: The ASGI application.
        address: Host and port to listen on.
        stop: Set to stop accepting connections and return.
    """
    cfg = hypercorn_config.Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = GRACE_PERIOD_S
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    shutdown = anyio.Event()

    async def run() -> None:
        # hypercorn raises errors if it is cancelled without its shutdown
        # trigger.
        with anyio.CancelScope(shield=True):
            await hypercorn_asyncio.serve(
                _log_failures(app), cfg, shutdown_trigger=shutdown.wait
            )

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(run)
        try:
            await stop.wait()
        finally:
            shutdown.set()
