"""Tests of responses with neither length nor chunks, which end with their connection.

They look complete if their upstream crashes, or is left by a move, between two events.
"""

import unittest
from collections.abc import AsyncIterator
from dataclasses import replace

import anyio
import trio
import trio.testing

from daleroad.dispatch import Lost, Reply, StreamEvent, Whole
from daleroad.instances import InstanceState, Sighting
from daleroad.migration import EngineMigrator
from daleroad.routing import Repeat
from daleroad.runs import StreamRegistry
from tests import test_moves, test_platform
from tests.fakes import make_config, make_gateway, make_instance
from tests.test_moves import LinkedEngines, RunningStream
from tests.test_platform import SIGNED, EventStream, Upstream

STREAM_HEAD = ("HTTP/1.1 200 OK", *SIGNED, "Content-Type: text/event-stream", "X: close-after")
PLAIN_HEAD = ("HTTP/1.1 200 OK", *SIGNED, "X: close-after")


def make_answer(head: tuple[str, ...], body: bytes) -> bytes:
    return "\r\n".join([*head, "", ""]).encode() + body


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

    def test_a_plain_response_is_whole_and_its_connection_not_reused(self) -> None:
        upstream = Upstream(*[make_answer(PLAIN_HEAD, b"a whole body")] * 2)
        first, second = self.send_requests(upstream, 2)
        for reply in (first, second):
            assert isinstance(reply, Whole)
            self.assertEqual((reply.body, reply.delimited), (b"a whole body", False))
        self.assertEqual(upstream.connections, 2)


class UndelimitedRunningStream(RunningStream):
    """A stream whose connection its engine closes when the generation is stopped."""

    delimited = False

    async def events(self) -> AsyncIterator[StreamEvent | Lost]:
        async for piece in super().events():
            if isinstance(piece, StreamEvent):
                yield piece


class MoveTest(unittest.TestCase):
    make_run = test_moves.MovesTest.make_run
    read = test_moves.MovesTest.read

    def test_a_stream_goes_on_where_its_generation_was_moved(self) -> None:
        async def main() -> None:
            self.engine = LinkedEngines(3000)
            gateway = make_gateway(self.engine, make_config(Repeat.STREAM, engine=True), 0.0)
            registry = StreamRegistry(gateway, EngineMigrator(gateway))
            gateway.on_leaving = registry.migrate_off
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                run = self.make_run(1, 1)
                run.stream = UndelimitedRunningStream(self.engine, run.attempt.job.id)
                tasks.start_soon(self.read, registry, run)
                await anyio.sleep(0.5)
                leaving = make_instance(1, InstanceState.LEAVING)
                leaving = replace(leaving, sequence=2)
                changed = gateway.fleet.note(Sighting(leaving, 0.0), anyio.current_time())
                gateway.apply_instance_changes(changed)
                with anyio.move_on_after(20.0):
                    await run.migration_done.wait()
                    await anyio.sleep(2.0)
                tasks.cancel_scope.cancel()
            self.assertEqual(run.last_event, "1001")
            self.assertEqual(run.outcome, "whole")

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
