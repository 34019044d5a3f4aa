"""Tests of which coordinators a gateway asks, and how often."""

import unittest
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.defaults import (
    GATEWAY_SILENT_SECONDS,
    LEADER_AGAIN_SECONDS,
    WATCH_FAST_GATEWAYS,
    WATCH_FAST_SECONDS,
    WATCH_SLOW_SECONDS,
)
from daleroad.errors import Failure, FailureKind
from daleroad.notices import WatchAnswer
from daleroad.watching import Watcher, find_load_exchange_seconds
from tests.fakes import FakeDispatcher, make_gateway
from tests.test_coordinator import parse

COORDINATORS = tuple(f"c{number}:1" for number in range(6))
LEADER = COORDINATORS[5]


class WaitTest(unittest.TestCase):
    def test_few_gateways_exchange_loads_at_the_full_rate(self) -> None:
        for gateways in (1, 12, WATCH_FAST_GATEWAYS):
            self.assertEqual(find_load_exchange_seconds(gateways), WATCH_FAST_SECONDS)

    def test_the_rate_of_all_together_stays_bounded_until_they_ask_slowly(self) -> None:
        most = WATCH_FAST_GATEWAYS / WATCH_FAST_SECONDS
        for gateways in (25, 67, 90):
            self.assertLessEqual(gateways / find_load_exchange_seconds(gateways), most + 1e-9)
        self.assertEqual(find_load_exchange_seconds(1000), WATCH_SLOW_SECONDS)

    def test_no_gateway_seems_dead_between_two_questions(self) -> None:
        self.assertLess(find_load_exchange_seconds(1000), GATEWAY_SILENT_SECONDS)


class Coordinators:
    """Answers watches; the leader can't be reached at first.

    :param silent: seconds for which it can't.
    """

    token = "t"

    def __init__(self, silent: float) -> None:
        self.until = anyio.current_time() + silent
        self.asked: list[str] = []

    async def call(
        self, url: str, body: bytes, shape: Any, read_seconds: float | None = None
    ) -> Any:
        name = url.split("/")[2]
        self.asked.append(name)
        if name == LEADER and anyio.current_time() < self.until:
            return Failure(FailureKind.UNREACHABLE, "refused")
        await anyio.sleep(0.5)
        return WatchAnswer("e", 1, COORDINATORS, LEADER, 0, None, (), {}, None, 71)


class LeaderTest(unittest.TestCase):
    def watch(self, silent: float, seconds: float) -> tuple[str | None, Coordinators]:
        """Return the leader as a gateway knows it after some time, and what was asked."""

        async def main() -> tuple[str | None, Coordinators]:
            gateway = make_gateway(FakeDispatcher(), None, anyio.current_time())
            calls = Coordinators(silent)
            watcher = Watcher(gateway, calls, parse)
            watcher.replace_seeds(COORDINATORS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await anyio.sleep(seconds)
                tasks.cancel_scope.cancel()
            return watcher.get_leader(), calls

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_leader_that_failed_once_is_watched_again(self) -> None:
        leader, _ = self.watch(1.0, 1.0 + LEADER_AGAIN_SECONDS + 2.0)
        self.assertEqual(leader, LEADER)

    def test_one_that_can_t_be_reached_is_tried_seldom(self) -> None:
        leader, calls = self.watch(1000.0, 20.0)
        self.assertIsNone(leader)
        self.assertLessEqual(calls.asked.count(LEADER), 20.0 / LEADER_AGAIN_SECONDS + 1)
