"""Records what targets say of themselves: that they leave or push back."""

import loguru

from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import names as names_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import push_back

logger = loguru.logger


class TargetSignals:
    """Applies the headers by which targets ask for fewer requests."""

    def __init__(
        self,
        targets: targets_lib.Targets,
        names: names_lib.HeaderNames,
        longest_hold_ms: clock.Millis,
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
    ):
        """Creates the signals.

        Args:
            targets: The targets.
            names: The names of the headers.
            longest_hold_ms: The longest time for which a target gets no
                requests after a refusal.
            metrics: Counts the signals.
            clk: The clock.
        """
        self._targets = targets
        self._retry_after = names.retry_after.lower().encode()
        self._longest_hold_ms = longest_hold_ms
        self._metrics = metrics
        self._clock = clk
        self._push_back_limit = limits.Limit("target pushed back", clk)
        self._unreadable_limit = limits.Limit("ignored push-back", clk)

    def note_leaving(self, target: target_lib.Target) -> None:
        """Records that a target leaves, for good."""
        if target.is_leaving:
            return
        self._targets.record_leaving(target)
        self._metrics.count(
            "targets_leaving",
            "Targets that said in an answer that they leave.",
            service=target.record.service,
        )
        logger.info(
            "target leaves",
            target=target.address,
            instance=target.record.instance,
        )

    def note_refusal(
        self, target: target_lib.Target, headers: http_headers.Headers
    ) -> None:
        """Holds a target whose refusal names a time."""
        values = [v for n, v in headers if n.lower() == self._retry_after]
        if not values:
            return
        wait_ms = push_back.parse_retry_after(values)
        if wait_ms is None:
            if self._unreadable_limit.may_write():
                logger.warning(
                    "ignored push-back",
                    target=target.address,
                    value=repr(values[0][:100]),
                )
            return
        now = self._clock.now()
        until = push_back.hold_until(wait_ms, self._longest_hold_ms, now)
        if until <= now:
            return
        target.note_push_back(until)
        self._metrics.count(
            "push_backs",
            "Refusals of targets that asked for no requests for some time.",
            service=target.record.service,
        )
        if self._push_back_limit.may_write():
            logger.info(
                "target pushed back",
                target=target.address,
                instance=target.record.instance,
                asked_ms=round(wait_ms),
                held_ms=round(target.held_ms(now)),
            )
