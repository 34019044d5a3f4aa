"""Tests of upstreams that restart under the same name."""

import unittest
from dataclasses import dataclass, field, replace
from random import Random

import anyio

from daleroad.fleet import MAX_HEARTBEAT_AGE_SECONDS, Fleet
from daleroad.instances import Instance, InstanceState, Sighting, make_instance_id
from daleroad.routing import Repeat
from tests.fakes import FakeDispatcher, make_config, make_gateway

BORN = 1_700_000_000_000
HEARTBEAT = 1.0


def make_start(born: int, sequence: int = 1, address: str = "1:1") -> Instance:
    """Return one start of the upstream."""
    ready = InstanceState.READY
    return Instance(make_instance_id("u", born), "s", address, "z", 4, ready, sequence, "u", born)


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet(HEARTBEAT)
        self.old, self.new = make_start(BORN, 50), make_start(BORN + 5000)
        self.fleet.note(Sighting(self.old, 0.0), 100.0)

    def list_ready(self) -> list[Instance]:
        return self.fleet.list_ready("s")

    def test_a_later_start_replaces_the_earlier_one_at_once(self) -> None:
        changed = self.fleet.note(Sighting(self.new, 0.0, cold=3.0), 100.1)
        self.assertEqual([i.state for i in changed], [InstanceState.GONE, InstanceState.READY])
        self.assertEqual(self.list_ready(), [self.new])
        self.assertTrue(self.fleet.is_replaced(self.old))
        self.assertFalse(self.fleet.is_replaced(self.new))
        self.assertTrue(self.fleet.is_cold(self.new.id, 102.0))

    def test_a_later_start_replaces_in_any_state_and_at_another_address(self) -> None:
        for state in InstanceState:
            with self.subTest(state=state):
                self.setUp()
                self.fleet.note(Sighting(replace(self.old, state=state), 0.0), 101.0)
                moved = replace(self.new, address="2:2")
                self.fleet.note(Sighting(moved, 0.0), 103.0)
                self.assertEqual(self.list_ready(), [moved])

    def test_delayed_reports_on_the_earlier_start_change_nothing(self) -> None:
        self.fleet.note(Sighting(self.new, 0.0), 101.0)
        for state in InstanceState:
            late = replace(self.old, sequence=51, state=state)
            self.assertEqual(self.fleet.note(Sighting(late, 0.2), 102.0), [])
        self.assertEqual(self.fleet.leave("u", 102.0, self.old.born), [])
        self.assertEqual(self.list_ready(), [self.new])

    def test_an_earlier_start_heard_after_its_successor_is_ignored(self) -> None:
        fleet = Fleet(HEARTBEAT)
        fleet.note(Sighting(self.new, 0.0), 101.0)
        fleet.note(Sighting(self.old, 0.0), 102.0)
        self.assertEqual(fleet.list_ready("s"), [self.new])

    def test_a_leave_without_a_start_time_applies_to_the_start_known_then(self) -> None:
        report = Sighting(replace(make_start(0), state=InstanceState.GONE), 0.5)
        # The new start was first heard 0.1 s ago, so a leave of 0.5 s ago is the old start's.
        self.fleet.note(Sighting(self.new, 0.0), 101.0)
        self.assertEqual(self.fleet.note(report, 101.1), [])
        self.assertEqual(self.list_ready(), [self.new])
        self.assertEqual([i.id for i in self.fleet.note(report, 102.0)], [self.new.id])
        self.assertEqual(self.list_ready(), [])
        self.assertEqual([i.id for i in self.fleet.leave("u", 102.0)], [])

    def test_a_clock_set_back_hides_a_start_until_the_earlier_one_expires(self) -> None:
        earlier = make_start(BORN - 3000)
        for second in range(int(MAX_HEARTBEAT_AGE_SECONDS) + 3):
            now = 101.0 + second
            self.fleet.prune(now)
            self.fleet.note(Sighting(replace(earlier, sequence=second + 1), 0.0), now)
        self.assertEqual([i.id for i in self.list_ready()], [earlier.id])

    def test_a_gateway_drops_a_replaced_start_without_moving_its_streams(self) -> None:
        gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), 0.0)
        forgotten, left = [], []
        gateway.dispatcher.forget = forgotten.append  # type: ignore[method-assign]
        gateway.on_leaving = left.append
        gateway.fleet.note(Sighting(self.old, 0.0), 0.0)
        gateway.apply_instance_changes(gateway.fleet.note_all([Sighting(self.new, 0.0)], 1.0))
        self.assertEqual([i.id for i in forgotten], [self.old.id])
        self.assertEqual(left, [])

    def test_an_answer_from_another_instance_does_not_remove_a_later_start(self) -> None:
        async def main() -> None:
            now = anyio.current_time()
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), now)
            unnamed = make_start(0)
            gateway.fleet.note_all([Sighting(unnamed, 0.0), Sighting(self.new, 0.0)], now)
            gateway.mark_replaced(unnamed)
            self.assertIn(self.new, gateway.fleet.list_ready("s"))

        anyio.run(main)


