"""Metrics that every process serves at `/metrics`.

Names follow the conventions of Prometheus: counters end with `_total`, and
times are in seconds.
"""

import bisect
import dataclasses
import itertools
import typing

import aioprometheus

from cardamomkeel import clock

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# The upper bounds of the histogram buckets.
BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]
BUCKETS_S = [clock.seconds(bound) for bound in BUCKETS_MS]


@dataclasses.dataclass(slots=True)
class _CounterSeries:
    """The value of a counter for one set of labels."""

    doc: str
    labels: dict[str, str]
    value: float = 0


@dataclasses.dataclass(slots=True)
class _HistogramSeries:
    """A histogram for one set of labels.

    Attributes:
        doc: The help text.
        labels: The label values of this series, by label name.
        counts: The count of each bucket; the last is above all bounds.
        total: The sum of the observed values, in milliseconds.
    """

    doc: str
    labels: dict[str, str]
    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_MS) + 1)
    )
    total: float = 0.0


class Metrics:
    """The metrics of one process, created when first used.

    Counters and histograms are accumulated here and copied to aioprometheus
    only when the metrics are rendered, because aioprometheus looks up series by
    serialized labels, which is too slow to do for each request.
    """

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.collectors.Collector] = {}
        self._counters: dict[tuple, _CounterSeries] = {}
        self._histograms: dict[tuple, _HistogramSeries] = {}
        self._gauge_updaters: list[typing.Callable[[], None]] = []

    def _get_collector(self, kind: type, name: str, doc: str, **options):
        if name not in self._collectors:
            self._collectors[name] = kind(
                f"cardamomkeel_{name}", doc, registry=self.registry, **options
            )
        return self._collectors[name]

    def add_gauge_updater(self, updater: typing.Callable[[], None]) -> None:
        """Adds a function that sets gauges before the metrics are rendered."""
        self._gauge_updaters.append(updater)

    def count(self, name: str, doc: str, by: float = 1, **labels) -> None:
        """Adds to a counter, exported as `NAME_total`."""
        key = (name, *labels.items())
        count = self._counters.get(key)
        if count is None:
            count = self._counters[key] = _CounterSeries(doc, labels)
        count.value += by

    def gauge(self, name: str, doc: str, value: float, **labels) -> None:
        """Sets a gauge."""
        self._get_collector(aioprometheus.Gauge, name, doc).set(labels, value)

    def observe(self, name: str, doc: str, value: float, **labels) -> None:
        """Adds milliseconds to a histogram, exported as `NAME_seconds`."""
        key = (name, *labels.items())
        series = self._histograms.get(key)
        if series is None:
            series = self._histograms[key] = _HistogramSeries(doc, labels)
        series.counts[bisect.bisect_left(BUCKETS_MS, value)] += 1
        series.total += value

    def render(self) -> bytes:
        """Returns all metrics in the text format of Prometheus."""
        for updater in self._gauge_updaters:
            updater()
        for (name, *_), count in self._counters.items():
            counter = self._get_collector(
                aioprometheus.Counter, f"{name}_total", count.doc
            )
            counter.set(count.labels, count.value)
        for (name, *_), series in self._histograms.items():
            self._update_histogram(name, series)
        content, _ = aioprometheus.render(self.registry, [CONTENT_TYPE])
        return content

    def _update_histogram(self, name: str, series: _HistogramSeries) -> None:
        collector = self._get_collector(
            aioprometheus.Histogram,
            f"{name}_seconds",
            series.doc,
            buckets=BUCKETS_S,
        )
        histogram = aioprometheus.histogram.Histogram(*BUCKETS_S)
        histogram.buckets.update(
            zip(
                histogram.buckets,
                itertools.accumulate(series.counts),
                strict=True,
            )
        )
        histogram.observations = sum(series.counts)
        histogram.sum = clock.seconds(series.total)
        collector.set_value(series.labels, histogram)
