"""Counts the demand for one service at an entry and what became of it."""

import math

from cardamomkeel import clock
from cardamomkeel.gateway import data_centre_reports

# Time constants of the smoothed rates. Demand changes with waves and bursts;
# what targets answer has to be averaged over their slow spans.
DEMAND_MS = 500.0
OUTCOME_MS = 1000.0
_DEMAND = ("arrivals", "demand", "patience", "sent_bytes")
_OUTCOME = ("expected", "took", "answers", "failures")


class ServiceFigures:
    """Smoothed rates of one service, in the units of `Figures`."""

    def __init__(self, now: clock.Millis):
        self._counted = dict.fromkeys((*_DEMAND, *_OUTCOME), 0.0)
        self._rates = dict(self._counted)
        self._since = now

    def count_request(
        self, work_ms: clock.Millis, patience_ms: clock.Millis
    ) -> None:
        """Counts a request of a caller.

        Args:
            work_ms: Its expected work time.
            patience_ms: How long it can wait and still be answered in time.
        """
        self._counted["arrivals"] += 1
        self._counted["demand"] += clock.seconds(work_ms)
        self._counted["patience"] += clock.seconds(max(0.0, patience_ms))

    def count_bytes(self, length: int) -> None:
        """Counts the bytes of a request and its answer."""
        self._counted["sent_bytes"] += length

    def count_answer(
        self, work_ms: clock.Millis, took_ms: clock.Millis
    ) -> None:
        """Counts an answer of a target of this data centre."""
        self._counted["answers"] += 1
        self._counted["expected"] += clock.seconds(work_ms)
        self._counted["took"] += clock.seconds(took_ms)

    def count_failure(self) -> None:
        """Counts a request that such a target refused or failed."""
        self._counted["failures"] += 1

    def measure(
        self, running: dict[str, int], now: clock.Millis
    ) -> data_centre_reports.Figures:
        """Returns the rates up to now.

        Args:
            running: The running requests, by the data centre of the target.
            now: The time.
        """
        passed_ms = max(1.0, now - self._since)
        self._since = now
        for names, constant_ms in (
            (_DEMAND, DEMAND_MS),
            (_OUTCOME, OUTCOME_MS),
        ):
            weight = 1 - math.exp(-passed_ms / constant_ms)
            for name in names:
                rate = self._counted[name] / clock.seconds(passed_ms)
                self._rates[name] += weight * (rate - self._rates[name])
                self._counted[name] = 0.0
        return data_centre_reports.Figures(
            **{
                name: round(rate * data_centre_reports.THOUSANDTHS)
                for name, rate in self._rates.items()
            },
            running=running,
        )
