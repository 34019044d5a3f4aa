"""Tests that late heartbeats don't retract the crashes of their senders."""

import unittest
from dataclasses import replace

from daleroad.fleet import Fleet
from daleroad.instances import Sighting
from daleroad.lifesigns import ALIVE_AFTER_SECONDS
from daleroad.sharedsuspects import SharedSuspects
from daleroad.suspects import MIN_CRASHES_HELD, Standing
from daleroad.suspicions import Suspicion
from tests.fakes import make_instance

HEARTBEAT = 1.0
TURN_SECONDS = 0.1
CRASHED = tuple(f"i{number}" for number in range(1, MIN_CRASHES_HELD + 1))


class RetractionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(HEARTBEAT)
        self.turned_at = 0.0
        self.shared = SharedSuspects(self.fleet, lambda: None)
        for number in range(1, MIN_CRASHES_HELD + 1):
            self.hear(number, 1, 0.0)
        self.shared.merge_reports([Suspicion("f", "organisation", "h/x", CRASHED)], 0.0)

    def hear(self, number: int, sequence: int, now: float) -> None:
        self.fleet.note(Sighting(replace(make_instance(number), sequence=sequence), 0.0), now)

    def find_standing(self, now: float) -> Standing:
        """Let the control loop turn until a time; return the standing of the request then."""
        while self.turned_at + TURN_SECONDS < now:
            self.turned_at += TURN_SECONDS
            self.shared.tick(self.turned_at)
        self.turned_at = now
        self.shared.tick(now)
        return self.shared.suspects.get_standing("f", now)

    def test_late_heartbeats_of_crashed_upstreams_retract_nothing(self) -> None:
        late = ALIVE_AFTER_SECONDS + 0.5
        for number in range(1, MIN_CRASHES_HELD + 1):
            self.hear(number, 2, late)
        for seconds in (0.0, 0.1, 1.0, 3.0):
            self.assertIs(self.find_standing(late + seconds), Standing.HELD)

    def test_an_upstream_that_goes_on_has_its_crash_retracted(self) -> None:
        late = ALIVE_AFTER_SECONDS + 0.5
        self.hear(1, 2, late)
        self.assertIs(self.find_standing(late), Standing.HELD)
        self.hear(1, 3, late + HEARTBEAT)
        self.assertIs(self.find_standing(late + HEARTBEAT), Standing.LAST_TRY)

    def test_reports_on_one_heartbeat_count_once(self) -> None:
        late = ALIVE_AFTER_SECONDS + 0.5
        self.hear(1, 2, late)
        self.assertIs(self.find_standing(late), Standing.HELD)
        # Another process heard the same one, as it seems a little later.
        self.fleet.note_ages({"i1": 0.0}, late + 0.2)
        self.assertIs(self.find_standing(late + 0.2), Standing.HELD)


if __name__ == "__main__":
    unittest.main()
