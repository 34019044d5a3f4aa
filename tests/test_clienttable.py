"""Tests of which connections a process admits and cuts; no network."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.clienttable import (
    CONNECTION_BYTES,
    MAX_HELD_BYTES,
    MIN_CONNECTIONS,
    MIN_HELD_BYTES,
    STALLED_SECONDS,
    ClientConnection,
    ClientTable,
    ConnectionLimits,
    Cut,
    Stage,
    find_limits,
)

HELD = 1_000_000


class TableCase(unittest.TestCase):
    """A table with four places."""

    def setUp(self) -> None:
        self.table = ClientTable(ConnectionLimits(4, HELD))
        self.cut: list[tuple[ClientConnection, Cut]] = []

    def add(
        self, address: str = "a", stage: Stage = Stage.IDLE, at: float = 0.0, held: int = 0
    ) -> ClientConnection:
        connection = ClientConnection(address, at)
        connection.stage = stage
        connection.cut = lambda reason: self.cut.append((connection, reason))
        if self.table.admit(connection):
            self.table.set_held(connection, held)
        return connection


class PlaceTest(TableCase):
    def check_next(self, expected: ClientConnection) -> None:
        """Add a connection and check which one it replaces."""
        self.add("new", Stage.SERVING)
        self.assertEqual(self.cut.pop(), (expected, Cut.PLACE))
        self.assertEqual(len(self.table), 4)

    def test_idle_longest_goes_first(self) -> None:
        second, first = self.add(at=2.0), self.add(at=1.0)
        self.add(stage=Stage.SERVING)
        receiving = self.add(stage=Stage.RECEIVING)
        for expected in (first, second, receiving):
            self.check_next(expected)

    def test_address_with_most_connections_goes_first(self) -> None:
        one = self.add("b", at=0.0)
        crowd = [self.add("a", Stage.RECEIVING, at=1.0 + n) for n in range(3)]
        self.check_next(crowd[0])
        self.check_next(crowd[1])
        self.check_next(one)

    def test_request_under_way_is_never_cut_for_a_place(self) -> None:
        for _ in range(4):
            self.add(stage=Stage.SERVING)
        self.add("b")
        self.assertEqual((self.cut, len(self.table), self.table.refused), ([], 4, 1))

    def test_ended_connection_frees_its_place_once(self) -> None:
        first, *_ = [self.add(stage=Stage.SERVING, held=7) for _ in range(4)]
        for _ in range(2):
            self.table.remove(first)
        self.assertEqual((len(self.table), self.table.held), (3, 21))
        self.table.set_held(first, 9)
        self.assertEqual(self.table.held, 21)


class HeldTest(TableCase):
    def test_single_connection_may_hold_more_than_the_bound(self) -> None:
        self.add(stage=Stage.SERVING, held=5 * HELD)
        self.add(held=HELD // 2)
        self.assertEqual(self.cut, [])

    def test_largest_of_the_address_that_holds_most_is_cut(self) -> None:
        self.add("b", held=HELD - 1)
        crowd = [self.add("a", Stage.SERVING, held=n * HELD // 2) for n in (2, 1)]
        self.assertEqual(self.cut, [(crowd[0], Cut.HELD_BYTES)])
        self.assertEqual(self.table.held, HELD - 1 + HELD // 2)

    def test_client_that_reads_is_cut_after_those_that_stalled(self) -> None:
        reading = self.add(stage=Stage.SERVING, at=9.0, held=HELD)
        reading.waits_since = 9.0
        stalled = self.add(stage=Stage.SERVING, at=8.0, held=HELD // 2)
        stalled.waits_since = 8.0
        self.add(stage=Stage.RECEIVING, at=9.2, held=HELD * 3 // 4)
        self.assertEqual(self.cut, [(stalled, Cut.HELD_BYTES)])

    def test_client_that_stalled_and_holds_little_is_not_cut_for_a_large_one(self) -> None:
        small = self.add(stage=Stage.RECEIVING, at=1.0, held=HELD // 10)
        small.waits_since = 1.0
        large = [self.add(stage=Stage.RECEIVING, at=9.0, held=HELD) for _ in range(2)]
        self.assertEqual(self.cut, [(large[0], Cut.HELD_BYTES)])

    def test_progress_is_measured_before_a_client_counts_as_stalled(self) -> None:
        client = self.add(stage=Stage.SERVING)
        client.waits_since = 1.0

        def measure() -> None:
            client.waits_since = 2.0

        self.table.measure = measure
        self.assertFalse(self.table.cut_stalled(2.0 + STALLED_SECONDS / 2))
        self.assertTrue(self.table.cut_stalled(2.0 + STALLED_SECONDS))

    def test_estimates_are_corrected_before_anything_is_cut(self) -> None:
        first, second = self.add(held=HELD - 1), self.add(held=HELD - 1)

        def measure() -> None:
            for connection in (first, second):
                self.table.set_held(connection, 10)

        self.table.measure = measure
        self.add(held=HELD)
        self.assertEqual((self.cut, self.table.held), ([], HELD + 20))

    def test_client_that_stalled_longest_is_cut(self) -> None:
        connections = [self.add(stage=Stage.SERVING) for _ in range(3)]
        connections[0].waits_since, connections[2].waits_since = 2.0, 1.0
        self.assertFalse(self.table.cut_stalled(1.0 + STALLED_SECONDS / 2))
        self.assertTrue(self.table.cut_stalled(1.0 + STALLED_SECONDS))
        self.assertFalse(self.table.cut_stalled(1.0 + STALLED_SECONDS))
        self.assertEqual(self.cut, [(connections[2], Cut.STALLED)])

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("abc"),
                st.sampled_from(Stage),
                st.floats(0.0, 9.0),
                st.integers(0, 2 * HELD),
                st.booleans(),
            )
        )
    )
    def test_limits_hold_and_sums_are_true(
        self, steps: list[tuple[str, Stage, float, int, bool]]
    ) -> None:
        self.setUp()
        for address, stage, at, held, ends in steps:
            connection = self.add(address, stage, at, held)
            if ends:
                self.table.remove(connection)
            sizes = [one.held for one in self.table]
            self.assertEqual(self.table.held, sum(sizes))
            self.assertLessEqual(len(sizes), 4)
            self.assertLessEqual(sum(sizes) - max(sizes, default=0), HELD)


class LimitsTest(unittest.TestCase):
    def test_limits_follow_from_memory_and_descriptors(self) -> None:
        limits = find_limits(112_000_000, 4100)
        self.assertEqual(limits, ConnectionLimits(12_000_000 // CONNECTION_BYTES, 12_000_000))
        self.assertEqual(find_limits(112_000_000, 400).connections, 100)

    def test_limits_are_bounded_without_memory_and_with_very_little(self) -> None:
        most = ConnectionLimits(MAX_HELD_BYTES // CONNECTION_BYTES, MAX_HELD_BYTES)
        self.assertEqual(find_limits(None, None), most)
        self.assertEqual(find_limits(10**10, None), most)
        least = find_limits(1, 1)
        self.assertEqual(least, ConnectionLimits(MIN_CONNECTIONS, MIN_HELD_BYTES))


if __name__ == "__main__":
    unittest.main()
