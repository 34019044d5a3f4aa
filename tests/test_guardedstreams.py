"""Tests of placement that keeps prompts away from guarded streams that could not bear them."""

import unittest
from dataclasses import replace
from random import Random

import anyio
import trio
import trio.testing

from daleroad.contention import NO_CONTENTION, Contention
from daleroad.demands import make_demand
from daleroad.dispatch import Copied, Prompt
from daleroad.fleet import Fleet
from daleroad.forwarding import StreamResponse
from daleroad.gateway import Gateway
from daleroad.guardedmodel import CASES, GUARDED, GuardedCase, simulate
from daleroad.guardedstreams import ReadingRates, StreamGuard, bound_penalty, estimate_risk
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Demand, Load, Pace, PlaceRequest
from daleroad.placer import Placer
from daleroad.routing import Repeat, RoutingConfig, ServiceRule
from tests.fakes import (
    ENGINE,
    PROMPT,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)

SERVICE = ServiceRule("s", "/", 100, replace(ENGINE, event_tokens=4))
SHORT_PROMPT = Prompt((("p", 2500),), 2500, 36)
LONG = Demand("", 0, 1.8, 0.18, 0.0, 30.0, True, "f", guarded=True)
SHORT = Demand("", 1, 1.5, 0.18, 0.0, 6.0, False, "g")
QUICK_PACE, SLOW_PACE = (0.018, 0.044), (0.038, 0.096)
MAX_PAUSED_RATIO, MAX_BURST_PAUSED_RATIO = 0.5, 0.6
"""Largest ratio of guarded streams paused too long to those that are where load alone decides."""
MAX_LATE_STARTS = 0.05
"""Largest share of short prompts whose first output may be late at base load."""
SEEDS = (0, 1)


def make_guarding_config() -> RoutingConfig:
    """Return a configuration whose long route outranks a short one with a tighter objective."""
    config = make_config(Repeat.STREAM, engine=True)
    route = replace(config.routes[0], prefix="/long/", objective=1.8, rank=0, pause=0.18)
    short = replace(route, name="short", prefix="/", objective=1.5, rank=1)
    return replace(config, routes=(replace(route, timeout=39.0), short))


class Site:
    """Three engines: the first is quick, the others slow."""

    def __init__(self, contention: Contention = GUARDED) -> None:
        self.fleet, self.loads, self.rates = Fleet(), LoadTotals(9.0), ReadingRates()
        self.contention = contention
        self.paces = {"i1": QUICK_PACE, "i2": SLOW_PACE, "i3": SLOW_PACE}
        for number in (1, 2, 3):
            self.fleet.note(Sighting(make_instance(number), 0.0), 0.0)

    def get_pace(self, name: str) -> Pace | None:
        return Pace(name, *self.paces[name], 100.0) if name in self.paces else None

    def penalize(self, demand: Demand | None, unread: int = 2500) -> list[float]:
        guard = StreamGuard(self.fleet, self.loads.get_total, self.get_pace, self.rates)
        penalty = guard.make_penalty(SERVICE, self.contention, demand, unread, 1.0)
        return [round(penalty(make_instance(number)), 3) for number in (1, 2, 3)]


