"""Sees that a request's time is covered by the lease and the promises."""

from cardamomkeel import clock
from cardamomkeel.control import signal
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib

# An idempotent request is sent at once where this share of its time is
# covered; it can be sent again when that was too little.
IMMEDIATE_SEND_SHARE = 0.5
# Where this share is covered it asks for no longer promise either.
NO_EXTENSION_SHARE = 0.9
# The same once it has waited for as long as it may.
SEND_AFTER_WAIT_SHARE = 0.1
WAIT_MS = 200.0
EXTEND_TIMEOUT_MS = 200.0
RETRY_PAUSE_MS = 20.0


class RunTimeLimiter:
    """Has the leader confirm longer promises where requests need them."""

    def __init__(
        self,
        session: session_lib.Session,
        clk: clock.Clock,
    ):
        self._session = session
        self._clock = clk
        self._bound_extended = signal.Signal()
        self._is_extending = False

    def max_run_ms(self, service: str) -> clock.Millis:
        """Returns the longest time that a request may be allowed now."""
        session = self._session
        return session.promises.cover_ms(
            service, self._clock.now(), session.lease_until
        )

    def try_start(self, service: str, until: clock.Millis) -> bool:
        """Notes work that is about to start; False where it may not."""
        session = self._session
        return session.promises.give(service, until, session.lease_until)

    async def wait_until_allowed(
        self, req: messages.Request, allowed_ms: clock.Millis
    ) -> bool:
        """Waits until the time of a request is covered.

        Args:
            req: The request.
            allowed_ms: How long it may run.

        Returns:
            False where that was not confirmed before the deadline.
        """
        session = self._session
        started = now = self._clock.now()
        until = started + allowed_ms
        is_retryable = req.idempotent and req.depth == 0
        min_share = NO_EXTENSION_SHARE if is_retryable else 1.0
        while session.is_fresh() and now < until:
            remaining_ms = until - now
            max_run_ms = self.max_run_ms(req.service)
            if max_run_ms >= min_share * remaining_ms:
                return True
            session.promises.want(
                req.service, now, session.lease_until, remaining_ms
            )
            share = _get_min_share(now - started) if is_retryable else 1.0
            if max_run_ms >= share * remaining_ms:
                return True
            if self._is_extending:
                await self._bound_extended.wait(clock.seconds(remaining_ms))
            else:
                await self._extend_bound()
            now = self._clock.now()
        return False

    async def _extend_bound(self) -> None:
        """Has the leader confirm what is wanted now."""
        self._is_extending = True
        try:
            await self._session.poll_early(EXTEND_TIMEOUT_MS)
        finally:
            self._is_extending = False
            self._bound_extended.notify()


def _get_min_share(waited_ms: clock.Millis) -> float:
    """Returns the share of a request's time that is enough after a wait."""
    return (
        IMMEDIATE_SEND_SHARE if waited_ms < WAIT_MS else SEND_AFTER_WAIT_SHARE
    )
