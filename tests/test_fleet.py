"""Tests of the instance registry: heartbeats, leaves, shared addresses and replication."""

import unittest
from collections.abc import Iterator
from dataclasses import replace
from random import Random

from daleroad.fleet import GONE_KEPT_SECONDS, MAX_HEARTBEAT_AGE_SECONDS, Fleet
from daleroad.instances import Instance, InstanceState, Sighting

READY = Instance("i", "s", "1:1", "z", 4, InstanceState.READY, 5)


def make_sighting(instance: Instance = READY, age: float = 0.0, cold: float = 0.0) -> Sighting:
    return Sighting(instance, age, cold)


class FleetTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(make_sighting(), 100.0)

    def test_a_heartbeat_alone_is_no_change(self) -> None:
        before = self.fleet.revision
        self.assertFalse(self.fleet.note(make_sighting(replace(READY, sequence=6)), 101.0))
        self.assertEqual(self.fleet.revision, before)
        self.assertEqual(self.fleet.get_age("i", 101.5), 0.5)

    def test_a_leaving_instance_is_not_ready_despite_delayed_heartbeats(self) -> None:
        leaving = replace(READY, state=InstanceState.LEAVING, sequence=7)
        self.assertTrue(self.fleet.note(make_sighting(leaving), 101.0))
        self.assertEqual(self.fleet.list_ready("s"), [])
        self.assertFalse(self.fleet.note(make_sighting(replace(READY, sequence=6)), 102.0))
        self.assertFalse(self.fleet.note(make_sighting(replace(READY, sequence=8)), 102.0))
        self.assertEqual(self.fleet.list_ready("s"), [])

    def test_a_leave_with_an_older_sequence_number_is_applied(self) -> None:
        leaving = replace(READY, state=InstanceState.LEAVING, sequence=4)
        self.assertTrue(self.fleet.note(make_sighting(leaving), 101.0))

    def test_a_gone_instance_is_not_restored_by_a_heartbeat(self) -> None:
        self.assertTrue(self.fleet.leave("i", 101.0))
        self.assertFalse(self.fleet.leave("i", 101.0))
        self.assertFalse(self.fleet.note(make_sighting(replace(READY, sequence=9)), 102.0))
        self.assertEqual(self.fleet.list_ready("s"), [])

    def test_an_unknown_instance_that_left_is_not_added_by_a_heartbeat(self) -> None:
        self.fleet.leave("j", 101.0)
        self.assertFalse(self.fleet.note(make_sighting(replace(READY, id="j")), 102.0))
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])

    def test_silent_instances_expire_and_gone_ones_later(self) -> None:
        self.fleet.leave("j", 100.0)
        self.assertEqual(self.fleet.prune(100.0 + MAX_HEARTBEAT_AGE_SECONDS), [])
        self.assertEqual([i.id for i in self.fleet.prune(100.1 + MAX_HEARTBEAT_AGE_SECONDS)], ["i"])
        self.assertIsNotNone(self.fleet.get("j"))
        self.fleet.prune(100.1 + GONE_KEPT_SECONDS)
        self.assertIsNone(self.fleet.get("j"))

    def test_sightings_carry_ages(self) -> None:
        other = Fleet()
        self.fleet.note(make_sighting(replace(READY, id="c", sequence=1), cold=3.0), 100.0)
        other.note_all(list(self.fleet.list_sightings(102.0)), 7.0)
        self.assertEqual(other.get_age("i", 7.0), 2.0)
        self.assertTrue(other.is_cold("c", 7.5))
        self.assertFalse(other.is_cold("c", 8.1))

    def test_sightings_can_be_limited_to_recent_heartbeats(self) -> None:
        self.fleet.note(make_sighting(replace(READY, id="k")), 110.0)
        sent = [s.instance.id for s in self.fleet.list_sightings(111.0, since=109.0)]
        self.assertEqual(sent, ["k"])

    def test_received_ages_never_increase_the_age_of_a_heartbeat(self) -> None:
        self.fleet.note_ages({"i": 0.2, "unknown": 1.0}, 105.0)
        self.assertAlmostEqual(self.fleet.get_age("i", 105.0), 0.2)
        self.fleet.note_ages({"i": 9.0}, 105.0)
        self.assertAlmostEqual(self.fleet.get_age("i", 105.0), 0.2)

    def test_of_two_instances_at_one_address_the_successor_is_ready(self) -> None:
        successor = replace(READY, id="n", sequence=1)
        self.fleet.note(make_sighting(successor), 101.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])
        # A heartbeat of the first instance, delayed for seconds, is older than the successor's.
        self.fleet.note(make_sighting(replace(READY, sequence=6), age=3.0), 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])

    def test_a_delayed_heartbeat_does_not_hide_the_successor(self) -> None:
        self.fleet.note(make_sighting(replace(READY, id="n", sequence=1)), 101.0)
        self.fleet.note(make_sighting(replace(READY, sequence=6)), 101.5)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])
        self.fleet.note(make_sighting(replace(READY, id="n", sequence=2)), 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["n"])

    def test_a_delayed_heartbeat_of_an_unknown_instance_does_not_hide_the_successor(self) -> None:
        self.fleet.note(make_sighting(replace(READY, id="n", address="2:2", sequence=3)), 103.0)
        delayed = replace(READY, id="old", address="2:2", sequence=8)
        self.fleet.note(make_sighting(delayed), 104.5)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i", "n"])

    def test_a_silent_successor_loses_the_address_to_its_predecessor(self) -> None:
        self.fleet.note(make_sighting(replace(READY, id="n", sequence=1)), 101.0)
        for second in range(102, 106):
            self.fleet.note(make_sighting(replace(READY, sequence=second - 95)), float(second))
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])

    def test_a_gone_instance_does_not_hold_its_address(self) -> None:
        self.fleet.note(make_sighting(replace(READY, id="n", sequence=1)), 101.0)
        self.fleet.leave("n", 102.0)
        self.assertEqual([i.id for i in self.fleet.list_ready("s")], ["i"])