class PenaltyTest(unittest.TestCase):
    def test_without_guarded_ranks_or_demand_nothing_is_added(self) -> None:
        for contention, demand in ((NO_CONTENTION, LONG), (GUARDED, None)):
            site = Site(contention)
            site.loads.set_report("g", (Load("i2", 3, 9000, 0, 3),), 0.0)
            self.assertEqual(site.penalize(demand), [0.0] * 3)

    def test_guarded_stream_prefers_a_full_quick_engine_to_an_idle_slow_one(self) -> None:
        quick, *slow = Site().penalize(LONG)
        self.assertEqual(quick, 0.0)
        self.assertGreater(min(slow), 1.0)

    def test_unknown_or_similar_paces_make_no_engine_slow(self) -> None:
        site = Site()
        site.paces = {"i1": (0.030, 0.04), "i2": (0.036, 0.04)}
        self.assertEqual(site.penalize(LONG), [0.0] * 3)
        site.paces = {}
        self.assertEqual(site.penalize(LONG), [0.0] * 3)

    def test_engine_of_unknown_pace_counts_as_typical(self) -> None:
        site = Site()
        del site.paces["i3"]
        _, slow, unknown = site.penalize(LONG)
        self.assertTrue(0 < unknown <= slow)

    def test_quick_engine_that_reads_much_is_not_taken_for_a_slow_one(self) -> None:
        site = Site()
        site.paces["i1"] = (0.026, 0.07)
        for tenth in range(10):
            site.rates.record("i1", 2400, tenth * 0.1)
        quick, *slow = site.penalize(LONG)
        self.assertLess(quick + 0.5, min(slow))

    def test_guarded_stream_avoids_a_slow_engine_that_reads_much(self) -> None:
        site = Site()
        site.paces["i2"] = (0.045, 0.12)
        for second in (0.2, 0.4, 0.6, 0.8):
            site.rates.record("i2", 2500, second)
        _, reading, idle = site.penalize(LONG)
        self.assertGreater(reading, idle + 0.3)

    def test_short_prompt_avoids_guarded_streams_only_where_reading_breaks_them(self) -> None:
        site = Site()
        loads = (Load("i1", 4, 16_000, 0, 4), Load("i2", 2, 8000, 0, 2))
        site.loads.set_report("g", loads, 0.0)
        quick, guarded, free = site.penalize(SHORT)
        self.assertEqual((quick, free), (0.0, 0.0))
        self.assertGreater(guarded, 0.15)

    def test_prompt_whose_objective_is_near_goes_where_the_backlog_is_least(self) -> None:
        site = Site()
        site.loads.set_report("g", (Load("i2", 7, 28_000, 0, 7),), 0.0)
        early, late = (site.penalize(replace(SHORT, age=age))[1] for age in (0.0, 1.4))
        self.assertLess(late, early / 5)
        self.assertEqual(site.penalize(replace(SHORT, age=2.0))[1], 0.0)

    def test_moved_stream_reads_nothing_and_so_breaks_none(self) -> None:
        site = Site()
        before = site.penalize(LONG, unread=0)
        site.loads.set_report("g", (Load("i2", 2, 8000, 0, 2),), 0.0)
        self.assertEqual(site.penalize(LONG, unread=0), before)

    def test_bounds(self) -> None:
        self.assertEqual([bound_penalty(0.0, 0.0), bound_penalty(1.0, 0.0)], [0.0, 0.0])
        self.assertLess(bound_penalty(99.0, 0.5), 0.5)
        risks = [estimate_risk(seconds, 0.18) for seconds in (0.044, 0.096)]
        self.assertEqual(risks, [0.0, 1.0])
        self.assertEqual(estimate_risk(9.0, 0.0), 0.0)


class ReadingRatesTest(unittest.TestCase):
    def test_rate_decays_and_idle_engines_are_dropped(self) -> None:
        rates = ReadingRates()
        for number in range(500):
            rates.record(f"i{number}", 2500, number * 1.0)
        self.assertLess(len(rates._rates), 50)
        self.assertGreater(rates.get_rate("i499", 499.0), rates.get_rate("i499", 505.0))
        rates.forget("i499")
        self.assertEqual(rates.get_rate("i499", 499.0), 0.0)


class PlacerTest(unittest.TestCase):
    def place(self, contention: Contention, demand: Demand | None) -> list[str]:
        site = Site()
        site.loads.set_report("g", (Load("i1", 4, 20_000, 0, 4),), 0.0)
        placer = Placer(site.fleet, site.loads, 1.0, Random(1), get_pace=site.get_pace)
        request = PlaceRequest("g9", "z", "s", 4000, 500, (), (), demand=demand)
        chosen = [placer.place(request, SERVICE, 0.1, (), contention).instance for _ in range(6)]
        self.guarded = sum(site.loads.get_total(f"i{number}").guarded for number in (1, 2, 3))
        return chosen

    def test_choices_without_contention_are_as_without_a_demand(self) -> None:
        self.assertEqual(self.place(NO_CONTENTION, LONG), self.place(NO_CONTENTION, None))

    def test_guarded_streams_fill_the_quick_engine_and_are_counted(self) -> None:
        self.assertEqual(self.place(GUARDED, LONG)[:3], ["i1"] * 3)
        self.assertEqual(self.guarded, 10)
        self.assertNotIn("i1", self.place(GUARDED, SHORT)[:2])


