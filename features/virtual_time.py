"""An event loop in virtual time, and routes for tests of decisions."""

import asyncio
import selectors

from cardamomkeel import clock
from cardamomkeel.routes import document


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer; it is its clock."""

    def __init__(self):
        self._virtual = 0.0
        selector = selectors.DefaultSelector()
        poll = selector.select

        def select(timeout=None):
            self._virtual += timeout or 0.0
            return poll(0)

        selector.select = select
        super().__init__(selector)

    def time(self):
        """Returns the virtual time in seconds."""
        return self._virtual

    def now(self):
        """Returns the virtual time in milliseconds."""
        return self._virtual * clock.MS_PER_SECOND


def make_route(prefix, objective_ms, priority):
    return document.Route(
        host="h",
        prefix=prefix,
        idempotent=priority == 0,
        parts=(document.Part(service="a", weight=1.0),),
        attempts=2,
        timeout_ms=1000.0,
        objective_ms=objective_ms,
        priority=priority,
    )
