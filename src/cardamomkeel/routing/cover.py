"""Sees that a request's time is covered by the lease and the promises."""

from cardamomkeel import clock
from cardamomkeel.control import signal
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib

# An idempotent request is sent at once where this share of its time is
# covered; it can be sent again when that was too little.
SHARE_AT_ONCE = 0.5
# Where this share is covered it asks for no longer promise either.
SHARE_WITHOUT_PROMISE = 0.9
# The same once it has waited for as long as it may.
SHARE_AFTER_WAIT = 0.1
WAIT_MS = 200.0
RAISE_TIMEOUT_MS = 200.0
RETRY_PAUSE_MS = 20.0


class Cover:
    """Has the leader confirm longer promises where requests need them."""

    def __init__(
        self,
        session: session_lib.Session,
        clk: clock.Clock,
    ):
        self._session = session
        self._clock = clk
        self._raised = signal.Signal()
        self._is_raising = False

    def cover_ms(self, service: str) -> clock.Millis:
        """Returns the longest time that a request may be allowed now."""
        session = self._session
        return session.promises.cover_ms(
            service, self._clock.now(), session.lease_until
        )

    def give(self, service: str, until: clock.Millis) -> bool:
        """Notes work that is about to start; False where it may not."""
        session = self._session
        return session.promises.give(service, until, session.lease_until)

    async def secure(
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
        least = SHARE_WITHOUT_PROMISE if is_retryable else 1.0
        while session.is_fresh() and now < until:
            left_ms = until - now
            covered_ms = self.cover_ms(req.service)
            if covered_ms >= least * left_ms:
                return True
            session.promises.want(
                req.service, now, session.lease_until, left_ms
            )
            share = _share_at(now - started) if is_retryable else 1.0
            if covered_ms >= share * left_ms:
                return True
            if self._is_raising:
                await self._raised.wait(clock.seconds(left_ms))
            else:
                await self._raise()
            now = self._clock.now()
        return False

    async def _raise(self) -> None:
        """Has the leader confirm what is wanted now."""
        self._is_raising = True
        try:
            await self._session.poll_early(RAISE_TIMEOUT_MS)
        finally:
            self._is_raising = False
            self._raised.notify()


def _share_at(waited_ms: clock.Millis) -> float:
    """Returns the share of a request's time that is enough after a wait."""
    return SHARE_AT_ONCE if waited_ms < WAIT_MS else SHARE_AFTER_WAIT
