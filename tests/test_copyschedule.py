"""Tests of the copy schedule for runs on an engine that is shutting down."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.copyschedule import (
    COPY_OVERHEAD_SECONDS,
    MIN_DIRECT_COPY_MARGIN_SECONDS,
    MIN_STOP_MARGIN_SECONDS,
    Destination,
    RunSize,
    schedule_copies,
    sum_copy_seconds,
)

TOKEN_SECONDS = 0.00005
NEAR = Destination("near", True, 30_000)
FAR = Destination("far", False, 30_000)


def make_runs(*tokens: int) -> list[RunSize]:
    return [RunSize(f"r{number}", size) for number, size in enumerate(tokens)]


class ScheduleTest(unittest.TestCase):
    def test_pre_copies_are_sequential_and_all_runs_stop_together(self) -> None:
        slots = schedule_copies(make_runs(4000, 2000), [NEAR], 1.5, TOKEN_SECONDS)
        self.assertEqual(slots["r1"].start, 0.0)
        self.assertAlmostEqual(slots["r0"].start or 0, 0.1 + COPY_OVERHEAD_SECONDS)
        self.assertEqual(slots["r0"].stop, slots["r1"].stop)
        self.assertGreater(slots["r0"].stop, 0.3)

    def test_engines_in_the_same_zone_are_filled_first(self) -> None:
        rooms = [FAR, Destination("near", True, 5000)]
        slots = schedule_copies(make_runs(4000, 4001, 4002), rooms, 1.5, TOKEN_SECONDS)
        self.assertEqual([slots[f"r{n}"].destination_id for n in range(3)], ["near", "far", "far"])

    def test_copy_to_another_zone_takes_twice_as_long(self) -> None:
        near = sum_copy_seconds(make_runs(4000), [NEAR], TOKEN_SECONDS)
        far = sum_copy_seconds(make_runs(4000), [FAR], TOKEN_SECONDS)
        self.assertAlmostEqual(far - COPY_OVERHEAD_SECONDS, 2 * (near - COPY_OVERHEAD_SECONDS))

    def test_runs_that_do_not_fit_get_no_slot_and_delay_no_others(self) -> None:
        few = schedule_copies(make_runs(*[4000] * 3), [FAR], 1.5, TOKEN_SECONDS)
        many = schedule_copies(make_runs(*[4000] * 9), [FAR], 1.5, TOKEN_SECONDS)
        pre_copied = [slot for slot in many.values() if slot.start is not None]
        self.assertLess(len(many), 9)
        self.assertLessEqual(max(s.stop for s in pre_copied), 1.5 - MIN_STOP_MARGIN_SECONDS + 0.03)
        self.assertGreaterEqual(
            len(pre_copied), len([s for s in few.values() if s.start is not None])
        )

    def test_schedule_is_empty_without_destinations(self) -> None:
        self.assertEqual(schedule_copies(make_runs(4000), [], 1.5, TOKEN_SECONDS), {})

    @given(st.lists(st.integers(100, 6000), max_size=24), st.floats(0.3, 3.0))
    def test_schedule_is_independent_of_input_order_and_ends_in_time(
        self, tokens: list[int], leaves_in: float
    ) -> None:
        runs = make_runs(*tokens)
        rooms = [NEAR, FAR]
        slots = schedule_copies(runs, rooms, leaves_in, TOKEN_SECONDS)
        again = schedule_copies(runs[::-1], rooms[::-1], leaves_in, TOKEN_SECONDS)
        self.assertEqual(slots, again)
        for slot in slots.values():
            self.assertLessEqual(slot.stop, leaves_in - MIN_DIRECT_COPY_MARGIN_SECONDS + 1e-9)

    @given(st.lists(st.integers(100, 6000), max_size=24))
    def test_later_end_keeps_existing_slots(self, tokens: list[int]) -> None:
        runs = make_runs(*tokens)
        first = schedule_copies(runs, [NEAR, FAR], 1.5, TOKEN_SECONDS)
        later = schedule_copies(runs, [NEAR, FAR], 2.1, TOKEN_SECONDS)
        for name, slot in first.items():
            if slot.start is not None:
                self.assertEqual(
                    (slot.destination_id, slot.start),
                    (later[name].destination_id, later[name].start),
                )
