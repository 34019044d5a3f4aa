"""Counters and latency histograms of gateways and coordinators, in the Prometheus format."""

from collections.abc import Callable

import anyio
from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

from daleroad.events import Event, observe_events

SECONDS_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
"""Bounds of the latency histograms, from a plain request to a long stream."""


class Metrics:
    """What a process counts of all it does: one counter by event, and what it believes."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._events = Counter(
            "daleroad_events", "Events, logged or left out", ["event"], registry=self.registry
        )
        observe_events(self._count)

    def _count(self, event: Event) -> None:
        self._events.labels(event.name).inc()

    def watch(self, name: str, help_text: str, read: Callable[[], float]) -> None:
        """Add a gauge that is read when it is asked for.

        :param name: its name.
        :param help_text: what it says, with its unit.
        :param read: returns its value.
        """
        Gauge(name, help_text, registry=self.registry).set_function(read)

    def render(self) -> bytes:
        """Return all metrics as text."""
        return generate_latest(self.registry)


class RequestMetrics:
    """What a gateway counts of its requests.

    :param metrics: the process's metrics.
    """

    def __init__(self, metrics: Metrics) -> None:
        registry = metrics.registry
        self._ends = Counter(
            "daleroad_request_ends",
            "Requests by kind and end: a status, or a failure's kind",
            ["kind", "end"],
            registry=registry,
        )
        self._seconds = Histogram(
            "daleroad_request_seconds",
            "Seconds to the whole answer, or to the head of a stream",
            ["kind"],
            buckets=SECONDS_BUCKETS,
            registry=registry,
        )
        self._sends = Histogram(
            "daleroad_request_sends",
            "Upstreams that a request was sent to",
            ["kind"],
            buckets=(0, 1, 2, 3, 5),
            registry=registry,
        )

    def note_end(self, kind: str, end: str, sends: int, received_at: float) -> None:
        """Count a request that has its answer or its first output.

        :param kind: whether it is idempotent, goes once, or streams.
        :param end: a status, or a failure's kind.
        :param sends: upstreams it was sent to.
        :param received_at: when its head was read.
        """
        self._ends.labels(kind, end).inc()
        self._seconds.labels(kind).observe(anyio.current_time() - received_at)
        self._sends.labels(kind).observe(sends)
