"""Serves ASGI applications until told to stop."""

import typing

import anyio
from hypercorn import asyncio as hypercorn_asyncio
from hypercorn import config as hypercorn_config

GRACE_S = 5.0


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
    cfg.graceful_timeout = GRACE_S
    cfg.keep_alive_timeout = 60.0
    await hypercorn_asyncio.serve(app, cfg, shutdown_trigger=stop.wait)
