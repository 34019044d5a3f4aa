"""Tests of responses with neither length nor chunks, which end with their connection.

They look complete if their upstream crashes, or is left by a move, between two events.
"""

import unittest
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from functools import partial

import anyio
import trio
import trio.testing

from daleroad.blame import JOINT_CRASH_SECONDS
from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    Lost,
    NotCopied,
    Reply,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure, Ran
from daleroad.forwarding import StreamResponse
from daleroad.gateway import Gateway
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.lifesigns import ALIVE_AFTER_SECONDS
from daleroad.migration import EngineMigrator
from daleroad.onsets import Progress
from daleroad.promptparts import make_shared_part
from daleroad.routing import Repeat
from daleroad.runs import StreamRegistry, StreamRun
from daleroad.sharedsuspects import UNCONFIRMED_SECONDS
from daleroad.suspects import Standing
from tests import test_moves, test_platform
from tests.fakes import (
    FakeDispatcher,
    FakeStream,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
)
from tests.test_crashingparts import POISON, make_part_job
from tests.test_moves import LinkedEngines, RunningStream
from tests.test_platform import SIGNED, EventStream, Upstream

Copy = Callable[
    [anyio.Event, ClientRequest, Instance, Instance, bool], Awaitable[Copied | NotCopied]
]

STREAM_HEAD = ("HTTP/1.1 200 OK", *SIGNED, "Content-Type: text/event-stream", "X: close-after")
PLAIN_HEAD = ("HTTP/1.1 200 OK", *SIGNED, "X: close-after")


def make_answer(head: tuple[str, ...], body: bytes) -> bytes:
    return "\r\n".join([*head, "", ""]).encode() + body


def make_undelimited(first: int, last: int) -> FakeStream:
    stream = FakeStream(first, last)
    stream.delimited = False
    return stream


class ClientTest(unittest.TestCase):
    send_requests = test_platform.EngineClientTest.send_requests

    def receive(self, body: bytes) -> tuple[bool, list[StreamEvent | Lost]]:
        pieces: list[StreamEvent | Lost] = []

        async def on_reply(reply: Reply) -> None:
            assert isinstance(reply, EventStream)
            self.delimited = reply.delimited
            pieces.extend([piece async for piece in reply.events()])

        self.send_requests(Upstream(make_answer(STREAM_HEAD, body)), on_reply=on_reply)
        return self.delimited, pieces

    def test_a_stream_that_ends_after_an_event_is_whole(self) -> None:
        delimited, pieces = self.receive(b"id: 1\ndata: a\n\nid: 2\n\n")
        self.assertFalse(delimited)
        self.assertEqual([type(piece) for piece in pieces], [StreamEvent, StreamEvent])

    def test_a_stream_that_ends_inside_an_event_is_lost(self) -> None:
        _, pieces = self.receive(b"id: 1\ndata: a\n\nid: 2\nda")
        self.assertEqual([type(piece) for piece in pieces], [StreamEvent, Lost])

    def test_a_duplicate_behind_a_stream_is_not_its_next_event(self) -> None:
        whole = make_answer(STREAM_HEAD, b"data: a\n\n")
        _, pieces = self.receive(b"data: a\n\n" + whole)
        self.assertEqual([type(piece) for piece in pieces], [StreamEvent, Lost])

    def test_a_plain_response_is_whole_and_its_connection_not_reused(self) -> None:
        upstream = Upstream(*[make_answer(PLAIN_HEAD, b"a whole body")] * 2)
        first, second = self.send_requests(upstream, 2)
        for reply in (first, second):
            assert isinstance(reply, Whole)
            self.assertEqual((reply.body, reply.delimited), (b"a whole body", False))
        self.assertEqual(upstream.connections, 2)


