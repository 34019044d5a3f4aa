"""Unit tests of the modules that decide without I/O.

Output lengths, fair queueing, placement, stewards, location, leases, ejection, quotas, retries and
the directory.
"""

import unittest
from dataclasses import replace
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from daleroad.catalog import Catalog, DropUpstream, Put, SetUpstream
from daleroad.defaults import DEFAULT_OUTPUT_TOKENS
from daleroad.detection import compare_detectors
from daleroad.directory import Directory, pick_split, pick_steward
from daleroad.errors import FailureKind
from daleroad.fairness import FairQueue
from daleroad.health import Consecutive, Ejector, Evidence, Sequential
from daleroad.lengths import LengthWindow, OutputLengths
from daleroad.location import pick_addresses
from daleroad.quota import Quota
from daleroad.ranking import rank_upstreams
from daleroad.records import EntryMember, Organisation, Split, State, Upstream
from daleroad.retries import RetryBudget, get_backoff
from daleroad.roster import Roster


def make_entries(count: int) -> list[EntryMember]:
    return [
        EntryMember(f"e{i}", f"http://e{i}", f"z{i % 3}", "region", State.SERVING)
        for i in range(count)
    ]


def make_upstreams(count: int) -> list[Upstream]:
    return [Upstream(f"u{i}", f"http://u{i}", "s", f"z{i % 3}", 1000) for i in range(count)]


class LengthsTest(unittest.TestCase):
    @given(st.lists(st.integers(1, 500), min_size=1, max_size=60), st.integers(0, 500))
    def test_quantiles_count_only_longer_outputs(self, seen: list, produced: int) -> None:
        window = LengthWindow()
        for length in seen:
            window.add(length)
        longer = sorted(length for length in seen if length > produced)
        self.assertEqual(window.get_quantile(0.0, produced), longer[0] if longer else None)
        self.assertEqual(window.get_quantile(1.0, produced), longer[-1] if longer else None)

    def test_window_slides(self) -> None:
        window = LengthWindow(size=4)
        for length in (1000, 1, 2, 3, 4):
            window.add(length)
        self.assertEqual(window.get_quantile(1.0, 0), 4)

    def test_default_without_history_and_route_history_for_a_new_version(self) -> None:
        lengths = OutputLengths()
        self.assertEqual(
            lengths.estimate_remaining_tokens("r", "m", 0, 10_000, 0.5), DEFAULT_OUTPUT_TOKENS
        )
        for _ in range(20):
            lengths.add("r", "m1", 40)
        self.assertEqual(lengths.estimate_remaining_tokens("r", "m2", 0, 10_000, 0.5), 40)
        self.assertEqual(lengths.estimate_remaining_tokens("r", "m1", 600, 10_000, 0.5), 600)
        self.assertEqual(lengths.estimate_remaining_tokens("r", "m1", 600, 700, 0.5), 100)

    def test_window_adapts_to_a_change_of_output_lengths(self) -> None:
        lengths = OutputLengths()
        for _ in range(600):
            lengths.add("r", "m", 10)
        for _ in range(512):
            lengths.add("r", "m", 900)
        self.assertEqual(lengths.estimate_remaining_tokens("r", "m", 0, 10_000, 0.1), 900)


