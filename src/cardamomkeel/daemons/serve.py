"""Serves ASGI applications until told to stop."""

import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config
import loguru

# How long open calls of operators may take at a stop.
GRACE_PERIOD_S = 5.0
# How long an unused connection of an operator is kept.
KEEP_ALIVE_S = 60.0

logger = loguru.logger


def _log_failures(app: typing.Callable) -> typing.Callable:
    """Returns an application whose exceptions are written to the log."""

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
        stop: Set once no new connection is to be taken.
    """
    cfg = hypercorn_config.Config()
    cfg.bind = [address]
    cfg.accesslog = None
    cfg.errorlog = None
    cfg.graceful_timeout = GRACE_PERIOD_S
    cfg.keep_alive_timeout = KEEP_ALIVE_S
    shutdown = anyio.Event()

    async def run() -> None:
        # hypercorn fails where it is cancelled instead of told to close.
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