class EvidenceTest(unittest.TestCase):
    """What such a response shows of the part of a prompt that it was for."""

    def find_standing(self, meanwhile: Callable[[Gateway, Instance], None]) -> Standing:
        """Return the standing of a part after such responses of three upstreams.

        :param meanwhile: called a while after each response, and again after another while.
        """

        async def main() -> Standing:
            dispatcher = FakeDispatcher(*[make_undelimited(1, 2) for _ in range(3)])
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            for number in range(3):
                instance = make_instance(1 + number)
                job = make_part_job(number, "first", POISON, f"last {number}")
                reply = await gateway.dispatcher.send(Attempt(job, instance, "", 5.0))
                assert not isinstance(reply, Whole)
                pieces = [piece async for piece in reply.events()]  # type: ignore[union-attr]
                self.assertEqual(len(pieces), 2)
                for _ in range(2):
                    await anyio.sleep(ALIVE_AFTER_SECONDS + 0.1)
                    meanwhile(gateway, instance)
                    gateway.guard.evidence.settle_undelimited(anyio.current_time())
            job = make_part_job(9, "first", POISON, "last 9")
            return gateway.guard.evidence.find_verdict(job, "", "s").standing

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    async def read_answer(self, gateway: Gateway, number: int, instance: Instance) -> None:
        """Send a request with the part to an upstream and read its answer to the end."""
        job = make_part_job(number, "first", POISON, f"last {number}")
        reply = await gateway.dispatcher.send(Attempt(job, instance, "", 5.0))
        async for _ in reply.events():  # type: ignore[union-attr]
            pass

    def crash(self, gateway: Gateway, number: int) -> None:
        """Record that an upstream crashed as it began to answer a request with the part."""
        job = make_part_job(number, "first", POISON, f"last {number}")
        attempt = Attempt(job, make_instance(number), "", 5.0)
        gateway.guard.evidence.record_lost(attempt, Progress.BEGUN)

    def hear(self, gateway: Gateway, instance: Instance) -> None:
        gateway.fleet.note(Sighting(replace(instance, sequence=9), 0.0), anyio.current_time())

    def restart(self, gateway: Gateway, instance: Instance) -> None:
        name, born = instance.get_name(), instance.born + 9
        younger = replace(instance, id=f"{name}@{born}", name=name, born=born, sequence=1)
        gateway.fleet.note(Sighting(younger, 0.0), anyio.current_time())

    def test_it_is_no_success_while_its_upstream_is_not_heard_from(self) -> None:
        self.assertIs(self.find_standing(lambda gateway, instance: None), Standing.CLEAR)

        def crash_another(gateway: Gateway, instance: Instance) -> None:
            self.crash(gateway, 20 + int(instance.id.removeprefix("i")))

        self.assertIs(self.find_standing(crash_another), Standing.HELD)

    def test_it_is_a_crash_if_its_upstream_has_restarted(self) -> None:
        self.assertIs(self.find_standing(self.restart), Standing.HELD)

    def test_it_is_a_crash_if_only_its_upstream_is_silent(self) -> None:
        def hear_others(gateway: Gateway, instance: Instance) -> None:
            for seconds in (0.0, 2.0, 4.0):
                others = replace(make_instance(4), sequence=int(10 * anyio.current_time()) + 1)
                later = anyio.current_time() + seconds
                gateway.fleet.note(Sighting(others, 0.0), later)

        self.assertIs(self.find_standing(hear_others), Standing.HELD)

    def test_it_is_a_success_if_its_upstream_is_heard_from(self) -> None:
        def hear(gateway: Gateway, instance: Instance) -> None:
            now = anyio.current_time()
            for number in (21, 22, 23):
                part = make_shared_part("s", "", POISON, 1)
                crashed_at = now - JOINT_CRASH_SECONDS * (24 - number)
                gateway.suspects.record_part_crash(part, "", "h/x", f"i{number}", True, crashed_at)
            self.hear(gateway, instance)

        self.assertIs(self.find_standing(hear), Standing.CLEAR)

    def test_it_is_no_success_if_one_late_heartbeat_arrives(self) -> None:
        async def main() -> Standing:
            dispatcher = FakeDispatcher(make_undelimited(1, 2))
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            await self.read_answer(gateway, 1, make_instance(1))
            await anyio.sleep(ALIVE_AFTER_SECONDS + 0.1)
            self.hear(gateway, make_instance(1))
            for number in range(3):
                gateway.guard.evidence.settle_undelimited(anyio.current_time())
                self.crash(gateway, 20 + number)
                await anyio.sleep(JOINT_CRASH_SECONDS)
            job = make_part_job(9, "first", POISON, "last 9")
            return gateway.guard.evidence.find_verdict(job, "", "s").standing

        self.assertIs(
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)), Standing.HELD
        )

    def test_it_is_a_crash_if_another_stream_is_cut_at_the_same_time(self) -> None:
        async def main() -> Standing:
            dispatcher = FakeDispatcher(*[make_undelimited(1, 1) for _ in range(3)])
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            evidence = gateway.guard.evidence
            for number in range(3):
                instance = make_instance(1 + number)
                await self.read_answer(gateway, number, instance)
                beside = make_part_job(number, "other", f"last {number}")
                evidence.record_lost(Attempt(beside, instance, "", 5.0), Progress.FAR)
                await anyio.sleep(JOINT_CRASH_SECONDS)
            return evidence.find_verdict(make_part_job(9, POISON, "last"), "", "s").standing

        self.assertIs(
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)), Standing.HELD
        )

    def test_crashes_at_once_that_become_known_apart_are_at_one_time(self) -> None:
        async def main() -> Standing:
            dispatcher = FakeDispatcher(*[make_undelimited(1, 1) for _ in range(3)])
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            for number in range(3):
                await self.read_answer(gateway, number, make_instance(number))
            for number in range(3):
                await anyio.sleep(JOINT_CRASH_SECONDS)
                self.restart(gateway, make_instance(number))
                gateway.guard.evidence.settle_undelimited(anyio.current_time())
            job = make_part_job(9, "first", POISON, "last 9")
            return gateway.guard.evidence.find_verdict(job, "", "s").standing

        self.assertIs(
            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0)), Standing.CLEAR
        )

    def test_a_stream_without_an_event_is_a_crash_though_a_late_heartbeat_arrives(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(*[make_undelimited(1, 0) for _ in range(3)])
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time())
            forwarder = make_forwarder(gateway)
            for number in range(3):
                outcome = await forwarder.serve(make_part_job(number, POISON, f"last {number}"))
                assert isinstance(outcome, StreamResponse)
                (piece,) = [piece async for piece in outcome.pieces]
                assert isinstance(piece, Failure)
                self.assertIs(piece.ran, Ran.PARTIAL)
                await outcome.close()
                await anyio.sleep(ALIVE_AFTER_SECONDS + 0.1)
                self.hear(gateway, dispatcher.attempts[-1].instance)
                gateway.guard.evidence.settle_undelimited(anyio.current_time())
                self.restart(gateway, dispatcher.attempts[-1].instance)
            job = make_part_job(9, POISON, "last 9")
            verdict = gateway.guard.evidence.find_verdict(job, "", "s")
            self.assertIs(verdict.standing, Standing.HELD)
            self.assertFalse(gateway.suspects.has_succeeded(verdict.fingerprint))

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_stream_that_goes_on_after_its_last_event_is_whole_without_another(self) -> None:
        async def main() -> None:
            job = make_part_job(1, "first", "last")
            by_client = replace(job, headers=((b"Last-Event-ID", b"7"),))
            resumed = Attempt(job, make_instance(1), "", 5.0, last_event="7")
            for attempt in (resumed, Attempt(by_client, make_instance(1), "", 5.0)):
                dispatcher = FakeDispatcher(make_undelimited(1, 0))
                gateway = make_gateway(dispatcher, make_config(Repeat.STREAM, engine=True), 0.0)
                reply = await gateway.dispatcher.send(attempt)
                pieces = [piece async for piece in reply.events()]  # type: ignore[union-attr]
                self.assertEqual(pieces, [])

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_it_is_forgotten_after_a_while(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(Whole(200, (), b"answer", delimited=False))
            gateway = make_gateway(dispatcher, make_config(Repeat.ONCE), anyio.current_time())
            job = make_part_job(1, POISON, "last")
            await gateway.dispatcher.send(Attempt(job, make_instance(1), "", 5.0))
            evidence = gateway.guard.evidence
            for seconds, waiting in ((0.0, 1), (UNCONFIRMED_SECONDS + 1.0, 0)):
                await anyio.sleep(seconds)
                evidence.settle_undelimited(anyio.current_time())
                self.assertEqual(evidence.count_unconfirmed(), waiting)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class UndelimitedRunningStream(RunningStream):
    """A stream whose connection its engine closes when the generation is stopped."""

    delimited = False

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        async for piece in super().events():
            if isinstance(piece, StreamEvent):
                yield piece


def make_copy(result: NotCopied, seconds: float = 0.01) -> Copy:
    """Return a stand-in for copies of a stream that ends while its final copy is under way.

    :param result: how the final copy ends; earlier ones succeed.
    :param seconds: how long it takes.
    """

    async def copy(
        stopped: anyio.Event, job: ClientRequest, source: Instance, to: Instance, final: bool
    ) -> Copied | NotCopied:
        if not final:
            return Copied("handle", 1)
        stopped.set()
        await anyio.sleep(seconds)
        return result

    return copy


class MoveTest(unittest.TestCase):
    make_run = test_moves.MovesTest.make_run

    def move(self, copy: Copy | None = None) -> tuple[StreamRun, list[Failure]]:
        """Move an undelimited stream off its engine; return it, and the failures in it.

        :param copy: answers copies in place of the engines.
        """
        failures: list[Failure] = []

        async def read(registry: StreamRegistry, run: StreamRun) -> None:
            registry.open(run)
            async for piece in registry.deliver(run):
                failures.extend([piece] if isinstance(piece, Failure) else [])
            await registry.close(run)

        async def main() -> StreamRun:
            self.engine = LinkedEngines(3000)
            gateway = make_gateway(self.engine, make_config(Repeat.STREAM, engine=True), 0.0)
            registry = StreamRegistry(gateway, EngineMigrator(gateway))
            gateway.on_leaving = registry.migrate_off
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(1, 1)
                run.stream = UndelimitedRunningStream(self.engine, run.attempt.job.id)
                if copy is not None:
                    stopped = self.engine.stopped[run.attempt.job.id]
                    self.engine.copy = partial(copy, stopped)  # type: ignore[method-assign]
                tasks.start_soon(read, registry, run)
                await anyio.sleep(0.5)
                leaving = make_instance(1, InstanceState.LEAVING)
                leaving = replace(leaving, sequence=2)
                changed = gateway.fleet.note(Sighting(leaving, 0.0), anyio.current_time())
                gateway.apply_instance_changes(changed)
                with anyio.move_on_after(20.0):
                    await run.migration_done.wait()
                    await anyio.sleep(2.0)
                tasks.cancel_scope.cancel()
            return run

        run = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        return run, failures

    def test_a_stream_goes_on_where_its_generation_was_moved(self) -> None:
        run, _ = self.move()
        self.assertEqual(run.last_event, "1001")
        self.assertEqual(run.outcome, "whole")

    def test_a_stream_that_was_stopped_for_a_refused_copy_is_not_whole(self) -> None:
        """Guards against review/2: it ended as complete in the middle."""
        run, failures = self.move(make_copy(NotCopied("status 503", CopyFault.NO_ROOM)))
        self.assertEqual(run.outcome, "broken off upstream")
        self.assertEqual([failure.ran for failure in failures], [Ran.PARTIAL])

    def test_a_stream_whose_copy_got_no_answer_is_not_whole(self) -> None:
        _, failures = self.move(make_copy(NotCopied("no answer", CopyFault.UNREACHABLE), 1.0))
        self.assertEqual([failure.ran for failure in failures], [Ran.PARTIAL])

    def test_a_stream_that_was_over_before_it_could_be_stopped_is_whole(self) -> None:
        run, failures = self.move(make_copy(NotCopied("status 404", CopyFault.ABSENT)))
        self.assertEqual((run.outcome, failures), ("whole", []))

    def test_a_stream_that_no_order_reached_is_whole_when_it_ends(self) -> None:
        held_back = NotCopied("destination evacuated", CopyFault.NO_ROOM, sent=False)
        run, failures = self.move(make_copy(held_back))
        self.assertEqual((run.outcome, failures), ("whole", []))

    def test_a_stream_behind_a_cut_link_that_was_stopped_in_vain_is_not_whole(self) -> None:
        async def main() -> list[Failure]:
            engine = LinkedEngines(3000)
            engine.refuse = lambda to, final: True
            self.engine = engine
            gateway = make_gateway(engine, make_config(Repeat.STREAM, engine=True), 0.0)
            registry = StreamRegistry(gateway, EngineMigrator(gateway))
            failures: list[Failure] = []
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(1, 1)
                run.stream = UndelimitedRunningStream(engine, run.attempt.job.id)
                registry.open(run)
                registry.recover_cut_off(run.attempt.job.id, lambda: None)
                async for piece in registry.deliver(run):
                    failures.extend([piece] if isinstance(piece, Failure) else [])
                await registry.close(run)
                tasks.cancel_scope.cancel()
            return failures

        failures = trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual([failure.ran for failure in failures], [Ran.PARTIAL])
