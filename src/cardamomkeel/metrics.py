"""Counters and gauges that every process shows under `/metrics`."""

import typing

import aioprometheus

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
# Upper bounds of the buckets of histograms, in milliseconds.
BUCKETS_MS = [1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000]


class Metrics:
    """The metrics of one process, made when first used."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.collectors.Collector] = {}
        self._readers: list[typing.Callable[[], None]] = []

    def _get(self, kind: type, name: str, doc: str, **more):
        if name not in self._collectors:
            self._collectors[name] = kind(
                f"cardamomkeel_{name}", doc, registry=self.registry, **more
            )
        return self._collectors[name]

    def read_with(self, reader: typing.Callable[[], None]) -> None:
        """Has a function set gauges each time the metrics are shown."""
        self._readers.append(reader)

    def count(self, name: str, doc: str, by: float = 1, **labels) -> None:
        """Adds to a counter."""
        self._get(aioprometheus.Counter, name, doc).add(labels, by)

    def gauge(self, name: str, doc: str, value: float, **labels) -> None:
        """Sets a gauge."""
        self._get(aioprometheus.Gauge, name, doc).set(labels, value)

    def observe(self, name: str, doc: str, value: float, **labels) -> None:
        """Adds a value in milliseconds to a histogram."""
        histogram = self._get(
            aioprometheus.Histogram, name, doc, buckets=BUCKETS_MS
        )
        histogram.observe(labels, value)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        for reader in self._readers:
            reader()
        content, _ = aioprometheus.render(self.registry, [CONTENT_TYPE])
        return content
