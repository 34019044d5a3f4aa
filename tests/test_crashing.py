"""Tests of a poison request, which crashes each engine that begins to run it and is sent again.

They guard against such a request taking down most engines of a service, one after another, because
nothing recognises it when it is sent again; the requests of other callers then fail too.
"""

import unittest
from dataclasses import replace

import anyio
import trio
import trio.testing

from daleroad.dispatch import Attempt, Lost, Reply
from daleroad.forwarding import StreamResponse
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.routing import Repeat
from tests.fakes import (
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_gateway,
    make_job,
)
from tools.crashtrial import CONTACT_SECONDS, CRASHES_BORNE, CrashReport, CrashTrial, TrialKind

MAX_LATE_SENDS = 3
"""Sends to upstreams tolerated after all gateways should have heard of the crashes."""


class CrashingDispatcher(FakeDispatcher):
    """Upstreams that crash when they begin any request, and come back under another id."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway: Gateway | None = None
        self.crashed_at: list[float] = []
        self.reached_at: list[float] = []
        self.last_number = 3

    async def send(self, attempt: Attempt) -> Reply:
        now = anyio.current_time()
        self.attempts.append(attempt)
        self.reached_at.append(now)
        self.crashed_at.append(now)
        self.last_number += 1
        restarted = Instance(
            f"i{self.last_number}",
            "s",
            f"10.0.0.{self.last_number}:1",
            "z",
            24,
            InstanceState.READY,
            1,
        )
        assert self.gateway is not None
        self.gateway.fleet.note(Sighting(restarted, 0.0), now)
        if attempt.new_connection:
            return FakeStream(1, 0, cut=True)
        return Lost("the connection was closed")


class PoisonRequestTest(unittest.TestCase):
    def send_repeatedly(self, repeat: Repeat, attempts: int, times: int = 20) -> CrashingDispatcher:
        """Send one request repeatedly to a gateway; return the dispatcher that received it."""
        dispatcher = CrashingDispatcher()

        async def main() -> None:
            config = make_config(repeat, attempts, engine=repeat is Repeat.STREAM)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            dispatcher.gateway = gateway
            forwarder = make_forwarder(gateway)
            for number in range(times):
                job = replace(make_job(anyio.current_time()), id=f"attempt {number}")
                outcome = await forwarder.serve(job)
                if isinstance(outcome, StreamResponse):
                    self.assertEqual(len([p async for p in outcome.pieces]), 1)
                    await outcome.close()
                await anyio.sleep(0.5)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return dispatcher

    def test_it_reaches_no_upstream_after_three_crashes(self) -> None:
        for repeat, attempts in ((Repeat.STREAM, 1), (Repeat.IDEMPOTENT, 2), (Repeat.ONCE, 1)):
            with self.subTest(repeat):
                seen = self.send_repeatedly(repeat, attempts)
                known_at = seen.crashed_at[CRASHES_BORNE - 1] + CONTACT_SECONDS
                late = [at for at in seen.reached_at if at > known_at]
                self.assertLessEqual(len(late), MAX_LATE_SENDS)


class CrashTrialTest(unittest.TestCase):
    """A trial with real processes and other callers beside the poison request."""

    SECONDS = 16.0

    def check(self, report: CrashReport) -> None:
        summary = report.describe()
        self.assertLessEqual(report.count_late(), MAX_LATE_SENDS, summary)
        self.assertGreaterEqual(len(report.crashed), CRASHES_BORNE, summary)
        self.assertGreaterEqual(report.find_served(self.SECONDS / 2), 0.9, summary)

    def test_streams_of_other_callers_are_served(self) -> None:
        self.check(anyio.run(CrashTrial(TrialKind.STREAMS, self.SECONDS).run))

    def test_calls_of_other_callers_are_served(self) -> None:
        self.check(anyio.run(CrashTrial(TrialKind.CALLS, self.SECONDS).run))
