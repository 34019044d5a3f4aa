"""Tests of promises that rest on a clock, on a machine that is suspended for a while.

A clock of these tests goes as the real one does, and jumps where a test says so: that is what a
process sees of a suspension by a clock that counts it. Each test fails with the event loop's usual
clock, which stands still.
"""

import tempfile
import time
import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from functools import partial
from random import Random
from typing import Any

import anyio

from daleroad.catalog import Catalog
from daleroad.catalogfollower import CatalogFollower
from daleroad.choosing import GatewayOptions
from daleroad.clock import read_clock, read_running_clock, run_on_clock, watch_clock
from daleroad.codec import decode
from daleroad.defaults import CLOCK_TURN_SECONDS, LOOP_STALL_SECONDS, SHARE_SECONDS
from daleroad.dispatch import Lost
from daleroad.errors import Failure, FailureKind
from daleroad.gateway import Gateway
from daleroad.instances import Sighting
from daleroad.loopback import make_site
from daleroad.messages import FollowAnswer
from daleroad.notices import ShareRequest, WatchAnswer, WatchRequest
from daleroad.routing import Repeat
from daleroad.suspicions import Suspicion
from daleroad.watching import Watcher
from tests.fakes import (
    FakeDispatcher,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)
from tests.test_coordinator import Site, make_document, parse, run_site, wait_for

SUSPENDED_SECONDS = 30.0


class JumpingClock:
    """The running clock, and what a test added to it."""

    def __init__(self) -> None:
        self.suspended = 0.0

    def read(self) -> float:
        return read_running_clock() + self.suspended

    def suspend(self, seconds: float = SUSPENDED_SECONDS) -> None:
        """Let time go on as if the machine had been suspended just now."""
        self.suspended += seconds


def run(body: Callable[[JumpingClock], Coroutine]) -> Any:
    clock = JumpingClock()
    return run_on_clock(body, clock, read=clock.read)


def run_beside(body: Callable[[JumpingClock, Site], Coroutine]) -> None:
    """Run something with the coordinators of a site, on a clock that it may let jump."""
    clock = JumpingClock()

    async def main(site: Site, names: list[str]) -> None:
        await body(clock, site)

    run_site(main, run=partial(run_on_clock, read=clock.read))


class ClockTest(unittest.TestCase):
    def test_the_clock_of_processes_counts_suspensions(self) -> None:
        async def main() -> None:
            self.assertAlmostEqual(anyio.current_time(), read_clock(), delta=0.1)

        run_on_clock(main)
        self.assertAlmostEqual(read_clock(), time.clock_gettime(time.CLOCK_BOOTTIME), delta=0.1)

    def test_a_suspension_is_told_once_and_timers_are_hardly_late(self) -> None:
        async def main(clock: JumpingClock) -> None:
            told: list[float] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch_clock, told.append, clock.read)
                await anyio.sleep(2 * CLOCK_TURN_SECONDS)
                clock_began = read_running_clock()
                with anyio.move_on_after(SUSPENDED_SECONDS) as scope:
                    clock.suspend()
                    await anyio.sleep_forever()
                self.assertTrue(scope.cancelled_caught)
                self.assertLess(read_running_clock() - clock_began, 4 * CLOCK_TURN_SECONDS)
                await anyio.sleep(3 * CLOCK_TURN_SECONDS)
                tasks.cancel_scope.cancel()
            self.assertEqual(len(told), 1)
            self.assertAlmostEqual(told[0], SUSPENDED_SECONDS, delta=0.1)

        run(main)


class CoordinatorTest(unittest.TestCase):
    def test_a_leader_that_was_suspended_reads_nothing_by_its_old_lease(self) -> None:
        async def main(clock: JumpingClock, site: Site) -> None:
            leader = await site.wait_for_leader()
            await leader.log.save(make_document(1))
            self.assertTrue(leader.get_leading_gauge())
            clock.suspend()
            self.assertFalse(leader.get_leading_gauge())
            self.assertFalse(leader.group.can_serve_reads())

        run_beside(main)


class GatewayTest(unittest.TestCase):
    def test_one_that_must_not_serve_by_an_old_configuration_refuses_at_once(self) -> None:
        async def main(clock: JumpingClock) -> None:
            options = GatewayOptions("a", "z", "r", (), 1.0, 0.2, 30, 10.0, coordinator_timeout=5.0)
            gateway = Gateway(options, FakeDispatcher(), Random(1))
            gateway.replace_config(make_config(Repeat.ONCE))
            gateway.last_heard_at = anyio.current_time()
            forwarder = make_forwarder(gateway)
            self.assertFalse(gateway.is_outdated())
            clock.suspend()
            outcome = await forwarder.serve(make_job(anyio.current_time()))
            assert isinstance(outcome, Failure)
            self.assertIs(outcome.kind, FailureKind.NO_LEASE)

        run(main)

    def test_upstreams_that_were_heard_before_are_silent_since(self) -> None:
        async def main(clock: JumpingClock) -> None:
            config = make_config(Repeat.ONCE)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            (service,) = config.services
            candidates = list(gateway.selector.list_candidates(service, 0, ()))
            self.assertFalse(any(candidate.unhealthy for candidate in candidates))
            clock.suspend()
            candidates = list(gateway.selector.list_candidates(service, 0, ()))
            self.assertTrue(all(candidate.unhealthy for candidate in candidates))

        run(main)

    def test_a_request_whose_time_went_by_is_not_sent_again(self) -> None:
        async def main(clock: JumpingClock) -> None:
            dispatcher = FakeDispatcher(Lost("cut"), Lost("never sent"))

            async def suspend() -> None:
                clock.suspend()

            dispatcher.on_send = suspend
            gateway = make_gateway(
                dispatcher, make_config(Repeat.IDEMPOTENT, 3), anyio.current_time()
            )
            forwarder = make_forwarder(gateway)
            outcome = await forwarder.serve(make_job(anyio.current_time()))
            self.assertIsInstance(outcome, Failure)
            self.assertEqual(len(dispatcher.attempts), 1)

        run(main)

    def test_a_stopping_one_whose_time_went_by_takes_nothing(self) -> None:
        async def main(clock: JumpingClock) -> None:
            dispatcher = FakeDispatcher()
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            forwarder = make_forwarder(gateway)
            gateway.begin_drain(anyio.current_time() + 7.0)
            clock.suspend()
            outcome = await forwarder.serve(make_job(anyio.current_time()))
            assert isinstance(outcome, Failure)
            self.assertIs(outcome.kind, FailureKind.DRAINING)

        run(main)

    def test_repeats_of_before_a_suspension_do_not_use_up_the_budget(self) -> None:
        async def main(clock: JumpingClock) -> None:
            gateway = make_gateway(FakeDispatcher(), None, anyio.current_time())
            while gateway.take_retry("s"):
                pass
            clock.suspend()
            self.assertTrue(gateway.take_retry("s"))

        run(main)