class GatewayTest(unittest.TestCase):
    def run_with_gateway(self, config: RoutingConfig, *replies: FakeStream) -> Gateway:
        gateway = make_gateway(FakeDispatcher(*replies), config, anyio.current_time())
        gateway.selector.get_pace = Site().get_pace
        return gateway

    def test_demand_is_made_only_where_routes_compete(self) -> None:
        config = make_guarding_config()
        job = make_job(1.0, 60.0, PROMPT)
        found = make_demand(job, config.routes[0], GUARDED, "o", 3, 31.0, 1.5)
        assert found is not None
        self.assertEqual((found.rank, found.guarded, found.age), (3, True, 0.5))
        self.assertIsNone(make_demand(job, config.routes[0], NO_CONTENTION, "o", 3, 31.0, 1.5))
        short = make_demand(
            replace(job, prompt=SHORT_PROMPT), config.routes[0], GUARDED, "o", 0, 31.0, 1.5
        )
        assert short is not None
        self.assertFalse(short.guarded)

    def serve(self, config: RoutingConfig, cut: bool = False) -> list[tuple[int, str]]:
        """Serve one long stream; return the guarded streams that were counted for it."""

        async def main() -> list[tuple[int, str]]:
            replies = [FakeStream(1, 2, cut), FakeStream(3, 4)]
            gateway = self.run_with_gateway(config, *replies)
            copies = gateway.dispatcher._inner
            copies.copied = Copied("h", 2)
            job = replace(make_job(anyio.current_time(), 60.0, PROMPT), path="/long/x")
            outcome = await make_forwarder(gateway).serve(job)
            assert isinstance(outcome, StreamResponse)
            counts = []
            async for _ in outcome.pieces:
                counts += [(load.guarded, load.instance) for load in gateway.loads.list_own_loads()]
            await outcome.close()
            self.assertEqual(gateway.loads.list_own_loads(), ())
            return counts

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_guarded_stream_is_counted_where_it_runs_and_released_once(self) -> None:
        self.assertEqual(self.serve(make_guarding_config()), [(1, "i1")] * 2)
        moved = self.serve(make_guarding_config(), cut=True)
        self.assertEqual([count for count, _ in moved], [1] * 4)
        self.assertEqual(len({name for _, name in moved}), 2)

    def test_stream_of_a_service_without_contention_is_not_counted(self) -> None:
        counts = self.serve(make_config(Repeat.STREAM, engine=True))
        self.assertEqual({count for count, _ in counts}, {0})

    def test_gateway_without_a_leader_prefers_quick_engines_for_guarded_streams(self) -> None:
        async def main() -> None:
            gateway = self.run_with_gateway(make_guarding_config())
            gateway.loads.add_load(make_instance(1), 3, 20_000, 0, 3)
            for _ in range(8):
                found = gateway.selector.pick(SERVICE, 4000, (), PROMPT, LONG)
                assert found is not None
                self.assertEqual(found.id, "i1")
            destinations = gateway.selector.list_candidates(SERVICE, 4000, (), LONG)
            penalties = {c.instance.id: c.penalty for c in destinations}
            self.assertLess(penalties["i1"], min(penalties["i2"], penalties["i3"]))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class ModelTest(unittest.TestCase):
    def sum_results(self, case: GuardedCase, contention: Contention) -> tuple[float, float]:
        """Return paused long streams and short prompts that started late, summed over seeds."""
        results = [simulate(case, contention, seed) for seed in SEEDS]
        return sum(r.long.paused for r in results), sum(r.short.late_start for r in results)

    def test_fewer_guarded_streams_are_paused_and_short_prompts_still_start(self) -> None:
        base, burst = (replace(case, seconds=30.0) for case in CASES[:2])
        for case, ratio in ((base, MAX_PAUSED_RATIO), (burst, MAX_BURST_PAUSED_RATIO)):
            before, _ = self.sum_results(case, NO_CONTENTION)
            paused, late_starts = self.sum_results(case, GUARDED)
            with self.subTest(case.name):
                self.assertLess(paused, ratio * before)
                if case is base:
                    self.assertLess(late_starts / len(SEEDS), MAX_LATE_STARTS)


if __name__ == "__main__":
    unittest.main()
