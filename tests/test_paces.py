"""Tests of engines' paces: how they are learnt from streams, shared, forgotten and shown."""

import unittest
from collections.abc import AsyncIterator
from dataclasses import replace
from random import Random
from typing import Any
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.calls import make_url
from daleroad.codec import decode
from daleroad.coordinator import Coordinator, CoordinatorOptions
from daleroad.defaults import GATEWAY_TIMEOUT_SECONDS
from daleroad.dispatch import Attempt, Lost, StreamEvent
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event
from daleroad.fleet import Fleet
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.migration import EngineMigrator
from daleroad.notices import Pace, PacesAnswer, WatchAnswer, WatchRequest
from daleroad.paces import (
    FRESH_SECONDS,
    KEPT_SECONDS,
    MIN_GAPS,
    REPEAT_SECONDS,
    TELL_SECONDS,
    WINDOW_SECONDS,
    GatewayPaces,
    PaceEstimator,
    PaceTable,
    ReportedPaces,
)
from daleroad.routing import Repeat, RoutingConfig
from daleroad.runs import RetryState, StreamRegistry, StreamRun
from daleroad.slowengines import CHECK_SECONDS, SlowEngines
from daleroad.watching import Watcher
from tests.fakes import PROMPT, FakeDispatcher, FakeStream, make_config, make_gateway, make_instance
from tests.fakes import make_job as make_client_request
from tests.test_coordinator import Site, run_site

PACE = Pace("i1", 0.03, 0.06, 100.0)


def make_guarded_config(guarded: bool = True) -> RoutingConfig:
    """Return a configuration whose long route is guarded from a short one, or is not."""
    config = make_config(Repeat.STREAM, engine=True)
    long = replace(config.routes[0], objective=1.8, rank=0)
    short = replace(long, name="short", prefix="/s/", objective=1.5, rank=1 if guarded else 0)
    return replace(config, routes=(long, short))


class PacedStream(FakeStream):
    """A stream whose events come after given gaps, also while it is not read."""

    def __init__(self, first: int, gaps: list[float], cut: bool = False) -> None:
        super().__init__(first, first + len(gaps) - 1, cut)
        self._gaps = gaps

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        made_at = anyio.current_time()
        gaps = iter(self._gaps)
        async for event in super().events():
            made_at += next(gaps, 0.0)
            await anyio.sleep(max(0.0, made_at - anyio.current_time()))
            yield event


class EstimatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.estimator = PaceEstimator()

    def note(self, gaps: list[float], now: float = 0.0) -> float:
        for gap in gaps:
            now += gap
            self.estimator.note_gap("i1", gap, now)
        return now

    def test_some_long_gaps_change_neither_median_nor_percentile(self) -> None:
        now = self.note([0.03] * 50 + [3.0] + [0.03] * 50 + [0.05] * 10)
        (pace,) = self.estimator.list_paces(now)
        self.assertEqual((pace.event_seconds, pace.slow_event_seconds), (0.03, 0.05))

    def test_few_gaps_give_no_estimate(self) -> None:
        now = self.note([0.3] * (MIN_GAPS - 1))
        self.assertEqual(list(self.estimator.list_paces(now)), [])
        now = self.note([0.3], now)
        self.assertEqual(len(list(self.estimator.list_paces(now + 0.25))), 1)

    def test_old_gaps_count_no_more_but_the_last_estimate_is_kept_for_some_time(self) -> None:
        now = self.note([0.03] * 100)
        (pace,) = self.estimator.list_paces(now)
        later = now + WINDOW_SECONDS + 0.1
        self.assertEqual(list(self.estimator.list_paces(later)), [])
        self.estimator.prune(later, lambda _: True)
        self.assertEqual(self.estimator.find("i1"), (pace, now))
        self.estimator.prune(now + KEPT_SECONDS + 0.1, lambda _: True)
        self.assertIsNone(self.estimator.find("i1"))


class TableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.table = PaceTable(GATEWAY_TIMEOUT_SECONDS)

    def check(self, seconds: float, samples: float) -> None:
        self.assertEqual(self.table.get("i1"), Pace("i1", seconds, 2 * seconds, samples))

    def report(self, gateway: str, seconds: float, samples: float, now: float) -> None:
        self.table.set_report(gateway, [Pace("i1", seconds, 2 * seconds, samples)], now)

    def test_gateways_are_weighted_by_samples_and_one_that_stalls_does_not_decide(self) -> None:
        for gateway, seconds, samples in (("a", 0.03, 90.0), ("b", 0.5, 60.0), ("c", 0.05, 20.0)):
            self.report(gateway, seconds, samples, 0.0)
        self.check(0.03, 170.0)

    def test_reports_of_a_silent_gateway_do_not_count(self) -> None:
        self.report("a", 0.09, 100.0, 0.0)
        self.report("b", 0.03, 50.0, 0.0)
        self.table.set_report("b", (), GATEWAY_TIMEOUT_SECONDS)
        self.table.remove_expired(GATEWAY_TIMEOUT_SECONDS + 0.1, lambda _: True)
        self.check(0.03, 50.0)

    def test_last_known_pace_is_kept_without_reports_and_then_forgotten(self) -> None:
        self.report("a", 0.03, 100.0, 0.0)
        self.table.set_report("a", (), FRESH_SECONDS)
        self.table.remove_expired(FRESH_SECONDS + 0.1, lambda _: True)
        self.check(0.03, 100.0)
        self.report("b", 0.05, 10.0, FRESH_SECONDS + 0.2)
        self.check(0.05, 10.0)
        self.table.remove_expired(2 * KEPT_SECONDS, lambda _: True)
        self.assertIsNone(self.table.get("i1"))

    def test_gateways_are_told_all_paces_at_intervals(self) -> None:
        self.assertEqual(self.table.tell("a", 0.0), ())
        self.table.set_report("a", [PACE], 0.0)
        self.assertEqual(self.table.tell("a", 0.0), (PACE,))
        self.assertEqual(self.table.tell("a", TELL_SECONDS / 2), ())
        self.assertEqual(self.table.tell("a", TELL_SECONDS), (PACE,))

    def test_only_noticeable_changes_and_repetitions_are_due(self) -> None:
        reported = ReportedPaces().add([PACE], 0.0)
        similar, slower = replace(PACE, event_seconds=0.031), replace(PACE, event_seconds=0.04)
        self.assertEqual(reported.list_due([similar], 1.0), ())
        self.assertEqual(reported.list_due([slower], 1.0), (slower,))
        self.assertEqual(reported.list_due([similar], REPEAT_SECONDS), (similar,))

    def test_gateway_prefers_what_it_is_told_unless_nothing_is_told(self) -> None:
        paces = GatewayPaces()
        paces.set_told([PACE], 0.0)
        seen = []
        for number in range(100):
            paces.note_gap("i1", 0.05, 0.05 * number)
            seen.append((known := paces.get("i1")) and known.event_seconds)
        self.assertEqual((seen[70], seen[-1]), (0.03, 0.05))


class StreamTest(unittest.TestCase):
    """Gaps that a gateway learns from while it delivers one stream."""

    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.gaps: list[tuple[str, float]] = []

    def deliver(self, stream: FakeStream, guarded: bool = True, read_seconds: float = 0.0) -> None:
        async def main() -> None:
            now = anyio.current_time()
            gateway = make_gateway(self.dispatcher, make_guarded_config(guarded), now)
            gateway.paces.note_gap = (  # type: ignore[method-assign]
                lambda instance_id, seconds, now: self.gaps.append((instance_id, round(seconds, 4)))
            )
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            attempt = Attempt(make_client_request(now, 60.0, PROMPT), make_instance(1), "", 60.0)
            tries = RetryState({"i1"}, max_runs=2)
            run = StreamRun(attempt, stream, now + 60.0, 4000, tries=tries)
            runs.open(run)
            async for _ in runs.deliver(run):
                await anyio.sleep(read_seconds)
            await runs.close(run)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_gaps_begin_after_the_first_event(self) -> None:
        self.deliver(PacedStream(1, [0.8, 0.03, 0.04, 0.05]))
        self.assertEqual(self.gaps, [("i1", 0.04), ("i1", 0.05)])

    def test_a_move_is_no_gap_and_neither_are_events_sent_twice(self) -> None:
        self.dispatcher.replies = [PacedStream(2, [0.7, 0.0, 0.03, 0.04, 0.05])]
        self.deliver(PacedStream(1, [0.8, 0.03, 0.04], cut=True))
        moved_to = self.dispatcher.attempts[0].instance.id
        self.assertEqual(self.gaps, [("i1", 0.04), (moved_to, 0.05)])

    def test_a_client_that_reads_slowly_makes_no_engine_slow(self) -> None:
        self.deliver(PacedStream(1, [0.03] * 20), read_seconds=0.1)
        self.assertEqual(self.gaps, [])

    def test_nothing_is_learnt_without_guarded_streams(self) -> None:
        self.deliver(PacedStream(1, [0.03] * 20), guarded=False)
        self.assertEqual(self.gaps, [])


