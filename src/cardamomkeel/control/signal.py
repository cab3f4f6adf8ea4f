"""A signal that several tasks can wait for repeatedly."""

import anyio


class Signal:
    """Wakes all waiting tasks on each notification."""

    def __init__(self):
        self._event: anyio.Event | None = None

    def notify(self) -> None:
        """Wakes the tasks that wait now."""
        # An event is created by `wait` only: usually no task waits, and an
        # event for each request would be expensive.
        event, self._event = self._event, None
        if event is not None:
            event.set()

    async def wait(self, timeout_s: float | None = None) -> bool:
        """Waits for the next `notify`; returns False on a timeout."""
        event = self._event = self._event or anyio.Event()
        with anyio.move_on_after(timeout_s):
            await event.wait()
        return event.is_set()