class ChangesTest(unittest.TestCase):
    """Replication of changes to a follower, with updates lost, duplicated or delayed."""

    def setUp(self) -> None:
        self.fleet = Fleet()

    def test_only_changes_since_a_revision_are_listed(self) -> None:
        self.fleet.note(make_sighting(), 100.0)
        known = self.fleet.revision
        self.fleet.note(make_sighting(replace(READY, sequence=6)), 101.0)
        self.assertEqual(list(self.fleet.list_changed(101.0, known)), [])
        self.fleet.note(make_sighting(replace(READY, id="j")), 101.0)
        self.fleet.leave("i", 102.0)
        sent = {s.instance.id: s.instance.state for s in self.fleet.list_changed(102.0, known)}
        self.assertEqual(sent, {"j": InstanceState.READY, "i": InstanceState.GONE})
        self.assertEqual(list(self.fleet.list_changed(102.0, self.fleet.revision)), [])
        self.assertEqual(set(self.fleet.list_ages(102.0)), {"j"})

    def deliver_unreliably(self, random: Random) -> Iterator[list[Sighting]]:
        """Yield updates as they arrive at a follower while the fleet changes at random."""
        delayed: list[list[Sighting]] = []
        known = -1
        for step in range(120):
            now = 100.0 + step * 0.1
            instance = replace(READY, id=f"i{random.randrange(12)}", sequence=step)
            match random.randrange(8):
                case 0:
                    self.fleet.leave(instance.id, now)
                case 1:
                    self.fleet.note(
                        make_sighting(replace(instance, state=InstanceState.LEAVING)), now
                    )
                case _:
                    self.fleet.note(make_sighting(instance), now)
            update = list(self.fleet.list_changed(now, known))
            match random.randrange(4):
                case 0:
                    delayed.append(update)
                case 1:
                    known = self.fleet.revision
                    yield update
                case 2 if delayed:
                    yield delayed.pop(random.randrange(len(delayed)))
        yield from delayed
        yield list(self.fleet.list_changed(120.0, known))

    def test_a_follower_converges_despite_lost_duplicated_and_delayed_updates(self) -> None:
        for seed in range(200):
            with self.subTest(seed=seed):
                self.fleet = Fleet()
                follower = Fleet()
                gone: set[str] = set()
                for sightings in self.deliver_unreliably(Random(seed)):
                    follower.note_all(sightings, 120.0)
                    gone |= {s.instance.id for s in sightings if is_gone(follower, s.instance.id)}
                    self.assertTrue(all(is_gone(follower, name) for name in gone))
                for number in range(12):
                    expected, actual = self.fleet.get(f"i{number}"), follower.get(f"i{number}")
                    self.assertEqual(expected and expected.state, actual and actual.state)


def is_gone(fleet: Fleet, instance_id: str) -> bool:
    known = fleet.get(instance_id)
    return known is not None and known.state is InstanceState.GONE
