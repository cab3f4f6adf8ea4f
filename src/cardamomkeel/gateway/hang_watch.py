"""Ends requests that hang at a target which doesn't work on them."""

import asyncio
import typing

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import hang

logger = loguru.logger

Answer = typing.TypeVar("Answer")


class HungError(Exception):
    """A target has a request but does not work on it."""


class Prober(typing.Protocol):
    """Asks targets for their load."""

    async def probe(self, targets: list[target_lib.Target]) -> None:
        """Probes targets and records what they report."""
        ...


class HangWatch:
    """Waits for answers and asks targets that owe one for their load."""

    def __init__(
        self, prober: Prober, metrics: metrics_lib.Metrics, clk: clock.Clock
    ):
        self._prober = prober
        self._metrics = metrics
        self._clock = clk
        self._limit = limits.Limit("target does not work on request", clk)

    async def wait(
        self,
        answer: asyncio.Future[Answer],
        target: target_lib.Target,
        check_after_ms: clock.Millis,
        has_begun: typing.Callable[[], bool],
    ) -> Answer:
        """Returns an answer; cancelling cancels it.

        Args:
            answer: Resolves to the answer.
            target: The target that owes it.
            check_after_ms: After what time the target is asked for its load.
            has_begun: Returns whether bytes of the answer have arrived.

        Raises:
            HungError: The target reports that it works on no request.
        """
        began = self._clock.now()
        try:
            while not await self._is_done(answer, check_after_ms):
                if (
                    target.reports_load
                    and not has_begun()
                    and await self._is_idle(target)
                    and not await self._is_done(answer, hang.CONFIRM_MS)
                    and await self._is_idle(target)
                    and not answer.done()
                    and not has_begun()
                ):
                    self._note_hang(target, self._clock.now() - began)
                    raise HungError("the target does not work on it")
            return answer.result()
        finally:
            answer.cancel()

    async def _is_done(
        self, answer: asyncio.Future, wait_ms: clock.Millis
    ) -> bool:
        await asyncio.wait([answer], timeout=clock.seconds(wait_ms))
        return answer.done()

    async def _is_idle(self, target: target_lib.Target) -> bool:
        asked_at = self._clock.now()
        await self._prober.probe([target])
        return target.has_reported_idle(asked_at)

    def _note_hang(
        self, target: target_lib.Target, waited_ms: clock.Millis
    ) -> None:
        now = self._clock.now()
        target.note_failure(now)
        target.note_push_back(now + hang.HOLD_MS)
        self._metrics.count(
            "hangs", "Requests that a target took and did not work on."
        )
        if self._limit.may_write():
            logger.warning(
                "target does not work on request",
                target=target.address,
                instance=target.record.instance,
                waited_ms=round(waited_ms, 1),
            )