class FakeSite:
    """Coordinators that a gateway watches, and what it says to them."""

    token = "t"

    def __init__(self, guarded: bool = True) -> None:
        self.coordinators: dict[str, Coordinator] = {}
        self.leader = "c0:1"
        self.unreachable_until = dict.fromkeys(("c0:1", "c1:1"), 0.0)
        self.requests: list[tuple[str, WatchRequest]] = []
        self.answers: list[WatchAnswer] = []
        for name in self.unreachable_until:
            self.restart(name, guarded)

    def restart(self, name: str, guarded: bool) -> None:
        options = CoordinatorOptions(name, (), "", False)
        config = make_guarded_config(guarded)
        coordinator = Coordinator(options, self, lambda document: config, Random(1))
        coordinator._handle_document_change()
        coordinator.presence.fleet.note(Sighting(make_instance(1), 0.0), anyio.current_time())
        self.coordinators[name] = coordinator

    async def call(self, url: str, body: bytes, shape: Any, seconds: float | None = None) -> Any:
        name = url.split("/")[2]
        message = decode(WatchRequest, body)
        self.requests.append((name, message))
        if anyio.current_time() < self.unreachable_until[name]:
            return Failure(FailureKind.UNREACHABLE, "the request was lost")
        coordinator = self.coordinators[name]
        coordinator.presence.handle_watch(message)
        await anyio.sleep(message.wait)
        coordinator.presence.prune(anyio.current_time())
        with patch.object(coordinator.group, "replica", create=True) as replica:
            replica.leader, replica.members = self.leader, ()
            answer = coordinator._make_watch_answer(message, anyio.current_time())
        answer = replace(answer, coordinators=tuple(self.coordinators))
        self.answers.append(answer)
        return answer


