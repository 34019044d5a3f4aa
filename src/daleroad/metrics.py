"""Counters and latency histograms of gateways and coordinators.

They are counted here, and only the page that shows them needs the metrics library. It was an eighth
of what a process loads, and after a loss of power nothing is served until that is done.
"""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from itertools import accumulate
from typing import Protocol

import anyio

from daleroad.events import Event, observe_events

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
"""Bounds of the latency histograms, from a plain request to a long stream."""

SENDS_BUCKETS = (0, 1, 2, 3, 5)
"""Bounds of the histogram of upstreams that a request was sent to."""


@dataclass(frozen=True)
class CounterSample:
    """A family of counters at one moment.

    :param values: count by the values of the labels.
    """

    name: str
    help_text: str
    labels: tuple[str, ...]
    values: tuple[tuple[tuple[str, ...], float], ...]


@dataclass(frozen=True)
class GaugeSample:
    """A gauge at one moment."""

    name: str
    help_text: str
    value: float


@dataclass(frozen=True)
class GaugesSample:
    """A family of gauges at one moment.

    :param values: value by the values of the labels.
    """

    name: str
    help_text: str
    labels: tuple[str, ...]
    values: tuple[tuple[tuple[str, ...], float], ...]


@dataclass(frozen=True)
class HistogramValue:
    """One histogram of a family.

    :param labels: the values of the labels.
    :param counts: observations up to each bound and, last, all of them.
    :param total: sum of all observations.
    """

    labels: tuple[str, ...]
    counts: tuple[int, ...]
    total: float


@dataclass(frozen=True)
class HistogramSample:
    """A family of histograms at one moment.

    :param bounds: upper bounds of the buckets.
    """

    name: str
    help_text: str
    labels: tuple[str, ...]
    bounds: tuple[float, ...]
    values: tuple[HistogramValue, ...]


Sample = CounterSample | GaugeSample | GaugesSample | HistogramSample


class Family(Protocol):
    """A family of metrics."""

    def read(self) -> Sample:
        """Return the family now."""


@dataclass
class EventCounters:
    """A family of counters.

    :param labels: names of the labels.
    """

    name: str
    help_text: str
    labels: tuple[str, ...]
    _values: Counter[tuple[str, ...]] = field(default_factory=Counter)

    def add(self, *labels: str) -> None:
        """Count one.

        :param labels: values of the labels.
        """
        self._values[labels] += 1

    def read(self) -> CounterSample:
        """Return the counts now."""
        return CounterSample(self.name, self.help_text, self.labels, tuple(self._values.items()))


@dataclass
class Histograms:
    """A family of histograms.

    :param labels: names of the labels.
    :param bounds: upper bounds of the buckets.
    """

    name: str
    help_text: str
    labels: tuple[str, ...]
    bounds: tuple[float, ...]
    _counts: dict[tuple[str, ...], list[int]] = field(default_factory=dict)
    _totals: Counter[tuple[str, ...]] = field(default_factory=Counter)

    def observe(self, value: float, *labels: str) -> None:
        """Count one observation.

        :param value: the observation.
        :param labels: values of the labels.
        """
        counts = self._counts.setdefault(labels, [0] * (len(self.bounds) + 1))
        counts[bisect_left(self.bounds, value)] += 1
        self._totals[labels] += value  # type: ignore[assignment]

    def read(self) -> HistogramSample:
        """Return the histograms now."""
        values = (
            HistogramValue(labels, tuple(accumulate(counts)), self._totals[labels])
            for labels, counts in self._counts.items()
        )
        return HistogramSample(self.name, self.help_text, self.labels, self.bounds, tuple(values))


@dataclass(frozen=True)
class _Gauge:
    name: str
    help_text: str
    read: Callable[[], float]


class Metrics:
    """What a process counts of all it does: one counter by event, and what it believes."""

    def __init__(self) -> None:
        self._events = EventCounters("daleroad_events", "Events, logged or left out", ("event",))
        self._families: list[Family] = [self._events]
        self._gauges: list[_Gauge] = []
        observe_events(self._count)

    def _count(self, event: Event) -> None:
        self._events.add(event.name)

    def watch(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when it is asked for.

        :param name: its name.
        :param help_text: what it says, with its unit.
        :param read: returns its value.
        """
        self._gauges.append(_Gauge(name, help_text, read))

    def add(self, family: Family) -> None:
        """Show another family.

        :param family: the family.
        """
        self._families.append(family)

    def read(self) -> Sequence[Sample]:
        """Return all metrics as they are now."""
        gauges = [GaugeSample(g.name, g.help_text, float(g.read())) for g in self._gauges]
        return [*(family.read() for family in self._families), *gauges]


class RequestMetrics:
    """What a gateway counts of its requests.

    :param metrics: the process's metrics.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._ends = EventCounters(
            "daleroad_request_ends",
            "Requests by kind and end: a status, or a failure's kind",
            ("kind", "end"),
        )
        self._seconds = Histograms(
            "daleroad_request_seconds",
            "Seconds to the whole answer, or to the head of a stream",
            ("kind",),
            SECONDS_BUCKETS,
        )
        self._sends = Histograms(
            "daleroad_request_sends",
            "Upstreams that a request was sent to",
            ("kind",),
            SENDS_BUCKETS,
        )
        for family in (self._ends, self._seconds, self._sends):
            metrics.add(family)

    def note_end(self, kind: str, end: str, sends: int, received_at: float) -> None:
        """Count a request that has its answer or its first output.

        :param kind: whether it is idempotent, goes once, or streams.
        :param end: a status, or a failure's kind.
        :param sends: upstreams it was sent to.
        :param received_at: when its head was read.
        """
        self._ends.add(kind, end)
        self._seconds.observe(anyio.current_time() - received_at, kind)
        self._sends.observe(sends, kind)
