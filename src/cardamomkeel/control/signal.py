"""A signal that many tasks can wait for, again and again."""

import anyio


class Signal:
    """Wakes all tasks that wait for it."""

    def __init__(self):
        self._event: anyio.Event | None = None

    def notify(self) -> None:
        """Wakes all that wait now."""
        # Most often nobody waits, and an event for each request would cost.
        event, self._event = self._event, None
        if event is not None:
            event.set()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Waits for the next `notify`; False where the time ran out."""
        event = self._event = self._event or anyio.Event()
        with anyio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()
