"""Tests of the attribution of crashes to requests and parts, and of the hold of parts."""

import unittest
from dataclasses import replace

from daleroad.answeredparts import MAX_ANSWERED_PARTS, AnsweredParts
from daleroad.blame import JOINT_CRASH_SECONDS, CrashRecord, count_blamed_crashes
from daleroad.onsets import ONSET_SECONDS, Onset, Progress
from daleroad.partmodel import CASES, simulate_parts
from daleroad.partrules import CurrentPartRule
from daleroad.promptparts import MAX_CACHED_CHARS, SharedPart, make_shared_part
from daleroad.suspects import MAX_SUSPECTS, PART_SUCCESS_SECONDS, Standing, Suspects
from daleroad.suspicions import HOLD_BACKOFF_SECONDS, MAX_CRASHES_KEPT, SUCCEEDED_HOLD_SECONDS

FIRST, SECOND = SharedPart("first", "s/m/first", 0), SharedPart("second", "s/m/second", 1)


def make_record(name: str, crashes: str, depth: int | None = None, **more: bool) -> CrashRecord:
    """Return the record of a candidate with one crash for each letter, a second apart."""
    found = frozenset(crashes)
    times = {crash: float(ord(crash)) for crash in crashes}
    return CrashRecord(name, found, found, depth=depth, times=times, **more)


class BlameTest(unittest.TestCase):
    def blame(self, *records: CrashRecord) -> set[str]:
        counts = count_blamed_crashes(records)
        return {name for name, count in counts.items() if count > 2}

    def test_of_parts_with_the_same_crashes_the_later_one_is_blamed(self) -> None:
        parts = (make_record("first", "abc", 0), make_record("second", "abc", 1))
        self.assertEqual(self.blame(*parts), {"second"})

    def test_an_earlier_part_with_two_more_crashes_is_blamed_too(self) -> None:
        later = make_record("second", "abc", 1)
        self.assertEqual(self.blame(make_record("first", "abcd", 0), later), {"second"})
        self.assertEqual(self.blame(make_record("first", "abcde", 0), later), {"first", "second"})

    def test_two_later_parts_explain_all_crashes_of_an_earlier_one(self) -> None:
        later = (make_record("a", "abc", 1), make_record("b", "def", 1))
        self.assertEqual(self.blame(make_record("first", "abcdef", 0), *later), {"a", "b"})

    def test_a_repeated_request_is_blamed_before_its_parts(self) -> None:
        request = make_record("request", "abc")
        self.assertEqual(self.blame(request, make_record("part", "abc", 1)), {"request"})

    def test_a_request_does_not_hide_a_part_with_two_crashes_more(self) -> None:
        request = make_record("request", "abc")
        found = self.blame(request, make_record("part", "abcde", 1))
        self.assertEqual(found, {"request", "part"})

    def test_a_part_does_not_hide_a_request(self) -> None:
        found = self.blame(make_record("request", "abc"), make_record("part", "abcdef", 1))
        self.assertIn("request", found)

    def test_requests_beside_a_blamed_part_are_not_blamed(self) -> None:
        beside = make_record("beside", "abc", succeeded=True)
        self.assertEqual(self.blame(beside, make_record("part", "abcd", 1)), {"part"})

    def test_a_part_that_had_an_answer_is_blamed_last(self) -> None:
        answered = make_record("second", "abc", 1, succeeded=True)
        self.assertEqual(self.blame(make_record("first", "abc", 0), answered), {"first"})

    def test_crashes_before_an_answer_began_need_more(self) -> None:
        for crashes, blamed in (("abcd", set()), ("abcde", {"part"})):
            record = replace(make_record("part", crashes, 1), begun=frozenset("ab"))
            self.assertEqual(self.blame(record), blamed)

    def test_crashes_at_one_time_are_not_enough(self) -> None:
        for gap, blamed in ((0.0, set()), (0.4, set()), (0.5, {"part"}), (1.0, {"part"})):
            times = {
                crash: number * gap * JOINT_CRASH_SECONDS for number, crash in enumerate("abc")
            }
            record = replace(make_record("part", "abc", 1), times=times)
            self.assertEqual(self.blame(record), blamed)

    def test_a_herd_beside_a_blamed_part_is_one_crash_more_for_an_earlier_one(self) -> None:
        later, earlier = make_record("second", "abc", 1), make_record("first", "abcdefgh", 0)
        times = dict(earlier.times) | dict.fromkeys("defgh", 200.0)
        self.assertEqual(self.blame(replace(earlier, times=times), later), {"second"})

    def test_a_part_that_had_answers_needs_five_crashes(self) -> None:
        for crashes, blamed in (("abcd", set()), ("abcde", {"part"})):
            record = make_record("part", crashes, 1, succeeded=True)
            self.assertEqual(self.blame(record), blamed)

    def test_crashes_before_an_answer_began_say_nothing_of_a_part_that_had_answers(self) -> None:
        record = make_record("part", "abcdefgh", 1, succeeded=True)
        record = replace(record, begun=frozenset("ab"))
        self.assertEqual(self.blame(record), set())


class PartHoldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = Suspects()

    def crash(self, *instances: str, part: SharedPart = SECOND, caller: str = "a", at: float = 0.0):
        """Record crashes that are not at one time, the last of them at a given time."""
        for number, instance in enumerate(instances, 1 - len(instances)):
            now = at + number * JOINT_CRASH_SECONDS
            self.suspects.record_part_crash(part, caller, "h/x", instance, True, now)

    def get(self, caller: str = "a", at: float = 0.0, part: SharedPart = SECOND) -> Standing:
        return self.suspects.get_part_standing(part.fingerprint, caller, at)

    def test_a_part_is_held_after_three_crashes_and_has_no_last_try(self) -> None:
        for number in (1, 2):
            self.crash(f"i{number}", at=float(number))
            self.assertIs(self.get(at=2.0), Standing.CLEAR)
        self.crash("i3", at=3.0)
        self.assertIs(self.get(at=3.0), Standing.HELD)
        self.assertEqual(self.suspects.count_held_parts(3.0), 1)

    def test_an_answer_clears_all_crashes_and_those_soon_after(self) -> None:
        self.crash("i1", "i2", "i3", "i4")
        self.assertIsNotNone(self.suspects.record_part_success("second", "a", 1.0))
        self.assertIs(self.get(at=1.0), Standing.CLEAR)
        self.crash("i5", "i6", "i7", at=1.0 + PART_SUCCESS_SECONDS)
        self.assertIs(self.get(at=1.0 + PART_SUCCESS_SECONDS), Standing.CLEAR)

    def test_a_part_that_becomes_poison_is_held_for_a_short_time_first(self) -> None:
        self.suspects.record_part_success("second", "a", 0.0)
        late = 2 * PART_SUCCESS_SECONDS
        self.crash("i1", "i2", "i3", "i4", at=late)
        self.assertIs(self.get(at=late), Standing.CLEAR)
        self.crash("i5", at=late + 1.0)
        self.assertIs(self.get(at=late + 1.0), Standing.HELD)
        self.assertIs(self.get(at=late + 1.0 + SUCCEEDED_HOLD_SECONDS), Standing.TRIAL)

    def test_answers_elsewhere_clear_crashes_that_are_told(self) -> None:
        other = Suspects()
        other.record_part_success("second", "a", 0.0)
        self.crash("i1", "i2", "i3")
        for report in self.suspects.list_changed(1.0):
            other.merge(report, 1.0)
            cleared = other.apply_credits(report.fingerprint, 1.0)
            assert cleared is not None
            self.suspects.merge(cleared, 1.0)
        self.assertIs(self.get(at=1.0), Standing.CLEAR)
        self.assertIsNone(other.apply_credits("second", 1.0))

    def test_one_organisation_cannot_hold_a_part_for_others(self) -> None:
        self.crash("i1", "i2", "i3", "i4", "i5", "i6", caller="a")
        self.assertIs(self.get("a"), Standing.HELD)
        self.assertIs(self.get("b"), Standing.CLEAR)

    def test_a_part_of_two_organisations_is_held_for_all(self) -> None:
        self.crash("i1", "i2", caller="a")
        self.crash("i3", caller="b", at=1.0)
        self.assertIs(self.get("c", at=1.0), Standing.HELD)

    def test_one_engine_counts_once_however_many_requests_it_ran(self) -> None:
        for caller in ("a", "b", "c"):
            self.crash("i1", caller=caller)
        self.assertIs(self.get(), Standing.CLEAR)

    def test_requests_under_way_when_it_is_held_do_not_prolong_the_hold(self) -> None:
        self.crash("i1", "i2", "i3", "i4", "i5")
        self.assertIs(self.get(at=HOLD_BACKOFF_SECONDS[0]), Standing.TRIAL)
        self.crash("i6", at=HOLD_BACKOFF_SECONDS[0])
        self.assertIs(self.get(at=2 * HOLD_BACKOFF_SECONDS[0]), Standing.HELD)
        self.assertIs(self.get(at=3 * HOLD_BACKOFF_SECONDS[0]), Standing.TRIAL)

    def test_an_organisation_with_thousands_of_parts_drops_its_own(self) -> None:
        self.crash("i1", "i2", "i3", caller="a")
        for number in range(MAX_SUSPECTS + 100):
            part = SharedPart(f"p{number}", f"p{number}", 1)
            self.crash("i1", "i2", part=part, caller="flood")
        self.assertIs(self.get("a"), Standing.HELD)
        self.assertEqual(len(self.suspects.list_changed(0.0)), MAX_SUSPECTS)

    def test_a_part_that_crashes_many_engines_at_once_is_held_after_the_next(self) -> None:
        for number in range(2 * MAX_CRASHES_KEPT):
            self.crash(f"i{number}")
        self.assertIs(self.get(), Standing.CLEAR)
        self.crash("later", at=5.0)
        self.assertIs(self.get(at=5.0), Standing.HELD)
        self.assertEqual(self.suspects.get_hold_remaining("second", 5.0), HOLD_BACKOFF_SECONDS[0])

    def test_crashes_that_are_told_late_and_at_once_keep_their_distance(self) -> None:
        told = []
        for number in range(3):
            at = float(number)
            told.append(self.suspects.record_part_crash(SECOND, "a", "h", f"i{number}", True, at))
        for order in (told, told[::-1]):
            other = Suspects()
            for report in order:
                assert report is not None
                other.merge(report, 5.0)
            self.assertIs(other.get_part_standing("second", "a", 5.0), Standing.HELD)

    def test_the_order_of_reports_does_not_matter(self) -> None:
        self.crash("i1", "i2", "i3", "i4")
        self.suspects.record_alive("i2", 0.0)
        self.crash("i5", caller="b")
        reports = self.suspects.list_changed(0.0)
        for order in (reports, reports[::-1], reports * 2):
            other = Suspects()
            for report in order:
                other.merge(report, 0.0)
            (known,) = other.list_changed(0.0)
            self.assertEqual(set(known.crashes), {"i1", "i3", "i4", "i5"})
            self.assertEqual(set(known.callers), {"a", "b"})


