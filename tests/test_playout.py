"""Tests of the delivery of guarded streams with shortened pauses."""

import unittest
from collections.abc import AsyncGenerator, Sequence

import anyio
import trio
import trio.testing

from daleroad.dispatch import Attempt
from daleroad.errors import Failure, FailureKind
from daleroad.playout import GAP_SHARE, HOLD_SHARE, PlayoutSchedule, deliver_pieces
from daleroad.runs import StreamRun
from tests.fakes import FakeStream, make_instance, make_job

PAUSE = 0.18
HOLD = HOLD_SHARE * PAUSE


class ScheduleTest(unittest.TestCase):
    def deliver(self, *arrivals: float) -> tuple[list[float], PlayoutSchedule]:
        schedule = PlayoutSchedule(PAUSE)
        return [schedule.find_delivery(at, at) for at in arrivals], schedule

    def test_first_event_is_not_held_and_others_no_longer_than_the_hold(self) -> None:
        deliveries, schedule = self.deliver(0.0, 0.04, 0.08, 0.12)
        self.assertEqual(deliveries[0], 0.0)
        for delivery, arrival in zip(deliveries[1:], (0.04, 0.08, 0.12), strict=True):
            self.assertAlmostEqual(delivery - arrival, HOLD)
        self.assertEqual(schedule.shortened, 0)

    def test_pause_above_the_limit_by_less_than_the_hold_is_shortened_below_it(self) -> None:
        deliveries, schedule = self.deliver(0.0, 0.05, 0.24, 0.29, 0.51)
        gaps = [later - earlier for earlier, later in zip(deliveries, deliveries[1:], strict=False)]
        self.assertLessEqual(max(gaps), PAUSE)
        self.assertEqual(schedule.shortened, 2)
        self.assertAlmostEqual(schedule.longest_pause, max(gaps))

    def test_longer_pause_ends_with_the_arrival_and_is_not_counted_as_shortened(self) -> None:
        deliveries, schedule = self.deliver(0.0, 0.05, 0.55)
        self.assertAlmostEqual(deliveries[-1], 0.55)
        self.assertEqual(schedule.shortened, 0)
        self.assertGreater(schedule.longest_pause, PAUSE)

    def test_delivery_that_was_late_itself_does_not_delay_the_next(self) -> None:
        schedule = PlayoutSchedule(PAUSE)
        schedule.find_delivery(0.0, 0.0)
        self.assertEqual(schedule.find_delivery(0.05, 0.4), 0.4)
        self.assertAlmostEqual(schedule.find_delivery(0.41, 0.41), 0.41 + HOLD)
        self.assertLess(GAP_SHARE, 1.0)


class DeliveryTest(unittest.TestCase):
    def play(
        self, gaps: Sequence[float], failure: Failure | None = None, seconds_to_send: float = 0.0
    ) -> tuple[list[tuple[float, bytes]], Failure | None]:
        sent: list[tuple[float, bytes]] = []

        async def give() -> AsyncGenerator[bytes | Failure, None]:
            for number, gap in enumerate(gaps):
                await anyio.sleep(gap)
                yield b"%d" % number
            if failure is not None:
                yield failure

        async def send(piece: bytes) -> None:
            sent.append((anyio.current_time(), piece))
            await anyio.sleep(seconds_to_send)

        async def main() -> Failure | None:
            begun_at = anyio.current_time()
            result = await deliver_pieces(give(), PlayoutSchedule(PAUSE), send)
            sent[:] = [(at - begun_at, piece) for at, piece in sent]
            return result

        result = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return sent, result

    def test_events_arrive_whole_in_order_and_none_falls_behind(self) -> None:
        sent, failure = self.play([0.01] * 200)
        self.assertIsNone(failure)
        self.assertEqual([piece for _, piece in sent], [b"%d" % n for n in range(200)])
        self.assertAlmostEqual(sent[-1][0], 200 * 0.01 + HOLD, places=3)

    def test_pause_of_a_slow_moment_is_not_above_the_limit_at_the_client(self) -> None:
        sent, _ = self.play([0.04] * 10 + [0.19] + [0.04] * 10)
        times = [at for at, _ in sent]
        gaps = [later - earlier for earlier, later in zip(times, times[1:], strict=False)]
        self.assertLessEqual(max(gaps), PAUSE)

    def test_failure_comes_after_the_events_before_it(self) -> None:
        cut = Failure(FailureKind.UPSTREAM_LOST, "cut")
        sent, failure = self.play([0.02] * 3, cut)
        self.assertEqual((len(sent), failure), (3, cut))

    def test_slow_client_gets_all_events(self) -> None:
        sent, failure = self.play([0.01] * 40, seconds_to_send=0.1)
        self.assertEqual((len(sent), failure), (40, None))

    def test_client_that_goes_away_ends_the_reading_too(self) -> None:
        ended: list[bool] = []

        async def give() -> AsyncGenerator[bytes | Failure, None]:
            try:
                while True:
                    await anyio.sleep(0.02)
                    yield b"1"
            finally:
                ended.append(True)

        async def send(piece: bytes) -> None:
            await anyio.sleep_forever()

        async def main() -> bool:
            pieces = give()
            with anyio.move_on_after(1.0) as scope:
                await deliver_pieces(pieces, PlayoutSchedule(PAUSE), send)
            await pieces.aclose()
            return scope.cancelled_caught

        self.assertTrue(trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)))
        self.assertEqual(ended, [True])

    def test_without_a_schedule_pieces_are_sent_as_they_arrive(self) -> None:
        sent: list[bytes] = []

        async def give() -> AsyncGenerator[bytes | Failure, None]:
            yield b"1"

        async def send(piece: bytes) -> None:
            sent.append(piece)

        trio.run(deliver_pieces, give(), None, send)
        self.assertEqual(sent, [b"1"])

    def test_run_without_a_schedule_shows_the_pause_as_it_arrived(self) -> None:
        attempt = Attempt(make_job(0.0, 60.0), make_instance(1), "", 60.0)
        run = StreamRun(attempt, FakeStream(1, 2), 60.0, 10, longest_pause=0.3)  # type: ignore[arg-type]
        self.assertEqual(run.get_delivered_pause(), 0.3)
        run.playout = PlayoutSchedule(PAUSE)
        self.assertEqual(run.get_delivered_pause(), 0.0)


if __name__ == "__main__":
    unittest.main()
