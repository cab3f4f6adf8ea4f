"""Records outcomes and latencies of calls, by phase and service."""

import dataclasses

from hdrh import histogram

from cardamomkeel import clock
from cardamomkeel.client import calls
from cardamomkeel.experiments import results
from cardamomkeel.routing import messages

# Latencies are recorded from 1 µs to ten minutes with three significant digits.
MIN_LATENCY_US = 1
MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1000.0

ANSWERED = messages.Outcome.ANSWERED
NOT_RUN = messages.Outcome.NOT_RUN
UNKNOWN = messages.Outcome.UNKNOWN


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS
    )


def record(hist: histogram.HdrHistogram, value_ms: clock.Millis) -> None:
    """Adds a time in milliseconds to a histogram of microseconds."""
    value_us = min(
        max(MIN_LATENCY_US, int(value_ms * US_PER_MS)), MAX_LATENCY_US
    )
    hist.record_value(value_us)


def get_percentile(hist: histogram.HdrHistogram, percent: float) -> float:
    """Returns a percentile of a histogram of microseconds, in ms."""
    return round(hist.get_value_at_percentile(percent) / US_PER_MS, 3)


@dataclasses.dataclass
class _Counts:
    """Outcomes and latencies of the calls of one service in one phase."""

    outcomes: dict[messages.Outcome, int] = dataclasses.field(
        default_factory=lambda: dict.fromkeys(messages.Outcome, 0)
    )
    repeats: int = 0
    latencies: histogram.HdrHistogram = dataclasses.field(
        default_factory=_make_histogram
    )


class Recorder:
    """Records the outcome of every call of a run."""

    def __init__(self):
        self._phases: dict[str, dict[str, _Counts]] = {}
        self._send_delays = _make_histogram()

    def begin_phase(self, name: str) -> None:
        """Adds a phase; phases are listed in the order of their start."""
        self._phases.setdefault(name, {})

    def record_call(
        self,
        phase: str,
        service: str,
        reply: calls.Reply,
        elapsed_ms: clock.Millis,
    ) -> None:
        """Records a call in the phase in which it was due."""
        counts = self._phases[phase].setdefault(service, _Counts())
        counts.outcomes[reply.outcome] += 1
        counts.repeats += max(0, reply.attempts - 1)
        record(counts.latencies, elapsed_ms)

    def record_send_delay(self, delay_ms: clock.Millis) -> None:
        """Records how late the tool sent a call."""
        record(self._send_delays, delay_ms)

    def late_p99_ms(self) -> float:
        """Returns the 99th percentile of the delays in sending calls."""
        return get_percentile(self._send_delays, 99.0)

    def list_phases(self) -> list[results.PhaseFigures]:
        """Returns the figures of all phases."""
        return [
            results.PhaseFigures(
                name=name,
                calls=[
                    _summarize(service, counts)
                    for service, counts in sorted(by_service.items())
                ],
            )
            for name, by_service in self._phases.items()
        ]


def _summarize(service: str, counts: _Counts) -> results.CallFigures:
    latencies = counts.latencies
    return results.CallFigures(
        service=service,
        sent=sum(counts.outcomes.values()),
        answered=counts.outcomes[ANSWERED],
        not_run=counts.outcomes[NOT_RUN],
        unknown=counts.outcomes[UNKNOWN],
        repeats=counts.repeats,
        p50_ms=get_percentile(latencies, 50.0),
        p99_ms=get_percentile(latencies, 99.0),
        p999_ms=get_percentile(latencies, 99.9),
        most_ms=get_percentile(latencies, 100.0),
    )
