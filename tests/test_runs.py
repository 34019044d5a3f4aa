"""Tests of stream delivery across migrations: each event once and in order, or a failure."""

import unittest
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.copyschedule import (
    COPY_OVERHEAD_SECONDS,
    FINAL_COPY_SECONDS,
    STOP_DELAY_SECONDS,
    RunSize,
)
from daleroad.dispatch import Attempt, Copied, CopyFault, EngineReport, Lost, NotCopied, NotRun
from daleroad.draining import DurationEstimate
from daleroad.errors import Failure, Ran
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.migration import EngineMigrator
from daleroad.routing import Repeat
from daleroad.runs import RetryState, StreamEnd, StreamRegistry, StreamRun
from tests.fakes import (
    PROMPT,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
)


class RunsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.dispatcher = FakeDispatcher()
        self.event_ids: list[str] = []
        self.failure: Failure | None = None
        self.notice = False
        self.tries = RetryState()
        self.ends_at = float("inf")

    def deliver(self, stream: FakeStream) -> StreamRun:
        async def main() -> StreamRun:
            now = anyio.current_time()
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(self.dispatcher, config, now)
            gateway.exits_at = now + self.ends_at
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            gateway.on_leaving = runs.migrate_off
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(gateway, stream, now)
                runs.open(run)
                if self.notice:
                    self.leave(gateway, now)
                try:
                    await self.read(runs, run)
                finally:
                    await runs.close(run)
                tasks.cancel_scope.cancel()
            self.assertEqual(runs.count(), 0)
            self.assertEqual(gateway.loads.list_own_loads(), ())
            return run

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def make_run(self, gateway: Gateway, stream: FakeStream, now: float) -> StreamRun:
        job = make_job(now, 60.0, PROMPT)
        instance = make_instance(1)
        gateway.loads.add_load(instance, 1, 4000)
        attempt = Attempt(job, instance, "", 60.0)
        return StreamRun(attempt, stream, now + 60.0, 4000, tries=self.tries)

    def leave(self, gateway: Gateway, now: float) -> None:
        leaving = make_instance(1, InstanceState.LEAVING)
        gateway.apply_instance_changes(gateway.fleet.note_all([Sighting(leaving, 0.0)], now))

    async def read(self, runs: StreamRegistry, run: StreamRun) -> None:
        async for piece in runs.deliver(run):
            if isinstance(piece, Failure):
                self.failure = piece
            else:
                self.event_ids.append(piece.decode().split()[1])

    async def copy_slowly(self, *_: object, **__: object) -> Copied | NotCopied:
        """Make one copy, and refuse any other meanwhile."""
        self.dispatcher.copies.append(("", "", True))
        if len(self.dispatcher.copies) > 1:
            return NotCopied("another is under way", CopyFault.BUSY)
        await anyio.sleep(2.0)
        return Copied("handle", 4)

    def test_hanging_stream_is_copied_once_however_often_it_is_found_silent(self) -> None:
        abandoned: list[bool] = []

        async def main() -> StreamRun:
            now = anyio.current_time()
            gateway = make_gateway(self.dispatcher, make_config(Repeat.STREAM, engine=True), now)
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(gateway, FakeStream(1, 4), now)
                runs.open(run)
                for _ in range(3):
                    runs.recover_cut_off(run.attempt.job.id, lambda: abandoned.append(True))
                    await anyio.sleep(1.5)
                await runs.close(run)
            return run

        with patch.object(self.dispatcher, "copy", self.copy_slowly):
            run = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(self.dispatcher.copies), 1)
        self.assertIsNotNone(run.resume_point)
        self.assertTrue(abandoned)

    def test_stream_that_ends_while_it_is_copied_goes_on_from_that_copy(self) -> None:
        """Guards against a second final copy, which the engine refuses while the first is made."""

        async def main() -> StreamRun:
            now = anyio.current_time()
            gateway = make_gateway(self.dispatcher, make_config(Repeat.STREAM, engine=True), now)
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(gateway, FakeStream(1, 4, cut=True), now)
                runs.open(run)
                runs.recover_cut_off(run.attempt.job.id, lambda: None)
                await anyio.sleep(0.1)
                await self.read(runs, run)
                await runs.close(run)
                tasks.cancel_scope.cancel()
            return run

        self.dispatcher.replies = [FakeStream(5, 6)]
        with patch.object(self.dispatcher, "copy", self.copy_slowly):
            run = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(len(self.dispatcher.copies), 1)
        self.assertEqual(self.event_ids, ["1", "2", "3", "4", "5", "6"])
        self.assertEqual(run.outcome, StreamEnd.WHOLE)

    def test_complete_stream_is_passed_on(self) -> None:
        run = self.deliver(FakeStream(1, 4))
        self.assertEqual(self.event_ids, ["1", "2", "3", "4"])
        self.assertEqual(run.outcome, "whole")
        self.assertEqual(self.dispatcher.copies, [])

    def test_outcome_tells_why_a_stream_ended(self) -> None:
        # The delivery is cancelled in all cases but the second, as on a client disconnect.
        self.assertIs(self.cancel_delivery(5.0), StreamEnd.CLIENT)
        self.assertIs(self.deliver(FakeStream(1, 2, cut=True)).outcome, StreamEnd.UPSTREAM)
        self.assertIs(self.cancel_delivery(60.0), StreamEnd.DEADLINE)
        self.assertIs(self.cancel_delivery(5.0, stopped=True), StreamEnd.STOP)

    def cancel_delivery(self, after: float, stopped: bool = False) -> StreamEnd:
        """Cancel the delivery of an endless stream after some seconds; return its outcome."""

        async def read(runs: StreamRegistry, run: StreamRun) -> None:
            with anyio.move_on_after(after):
                async for _ in runs.deliver(run):
                    pass
            if stopped:
                runs.mark_stopping()

        with patch.object(self, "read", read):
            return self.deliver(FakeStream(1, 2, wait=anyio.sleep_forever)).outcome

    def test_cut_without_a_copy_is_reported_as_partial(self) -> None:
        self.deliver(FakeStream(1, 2, cut=True))
        assert self.failure is not None
        self.assertIs(self.failure.ran, Ran.PARTIAL)

    def test_shutdown_notice_migrates_the_stream_without_repeated_events(self) -> None:
        self.notice = True
        self.dispatcher.copied = Copied("handle", 3)
        self.dispatcher.replies = [FakeStream(4, 6)]

        async def stop() -> None:
            await anyio.sleep(1.5)

        self.deliver(FakeStream(1, 3, cut=True, wait=stop))
        self.assertEqual(self.event_ids, ["1", "2", "3", "4", "5", "6"])
        self.assertIsNone(self.failure)
        finals = [final for _, _, final in self.dispatcher.copies]
        self.assertEqual(finals, [False, True])
        (attempt,) = self.dispatcher.attempts
        assert attempt.source is not None
        self.assertEqual(attempt.source.last_event, "3")
        self.assertEqual(attempt.source.address, make_instance(1).address)
        self.assertEqual(attempt.instance.id, self.dispatcher.copies[-1][1])

    def test_run_missing_from_the_report_waits_for_the_others_final_copies(self) -> None:
        self.notice = True
        self.dispatcher.copied = Copied("handle", 3)
        self.dispatcher.replies = [FakeStream(4, 6)]
        other = RunSize("other", 12_000)
        self.dispatcher.reported = EngineReport(2.0, (other,))

        async def stop() -> None:
            await anyio.sleep(1.4)

        self.deliver(FakeStream(1, 3, cut=True, wait=stop))
        self.assertEqual(self.event_ids, ["1", "2", "3", "4", "5", "6"])
        # The other run's pre-copy takes 0.6 s; then it is stopped for its final copy.
        first, last = self.dispatcher.copied_at
        others_seconds = 0.6 + COPY_OVERHEAD_SECONDS + STOP_DELAY_SECONDS + FINAL_COPY_SECONDS
        self.assertGreater(first, others_seconds - 0.001)
        self.assertLess(last, 1.4)

    def test_stream_is_not_restarted_if_the_gateway_exits_before_its_end(self) -> None:
        self.tries = RetryState({"i1"}, 2, need=DurationEstimate(3.0, 57.0))
        self.dispatcher.replies = [FakeStream(3, 4)]
        self.ends_at = 50.0
        self.deliver(FakeStream(1, 2, cut=True))
        assert self.failure is not None
        self.assertEqual(self.dispatcher.attempts, [])
        self.failure = None
        self.ends_at = 61.0
        self.deliver(FakeStream(1, 2, cut=True))
        self.assertIsNone(self.failure)

    def test_cut_without_notice_stops_the_run_before_it_is_resumed(self) -> None:
        self.dispatcher.copied = Copied("handle", 2)
        self.dispatcher.replies = [FakeStream(3, 4)]
        self.deliver(FakeStream(1, 2, cut=True))
        self.assertEqual(self.event_ids, ["1", "2", "3", "4"])
        self.assertEqual([final for _, _, final in self.dispatcher.copies], [True])

    def test_refused_copy_ends_the_stream_without_a_restart(self) -> None:
        self.dispatcher.copied = Copied("handle", 2)
        self.dispatcher.replies = [NotRun("no such copy")]
        self.deliver(FakeStream(1, 2, cut=True))
        self.assertEqual(self.event_ids, ["1", "2"])
        assert self.failure is not None
        self.assertEqual(len(self.dispatcher.attempts), 1)

    def test_resumable_stream_is_restarted_elsewhere_after_its_last_event(self) -> None:
        self.tries = RetryState({"i1"}, max_runs=2)
        self.dispatcher.replies = [FakeStream(3, 4)]
        first = FakeStream(1, 2, cut=True)
        self.deliver(first)
        self.assertEqual(self.event_ids, ["1", "2", "3", "4"])
        self.assertIsNone(self.failure)
        self.assertTrue(first.closed)
        (attempt,) = self.dispatcher.attempts
        self.assertEqual(attempt.last_event, "2")
        self.assertIsNone(attempt.source)
        self.assertNotEqual(attempt.instance.id, "i1")

    def test_stream_restarts_are_limited_by_the_route(self) -> None:
        self.tries = RetryState({"i1"}, max_runs=2)
        self.dispatcher.replies = [NotRun("full"), Lost("reset")]
        self.deliver(FakeStream(1, 2, cut=True))
        self.assertEqual(self.event_ids, ["1", "2"])
        self.assertEqual([a.instance.id for a in self.dispatcher.attempts].count("i1"), 0)
        self.assertEqual(len(self.dispatcher.attempts), 2)
        self.assertIsNotNone(self.failure)

    def test_repeated_event_is_dropped(self) -> None:
        self.tries = RetryState({"i1"}, max_runs=2)
        self.dispatcher.replies = [FakeStream(1, 4)]
        self.deliver(FakeStream(1, 2, cut=True))
        self.assertEqual(self.event_ids, ["1", "2", "3", "4"])

    def test_unreachable_engine_is_not_asked_for_copies_repeatedly(self) -> None:
        self.notice = True
        self.dispatcher.copied = NotCopied("refused", CopyFault.UNREACHABLE)

        async def die() -> None:
            await anyio.sleep(2.0)

        self.deliver(FakeStream(1, 2, cut=True, wait=die))
        assert self.failure is not None
        self.assertLessEqual(len(self.dispatcher.copies), 2)

    def test_destination_without_memory_is_replaced_by_another(self) -> None:
        self.notice = True
        self.dispatcher.copied = NotCopied("full", CopyFault.NO_ROOM)

        async def die() -> None:
            await anyio.sleep(2.0)

        self.deliver(FakeStream(1, 2, cut=True, wait=die))
        destinations = [to for _, to, final in self.dispatcher.copies if not final]
        self.assertEqual(sorted(destinations), ["i2", "i3"])
        # No other run has a slot, so both copies are tried at the same time.
        self.assertEqual(len(set(self.dispatcher.copied_at[:2])), 1)

    def test_run_whose_copy_was_refused_waits_for_the_others(self) -> None:
        self.notice = True
        self.dispatcher.copied = NotCopied("full", CopyFault.NO_ROOM)
        self.dispatcher.reported = EngineReport(2.0, (RunSize("id1", 3000), RunSize("x", 12_000)))

        async def die() -> None:
            await anyio.sleep(2.0)

        self.deliver(FakeStream(1, 2, cut=True, wait=die))
        first, second = self.dispatcher.copied_at[:2]
        self.assertEqual(first, 0.0)
        self.assertGreater(second, 0.75 + STOP_DELAY_SECONDS + 2 * FINAL_COPY_SECONDS - 0.001)