class EntryTest(unittest.TestCase):
    def test_an_entrys_lease_runs_out_meanwhile(self) -> None:
        async def main(clock: JumpingClock) -> None:
            answer = FollowAnswer(1, 4.0, 0.0, ())
            calls = AnsweringCalls(answer)
            catalog = Catalog()
            with tempfile.TemporaryDirectory(prefix="daleroad-test-") as folder:
                settings = make_site(folder, 1, 1).entries[0]
                follower = CatalogFollower(settings, calls, catalog)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(follower.run)
                    await wait_for(follower.has_lease)
                    tasks.cancel_scope.cancel()
            clock.suspend()
            self.assertFalse(follower.has_lease())

        run(main)


class AnsweringCalls:
    """Another process that gives one answer to all calls."""

    token = ""

    def __init__(self, answer: object) -> None:
        self._answer = answer

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ):
        await anyio.sleep(0.01)
        return self._answer


class SlowCalls:
    """A coordinator whose answer waits for a gateway that is suspended meanwhile."""

    token = ""

    def __init__(self, clock: JumpingClock, held: float) -> None:
        self._clock = clock
        self._held = held
        self.asked_at: list[float] = []

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ):
        decode(WatchRequest, body)
        if self.asked_at:
            await anyio.sleep_forever()
        self.asked_at.append(anyio.current_time())
        await anyio.sleep(self._held)
        sighting = Sighting(make_instance(1), 0.2)
        answer = WatchAnswer("e", 1, ("c",), "c", 0, None, (sighting,), {}, None, 3, held=0.0)
        self._clock.suspend()
        return answer


class WatcherTest(unittest.TestCase):
    def test_an_answer_that_waited_is_as_old_as_it_is(self) -> None:
        async def main(clock: JumpingClock) -> None:
            options = GatewayOptions(
                "a", "z", "r", ("c",), 1.0, 0.2, 30, 10.0, coordinator_timeout=5.0
            )
            gateway = Gateway(options, FakeDispatcher(), Random(1))
            calls = SlowCalls(clock, 0.05)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(Watcher(gateway, calls, parse).run)
                while gateway.last_heard_at < 0:
                    await anyio.sleep(0.01)
                tasks.cancel_scope.cancel()
            self.assertGreater(gateway.get_heard_age(), SUSPENDED_SECONDS)
            self.assertTrue(gateway.is_outdated())
            age = gateway.fleet.get_age("i1", anyio.current_time())
            self.assertGreater(age, SUSPENDED_SECONDS)

        run(main)


class PresenceTest(unittest.TestCase):
    def test_a_heartbeat_that_waited_is_as_old_as_it_may_be(self) -> None:
        async def main(clock: JumpingClock, site: Site) -> None:
            presence = site.get(site.seeds[0]).presence
            await anyio.sleep(2 * SHARE_SECONDS)
            clock.suspend(5.0)
            await presence.handle_heartbeat(Sighting(make_instance(1), 0.0))
            self.assertGreaterEqual(presence.fleet.get_age("i1", anyio.current_time()), 5.0)
            await anyio.sleep(2 * LOOP_STALL_SECONDS)
            fresh = replace(make_instance(1), sequence=2)
            await presence.handle_heartbeat(Sighting(fresh, 0.0))
            self.assertLess(presence.fleet.get_age("i1", anyio.current_time()), 1.0)

        run_beside(main)

    def test_a_heartbeat_that_waited_takes_no_end_back(self) -> None:
        """A coordinator that was suspended reads what its upstreams sent before they ended."""

        async def main(clock: JumpingClock, site: Site) -> None:
            presence = site.get(site.seeds[0]).presence
            await anyio.sleep(2 * SHARE_SECONDS)
            ended = Suspicion("f", "org", "h/x", ("i1",), (), 0.0)
            presence.merge_share(ShareRequest(site.seeds[1], suspicions=(ended,)))
            clock.suspend(5.0)
            await presence.handle_heartbeat(Sighting(make_instance(1), 0.0))
            await anyio.sleep(2 * SHARE_SECONDS)
            known = presence.suspects.get("f", anyio.current_time())
            assert known is not None
            self.assertEqual(known.crashes, ("i1",))

        run_beside(main)