class WatchTest(unittest.TestCase):
    """A gateway with streams on one engine, and two coordinators that it watches."""

    def watch(self, body: Any, guarded: bool = True) -> FakeSite:
        async def main() -> FakeSite:
            site = FakeSite(guarded)
            config = make_guarded_config(guarded)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            watcher = Watcher(gateway, site, lambda document: config)
            watcher.replace_seeds(tuple(site.coordinators))

            async def stream() -> None:
                while True:
                    await anyio.sleep(0.03)
                    if gateway.learns_paces("s"):
                        gateway.paces.note_gap("i1", 0.03, anyio.current_time())

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(stream)
                tasks.start_soon(watcher.run)
                await body(site, gateway)
                tasks.cancel_scope.cancel()
            return site

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_all_coordinators_learn_a_pace_and_tell_it_with_loads_only(self) -> None:
        async def body(site: FakeSite, gateway: Gateway) -> None:
            await anyio.sleep(5.0)
            for coordinator in site.coordinators.values():
                pace = coordinator.presence.paces.get("i1")
                self.assertEqual(pace and pace.event_seconds, 0.03)
            self.assertEqual(gateway.selector.get_pace("i1"), coordinator.presence.paces.get("i1"))

        site = self.watch(body)
        self.assertTrue(any(answer.paces for answer in site.answers))
        self.assertFalse(any(answer.paces for answer in site.answers if answer.loads is None))
        told = [bool(message.paces) for name, message in site.requests if name == site.leader]
        self.assertLess(sum(told), len(told) / 2)

    def test_lost_report_and_restarted_coordinator_get_the_pace_again(self) -> None:
        async def body(site: FakeSite, gateway: Gateway) -> None:
            site.unreachable_until["c0:1"] = anyio.current_time() + 3.0
            await anyio.sleep(6.5)
            self.assertIsNotNone(site.coordinators["c0:1"].presence.paces.get("i1"))
            site.leader = "c1:1"
            while site.requests[-1][0] != "c1:1" or not site.requests[-1][1].paces:
                await anyio.sleep(0.01)
            site.restart("c1:1", True)
            # The pace would be repeated later anyway.
            await anyio.sleep(REPEAT_SECONDS - 0.5)
            self.assertIsNotNone(site.coordinators["c1:1"].presence.paces.get("i1"))

        self.watch(body)

    def test_messages_hold_no_paces_without_guarded_streams(self) -> None:
        async def body(site: FakeSite, gateway: Gateway) -> None:
            await anyio.sleep(3.0)
            presence = site.coordinators[site.leader].presence
            presence.handle_watch(replace(site.requests[-1][1], paces=(PACE,)))
            self.assertIsNone(presence.paces.get("i1"))

        site = self.watch(body, guarded=False)
        self.assertEqual({message.paces for _, message in site.requests}, {()})
        self.assertEqual({answer.paces for answer in site.answers}, {()})

    def test_an_engine_that_left_or_was_replaced_is_forgotten(self) -> None:
        async def body(site: FakeSite, gateway: Gateway) -> None:
            await anyio.sleep(3.0)
            self.assertIsNotNone(gateway.paces.get("i1"))
            gateway.mark_replaced(make_instance(1))
            self.assertIsNone(gateway.paces.get("i1"))
            now = anyio.current_time()
            for coordinator in site.coordinators.values():
                gone = Sighting(make_instance(1, InstanceState.GONE), 0.0)
                coordinator.presence.fleet.note(gone, now)
                coordinator.presence.prune(now)
                self.assertIsNone(coordinator.presence.paces.get("i1"))
            await anyio.sleep(3.0)
            self.assertIsNone(gateway.paces.get("i1"))

        self.watch(body)

    def test_paces_are_dropped_when_guarding_ends(self) -> None:
        async def body(site: FakeSite, gateway: Gateway) -> None:
            await anyio.sleep(3.0)
            self.assertIsNotNone(gateway.paces.get("i1"))
            gateway.replace_config(replace(make_guarded_config(False), version=8))
            await anyio.sleep(1.1)
            self.assertIsNone(gateway.paces.get("i1"))
            self.assertEqual(site.requests[-1][1].paces, ())

        self.watch(body)


class SlowEnginesTest(unittest.TestCase):
    def test_slow_engine_is_logged_once_and_when_that_ends(self) -> None:
        fleet, table = Fleet(), PaceTable(GATEWAY_TIMEOUT_SECONDS)
        slow_engines = SlowEngines(fleet, table)
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0), 0.0)
        table.set_report("a", [PACE], 0.0)
        logged = []
        with patch("daleroad.slowengines.log_event") as log:
            for turn, seconds in enumerate((0.055, 0.065, 0.065, 0.055, 0.05, 0.055)):
                now = turn * CHECK_SECONDS
                table.set_report("a", [replace(PACE, instance="i2", event_seconds=seconds)], now)
                slow_engines.check(now)
                slow_engines.check(now + CHECK_SECONDS / 2)
                logged.append([call.args[0] for call in log.call_args_list])
                log.reset_mock()
        self.assertEqual(logged, [[], [Event.ENGINE_SLOW], [], [], [Event.ENGINE_SLOW_ENDED], []])
        rows = slow_engines.list_paces(10.0).paces
        self.assertEqual([row.pace.instance for row in rows], ["i1", "i2"])

    def test_any_coordinator_lists_the_paces_that_it_knows(self) -> None:
        async def body(site: Site, names: list[str]) -> None:
            coordinator = site.get(names[0])
            now = anyio.current_time()
            coordinator.presence.learns_paces = lambda service: True
            coordinator.presence.fleet.note(Sighting(make_instance(1), 0.0), now)
            coordinator.presence.paces.set_report("a", [PACE], now)
            url = f"{make_url(names[0])}/site/paces"
            answer = await coordinator.calls.call(url, b"{}", PacesAnswer, 1.0)
            self.assertEqual([(row.pace, row.service) for row in answer.paces], [(PACE, "s")])

        run_site(body)
