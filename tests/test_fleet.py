"""Tests of what a process believes of upstreams by their heartbeats."""

import unittest
from collections.abc import Iterator
from dataclasses import replace
from random import Random

from daleroad.fleet import GONE_KEPT_SECONDS, MAX_HEARTBEAT_AGE_SECONDS, Fleet
from daleroad.instances import Instance, InstanceState, Sighting

READY = Instance("i", "s", "1:1", "z", 4, InstanceState.READY, 5)


def see(instance: Instance = READY, age: float = 0.0, cold: float = 0.0) -> Sighting:
    return Sighting(instance, age, cold)


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(see(), 100.0)

    def test_a_heartbeat_alone_is_no_news(self) -> None:
        before = self.fleet.revision
        self.assertFalse(self.fleet.note(see(replace(READY, sequence=6)), 101.0))
        self.assertEqual(self.fleet.revision, before)
        self.assertEqual(self.fleet.get_age("i", 101.5), 0.5)

    def test_a_leaving_instance_gets_no_work_and_a_late_heartbeat_changes_nothing(self) -> None:
        leaving = replace(READY, state=InstanceState.LEAVING, sequence=7)
        self.assertTrue(self.fleet.note(see(leaving), 101.0))
        self.assertEqual(self.fleet.list_ready("s"), [])
        self.assertFalse(self.fleet.note(see(replace(READY, sequence=6)), 102.0))
        self.assertFalse(self.fleet.note(see(replace(READY, sequence=8)), 102.0))
        self.assertEqual(self.fleet.list_ready("s"), [])

    def test_news_of_a_leave_counts_also_with_an_older_number(self) -> None:
        leaving = replace(READY, state=InstanceState.LEAVING, sequence=4)
        self.assertTrue(self.fleet.note(see(leaving), 101.0))

    def test_an_instance_that_is_gone_stays_away(self) -> None:
        self.assertTrue(self.fleet.leave("i", 101.0))
        self.assertFalse(self.fleet.leave("i", 101.0))
        self.assertFalse(self.fleet.note(see(replace(READY, sequence=9)), 102.0))
        self.assertEqual(self.fleet.list_ready("s"), [])

    def test_one_that_left_before_it_was_known_stays_away_too(self) -> None:
        self.fleet.leave("j", 101.0)
        self.assertFalse(self.fleet.note(see(replace(READY, id="j")), 102.0))
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])

    def test_silence_forgets_the_living_and_later_the_gone(self) -> None:
        self.fleet.leave("j", 100.0)
        self.assertEqual(self.fleet.prune(100.0 + MAX_HEARTBEAT_AGE_SECONDS), [])
        self.assertEqual([i.id for i in self.fleet.prune(100.1 + MAX_HEARTBEAT_AGE_SECONDS)], ["i"])
        self.assertIsNotNone(self.fleet.get("j"))
        self.fleet.prune(100.1 + GONE_KEPT_SECONDS)
        self.assertIsNone(self.fleet.get("j"))

    def test_what_is_told_to_others_carries_ages(self) -> None:
        other = Fleet()
        self.fleet.note(see(replace(READY, id="c", sequence=1), cold=3.0), 100.0)
        other.note_all(list(self.fleet.list_sightings(102.0)), 7.0)
        self.assertEqual(other.get_age("i", 7.0), 2.0)
        self.assertTrue(other.is_cold("c", 7.5))
        self.assertFalse(other.is_cold("c", 8.1))

    def test_only_what_was_heard_lately_is_told_again(self) -> None:
        self.fleet.note(see(replace(READY, id="k")), 110.0)
        told = [s.instance.id for s in self.fleet.list_sightings(111.0, since=109.0)]
        self.assertEqual(told, ["k"])

    def test_ages_from_others_only_make_an_instance_younger(self) -> None:
        self.fleet.note_ages({"i": 0.2, "unknown": 1.0}, 105.0)
        self.assertAlmostEqual(self.fleet.get_age("i", 105.0), 0.2)
        self.fleet.note_ages({"i": 9.0}, 105.0)
        self.assertAlmostEqual(self.fleet.get_age("i", 105.0), 0.2)

    def test_of_two_at_one_address_the_one_heard_last_gets_work(self) -> None:
        successor = replace(READY, id="n", sequence=1)
        self.fleet.note(see(successor), 101.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])
        # A heartbeat of the first that was held up for seconds is older than the successor's.
        self.fleet.note(see(replace(READY, sequence=6), age=3.0), 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])

    def test_a_late_heartbeat_never_hides_the_successor(self) -> None:
        self.fleet.note(see(replace(READY, id="n", sequence=1)), 101.0)
        self.fleet.note(see(replace(READY, sequence=6)), 101.5)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])
        self.fleet.note(see(replace(READY, id="n", sequence=2)), 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])

    def test_a_late_heartbeat_of_one_that_was_not_known_does_not_hide_the_successor(self) -> None:
        self.fleet.note(see(replace(READY, id="n", address="2:2", sequence=3)), 103.0)
        late = replace(READY, id="old", address="2:2", sequence=8)
        self.fleet.note(see(late), 104.5)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i", "n"])

    def test_a_successor_that_never_came_up_gives_the_address_back(self) -> None:
        self.fleet.note(see(replace(READY, id="n", sequence=1)), 101.0)
        for second in range(102, 106):
            self.fleet.note(see(replace(READY, sequence=second - 95)), float(second))
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])

    def test_the_address_of_one_that_is_gone_is_free(self) -> None:
        self.fleet.note(see(replace(READY, id="n", sequence=1)), 101.0)
        self.fleet.leave("n", 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])


