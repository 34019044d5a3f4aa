"""Tests of the copy schedule for runs on an engine that is shutting down."""

import unittest
from itertools import pairwise

from hypothesis import given
from hypothesis import strategies as st

from daleroad.copyschedule import (
    COPY_OVERHEAD_SECONDS,
    MIN_DIRECT_COPY_MARGIN_SECONDS,
    MIN_STOP_MARGIN_SECONDS,
    Destination,
    RunSize,
    find_assigned_elsewhere,
    schedule_copies,
    schedule_staggered_copies,
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


class StaggeredScheduleTest(unittest.TestCase):
    def test_each_run_is_stopped_when_the_link_is_free_for_its_final_copy(self) -> None:
        slots = schedule_staggered_copies(make_runs(4000, 2000), [NEAR], 1.5, TOKEN_SECONDS)
        self.assertAlmostEqual(slots["r0"].stop, slots["r1"].end)
        self.assertGreater(slots["r1"].stop, slots["r0"].start or 0)

    def test_a_run_after_the_final_copies_has_a_pre_copy_if_that_fits(self) -> None:
        runs = make_runs(*[4000] * 6)
        before = schedule_copies(runs, [NEAR], 1.55, TOKEN_SECONDS)
        after = schedule_staggered_copies(runs, [NEAR], 1.55, TOKEN_SECONDS)
        self.assertEqual([slot.start is None for slot in before.values()], [False] * 5 + [True])
        self.assertEqual([slot.start is None for slot in after.values()], [False] * 6)

    @given(st.lists(st.integers(100, 6000), max_size=24), st.floats(0.3, 3.0))
    def test_copies_do_not_overlap_and_end_in_time(
        self, tokens: list[int], leaves_in: float
    ) -> None:
        slots = schedule_staggered_copies(make_runs(*tokens), [NEAR, FAR], leaves_in, TOKEN_SECONDS)
        finals = sorted((slot.stop, slot.end) for slot in slots.values())
        for (_, end), (stop, _) in pairwise(finals):
            self.assertLessEqual(end, stop + 1e-9)
        for slot in slots.values():
            self.assertLessEqual(slot.end, leaves_in - MIN_DIRECT_COPY_MARGIN_SECONDS + 1e-9)


class SharedDestinationsTest(unittest.TestCase):
    def test_engines_that_leave_together_share_out_their_destinations(self) -> None:
        leaving = {"o1": "a", "o2": "a", "o3": "b"}
        rooms = {"a1": "a", "a2": "a", "b1": "b", "c1": "c", "c2": "c", "d1": "d"}
        free = [set(rooms) - find_assigned_elsewhere(origin, leaving, rooms) for origin in leaving]
        self.assertEqual(free, [{"a1", "c1"}, {"a2", "c2"}, {"b1", "d1"}])

    def test_an_engine_that_leaves_alone_may_fill_all(self) -> None:
        self.assertEqual(
            find_assigned_elsewhere("o", {"o": "a"}, {"a1": "a", "b1": "b"}), frozenset()
        )

    def test_a_destination_assigned_elsewhere_comes_after_others_of_its_zone(self) -> None:
        rooms = [
            Destination("x", False, 9000),
            Destination("y", False, 30_000, assigned_elsewhere=True),
        ]
        slots = schedule_staggered_copies(make_runs(4000, 5000), rooms, 1.5, TOKEN_SECONDS)
        self.assertEqual([slots[name].destination_id for name in ("r0", "r1")], ["x", "y"])
