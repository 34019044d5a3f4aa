"""Tests of the schedule by which generations get off an engine that leaves."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.copyschedule import (
    COPY_EACH_SECONDS,
    DIRECT_MARGIN_SECONDS,
    STOP_MARGIN_SECONDS,
    Room,
    RunSize,
    schedule_copies,
    sum_seconds,
)

TOKEN_SECONDS = 0.00005
NEAR = Room("near", True, 30_000)
FAR = Room("far", False, 30_000)


def make_runs(*tokens: int) -> list[RunSize]:
    return [RunSize(f"r{number}", size) for number, size in enumerate(tokens)]


class ScheduleTest(unittest.TestCase):
    def test_copies_follow_each_other_and_all_stop_together(self) -> None:
        slots = schedule_copies(make_runs(4000, 2000), [NEAR], 1.5, TOKEN_SECONDS)
        self.assertEqual(slots["r1"].start, 0.0)
        self.assertAlmostEqual(slots["r0"].start or 0, 0.1 + COPY_EACH_SECONDS)
        self.assertEqual(slots["r0"].stop, slots["r1"].stop)
        self.assertGreater(slots["r0"].stop, 0.3)

    def test_near_engines_are_filled_before_far_ones(self) -> None:
        rooms = [FAR, Room("near", True, 5000)]
        slots = schedule_copies(make_runs(4000, 4001, 4002), rooms, 1.5, TOKEN_SECONDS)
        self.assertEqual([slots[f"r{n}"].to for n in range(3)], ["near", "far", "far"])

    def test_a_far_copy_takes_twice_as_long(self) -> None:
        near = sum_seconds(make_runs(4000), [NEAR], TOKEN_SECONDS)
        far = sum_seconds(make_runs(4000), [FAR], TOKEN_SECONDS)
        self.assertAlmostEqual(far - COPY_EACH_SECONDS, 2 * (near - COPY_EACH_SECONDS))

    def test_what_does_not_fit_gets_no_turn_and_delays_nobody(self) -> None:
        few = schedule_copies(make_runs(*[4000] * 3), [FAR], 1.5, TOKEN_SECONDS)
        many = schedule_copies(make_runs(*[4000] * 9), [FAR], 1.5, TOKEN_SECONDS)
        whole = [slot for slot in many.values() if slot.start is not None]
        self.assertLess(len(many), 9)
        self.assertLessEqual(max(s.stop for s in whole), 1.5 - STOP_MARGIN_SECONDS + 0.03)
        self.assertGreaterEqual(len(whole), len([s for s in few.values() if s.start is not None]))

    def test_without_an_engine_to_go_to_there_is_no_schedule(self) -> None:
        self.assertEqual(schedule_copies(make_runs(4000), [], 1.5, TOKEN_SECONDS), {})

    @given(st.lists(st.integers(100, 6000), max_size=24), st.floats(0.3, 3.0))
    def test_every_gateway_makes_the_same_schedule_and_it_ends_in_time(
        self, tokens: list[int], leaves_in: float
    ) -> None:
        runs = make_runs(*tokens)
        rooms = [NEAR, FAR]
        slots = schedule_copies(runs, rooms, leaves_in, TOKEN_SECONDS)
        again = schedule_copies(runs[::-1], rooms[::-1], leaves_in, TOKEN_SECONDS)
        self.assertEqual(slots, again)
        for slot in slots.values():
            self.assertLessEqual(slot.stop, leaves_in - DIRECT_MARGIN_SECONDS + 1e-9)

    @given(st.lists(st.integers(100, 6000), max_size=24))
    def test_more_time_keeps_the_turns_that_were_given(self, tokens: list[int]) -> None:
        runs = make_runs(*tokens)
        first = schedule_copies(runs, [NEAR, FAR], 1.5, TOKEN_SECONDS)
        later = schedule_copies(runs, [NEAR, FAR], 2.1, TOKEN_SECONDS)
        for name, slot in first.items():
            if slot.start is not None:
                self.assertEqual((slot.to, slot.start), (later[name].to, later[name].start))