class ChangesTest(unittest.TestCase):
    """What a follower is told are differences; lost, doubled and late ones must do no harm."""

    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_only_what_changed_since_a_revision_is_told(self) -> None:
        self.fleet.note(see(), 100.0)
        known = self.fleet.revision
        self.fleet.note(see(replace(READY, sequence=6)), 101.0)
        self.assertEqual(list(self.fleet.list_changed(101.0, known)), [])
        self.fleet.note(see(replace(READY, id="j")), 101.0)
        self.fleet.leave("i", 102.0)
        told = {s.instance.id: s.instance.state for s in self.fleet.list_changed(102.0, known)}
        self.assertEqual(told, {"j": InstanceState.READY, "i": InstanceState.GONE})
        self.assertEqual(list(self.fleet.list_changed(102.0, self.fleet.revision)), [])
        self.assertEqual(set(self.fleet.list_ages(102.0)), {"j"})

    def hurt(self, random: Random) -> Iterator[list[Sighting]]:
        """Yield answers as they arrive at a follower while the fleet changes."""
        late: list[list[Sighting]] = []
        known = -1
        for step in range(120):
            now = 100.0 + step * 0.1
            instance = replace(READY, id=f"i{random.randrange(12)}", sequence=step)
            match random.randrange(8):
                case 0:
                    self.fleet.leave(instance.id, now)
                case 1:
                    self.fleet.note(see(replace(instance, state=InstanceState.LEAVING)), now)
                case _:
                    self.fleet.note(see(instance), now)
            answer = list(self.fleet.list_changed(now, known))
            match random.randrange(4):
                case 0:
                    late.append(answer)
                case 1:
                    known = self.fleet.revision
                    yield answer
                case 2 if late:
                    yield late.pop(random.randrange(len(late)))
        yield from late
        yield list(self.fleet.list_changed(120.0, known))

    def test_a_follower_converges_whatever_is_lost_late_or_doubled(self) -> None:
        for seed in range(200):
            with self.subTest(seed=seed):
                self.fleet = Fleet()
                follower = Fleet()
                left: set[str] = set()
                for sightings in self.hurt(Random(seed)):
                    follower.note_all(sightings, 120.0)
                    left |= {s.instance.id for s in sightings if is_gone(follower, s.instance.id)}
                    self.assertTrue(all(is_gone(follower, name) for name in left))
                for number in range(12):
                    ours, theirs = self.fleet.get(f"i{number}"), follower.get(f"i{number}")
                    self.assertEqual(ours and ours.state, theirs and theirs.state)


def is_gone(fleet: Fleet, instance_id: str) -> bool:
    known = fleet.get(instance_id)
    return known is not None and known.state is InstanceState.GONE