class FairQueueTest(unittest.TestCase):
    def test_partners_are_served_in_proportion_to_their_shares(self) -> None:
        queue: FairQueue[str] = FairQueue()
        queue.set_share("p", 0.75)
        queue.set_share("q", 0.25)
        for i in range(200):
            queue.push("p", "o", 1.0, f"p{i}")
            queue.push("q", "o", 1.0, f"q{i}")
        served = []
        for _ in range(100):
            item = queue.pop()
            served.append(item[0])
            queue.charge(item[0], "o", 10)
        self.assertAlmostEqual(served.count("p"), 75, delta=2)

    def test_idle_partner_accumulates_no_credit(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(100):
            queue.push("p", "o", 1.0, "p")
            queue.pop()
            queue.charge("p", "o", 10)
        for _ in range(20):
            queue.push("p", "o", 1.0, "p")
            queue.push("q", "o", 1.0, "q")
        served = []
        for _ in range(10):
            item = queue.pop()
            served.append(item)
            queue.charge(item, "o", 10)
        self.assertLessEqual(served.count("q"), 6)

    def test_organisations_share_by_tokens_and_not_by_requests(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(300):
            queue.push("p", "long", 1.0, "long")
            queue.push("p", "short", 1.0, "short")
        tokens = {"long": 0, "short": 0}
        for _ in range(200):
            item = queue.pop()
            spent = 100 if item == "long" else 10
            tokens[item] += spent
            queue.charge("p", item, spent)
        self.assertAlmostEqual(tokens["long"], tokens["short"], delta=110)

    @given(st.lists(st.tuples(st.sampled_from("pq"), st.sampled_from("ab")), max_size=40))
    def test_each_item_is_popped_or_removed_exactly_once(self, pushes: list) -> None:
        queue: FairQueue[int] = FairQueue()
        for number, (partner, organisation) in enumerate(pushes):
            queue.push(partner, organisation, 1.0, number)
        removed = {n for n, (p, o) in enumerate(pushes) if n % 3 == 0 and queue.remove(p, o, n)}
        popped = []
        while (item := queue.pop()) is not None:
            popped.append(item)
        self.assertEqual(sorted([*popped, *removed]), list(range(len(pushes))))
        self.assertEqual(len(queue), 0)


class PlacementTest(unittest.TestCase):
    def test_prefix_keeps_its_upstream_until_that_is_overloaded(self) -> None:
        upstreams = make_upstreams(6)
        firsts = {
            rank_upstreams(upstreams, "prefix", lambda _: 0.2, Random(i))[0].name for i in range(20)
        }
        self.assertEqual(len(firsts), 1)
        (preferred,) = firsts
        ranked = rank_upstreams(upstreams, "prefix", lambda n: 0.9 * (n == preferred), Random(1))
        self.assertNotEqual(ranked[0].name, preferred)
        self.assertEqual(len({u.name for u in ranked}), 6)

    def test_less_loaded_of_two_is_first_without_a_prefix(self) -> None:
        upstreams = make_upstreams(2)
        ranked = rank_upstreams(upstreams, "", lambda n: float(n == "u0"), Random(1))
        self.assertEqual(ranked[0].name, "u1")


class StewardTest(unittest.TestCase):
    def test_stewards_are_in_the_zone_and_only_those_of_a_removed_entry_change(self) -> None:
        entries, upstreams = make_entries(12), make_upstreams(300)
        before = {u.name: pick_steward(entries, u) for u in upstreams}
        self.assertTrue(all(before[u.name].zone == u.zone for u in upstreams))
        remaining = entries[1:]
        changed = [u for u in upstreams if pick_steward(remaining, u) != before[u.name]]
        self.assertTrue(all(before[u.name] == entries[0] for u in changed))
        counts = [sum(e == entry for e in before.values()) for entry in entries]
        self.assertLess(max(counts), 50)

    def test_draining_entry_is_never_a_steward(self) -> None:
        entries = [EntryMember("e", "a", "z0", "r", State.DRAINING)]
        self.assertIsNone(pick_steward(entries, make_upstreams(1)[0]))

    def test_splits_follow_weights_and_are_stable(self) -> None:
        splits = (Split("a", 9.0), Split("b", 1.0))
        chosen = [pick_split(splits, f"k{i}") for i in range(2000)]
        self.assertAlmostEqual(chosen.count("b") / 2000, 0.1, delta=0.03)
        self.assertEqual(pick_split(splits, "k1"), chosen[1])


class LocationTest(unittest.TestCase):
    def test_entries_of_the_zone_are_first_and_one_of_another_zone_is_last(self) -> None:
        picked = pick_addresses(make_entries(12), "z0", 4, Random(1))
        zones = [int(a.removeprefix("http://e")) % 3 for a in picked]
        self.assertEqual((zones[:3], zones[3] != 0), ([0, 0, 0], True))

    def test_result_is_bounded_and_omits_draining_entries(self) -> None:
        entries = make_entries(350)
        entries[5] = EntryMember("e5", "draining", "z2", "r", State.DRAINING)
        for seed in range(200):
            picked = pick_addresses(entries, "z2", 500, Random(seed))
            self.assertLessEqual(len(picked), 16)
            self.assertNotIn("draining", picked)


class RosterTest(unittest.TestCase):
    def test_revision_is_in_force_when_applied_or_the_lease_expired(self) -> None:
        roster = Roster(4.0, since=10.0)
        self.assertFalse(roster.is_in_force(5, ["a", "b"], 10.0))
        roster.follow("a", 5, 11.0)
        roster.follow("b", 4, 11.0)
        self.assertFalse(roster.is_in_force(5, ["a", "b"], 14.9))
        self.assertTrue(roster.is_in_force(5, ["a", "b"], 15.0))
        self.assertEqual(list(roster.list_expired(["a", "b", "c"], 14.5)), ["c"])

    def test_noted_revision_counts_at_once_but_renews_no_lease(self) -> None:
        roster = Roster(4.0, since=10.0)
        roster.note_applied("a", 5)
        self.assertTrue(roster.is_in_force(5, ["a"], 10.1))
        self.assertEqual(list(roster.list_expired(["a"], 14.0)), ["a"])

    def test_new_leader_waits_until_leases_of_its_predecessor_expire(self) -> None:
        roster = Roster(4.0, since=10.0)
        self.assertEqual(list(roster.list_expired(["a"], 13.9)), [])
        self.assertFalse(roster.is_in_force(1, ["a"], 13.9))
        self.assertTrue(roster.is_in_force(1, ["a"], 14.0))


class HealthTest(unittest.TestCase):
    def test_detectors_eject_a_failing_upstream_and_keep_a_healthy_one(self) -> None:
        for detector in (Consecutive(5), Sequential()):
            evidence = Evidence(detector)
            results = [evidence.note(False) for _ in range(12)]
            self.assertTrue(any(results), detector)
            evidence = Evidence(detector)
            random = Random(3)
            self.assertFalse(any(evidence.note(random.random() > 0.005) for _ in range(5000)))

    def test_sequential_detector_ejects_an_upstream_that_fails_half_of_its_requests(self) -> None:
        evidence = Evidence(Sequential())
        self.assertTrue(any(evidence.note(i % 2 == 0) for i in range(60)))

    def test_ejected_share_is_bounded_and_a_successful_trial_ends_the_ejection(self) -> None:
        ejector = Ejector(Consecutive(2))
        for name in ("a", "b", "c"):
            for _ in range(5):
                ejector.note(name, False, among=3, now=0.0)
        ejected = [n for n in ("a", "b", "c") if not ejector.is_open(n, 1.0)]
        self.assertEqual(ejected, ["a"])
        self.assertTrue(ejector.is_open("a", 6.0))
        ejector.take_trial("a", 6.0)
        self.assertFalse(ejector.is_open("a", 6.1))
        ejector.note("a", True, 3, 6.2)
        self.assertTrue(ejector.is_open("a", 6.3))


class QuotaTest(unittest.TestCase):
    def test_limit_is_enforced_and_released_slots_are_reused(self) -> None:
        quota = Quota()
        self.assertIsNone(quota.acquire("o", "a", 2, 0.0))
        self.assertIsNone(quota.acquire("o", "b", 2, 0.0))
        self.assertIsNone(quota.acquire("o", "a", 2, 0.0))
        self.assertIs(quota.acquire("o", "c", 2, 0.0).kind, FailureKind.LIMIT)
        quota.release("o", "a")
        self.assertIsNone(quota.acquire("o", "c", 2, 0.0))

    def test_slots_expire_unless_they_are_held(self) -> None:
        quota = Quota()
        quota.acquire("o", "lost", 2, 0.0)
        quota.acquire("o", "held", 2, 0.0)
        quota.renew("o", ["held"], 3.0)
        self.assertIsNone(quota.acquire("o", "new", 2, 4.5))
        self.assertIsNotNone(quota.acquire("o", "more", 2, 4.5))

    def test_new_counter_learns_held_slots_before_it_grants_any(self) -> None:
        quota = Quota()
        quota.note_membership_change(10.0)
        self.assertIsNotNone(quota.acquire("o", "new", 1, 10.5))
        quota.renew("o", ["old"], 11.0)
        self.assertIsNotNone(quota.acquire("o", "new", 1, 12.5))


class RetryTest(unittest.TestCase):
    def test_retries_are_limited_to_a_share_of_first_attempts(self) -> None:
        budget = RetryBudget(0.1, 3)
        self.assertEqual([budget.try_acquire() for _ in range(4)], [True, True, True, False])
        for _ in range(100):
            budget.record_first_attempt()
        self.assertEqual(sum(budget.try_acquire() for _ in range(50)), 3)

    def test_backoff_grows_up_to_a_maximum(self) -> None:
        random = Random(1)
        delays = [get_backoff(attempt, random) for attempt in range(20)]
        self.assertLessEqual(max(delays), 2.0)
        self.assertGreater(delays[10], delays[0])


class DetectionTest(unittest.TestCase):
    def test_sequential_detector_is_faster_and_keeps_healthy_upstreams(self) -> None:
        rows = {(d.detector, d.failure_rate): d for d in compare_detectors((0.02, 0.3, 0.5), 1)}
        self.assertEqual(rows["sequential", 0.02].ejected, 0.0)
        for rate in (0.3, 0.5):
            sequential, consecutive = rows["sequential", rate], rows["consecutive 5", rate]
            self.assertEqual(sequential.ejected, 1.0)
            self.assertLess(3 * sequential.delay, consecutive.delay)


class DirectoryTest(unittest.TestCase):
    def test_token_index_follows_changes_and_removals(self) -> None:
        catalog = Catalog()
        directory = Directory(catalog)
        catalog.store(1, "Organisation", "o", Organisation("o", "p", "h1"))
        self.assertEqual(directory.find_organisation("h1").name, "o")
        catalog.store(2, "Organisation", "o", Organisation("o", "p", "h2"))
        self.assertIsNone(directory.find_organisation("h1"))
        other = Catalog()
        other.load(catalog.dump())
        self.assertEqual(Directory(other).find_organisation("h2").name, "o")
        catalog.store(3, "Organisation", "o", None)
        self.assertIsNone(directory.find_organisation("h2"))

    def test_upstreams_follow_the_membership(self) -> None:
        catalog = Catalog()
        directory = Directory(catalog)
        (upstream,) = make_upstreams(1)
        self.assertEqual(directory.list_upstreams("s", ""), [])
        catalog.apply_accepted(1, SetUpstream(upstream))
        self.assertEqual(directory.list_upstreams("s", ""), [upstream])
        catalog.apply_accepted(2, SetUpstream(replace(upstream, state=State.DRAINING)))
        self.assertEqual(directory.list_upstreams("s", ""), [])
        catalog.apply_accepted(3, DropUpstream(upstream.name))
        self.assertIsNone(directory.get_steward(upstream.name))

    def test_older_change_does_not_overwrite_a_newer_one(self) -> None:
        catalog = Catalog()
        catalog.apply_accepted(5, Put(Organisation("o", "p", "new")))
        catalog.apply_accepted(4, Put(Organisation("o", "p", "old")))
        self.assertEqual(catalog.get("Organisation", "o").token_hash, "new")
