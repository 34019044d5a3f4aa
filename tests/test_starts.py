"""Tests of upstreams that start again under their name."""

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

    def test_a_later_start_replaces_the_one_before_at_once(self) -> None:
        changed = self.fleet.note(Sighting(self.new, 0.0, cold=3.0), 100.1)
        self.assertEqual([i.state for i in changed], [InstanceState.GONE, InstanceState.READY])
        self.assertEqual(self.list_ready(), [self.new])
        self.assertTrue(self.fleet.is_replaced(self.old))
        self.assertFalse(self.fleet.is_replaced(self.new))
        self.assertTrue(self.fleet.is_cold(self.new.id, 102.0))

    def test_it_does_so_at_another_address_and_after_a_drain_or_leave_too(self) -> None:
        for state in InstanceState:
            with self.subTest(state=state):
                self.setUp()
                self.fleet.note(Sighting(replace(self.old, state=state), 0.0), 101.0)
                moved = replace(self.new, address="2:2")
                self.fleet.note(Sighting(moved, 0.0), 103.0)
                self.assertEqual(self.list_ready(), [moved])

    def test_what_still_comes_of_the_one_before_changes_nothing(self) -> None:
        self.fleet.note(Sighting(self.new, 0.0), 101.0)
        for state in InstanceState:
            late = replace(self.old, sequence=51, state=state)
            self.assertEqual(self.fleet.note(Sighting(late, 0.2), 102.0), [])
        self.assertEqual(self.fleet.leave("u", 102.0, self.old.born), [])
        self.assertEqual(self.list_ready(), [self.new])

    def test_a_start_that_was_never_heard_before_its_successor_stays_away(self) -> None:
        fleet = Fleet(HEARTBEAT)
        fleet.note(Sighting(self.new, 0.0), 101.0)
        fleet.note(Sighting(self.old, 0.0), 102.0)
        self.assertEqual(fleet.list_ready("s"), [self.new])

    def test_a_leave_that_names_no_start_is_of_the_one_known_then(self) -> None:
        told = Sighting(replace(make_start(0), state=InstanceState.GONE), 0.5)
        # Heard here 0.1 s ago, so that what was said 0.5 s ago was of the start before.
        self.fleet.note(Sighting(self.new, 0.0), 101.0)
        self.assertEqual(self.fleet.note(told, 101.1), [])
        self.assertEqual(self.list_ready(), [self.new])
        self.assertEqual([i.id for i in self.fleet.note(told, 102.0)], [self.new.id])
        self.assertEqual(self.list_ready(), [])
        self.assertEqual([i.id for i in self.fleet.leave("u", 102.0)], [])

    def test_a_clock_that_went_back_hides_a_start_until_the_one_before_is_forgotten(self) -> None:
        earlier = make_start(BORN - 3000)
        for second in range(int(MAX_HEARTBEAT_AGE_SECONDS) + 3):
            now = 101.0 + second
            self.fleet.prune(now)
            self.fleet.note(Sighting(replace(earlier, sequence=second + 1), 0.0), now)
        self.assertEqual([i.id for i in self.list_ready()], [earlier.id])

    def test_a_gateway_forgets_the_start_before_and_moves_nothing_off_it(self) -> None:
        gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), 0.0)
        forgotten, left = [], []
        gateway.dispatcher.forget = forgotten.append  # type: ignore[method-assign]
        gateway.on_leaving = left.append
        gateway.fleet.note(Sighting(self.old, 0.0), 0.0)
        gateway.note_changes(gateway.fleet.note_all([Sighting(self.new, 0.0)], 1.0))
        self.assertEqual([i.id for i in forgotten], [self.old.id])
        self.assertEqual(left, [])

    def test_a_request_that_met_another_ends_no_later_start(self) -> None:
        async def main() -> None:
            now = anyio.current_time()
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.STREAM, engine=True), now)
            unnamed = make_start(0)
            gateway.fleet.note_all([Sighting(unnamed, 0.0), Sighting(self.new, 0.0)], now)
            gateway.note_replaced(unnamed)
            self.assertIn(self.new, gateway.fleet.list_ready("s"))

        anyio.run(main)


