"""Metrics as text in the Prometheus format."""

from collections.abc import Iterator, Sequence

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from daleroad.metrics import CounterSample, GaugeSample, GaugesSample, HistogramSample, Sample


def render_metrics(samples: Sequence[Sample]) -> bytes:
    """Return metrics as text.

    :param samples: the metrics at one moment.
    """
    registry = CollectorRegistry()
    registry.register(_Samples(samples))
    return generate_latest(registry)


class _Samples(Collector):
    """Gives the library metrics that were counted elsewhere."""

    def __init__(self, samples: Sequence[Sample]) -> None:
        self._samples = samples

    def collect(self) -> Iterator[Metric]:
        """Yield all families."""
        yield from map(_make_family, self._samples)


def _make_family(sample: Sample) -> Metric:
    match sample:
        case GaugeSample(name, help_text, value):
            return GaugeMetricFamily(name, help_text, value=value)
        case CounterSample(name, help_text, labels, values):
            counter = CounterMetricFamily(name, help_text, labels=labels)
            for names, count in values:
                counter.add_metric(names, count)
            return counter
        case GaugesSample(name, help_text, labels, gauges):
            gauge = GaugeMetricFamily(name, help_text, labels=labels)
            for names, value in gauges:
                gauge.add_metric(names, value)
            return gauge
        case HistogramSample(name, help_text, labels, bounds, histograms):
            family = HistogramMetricFamily(name, help_text, labels=labels)
            limits = [*(str(float(bound)) for bound in bounds), "+Inf"]
            for found in histograms:
                buckets = list(zip(limits, found.counts, strict=True))
                family.add_metric(found.labels, buckets, found.total)
            return family
