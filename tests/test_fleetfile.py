"""Tests of the list of upstreams that a coordinator begins with after a restart."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from daleroad.defaults import LATE_HEARTBEATS, OVERDUE_HEARTBEATS
from daleroad.errors import Failure
from daleroad.fleet import Fleet
from daleroad.fleetfile import RECOVERED_HEARTBEATS, dump_fleet, load_fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.keptfile import replace_file

AGE = 2.5
READY = Instance("i", "s", "1:1", "z", 4, InstanceState.READY, 5)
GONE = Instance("g", "s", "1:2", "z", 4, InstanceState.GONE, 7)


def _find_size(number: int) -> int:
    return os.fstat(number).st_size


class FleetFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="daleroad-test-")
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "fleet.json"

    def test_what_was_written_is_known_with_the_age_that_is_assumed(self) -> None:
        written = dump_fleet((Sighting(READY, 0.1), Sighting(GONE, 3.0)))
        self.assertIsNone(replace_file(self.path, written))
        found = load_fleet(self.path, AGE)
        assert not isinstance(found, Failure)
        fleet = Fleet()
        fleet.note_all(found, 100.0)
        self.assertEqual([i.id for i in fleet.list_ready("s")], ["i"])
        self.assertEqual(fleet.get_age("i", 100.0), AGE)
        # One that left stays away.
        fleet.note(Sighting(Instance(**{**vars(GONE), "state": InstanceState.READY}), 0.0), 101.0)
        self.assertEqual([i.id for i in fleet.list_ready("s")], ["i"])

    def test_what_was_read_is_overdue_and_not_doubtful_for_most_of_a_heartbeat(self) -> None:
        self.assertGreater(RECOVERED_HEARTBEATS, OVERDUE_HEARTBEATS)
        self.assertGreater(LATE_HEARTBEATS - RECOVERED_HEARTBEATS, 0.8)

    def test_a_heartbeat_makes_one_that_was_read_certain(self) -> None:
        replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        fleet = Fleet()
        found = load_fleet(self.path, AGE)
        assert not isinstance(found, Failure)
        fleet.note_all(found, 100.0)
        fleet.note(Sighting(Instance(**{**vars(READY), "sequence": 6}), 0.0), 100.4)
        self.assertAlmostEqual(fleet.get_age("i", 100.5), 0.1)

    def test_a_list_that_is_missing_or_torn_is_a_failure(self) -> None:
        self.assertIsInstance(load_fleet(self.path, AGE), Failure)
        replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        whole = self.path.read_bytes()
        for cut in (0, 1, len(whole) // 2, len(whole) - 1):
            self.path.write_bytes(whole[:cut])
            self.assertIsInstance(load_fleet(self.path, AGE), Failure, cut)

    def test_all_is_written_when_it_is_synced(self) -> None:
        sizes: list[int] = []
        with mock.patch("os.fsync", side_effect=lambda number: sizes.append(_find_size(number))):
            replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        self.assertEqual(sizes[0], self.path.stat().st_size)

    def test_a_disk_that_refuses_is_a_failure(self) -> None:
        self.assertIsInstance(replace_file(self.path / "no" / "folder", dump_fleet(())), Failure)