@dataclass
class Teller:
    """A coordinator: what it knows, and what it has kept on its disk."""

    fleet: Fleet = field(default_factory=lambda: Fleet(HEARTBEAT))
    kept: tuple[Sighting, ...] = ()

    def restart(self, now: float) -> None:
        self.fleet = Fleet(HEARTBEAT)
        self.fleet.note_all((replace(s, age=1.75 * HEARTBEAT) for s in self.kept), now)


class ConvergenceTest(unittest.TestCase):
    """Starts, leaves and crashes of one upstream, told through a network that loses and delays."""

    TURN = 0.1
    FAULTS_END = 20.0
    LATEST = 4.0
    """Longest delay of a heartbeat or a share while there are faults."""

    BOUND = 2 * HEARTBEAT
    """After the last fault: the next heartbeat, a share, and a gateway's question."""

    def play(self, seed: int) -> None:
        random = Random(seed)
        tellers = [Teller() for _ in range(3)]
        gateways = [Fleet(HEARTBEAT) for _ in range(2)]
        fleets = lambda: [*(t.fleet for t in tellers), *gateways]  # noqa: E731
        flying: list[tuple[float, int, Sighting]] = []
        born, sequence, alive = BORN, 0, True
        newest: dict[int, int] = {}
        now = 0.0
        while now < self.FAULTS_END + self.BOUND:
            now = round(now + self.TURN, 3)
            faulty = now < self.FAULTS_END
            if faulty and random.random() < 0.03:
                if alive and random.random() < 0.4:
                    # It says that it leaves, and that may come at any time.
                    gone = replace(make_start(born, sequence), state=InstanceState.GONE)
                    flying.append((now + random.uniform(0, self.LATEST), -1, Sighting(gone, 0.0)))
                alive, sequence = True, 0
                born += random.randrange(1, 9000)
            if faulty and random.random() < 0.02:
                random.choice(tellers).restart(now)
            if alive and random.random() < self.TURN / HEARTBEAT or now == self.FAULTS_END:
                sequence += 1
                for _ in range(random.choice((1, 1, 2))):
                    delay = random.choice((0.0, 0.0, random.uniform(0, self.LATEST)))
                    sighting = Sighting(make_start(born, sequence, f"{born % 3}:1"), 0.0)
                    flying.append((now + delay * faulty, -1, sighting))
            for teller in tellers:
                for to, _ in enumerate(fleets()):
                    if random.random() < 0.4:
                        lost = faulty and random.random() < 0.4
                        delay = random.uniform(0, self.LATEST) * (faulty and random.random() < 0.3)
                        if not lost:
                            told = teller.fleet.list_sightings(now)
                            flying += [(now + delay, to, s) for s in told]
                if random.random() < 0.2:
                    teller.kept = tuple(teller.fleet.list_sightings(now))
            arrived = [entry for entry in flying if entry[0] <= now]
            flying = [entry for entry in flying if entry[0] > now]
            random.shuffle(arrived)
            for _, to, sighting in arrived:
                target = random.choice(tellers).fleet if to < 0 else fleets()[to]
                target.note(sighting, now)
            for place, fleet in enumerate(fleets()):
                fleet.prune(now)
                ready = [i.born for i in fleet.list_ready("s")]
                self.assertLessEqual(len(ready), 1)
                if place >= len(tellers):
                    # A gateway did not restart: no start of before comes back to it.
                    self.assertGreaterEqual(min(ready, default=born), newest.get(place, 0))
                    newest[place] = max([newest.get(place, 0), *ready])
        for fleet in fleets():
            self.assertEqual([i.born for i in fleet.list_ready("s")], [born])

    def test_all_agree_on_the_last_start_soon_after_the_last_fault(self) -> None:
        for seed in range(150):
            with self.subTest(seed=seed):
                self.play(seed)
