"""Tests of the detection of poison requests: counting, retraction, replication, bounds."""

import unittest
from random import Random

from daleroad.outbox import Outbox
from daleroad.suspects import (
    CREDIT_TTL_SECONDS,
    HELD_RETENTION_SECONDS,
    MAX_CREDITED_REQUESTS,
    MAX_CREDITS,
    MAX_SUSPECTS,
    MIN_CRASHES_HELD,
    MIN_CRASHES_LAST_TRY,
    SUSPECT_RETENTION_SECONDS,
    TRIAL_INTERVAL_SECONDS,
    Standing,
    Suspects,
    Trials,
)
from daleroad.suspicions import (
    HOLD_BACKOFF_SECONDS,
    MAX_CRASHES_KEPT,
    SUCCEEDED_HOLD_SECONDS,
    Suspicion,
)


class SuspectsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspects = Suspects()

    def crash(self, fingerprint: str, *instances: str, at: float = 0.0) -> None:
        for instance in instances:
            self.suspects.record_crash(fingerprint, "org", "h/x", instance, at)

    def get(self, fingerprint: str, at: float = 0.0) -> Standing:
        return self.suspects.get_standing(fingerprint, at)

    def test_crashes_of_different_instances_add_up(self) -> None:
        expected = [Standing.CLEAR, Standing.LAST_TRY, Standing.HELD, Standing.HELD]
        for number, standing in enumerate(expected):
            self.crash("bad", f"i{number}")
            self.assertIs(self.get("bad"), standing)
        self.assertIs(self.get("other"), Standing.CLEAR)
        self.assertEqual(self.suspects.count_held(0.0), 1)

    def test_repeated_crashes_of_one_instance_count_once(self) -> None:
        self.crash("bad", "i1", "i1", "i1", "i1")
        self.assertIs(self.get("bad"), Standing.CLEAR)
        self.assertTrue(self.suspects.is_empty())

    def test_a_success_cancels_a_past_crash_or_the_next(self) -> None:
        self.crash("good", "i1", "i2")
        self.assertIsNotNone(self.suspects.record_success("good", 0.0))
        self.assertIs(self.get("good"), Standing.CLEAR)
        self.assertIsNone(self.suspects.record_success("popular", 0.0))
        self.crash("popular", "i1", "i2")
        self.assertIs(self.get("popular"), Standing.CLEAR)
        self.crash("popular", "i3")
        self.assertIs(self.get("popular"), Standing.LAST_TRY)

    def test_credits_for_successes_are_bounded(self) -> None:
        for _ in range(10 * MAX_CREDITS):
            self.suspects.record_success("regressed", 0.0)
        self.crash("regressed", *(f"i{n}" for n in range(MAX_CREDITS + MIN_CRASHES_HELD)))
        self.assertIs(self.get("regressed"), Standing.HELD)

    def test_a_request_that_crashes_two_times_out_of_three_is_held(self) -> None:
        random = Random(3)
        for number in range(60):
            if random.random() < 2 / 3:
                self.crash("flaky", f"i{number}")
            else:
                self.suspects.record_success("flaky", 0.0)
        self.assertIs(self.get("flaky"), Standing.HELD)

    def test_a_live_instance_has_its_crash_retracted_for_every_request(self) -> None:
        self.crash("a", "i1", "i2", "i3")
        self.crash("b", "i2")
        reports = self.suspects.record_alive("i2", 1.0)
        self.assertEqual({r.fingerprint for r in reports}, {"a", "b"})
        self.assertIs(self.get("a"), Standing.LAST_TRY)
        self.crash("a", "i2")
        self.assertIs(self.get("a"), Standing.LAST_TRY)

    def test_crashes_that_a_held_request_explains_count_against_no_other(self) -> None:
        self.crash("bystander", "i1", "i2")
        self.assertIs(self.get("bystander"), Standing.LAST_TRY)
        self.crash("bad", "i1", "i2", "i3")
        self.assertIs(self.get("bad"), Standing.HELD)
        self.assertIs(self.get("bystander"), Standing.CLEAR)

    def test_crashes_of_a_held_request_do_not_count_against_one_that_succeeded(self) -> None:
        """A popular request is running on any upstream that another request crashes."""
        self.suspects.merge(Suspicion("popular", "org", "h/x", ("i0",), ("i0",), whole=True), 0.0)
        self.crash("popular", "i1", "i2", "i3", "i4")
        self.assertIs(self.get("popular"), Standing.HELD)
        self.crash("bad", "i1", "i2", "i3")
        self.assertIs(self.get("bad"), Standing.HELD)
        self.assertIs(self.get("popular"), Standing.CLEAR)

    def test_a_request_with_the_same_crashes_as_a_held_one_is_held_too(self) -> None:
        self.crash("bad", "i1", "i2", "i3")
        self.crash("twin", "i1", "i2", "i3")
        self.assertIs(self.get("twin"), Standing.HELD)

    def test_a_possible_poison_request_is_not_explained_away_by_another(self) -> None:
        # A popular request with more crashes, held first, must not explain those of the poison one.
        self.crash("popular", "i1", "i2", "i3", "i4", "i5")
        self.crash("bad", "i1", "i2", "i3")
        self.assertIs(self.get("bad"), Standing.HELD)

    def test_a_request_that_once_succeeded_is_held_for_less_time(self) -> None:
        self.suspects.merge(Suspicion("popular", "org", "h/x", ("i0",), ("i0",), whole=True), 0.0)
        for further in range(8):
            self.crash("popular", *(f"i{n}" for n in range(1, 4 + further)))
            left = self.suspects.get_hold_remaining("popular", 0.0)
            self.assertEqual(
                left, min(HOLD_BACKOFF_SECONDS[0], SUCCEEDED_HOLD_SECONDS * 2**further)
            )

    def test_several_runs_on_one_crashed_instance_use_one_credit(self) -> None:
        for _ in range(2):
            self.suspects.record_success("popular", 0.0)
        self.crash("popular", "i1", "i1", "i1", "i2")
        known = self.suspects.get("popular", 0.0)
        assert known is not None
        self.assertEqual((known.crashes, set(known.cleared)), ((), {"i1", "i2"}))

    def test_a_released_request_is_held_again_after_new_crashes(self) -> None:
        self.crash("bad", "i1", "i2", "i3")
        seen = ("i1", "i2", "i3")
        self.assertIsNotNone(self.suspects.release("bad", seen, 0.0))
        self.assertIs(self.get("bad"), Standing.CLEAR)
        self.assertIsNone(self.suspects.release("bad", seen, 0.0))
        self.crash("bad", "i1", "i4", "i5", "i6")
        self.assertIs(self.get("bad"), Standing.HELD)

    def test_a_release_that_is_read_late_retracts_no_crash_that_followed_it(self) -> None:
        """Guards against a waiting release that frees a request which has crashed others since."""
        self.crash("bad", "i1", "i2", "i3", "i4", "i5", "i6")
        self.assertIsNotNone(self.suspects.release("bad", ("i1", "i2", "i3"), 0.0))
        self.assertIs(self.get("bad"), Standing.HELD)
        self.assertIsNone(self.suspects.release("bad", (), 0.0))

    def test_a_hold_expires_to_a_trial_and_grows_with_each_crash(self) -> None:
        self.crash("bad", "i1", "i2", at=0.0)
        at = 0.0
        for number, seconds in enumerate([*HOLD_BACKOFF_SECONDS, HOLD_BACKOFF_SECONDS[-1]]):
            self.crash("bad", f"i{3 + number}", at=at)
            self.assertIs(self.get("bad", at + seconds - 1), Standing.HELD)
            self.assertEqual(self.suspects.get_hold_remaining("bad", at + 10), seconds - 10)
            at += seconds
            self.suspects.prune(at)
            self.assertIs(self.get("bad", at), Standing.TRIAL)
        self.suspects.record_success("bad", at)
        self.suspects.record_success("bad", at)
        self.assertIs(self.get("bad", at), Standing.TRIAL)

    def test_a_trial_is_claimed_once_per_interval(self) -> None:
        trials = Trials()
        self.assertTrue(trials.claim("bad", 0.0))
        self.assertFalse(trials.claim("bad", TRIAL_INTERVAL_SECONDS - 0.1))
        self.assertTrue(trials.claim("other", 0.0))
        self.assertTrue(trials.claim("bad", TRIAL_INTERVAL_SECONDS))

    def test_local_credits_cancel_crashes_recorded_elsewhere(self) -> None:
        """Another request crashes three upstreams while they also run a popular one."""
        self.suspects.record_success("popular", 0.0)
        seen_elsewhere = Suspicion("popular", "org", "h/x", ("i1", "i2", "i3"))
        self.suspects.merge(seen_elsewhere, 1.0)
        self.assertIs(self.get("popular", 1.0), Standing.HELD)
        report = self.suspects.apply_credits("popular", 1.0)
        assert report is not None
        self.assertEqual(report.cleared, ("i1",))
        self.assertIs(self.get("popular", 1.0), Standing.LAST_TRY)
        self.assertIsNone(self.suspects.apply_credits("popular", 1.0))

    def test_expired_credits_cancel_nothing(self) -> None:
        for _ in range(5):
            self.suspects.record_success("regressed", 0.0)
        later = CREDIT_TTL_SECONDS + 0.1
        self.crash("regressed", "i1", "i2", "i3", at=later)
        self.assertIs(self.get("regressed", later), Standing.HELD)

    def test_suspects_are_forgotten_after_their_retention_time(self) -> None:
        self.crash("bystander", "i1", "i2")
        self.crash("bad", "i3", "i4", "i5")
        self.suspects.prune(SUSPECT_RETENTION_SECONDS + 1)
        self.assertIsNone(self.suspects.get("bystander", 0.0))
        self.assertIsNotNone(self.suspects.get("bad", 0.0))
        self.suspects.prune(HELD_RETENTION_SECONDS + 1)
        self.assertIsNone(self.suspects.get("bad", 0.0))
        self.assertTrue(self.suspects.is_empty())

    def test_a_caller_that_floods_evicts_its_own_requests(self) -> None:
        self.suspects.record_crash("victim", "other", "h/x", "i0", 0.0)
        for number in range(3 * MAX_SUSPECTS):
            self.suspects.record_crash(f"f{number}", "flood", "h/x", f"i{number}", float(number))
        self.assertEqual(len(self.suspects.list_changed(0.0)), MAX_SUSPECTS)
        self.assertIsNotNone(self.suspects.get("victim", 0.0))
        for number in range(2 * MAX_CREDITED_REQUESTS):
            self.suspects.record_success(f"w{number}", 0.0)
        self.assertLessEqual(len(self.suspects._credits), MAX_CREDITED_REQUESTS)

    def test_a_held_request_survives_eviction(self) -> None:
        self.crash("bad", "i1", "i2", "i3")
        for number in range(2 * MAX_SUSPECTS):
            self.suspects.record_crash(f"f{number}", "org", "h/x", f"j{number}", float(number))
        self.assertIs(self.get("bad"), Standing.HELD)

    def test_crashes_beyond_the_bound_change_nothing_when_reported_again(self) -> None:
        many = tuple(f"i{number}" for number in range(3 * MAX_CRASHES_KEPT))
        report = Suspicion("bad", "org", "h/x", many)
        self.assertTrue(self.suspects.merge(report, 0.0))
        revision = self.suspects.revision
        self.assertFalse(self.suspects.merge(report, 0.0))
        self.assertEqual(self.suspects.revision, revision)

    def test_gateways_get_reports_on_flagged_requests_only(self) -> None:
        self.crash("once", "i1")
        self.crash("twice", "i1", "i2")
        marked = self.suspects.list_changed(0.0, 0, flagged_only=True)
        self.assertEqual([report.fingerprint for report in marked], ["twice"])
        known = self.suspects.flagged_revision
        self.crash("another", "i3")
        self.assertEqual(self.suspects.flagged_revision, known)
        self.assertEqual(self.suspects.list_changed(0.0, known, flagged_only=True), ())
        revision = self.suspects.revision
        self.suspects.record_success("twice", 0.0)
        (report,) = self.suspects.list_changed(0.0, revision, flagged_only=True)
        self.assertEqual((report.crashes, report.cleared), (("i2",), ("i1",)))

    def test_a_retraction_for_an_unknown_request_is_ignored(self) -> None:
        self.assertFalse(self.suspects.merge(Suspicion("f", "org", "h/x", (), ("i1",)), 0.0))
        self.assertIsNone(self.suspects.get("f", 0.0))