class PartCacheTest(unittest.TestCase):
    def test_long_ids_are_not_kept(self) -> None:
        long = "x" * (MAX_CACHED_CHARS + 1)
        made = make_shared_part("s", "m", long, 1)
        self.assertIsNot(make_shared_part("s", "m", long, 1), made)
        self.assertEqual(make_shared_part("s", "m", long, 1), made)
        self.assertIs(make_shared_part("s", "m", "x", 1), make_shared_part("s", "m", "x", 1))


class AnsweredPartsTest(unittest.TestCase):
    def test_an_organisation_with_thousands_of_parts_pushes_out_its_own(self) -> None:
        answered = AnsweredParts()
        answered.add("shared", "a", 0.0)
        for number in range(2 * MAX_ANSWERED_PARTS):
            answered.add(f"part {number}", "flood", 1.0)
            if number == MAX_ANSWERED_PARTS:
                answered.add("shared", "flood", 2.0)
        self.assertEqual(answered.get("shared"), 2.0)
        self.assertIsNone(answered.get("part 0"))
        self.assertEqual(answered.get(f"part {2 * MAX_ANSWERED_PARTS - 1}"), 1.0)


class OnsetTest(unittest.TestCase):
    def test_an_answer_gets_far_with_the_second_event_after_its_beginning(self) -> None:
        onset = Onset(10.0)
        late = 10.0 + ONSET_SECONDS
        events = ((0.5, 10.5), (0.5, late), (0.0, late), (0.1, late + 0.1), (0.1, late + 0.2))
        shown = [onset.note_event(waited, now) for waited, now in events]
        self.assertEqual(shown, [False, False, False, True, False])
        self.assertIs(onset.get_progress(), Progress.FAR)

    def test_events_that_waited_while_the_gateway_was_stopped_show_nothing(self) -> None:
        onset = Onset(10.0)
        for waited, now in ((0.05, 10.05), (3.0, 13.05), (0.0, 13.05), (0.0, 13.05)):
            self.assertFalse(onset.note_event(waited, now))
        self.assertIs(onset.get_progress(), Progress.BEGUN)


class PartModelTest(unittest.TestCase):
    MOST_REFUSED = 0.002
    """Share of the sound streams."""

    def test_poison_parts_are_held_and_sound_ones_are_not(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                found = [simulate_parts(case, CurrentPartRule(), seed) for seed in range(6)]
                sound = sum(outcome.sound for outcome in found)
                refused = sum(outcome.refused for outcome in found)
                self.assertLessEqual(refused, self.MOST_REFUSED * sound)
                mean = sum(outcome.crashed for outcome in found) / len(found)
                self.assertLessEqual(mean, 5.0)
