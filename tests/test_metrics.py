"""Tests of a process's metrics and their text form."""

import unittest

import anyio

from daleroad.events import Event, log_event
from daleroad.exposition import render_metrics
from daleroad.metrics import Metrics, RequestMetrics


class MetricsTest(unittest.TestCase):
    def test_events_gauges_and_requests_are_shown(self) -> None:
        async def count() -> Metrics:
            metrics = Metrics()
            requests = RequestMetrics(metrics)
            metrics.watch("daleroad_streams", "Streams now", lambda: 3)
            log_event(Event.RELOADED, path="x")
            now = anyio.current_time()
            requests.note_end("stream", "200", 1, now - 0.3)
            requests.note_end("stream", "200", 2, now - 100.0)
            requests.note_end("once", "no-upstream", 0, now)
            return metrics

        lines = render_metrics(anyio.run(count).read()).decode().splitlines()
        for line in (
            'daleroad_events_total{event="RELOADED"} 1.0',
            "daleroad_streams 3.0",
            'daleroad_request_ends_total{end="200",kind="stream"} 2.0',
            'daleroad_request_ends_total{end="no-upstream",kind="once"} 1.0',
            'daleroad_request_seconds_bucket{kind="stream",le="0.2"} 0.0',
            'daleroad_request_seconds_bucket{kind="stream",le="0.4"} 1.0',
            'daleroad_request_seconds_bucket{kind="stream",le="25.6"} 1.0',
            'daleroad_request_seconds_bucket{kind="stream",le="+Inf"} 2.0',
            'daleroad_request_seconds_count{kind="stream"} 2.0',
            'daleroad_request_sends_bucket{kind="stream",le="1.0"} 1.0',
            'daleroad_request_sends_bucket{kind="once",le="0.0"} 1.0',
        ):
            self.assertIn(line, lines)
