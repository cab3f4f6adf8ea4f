"""Counters and gauges that every process shows under `/metrics`."""

import aioprometheus

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"


class Metrics:
    """The metrics of one process, made when first used."""

    def __init__(self):
        self.registry = aioprometheus.Registry()
        self._collectors: dict[str, aioprometheus.collectors.Collector] = {}

    def _get(self, kind: type, name: str, doc: str):
        if name not in self._collectors:
            self._collectors[name] = kind(
                f"cardamomkeel_{name}", doc, registry=self.registry
            )
        return self._collectors[name]

    def count(self, name: str, doc: str, by: float = 1, **labels) -> None:
        """Adds to a counter."""
        self._get(aioprometheus.Counter, name, doc).add(labels, by)

    def gauge(self, name: str, doc: str, value: float, **labels) -> None:
        """Sets a gauge."""
        self._get(aioprometheus.Gauge, name, doc).set(labels, value)

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        content, _ = aioprometheus.render(self.registry, [CONTENT_TYPE])
        return content
