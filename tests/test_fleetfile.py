"""Tests of saving and restoring the instance registry across a coordinator's restart."""

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from daleroad.atomicfile import replace_file
from daleroad.defaults import LATE_HEARTBEATS, OVERDUE_HEARTBEATS
from daleroad.errors import Failure
from daleroad.fleet import Fleet
from daleroad.fleetfile import RECOVERED_HEARTBEATS, dump_fleet, load_fleet
from daleroad.instances import Instance, InstanceState, Sighting

ASSUMED_AGE = 2.5
READY = Instance("i", "s", "1:1", "z", 4, InstanceState.READY, 5)
GONE = Instance("g", "s", "1:2", "z", 4, InstanceState.GONE, 7)


def _get_size(number: int) -> int:
    return os.fstat(number).st_size


class FleetFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="daleroad-test-")
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "fleet.json"

    def test_saved_instances_are_loaded_with_the_assumed_age(self) -> None:
        written = dump_fleet((Sighting(READY, 0.1), Sighting(GONE, 3.0)))
        self.assertIsNone(replace_file(self.path, written))
        loaded = load_fleet(self.path, ASSUMED_AGE)
        assert not isinstance(loaded, Failure)
        fleet = Fleet()
        fleet.note_all(loaded, 100.0)
        self.assertEqual([i.id for i in fleet.list_ready("s")], ["i"])
        self.assertEqual(fleet.get_age("i", 100.0), ASSUMED_AGE)
        # The instance that was gone is not restored by a heartbeat.
        fleet.note(Sighting(Instance(**{**vars(GONE), "state": InstanceState.READY}), 0.0), 101.0)
        self.assertEqual([i.id for i in fleet.list_ready("s")], ["i"])

    def test_loaded_instances_are_overdue_but_not_doubtful_for_most_of_a_heartbeat(self) -> None:
        self.assertGreater(RECOVERED_HEARTBEATS, OVERDUE_HEARTBEATS)
        self.assertGreater(LATE_HEARTBEATS - RECOVERED_HEARTBEATS, 0.8)

    def test_a_heartbeat_replaces_the_assumed_age(self) -> None:
        replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        fleet = Fleet()
        loaded = load_fleet(self.path, ASSUMED_AGE)
        assert not isinstance(loaded, Failure)
        fleet.note_all(loaded, 100.0)
        fleet.note(Sighting(Instance(**{**vars(READY), "sequence": 6}), 0.0), 100.4)
        self.assertAlmostEqual(fleet.get_age("i", 100.5), 0.1)

    def test_a_missing_or_truncated_file_is_a_failure(self) -> None:
        self.assertIsInstance(load_fleet(self.path, ASSUMED_AGE), Failure)
        replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        content = self.path.read_bytes()
        for length in (0, 1, len(content) // 2, len(content) - 1):
            self.path.write_bytes(content[:length])
            self.assertIsInstance(load_fleet(self.path, ASSUMED_AGE), Failure, length)

    def test_the_whole_content_is_written_before_fsync(self) -> None:
        sizes: list[int] = []
        with mock.patch("os.fsync", side_effect=lambda number: sizes.append(_get_size(number))):
            replace_file(self.path, dump_fleet((Sighting(READY, 0.1),)))
        self.assertEqual(sizes[0], self.path.stat().st_size)

    def test_a_failed_write_is_a_failure(self) -> None:
        self.assertIsInstance(replace_file(self.path / "no" / "folder", dump_fleet(())), Failure)
