"""Tests of a gateway's choice of coordinators to watch, and of the load exchange interval."""

import unittest
from dataclasses import replace
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.defaults import (
    GATEWAY_TIMEOUT_SECONDS,
    LEADER_RETRY_SECONDS,
    MIN_LOAD_EXCHANGE_SECONDS,
    WATCH_FAST_GATEWAYS,
    WATCH_SLOW_SECONDS,
)
from daleroad.errors import Failure, FailureKind
from daleroad.notices import WatchAnswer
from daleroad.routing import Repeat, RoutingConfig
from daleroad.watching import Watcher, find_load_exchange_seconds
from tests.fakes import FakeDispatcher, make_config, make_gateway
from tests.test_coordinator import parse

COORDINATORS = tuple(f"c{number}:1" for number in range(6))
LEADER = COORDINATORS[5]


class LoadExchangeIntervalTest(unittest.TestCase):
    def test_few_gateways_use_the_shortest_interval(self) -> None:
        for gateways in (1, 12, WATCH_FAST_GATEWAYS):
            self.assertEqual(find_load_exchange_seconds(gateways), MIN_LOAD_EXCHANGE_SECONDS)

    def test_total_rate_is_bounded_until_the_longest_interval(self) -> None:
        max_rate = WATCH_FAST_GATEWAYS / MIN_LOAD_EXCHANGE_SECONDS
        for gateways in (25, 67, 90):
            self.assertLessEqual(gateways / find_load_exchange_seconds(gateways), max_rate + 1e-9)
        self.assertEqual(find_load_exchange_seconds(1000), WATCH_SLOW_SECONDS)

    def test_longest_interval_is_below_the_gateway_timeout(self) -> None:
        self.assertLess(find_load_exchange_seconds(1000), GATEWAY_TIMEOUT_SECONDS)


class FakeCoordinators:
    """Answers watches; the leader is unreachable at first.

    :param unreachable_seconds: seconds for which the leader is unreachable.
    :param version: version of the routing configuration, or 0 for none.
    """

    token = "t"

    def __init__(self, unreachable_seconds: float, version: int = 0) -> None:
        self.reachable_at = anyio.current_time() + unreachable_seconds
        self.called: list[str] = []
        self.version = version

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ) -> Any:
        name = url.split("/")[2]
        self.called.append(name)
        if name == LEADER and anyio.current_time() < self.reachable_at:
            return Failure(FailureKind.UNREACHABLE, "refused")
        await anyio.sleep(0.5)
        document = "{}" if self.version else None
        return WatchAnswer("e", 1, COORDINATORS, LEADER, self.version, document, (), {}, None, 71)


class LeaderTest(unittest.TestCase):
    def watch(
        self, unreachable_seconds: float, seconds: float
    ) -> tuple[str | None, FakeCoordinators]:
        """Return the leader that a gateway watches after some time, and the fake coordinators.

        :param unreachable_seconds: seconds for which the leader is unreachable.
        :param seconds: length of the simulated run.
        """

        async def main() -> tuple[str | None, FakeCoordinators]:
            gateway = make_gateway(FakeDispatcher(), None, anyio.current_time())
            calls = FakeCoordinators(unreachable_seconds)
            watcher = Watcher(gateway, calls, parse)
            watcher.replace_seeds(COORDINATORS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await anyio.sleep(seconds)
                tasks.cancel_scope.cancel()
            return watcher.get_leader(), calls

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_leader_is_watched_again_after_a_failure(self) -> None:
        leader, _ = self.watch(1.0, 1.0 + LEADER_RETRY_SECONDS + 2.0)
        self.assertEqual(leader, LEADER)

    def test_unreachable_leader_is_retried_rarely(self) -> None:
        leader, calls = self.watch(1000.0, 20.0)
        self.assertIsNone(leader)
        self.assertLessEqual(calls.called.count(LEADER), 20.0 / LEADER_RETRY_SECONDS + 1)


class ConfigLogTest(unittest.TestCase):
    def watch(self, config: RoutingConfig) -> list[str]:
        """Return the lines that a gateway logs about a configuration that takes effect."""

        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), None, anyio.current_time())
            calls = FakeCoordinators(0.0, config.version)
            watcher = Watcher(gateway, calls, lambda document: config)
            watcher.replace_seeds(COORDINATORS)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await anyio.sleep(2.0)
                tasks.cancel_scope.cancel()

        with self.assertLogs() as logs:
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return [line for line in logs.output if "CONFIG_IN_FORCE" in line or "ROUTE_" in line]

    def test_configuration_in_force_tells_its_routes_and_organisations(self) -> None:
        """Guards against review/6: no log told whether a gateway checks keys."""
        (line,) = self.watch(make_config(Repeat.ONCE))
        self.assertIn('"routes":1,"organisations":0', line)

    def test_route_that_gets_no_requests_is_logged(self) -> None:
        """Guards against review/7: no log told that a route had taken another one's place."""
        config = make_config(Repeat.ONCE)
        (route,) = config.routes
        routes = (replace(route, name="first"), replace(route, name="second"))
        _, line = self.watch(replace(config, routes=routes))
        self.assertIn("D308 ROUTE_OVERRIDDEN", line)
        self.assertIn('"route":"first","host":"h","prefix":"/"', line)
