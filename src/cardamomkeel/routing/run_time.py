"""Limits how long a request may run by the lease and the promises.

A promise is the time for which work may go on after the lease, as confirmed
by the leader.
"""

from cardamomkeel import clock
from cardamomkeel.control import signal
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib

# An idempotent request is sent at once if it may run for this share of the
# time until its deadline: it can be sent again if the time is too short.
IMMEDIATE_SEND_SHARE = 0.5
# No longer promise is requested for an idempotent request that may run for this
# share of the time until its deadline.
NO_EXTENSION_SHARE = 0.9
# The share that is enough after a wait of WAIT_MS.
SEND_AFTER_WAIT_SHARE = 0.1
WAIT_MS = 200.0
EXTEND_TIMEOUT_MS = 200.0
RETRY_PAUSE_MS = 20.0


class RunTimeLimiter:
    """Has the leader confirm longer promises when requests need them."""

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
        return session.promises.max_allowed_ms(
            service, self._clock.now(), session.lease_until
        )

    def try_start(self, service: str, until: clock.Millis) -> bool:
        """Records work that is about to start.

        Returns:
            Whether the work may continue until `until`. If False, nothing was
            recorded.
        """
        session = self._session
        return session.promises.try_start(service, until, session.lease_until)

    async def wait_until_allowed(
        self, req: messages.Request, allowed_ms: clock.Millis
    ) -> bool:
        """Waits until a request may run for long enough.

        Args:
            req: The request.
            allowed_ms: How long it may run.

        Returns:
            False if that was not confirmed before the deadline.
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
            session.promises.require(
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
        """Polls the leader early to have longer promises confirmed."""
        self._is_extending = True
        try:
            await self._session.poll_early(EXTEND_TIMEOUT_MS)
        finally:
            self._is_extending = False
            self._bound_extended.notify()


def _get_min_share(waited_ms: clock.Millis) -> float:
    """Returns the share of the remaining time that is enough after a wait."""
    return (
        IMMEDIATE_SEND_SHARE if waited_ms < WAIT_MS else SEND_AFTER_WAIT_SHARE
    )