class ConvergenceTest(unittest.TestCase):
    """Processes that get the same reports in any order, and repeatedly, reach the same state."""

    SEEDS = 150
    NAMES = ("a", "b", "c", "d")

    def test_all_converge(self) -> None:
        for seed in range(self.SEEDS):
            with self.subTest(seed):
                self.check(Random(seed))

    def check(self, random: Random) -> None:
        processes = [Suspects() for _ in range(4)]
        known_revisions = [[0] * 4 for _ in range(4)]
        for _ in range(60):
            self.record_event(random, random.choice(processes))
            self.send_some(random, processes, known_revisions)
        for _ in range(4):
            for sender in range(4):
                for receiver in range(4):
                    self.send(processes, known_revisions, sender, receiver)
        views = [
            {t.fingerprint: (set(t.crashes), s.get_standing(t.fingerprint, 0.0))}
            for s in processes
            for t in s.list_changed(0.0)
        ]
        for view in views:
            (name,) = view
            self.assertTrue(all(other == view for other in views if name in other))

    def record_event(self, random: Random, process: Suspects) -> None:
        name, instance = random.choice(self.NAMES), f"i{random.randrange(6)}"
        match random.randrange(8):
            case 0:
                process.record_success(name, 0.0)
            case 1:
                process.record_alive(instance, 0.0)
            case _:
                process.record_crash(name, "org", "h/x", instance, 0.0)

    def send_some(
        self, random: Random, processes: list[Suspects], known_revisions: list[list[int]]
    ) -> None:
        sender, receiver = random.randrange(4), random.randrange(4)
        if random.random() < 0.5:
            self.send(processes, known_revisions, sender, receiver)
        if random.random() < 0.1:
            # Sent again from the beginning, as to a process that has restarted.
            known_revisions[sender][receiver] = 0

    def send(
        self,
        processes: list[Suspects],
        known_revisions: list[list[int]],
        sender: int,
        receiver: int,
    ) -> None:
        reports = processes[sender].list_changed(0.0, known_revisions[sender][receiver])
        known_revisions[sender][receiver] = processes[sender].revision
        if sender != receiver:
            for report in reports:
                processes[receiver].merge(report, 0.0)


class OutboxTest(unittest.TestCase):
    def test_each_reader_gets_what_was_added_after_its_position(self) -> None:
        outbox: Outbox[str] = Outbox()
        self.assertEqual(outbox.list_after(0), ())
        for text in "abc":
            outbox.add(text)
        self.assertEqual(outbox.list_after(1), ("b", "c"))
        self.assertEqual(outbox.list_after(outbox.newest), ())

    def test_the_newest_entries_are_kept(self) -> None:
        outbox: Outbox[int] = Outbox()
        for number in range(10_000):
            outbox.add(number)
        found = outbox.list_after(0)
        self.assertEqual(found[-1], 9999)
        self.assertLess(len(found), 1000)


class BoundsTest(unittest.TestCase):
    def test_the_last_try_comes_one_crash_before_the_hold(self) -> None:
        self.assertEqual(MIN_CRASHES_LAST_TRY + 1, MIN_CRASHES_HELD)
