"""Tests of the pauses of streams that move off an engine, where its service's routes compete."""

import unittest
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from itertools import pairwise
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad.backpressure import Backpressure
from daleroad.contention import NO_CONTENTION, Contention
from daleroad.copyschedule import CROSS_ZONE_FACTOR, RunSize
from daleroad.defaults import HAND_OVER_SECONDS
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    EngineReport,
    Lost,
    NotCopied,
    Reply,
    StreamEvent,
)
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.loads import GatewayLoads
from daleroad.migration import EngineMigrator
from daleroad.notices import Load
from daleroad.routing import Repeat
from daleroad.runs import StreamRegistry, StreamRun
from tests.fakes import (
    ENGINE,
    PROMPT,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
)

GUARDED = Contention(frozenset({0}))
PAUSE = 0.18
NOTICE = 1.9
EVENT_SECONDS = 0.04
ROUND_TRIP_SECONDS = 0.012


class LinkedEngines(FakeDispatcher):
    """Engines whose copies queue on their links; a final copy stops the run's stream."""

    def __init__(self, tokens: int) -> None:
        super().__init__()
        self.tokens = tokens
        self.links: defaultdict[str, anyio.Lock] = defaultdict(anyio.Lock)
        self.ended = anyio.Event()
        self.stopped: dict[str, anyio.Event] = {}
        self.origins: dict[str, str] = {}
        self.places: dict[str, str] = {}
        self.refuse: Callable[[str, bool], bool] = lambda to, final: False
        self.leaves_in: float | None = None

    async def copy(
        self, job: ClientRequest, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        await anyio.sleep(ROUND_TRIP_SECONDS / 2)
        self.copies.append((job.id, destination.id, final))
        if self.ended.is_set():
            return NotCopied("ended", CopyFault.UNREACHABLE)
        if final:
            self.stopped[job.id].set()
        if self.refuse(destination.id, final):
            return NotCopied("status 503", CopyFault.NO_ROOM)
        factor = 1.0 if destination.zone == source.zone else CROSS_ZONE_FACTOR
        new = 100 if self.places.get(job.id) == destination.id else self.tokens
        first, second = sorted((source.id, destination.id))
        async with self.links[first], self.links[second]:
            await anyio.sleep(new * ENGINE.token_seconds * factor)
        self.places[job.id] = destination.id
        return Copied("handle", 1)

    async def send(self, attempt: Attempt) -> Reply:
        self.attempts.append(attempt)
        await anyio.sleep(ROUND_TRIP_SECONDS + EVENT_SECONDS)
        return FakeStream(1_000, 1_001)

    async def report(self, instance: Instance) -> EngineReport:
        runs = (id_ for id_, origin in self.origins.items() if origin == instance.id)
        return EngineReport(self.leaves_in, tuple(RunSize(id_, self.tokens) for id_ in runs))


class NoticedEngines(LinkedEngines):
    """Linked engines that note how long each engine had been leaving when a request came."""

    def __init__(self, tokens: int) -> None:
        super().__init__(tokens)
        self.gateway: Gateway | None = None
        self.ages: list[float] = []
        self.copied_from: list[tuple[float, str, bool]] = []
        self.on_final: Callable[[str], Awaitable[None]] | None = None

    async def copy(
        self, job: ClientRequest, source: Instance, destination: Instance, final: bool
    ) -> Copied | NotCopied:
        self.copied_from.append((anyio.current_time(), destination.id, final))
        copied = await super().copy(job, source, destination, final)
        if final and self.on_final is not None:
            await self.on_final(destination.id)
        return copied

    async def send(self, attempt: Attempt) -> Reply:
        assert self.gateway is not None
        noticed_at = self.gateway.get_leave_noticed_at(attempt.instance)
        self.ages.append(anyio.current_time() - noticed_at)
        return await super().send(attempt)


class RunningStream(FakeStream):
    """A stream with an event now and then, until its run is stopped or its engine ends."""

    def __init__(self, engine: LinkedEngines, run_id: str) -> None:
        super().__init__(0, 0)
        self._engine = engine
        self._stopped = engine.stopped[run_id] = anyio.Event()

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        number = 0
        while not (self._stopped.is_set() or self._engine.ended.is_set()):
            number += 1
            yield StreamEvent(b"event", str(number))
            with anyio.move_on_after(EVENT_SECONDS):
                await self._stopped.wait()
        yield Lost("cut")


class MovesTest(unittest.TestCase):
    def move(
        self,
        contention: Contention = GUARDED,
        count: int = 8,
        engines: int = 1,
        far: tuple[int, ...] = (),
        tokens: int = 3000,
        notice: float = NOTICE,
        refuse: Callable[[str, bool], bool] | None = None,
        during: Callable[[Gateway], None] | None = None,
    ) -> list[StreamRun]:
        """Move streams off the first engines, which end after their notice; return them."""

        async def main() -> list[StreamRun]:
            self.engine = LinkedEngines(tokens)
            self.engine.refuse = refuse or self.engine.refuse
            gateway = make_gateway(self.engine, make_config(Repeat.STREAM, engine=True), 0.0)
            gateway.fleet.note(Sighting(make_instance(4), 0.0), 0.0)
            for number in far:
                moved = replace(make_instance(number), zone="far", sequence=2)
                gateway.fleet.note(Sighting(moved, 0.0), 0.0)
            registry = StreamRegistry(gateway, EngineMigrator(gateway))
            gateway.on_leaving = registry.migrate_off
            with patch.object(gateway, "get_contention", return_value=contention):
                async with anyio.create_task_group() as tasks:
                    gateway.start(tasks)
                    runs = [self.make_run(n, 1 + n % engines) for n in range(count)]
                    async with anyio.create_task_group() as deliveries:
                        for run in runs:
                            deliveries.start_soon(self.read, registry, run)
                        await anyio.sleep(0.01)
                        for number in range(1, 1 + engines):
                            leave(gateway, number)
                        deliveries.start_soon(self.end, notice)
                        if during is not None:
                            await anyio.sleep(0.1)
                            during(gateway)
                    tasks.cancel_scope.cancel()
            return runs

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def make_run(self, number: int, origin: int) -> StreamRun:
        now = anyio.current_time()
        job = replace(make_job(now, 60.0, PROMPT), id=f"r{number}")
        stream = RunningStream(self.engine, job.id)
        attempt = Attempt(job, make_instance(origin), "", 60.0)
        self.engine.origins[job.id] = attempt.instance.id
        return StreamRun(attempt, stream, now + 60.0, 4000, max_pause=PAUSE)

    async def end(self, notice: float) -> None:
        await anyio.sleep(notice)
        self.engine.ended.set()

    async def read(self, registry: StreamRegistry, run: StreamRun) -> None:
        registry.open(run)
        try:
            async for _ in registry.deliver(run):
                pass
        finally:
            await registry.close(run)

    def list_pauses(self, runs: list[StreamRun]) -> list[float]:
        return sorted(round(run.longest_pause, 3) for run in runs)

    def test_moved_streams_pause_for_less_than_their_route_allows(self) -> None:
        runs = self.move()
        self.assertEqual([run.outcome for run in runs], ["whole"] * 8)
        self.assertLess(max(self.list_pauses(runs)), PAUSE)

    def test_engines_that_leave_together_do_not_delay_each_others_final_copies(self) -> None:
        runs = self.move(engines=2)
        self.assertLess(max(self.list_pauses(runs)), PAUSE)
        destinations = {(a.source.address, a.instance.id) for a in self.engine.attempts if a.source}
        self.assertEqual(len(destinations), 2)
        self.assertGreater(max(self.list_pauses(self.move(NO_CONTENTION, engines=2))), PAUSE)

    def test_without_contention_copies_are_made_as_before(self) -> None:
        pauses = self.list_pauses(self.move(NO_CONTENTION))
        self.assertGreater(pauses[-1], PAUSE)

    def test_a_destination_that_leaves_is_replaced_before_the_run_is_stopped(self) -> None:
        runs = self.move(count=1, during=lambda gateway: leave(gateway, self.get_first()))
        self.assertLess(max(self.list_pauses(runs)), PAUSE)
        self.assertNotEqual(self.engine.attempts[0].instance.id, self.engine.copies[0][1])

    def get_first(self) -> int:
        return int(self.engine.copies[0][1].removeprefix("i"))

    def test_an_engine_that_ends_early_loses_the_streams_that_were_not_copied(self) -> None:
        runs = self.move(notice=0.5)
        self.assertEqual({run.outcome for run in runs}, {"broken off upstream"})

    def test_a_refused_final_copy_is_made_elsewhere_at_once(self) -> None:
        refused: list[str] = []

        def refuse(to: str, final: bool) -> bool:
            refused.extend([to] if final and not refused else [])
            return final and to in refused

        (run,) = self.move(count=1, refuse=refuse)
        self.assertEqual(run.outcome, "whole")
        self.assertLess(run.longest_pause, 0.3)

    def test_a_refused_pre_copy_keeps_its_slot(self) -> None:
        first: list[str] = []

        def refuse(to: str, final: bool) -> bool:
            first.extend([] if first else [to])
            return to in first

        runs = self.move(count=4, refuse=refuse)
        self.assertEqual([run.outcome for run in runs], ["whole"] * 4)
        self.assertLess(max(self.list_pauses(runs)), PAUSE)

    def test_a_refused_pre_copy_does_not_take_its_slot_in_another_zone(self) -> None:
        first: list[str] = []

        def refuse(to: str, final: bool) -> bool:
            first.append(to)
            return len(first) == 1

        runs = self.move(count=4, far=(3, 4), refuse=refuse)
        self.assertEqual([run.outcome for run in runs], ["whole"] * 4)
        late = [copy for copy in self.engine.copies if copy[1] != "i2"]
        self.assertEqual(self.engine.copies[-len(late) :], late)
        self.assertLess(max(self.list_pauses(runs)), PAUSE)


class LeavingDestinationTest(unittest.TestCase):
    """No stream is handed to an engine long after its notice, and none is lost for that."""

    def setUp(self) -> None:
        self.engine = NoticedEngines(8000)
        self.gateway: Gateway | None = None

    make_run = MovesTest.make_run
    read = MovesTest.read

    def move(
        self,
        contention: Contention = NO_CONTENTION,
        count: int = 1,
        leaves: bool = True,
        body: Callable[[Gateway], Awaitable[None]] | None = None,
        client_pause: float = 0.0,
    ) -> list[StreamRun]:
        """Move streams off the first engine, while others leave too; return them.

        :param leaves: whether the first engine announces that it leaves, in 8 s.
        :param body: what happens meanwhile.
        :param client_pause: how long the client reads nothing after the first event, in seconds.
        """

        async def read(registry: StreamRegistry, run: StreamRun) -> None:
            registry.open(run)
            async for piece in registry.deliver(run):
                if run.events == 1 and isinstance(piece, bytes):
                    await anyio.sleep(client_pause)
            await registry.close(run)

        async def main() -> list[StreamRun]:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = self.gateway = make_gateway(self.engine, config, 0.0)
            gateway.fleet.note(Sighting(make_instance(4), 0.0), 0.0)
            registry = StreamRegistry(gateway, EngineMigrator(gateway))
            gateway.on_leaving = registry.migrate_off
            self.engine.gateway = gateway
            with patch.object(gateway, "get_contention", return_value=contention):
                async with anyio.create_task_group() as tasks:
                    gateway.start(tasks)
                    runs = [self.make_run(number, 1) for number in range(count)]
                    async with anyio.create_task_group() as deliveries:
                        for run in runs:
                            deliveries.start_soon(read, registry, run)
                        await anyio.sleep(0.01)
                        if leaves:
                            self.engine.leaves_in = 8.0
                            leave(gateway, 1)
                        if body is not None:
                            await body(gateway)
                    tasks.cancel_scope.cancel()
            return runs

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def check(self, runs: list[StreamRun]) -> None:
        """Check that all streams were moved, to engines that were not leaving for long."""
        self.assertEqual({run.outcome for run in runs}, {"whole"})
        self.assertLessEqual(max(self.engine.ages), HAND_OVER_SECONDS)

    def let_last_destination_leave(self, contention: Contention) -> list[StreamRun]:
        async def body(gateway: Gateway) -> None:
            await anyio.sleep(0.1)
            leave(gateway, 4)
            for sequence in range(2, 10):
                await anyio.sleep(0.5)
                for number in (2, 3):
                    heartbeat = replace(make_instance(number), sequence=sequence)
                    gateway.fleet.note(Sighting(heartbeat, 0.0), anyio.current_time())

        return self.move(contention, 8, body=body)

    def test_streams_that_wait_for_their_slot_do_not_go_to_an_engine_that_left(self) -> None:
        """Guards against review/8: a request reached an engine 2.4 s after its notice."""
        for contention in (NO_CONTENTION, GUARDED):
            self.setUp()
            runs = self.let_last_destination_leave(contention)
            self.check(runs)
            self.assertEqual(len(self.engine.ages), 8)
            self.assertNotIn("i4", [to for _, to, _ in self.engine.copies])

    def test_a_stream_whose_destination_left_keeps_its_slot(self) -> None:
        self.let_last_destination_leave(NO_CONTENTION)
        pre_copies = [(at, to) for at, to, final in self.engine.copied_from if not final]
        gaps = [later - earlier for (earlier, _), (later, _) in pairwise(pre_copies)]
        self.assertLess(max(gaps), 1.5 * 8000 * ENGINE.token_seconds)

    def test_a_stream_whose_destination_left_takes_no_room_that_others_are_promised(self) -> None:
        """Guards against final copies of others that are refused, so that these are cut."""

        async def body(gateway: Gateway) -> None:
            await anyio.sleep(0.1)
            leave(gateway, 4)

        with patch.object(GatewayLoads, "get_total", fill_all_but("i4")):
            self.move(count=3, body=body)
        elsewhere = [at for at, to, _ in self.engine.copied_from if to != "i4"]
        self.assertGreater(min(elsewhere), 3 * 8000 * ENGINE.token_seconds)

    def leave_in_final_copy(self, seconds: float) -> None:
        """Let the destination of the first final copy leave while that is made."""
        first: list[str] = []

        async def on_final(to: str) -> None:
            if not first:
                first.append(to)
                assert self.gateway is not None
                leave(self.gateway, int(to.removeprefix("i")))
                await anyio.sleep(seconds)

        self.engine.on_final = on_final

    def test_a_destination_that_leaves_during_a_long_final_copy_is_replaced(self) -> None:
        self.leave_in_final_copy(2 * HAND_OVER_SECONDS)
        runs = self.move()
        self.check(runs)
        finals = [to for _, to, final in self.engine.copies if final]
        self.assertEqual(len(set(finals)), 2)
        self.assertEqual(runs[0].attempt.instance.id, finals[-1])

    def test_a_destination_that_leaves_during_a_short_final_copy_is_kept(self) -> None:
        self.leave_in_final_copy(0.1)
        runs = self.move()
        self.check(runs)
        self.assertEqual(len({to for _, to, _ in self.engine.copies[:2]}), 1)
        self.assertEqual(self.engine.attempts[0].instance.id, self.engine.copies[0][1])

    def test_a_stream_whose_client_pauses_does_not_go_to_an_engine_that_left(self) -> None:
        """Guards against a resume point that grows old while events wait for the client."""

        async def body(gateway: Gateway) -> None:
            await anyio.sleep(2.0)
            (destination,) = {to for _, to, _ in self.engine.copies}
            leave(gateway, int(destination.removeprefix("i")))

        runs = self.move(body=body, client_pause=5.0)
        self.check(runs)
        self.assertEqual(len(self.engine.attempts), 1)

    def test_a_stopped_stream_goes_back_to_its_engine_if_no_other_takes_it(self) -> None:
        self.leave_in_final_copy(2 * HAND_OVER_SECONDS)
        first: list[str] = []

        def refuse(to: str, final: bool) -> bool:
            first.extend([] if first else [to])
            return to not in first

        async def body(gateway: Gateway) -> None:
            await anyio.sleep(0.1)
            self.engine.stopped["r0"].set()

        self.engine.refuse = refuse
        runs = self.move(leaves=False, body=body)
        self.check(runs)
        (attempt,) = self.engine.attempts
        assert attempt.source is not None
        self.assertEqual((attempt.instance.id, attempt.source.address), ("i1", "10.0.0.1:1"))
        self.assertEqual(len({to for _, to, _ in self.engine.copies}), 3)

    def signal_in_final_copy(self, signals: Backpressure) -> list[str]:
        """Let the destination of the first final copy send signals; return its id, once known."""
        first: list[str] = []

        async def on_final(to: str) -> None:
            if not first:
                first.append(to)
                assert self.gateway is not None
                number = int(to.removeprefix("i"))
                self.gateway.apply_backpressure(make_instance(number), signals)
                self.gateway.guard.request_grant_callback = None

        self.engine.on_final = on_final
        return first

    def test_a_copy_on_an_engine_that_may_not_be_sent_to_is_made_elsewhere(self) -> None:
        for signals in (
            Backpressure(max_requests_per_second=0.001),
            Backpressure(backoff_seconds=60.0),
        ):
            self.setUp()
            first = self.signal_in_final_copy(signals)
            (run,) = self.move()
            self.check([run])
            self.assertNotIn(run.attempt.instance.id, first)

    def test_a_stream_is_cut_once_nothing_takes_it(self) -> None:
        """Guards against an endless search among engines that leave."""

        async def body(gateway: Gateway) -> None:
            await anyio.sleep(2.0)
            for number in (2, 3, 4):
                leave(gateway, number)

        runs = self.move(body=body, client_pause=5.0)
        self.assertEqual(runs[0].outcome, "broken off upstream")
        self.assertEqual(self.engine.attempts, [])


def fill_all_but(empty: str) -> Callable[[GatewayLoads, str], Load]:
    """Return loads by which all engines but one are nearly full."""

    def get_total(loads: GatewayLoads, instance_id: str) -> Load:
        return Load(instance_id, 1, 0 if instance_id == empty else ENGINE.memory_tokens - 1000)

    return get_total


def leave(gateway: Gateway, number: int) -> None:
    """Let an upstream announce that it leaves."""
    leaving = make_instance(number, InstanceState.LEAVING)
    now = anyio.current_time()
    gateway.apply_instance_changes(gateway.fleet.note_all([Sighting(leaving, 0.0)], now))
