"""Tests of a poison part of prompts, which crashes each engine that begins to write on it.

They guard against such a part taking down most engines of a service, one after another, because
each request that has it differs from all others, and against refusing sound requests beside it.
"""

import unittest
from dataclasses import replace

import anyio
import trio
import trio.testing

from daleroad.dispatch import Attempt, ClientRequest, Prompt, Reply
from daleroad.errors import Failure
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
from tools.crashtrial import CONTACT_SECONDS
from tools.parttrial import CRASHES_BORNE, PartCase, PartReport, PartTrial

MAX_LATE_SENDS = 3
"""Sends to upstreams tolerated after all gateways should have heard of the fifth crash."""

POISON = "bad0bad0"


def make_part_job(number: int, *parts: str) -> ClientRequest:
    """Return a request that differs from all with other numbers, with the parts of a prompt."""
    prompt = Prompt(tuple((part, 100) for part in parts), 100 * len(parts), 40)
    job = make_job(anyio.current_time(), prompt=prompt)
    return replace(job, id=f"{number} {parts}", body=f"{number}".encode(), parts=parts)


class CrashingDispatcher(FakeDispatcher):
    """Engines that crash when they begin to write on the part, and come back under another id."""

    def __init__(self) -> None:
        super().__init__()
        self.gateway: Gateway | None = None
        self.reached_at: list[float] = []
        self.last_number = 3

    async def send(self, attempt: Attempt) -> Reply:
        assert self.gateway is not None
        if POISON not in attempt.job.parts[:-1]:
            return FakeStream(1, 3)
        now = anyio.current_time()
        self.reached_at.append(now)
        self.last_number += 1
        number = self.last_number
        restarted = Instance(
            f"i{number}", "s", f"10.0.0.{number}:1", "z", 24, InstanceState.READY, 1
        )
        self.gateway.fleet.note(Sighting(restarted, 0.0), now)
        return FakeStream(1, 0, cut=True)


class PoisonPartTest(unittest.TestCase):
    def send_repeatedly(self, *parts: str, times: int = 20) -> tuple[CrashingDispatcher, int]:
        """Send poison requests, no two alike, and a sound one beside each.

        Return the dispatcher that received them, and how many sound ones were whole.
        """
        dispatcher = CrashingDispatcher()

        async def main() -> int:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            dispatcher.gateway = gateway
            forwarder = make_forwarder(gateway)
            whole = 0
            for number in range(times):
                for name, shared in (("bad", parts), ("sound", ("first", "second"))):
                    job = make_part_job(number, *shared, f"last {name} {number}")
                    outcome = await forwarder.serve(job)
                    if isinstance(outcome, StreamResponse):
                        pieces = [piece async for piece in outcome.pieces]
                        await outcome.close()
                        whole += name == "sound" and not isinstance(pieces[-1], Failure)
                    await anyio.sleep(0.5)
            return whole

        return dispatcher, trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_poison_part_reaches_no_engine_after_five_crashes(self) -> None:
        for parts in (("first", POISON), (POISON, "second"), ("first", POISON, "third")):
            with self.subTest(parts):
                seen, whole = self.send_repeatedly(*parts)
                known_at = seen.reached_at[CRASHES_BORNE - 1 :][:1] or [float("inf")]
                late = [at for at in seen.reached_at if at > known_at[0] + CONTACT_SECONDS]
                self.assertLessEqual(len(late), MAX_LATE_SENDS)
                self.assertEqual(whole, 20)


class PartTrialTest(unittest.TestCase):
    """A trial with real processes, and sound streams beside the poison part."""

    SECONDS = 20.0

    def check(self, report: PartReport) -> None:
        summary = report.describe()
        self.assertLessEqual(report.count_late(), MAX_LATE_SENDS, summary)
        self.assertLessEqual(report.find_known_at(), self.SECONDS - CONTACT_SECONDS, summary)
        for beside in (True, False):
            whole, sent = report.find_whole(beside, report.find_known_at(), float("inf"))
            self.assertGreaterEqual(whole, 0.9 * sent, summary)
            self.assertGreater(sent, 0, summary)
        self.assertEqual((sum(report.torn), bool(report.torn)), (0, True), summary)

    def test_sound_streams_are_served_beside_a_poison_part(self) -> None:
        self.check(anyio.run(PartTrial(PartCase.SECOND, self.SECONDS).play))
