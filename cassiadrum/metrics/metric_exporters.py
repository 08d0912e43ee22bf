"""Export of metric values through the collectors of aioprometheus.

Only this module imports the library, and only when metrics are rendered.
"""

from collections.abc import Mapping
from typing import TYPE_CHECKING, Any

from cassiadrum.metrics.metric_definitions import DEFINITIONS, MetricDefinition
from cassiadrum.metrics.metric_values import HistogramValue, MetricValues

if TYPE_CHECKING:
    from aioprometheus.collectors import Registry

__all__ = ["MetricExporter", "make_registry"]


def make_registry() -> "Registry":
    """Return a new, empty registry; imports aioprometheus."""
    from aioprometheus.collectors import Registry  # noqa: PLC0415

    return Registry()


class MetricExporter:
    """The collectors of all metrics, which are filled on rendering."""

    def __init__(
        self, registry: "Registry", definitions: Mapping[str, MetricDefinition] = DEFINITIONS
    ) -> None:
        from aioprometheus.collectors import Counter, Gauge, Histogram  # noqa: PLC0415

        self._registry = registry
        self._definitions = definitions
        kinds: dict[str, Any] = {"counter": Counter, "gauge": Gauge, "histogram": Histogram}
        self._collectors: dict[str, Any] = {
            name: kinds[definition.kind](name, definition.doc, registry=registry)
            for name, definition in definitions.items()
        }

    def render(self, values: MetricValues) -> bytes:
        """Return all metrics of the registry in the Prometheus text format."""
        from aioprometheus.renderer import render  # noqa: PLC0415

        for name, definition in self._definitions.items():
            collector = self._collectors[name]
            collector.values.clear()
            for labels, value in values.scalars[name].items():
                collector.set_value(_label_dict(definition, labels), value)
            for labels, histogram in values.histograms[name].items():
                collector.set_value(
                    _label_dict(definition, labels), _to_library_histogram(histogram)
                )
        content, _ = render(self._registry, [])
        return content


def _label_dict(definition: MetricDefinition, labels: tuple[str, ...]) -> dict[str, str]:
    return dict(zip(definition.labels, map(_escape_label_value, labels), strict=True))


def _escape_label_value(value: str) -> str:
    # The library does not escape label values as the text format requires.
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _to_library_histogram(histogram: HistogramValue) -> Any:
    from aioprometheus.histogram import Histogram  # noqa: PLC0415

    value = Histogram(*histogram.bounds)
    cumulative = 0
    for bound, count in zip(list(value.buckets), histogram.counts, strict=True):
        cumulative += count
        value.buckets[bound] = cumulative
    value.observations = cumulative
    value.sum = histogram.total
    return value