@dataclass
class CoordinatorFleet:
    """A coordinator's registry and the copy of it on its disk."""

    fleet: Fleet = field(default_factory=lambda: Fleet(HEARTBEAT))
    saved: tuple[Sighting, ...] = ()

    def restart(self, now: float) -> None:
        self.fleet = Fleet(HEARTBEAT)
        self.fleet.note_all((replace(s, age=1.75 * HEARTBEAT) for s in self.saved), now)


class ConvergenceTest(unittest.TestCase):
    """One upstream restarts, leaves and crashes; the network loses and delays reports."""

    STEP_SECONDS = 0.1
    FAULTS_END_SECONDS = 20.0
    MAX_DELAY_SECONDS = 4.0
    """Longest delay of a heartbeat or report before the faults end."""

    MAX_CONVERGENCE_SECONDS = 2 * HEARTBEAT
    """Time to converge after the last fault: the next heartbeat and its propagation."""

    def simulate(self, seed: int) -> None:
        random = Random(seed)
        coordinators = [CoordinatorFleet() for _ in range(3)]
        gateways = [Fleet(HEARTBEAT) for _ in range(2)]
        fleets = lambda: [*(c.fleet for c in coordinators), *gateways]  # noqa: E731
        in_flight: list[tuple[float, int, Sighting]] = []
        born, sequence, alive = BORN, 0, True
        newest: dict[int, int] = {}
        now = 0.0
        while now < self.FAULTS_END_SECONDS + self.MAX_CONVERGENCE_SECONDS:
            now = round(now + self.STEP_SECONDS, 3)
            faulty = now < self.FAULTS_END_SECONDS
            if faulty and random.random() < 0.03:
                if alive and random.random() < 0.4:
                    # The leave may arrive at any later time.
                    gone = replace(make_start(born, sequence), state=InstanceState.GONE)
                    in_flight.append(
                        (now + random.uniform(0, self.MAX_DELAY_SECONDS), -1, Sighting(gone, 0.0))
                    )
                alive, sequence = True, 0
                born += random.randrange(1, 9000)
            if faulty and random.random() < 0.02:
                random.choice(coordinators).restart(now)
            if (
                alive
                and random.random() < self.STEP_SECONDS / HEARTBEAT
                or now == self.FAULTS_END_SECONDS
            ):
                sequence += 1
                for _ in range(random.choice((1, 1, 2))):
                    delay = random.choice((0.0, 0.0, random.uniform(0, self.MAX_DELAY_SECONDS)))
                    sighting = Sighting(make_start(born, sequence, f"{born % 3}:1"), 0.0)
                    in_flight.append((now + delay * faulty, -1, sighting))
            for coordinator in coordinators:
                for to, _ in enumerate(fleets()):
                    if random.random() < 0.4:
                        lost = faulty and random.random() < 0.4
                        delay = random.uniform(0, self.MAX_DELAY_SECONDS) * (
                            faulty and random.random() < 0.3
                        )
                        if not lost:
                            reports = coordinator.fleet.list_sightings(now)
                            in_flight += [(now + delay, to, s) for s in reports]
                if random.random() < 0.2:
                    coordinator.saved = tuple(coordinator.fleet.list_sightings(now))
            arrived = [entry for entry in in_flight if entry[0] <= now]
            in_flight = [entry for entry in in_flight if entry[0] > now]
            random.shuffle(arrived)
            for _, to, sighting in arrived:
                target = random.choice(coordinators).fleet if to < 0 else fleets()[to]
                target.note(sighting, now)
            for number, fleet in enumerate(fleets()):
                fleet.prune(now)
                ready = [i.born for i in fleet.list_ready("s")]
                self.assertLessEqual(len(ready), 1)
                if number >= len(coordinators):
                    # Gateways don't restart here, so an earlier start never becomes ready again.
                    self.assertGreaterEqual(min(ready, default=born), newest.get(number, 0))
                    newest[number] = max([newest.get(number, 0), *ready])
        for fleet in fleets():
            self.assertEqual([i.born for i in fleet.list_ready("s")], [born])

    def test_all_fleets_agree_on_the_last_start_soon_after_the_last_fault(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                self.simulate(seed)
