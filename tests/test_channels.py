"""Tests of calls between our own processes on channels: frames, and both sides of a channel."""

import socket
import unittest
import zlib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from unittest import mock

import anyio
from anyio.abc import TaskGroup
from hypothesis import given, settings
from hypothesis import strategies as st

from daleroad.channels import ChannelCalls
from daleroad.channelserver import ChannelServer
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.frames import BrokenFrameError, Frame, FrameReader, FrameWriter
from daleroad.security import check_peer
from daleroad.serving import Answer, Request, Response, Router, serve_app
from daleroad.settings import Tls

BODY_MOST = 1000
LIMIT = 10.0

bodies = st.binary(max_size=300)
frames = st.builds(
    Frame, st.integers(0, 10**9), st.sampled_from(["/site/watch", "200", "503"]), bodies
)


def read_all(data: bytes, reader: FrameReader | None = None) -> list[Frame]:
    return list((reader or FrameReader(BODY_MOST)).feed(data))


class FrameTest(unittest.TestCase):
    @given(st.lists(st.lists(frames, max_size=4), max_size=4), st.integers(1, 50))
    @settings(max_examples=60, deadline=None)
    def test_frames_come_whole_however_their_bytes_are_split(
        self, batches: list[list[Frame]], size: int
    ) -> None:
        writer, reader = FrameWriter(), FrameReader(BODY_MOST)
        data = b"".join(writer.pack(batch) for batch in batches)
        parts = [data[at : at + size] for at in range(0, len(data), size)]
        found = [frame for part in parts for frame in reader.feed(part)]
        self.assertEqual(found, [frame for batch in batches for frame in batch])

    @given(st.binary(max_size=200), st.booleans())
    @settings(max_examples=200, deadline=None)
    def test_other_bytes_are_refused_or_wait_for_more(self, data: bytes, packed: bool) -> None:
        if packed:
            packer = zlib.compressobj(wbits=-12)
            data = packer.compress(data) + packer.flush(zlib.Z_SYNC_FLUSH)
        with suppress(BrokenFrameError):
            for frame in read_all(data):
                self.assertLessEqual(len(frame.body), BODY_MOST)

    def test_bodies_and_heads_that_are_too_large_are_refused(self) -> None:
        most = Frame(1, "/x", b"a" * BODY_MOST)
        self.assertEqual(read_all(FrameWriter().pack([most])), [most])
        for frame in (Frame(1, "/x", b"a" * (BODY_MOST + 1)), Frame(1, "/" * 300, b"")):
            with self.assertRaises(BrokenFrameError):
                read_all(FrameWriter().pack([frame]))

    def test_what_was_said_before_makes_the_next_short(self) -> None:
        body = b'{"address":"10.0.0.7:8740","zone":"hall-a","ages":[0.25,0.61,0.93,1.04]}'
        writer = FrameWriter()
        sizes = [len(writer.pack([Frame(number, "/site/watch", body)])) for number in range(5)]
        self.assertGreater(sizes[0], 80)
        self.assertLess(max(sizes[1:]), 25)


class Peer:
    """A process that answers calls as a test says, on channels."""

    def __init__(self) -> None:
        self.port = find_port()
        self.url = f"http://127.0.0.1:{self.port}"
        self.asked: list[bytes] = []
        self.go_on = anyio.Event()

    async def wait(self, request: Request) -> Answer:
        self.asked.append(request.body)
        await self.go_on.wait()
        return Response(200, b'"late"')

    async def echo(self, request: Request) -> Answer:
        self.asked.append(request.body)
        return Response(200, request.body)

    async def refuse(self, request: Request) -> Answer:
        return Failure(FailureKind.NO_MAJORITY, "no leader", Ran.NO, 0.5)

    def make_router(self) -> Router:
        router = Router(BODY_MOST, channels=ChannelServer(BODY_MOST))
        router.add("POST", "/wait", self.wait)
        router.add("POST", "/echo", self.echo)
        router.add("POST", "/refuse", self.refuse)
        return router

    async def run(self, router: Router, stop: Callable[[], Awaitable[None]]) -> None:
        await serve_app(router, f"127.0.0.1:{self.port}", Tls(), stop, 0.5)


def find_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as found:
        return found.getsockname()[1]


class UnauthorizedTest(unittest.TestCase):
    """Strangers are refused by their head, before they can let the process hold more."""

    def ask(self, path: str) -> bytes:
        async def main() -> bytes:
            peer = Peer()
            router = peer.make_router()
            router.authorize = lambda headers: check_peer(headers, "a secret of the cluster")
            found = b""
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer.run, router, anyio.sleep_forever)
                await anyio.sleep(0.1)
                head = f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n"
                async with await anyio.connect_tcp("127.0.0.1", peer.port) as stream:
                    await stream.send(head.encode())
                    with anyio.fail_after(LIMIT), suppress(anyio.EndOfStream):
                        while True:
                            found += await stream.receive()
                tasks.cancel_scope.cancel()
            self.assertEqual(peer.asked, [])
            return found

        return anyio.run(main)

    def test_call_and_channel_are_refused_before_their_body(self) -> None:
        for path in ("/echo", "/channel"):
            self.assertTrue(self.ask(path).startswith(b"HTTP/1.1 401 "), path)

    def test_unknown_path_is_told_to_be_unknown(self) -> None:
        self.assertTrue(self.ask("/nowhere").startswith(b"HTTP/1.1 404 "))


class ChannelTest(unittest.TestCase):
    def play(self, body: Callable[[Peer, ChannelCalls, TaskGroup], Awaitable[None]]) -> None:
        async def main() -> None:
            peer, calls = Peer(), ChannelCalls("secret")
            with anyio.fail_after(LIMIT):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(peer.run, peer.make_router(), anyio.sleep_forever)
                    await self.wait_until_up(peer)
                    await body(peer, calls, tasks)
                    tasks.cancel_scope.cancel()

        anyio.run(main)

    async def wait_until_up(self, peer: Peer) -> None:
        while True:
            with suppress(OSError):
                await (await anyio.connect_tcp("127.0.0.1", peer.port)).aclose()
                return
            await anyio.sleep(0.02)

    def test_answers_and_failures_come_typed(self) -> None:
        async def body(peer: Peer, calls: ChannelCalls, tasks: TaskGroup) -> None:
            self.assertEqual(await calls.call(f"{peer.url}/echo", b'"a"', str), "a")
            refused = await calls.call(f"{peer.url}/refuse", b"{}", str)
            self.assertEqual(refused, Failure(FailureKind.NO_MAJORITY, "no leader", Ran.NO, 0.5))
            missing = await calls.call(f"{peer.url}/nowhere", b"{}", str)
            self.assertIs(missing.kind, FailureKind.NOT_FOUND)
            wrong = await calls.call(f"{peer.url}/echo", b"[]", str)
            self.assertIs(wrong.kind, FailureKind.BAD_REQUEST)

        self.play(body)

    def test_one_that_waits_holds_up_no_other_and_one_given_up_harms_none(self) -> None:
        async def body(peer: Peer, calls: ChannelCalls, tasks: TaskGroup) -> None:
            found: list[object] = []

            async def wait() -> None:
                found.append(await calls.call(f"{peer.url}/wait", b"{}", str))

            tasks.start_soon(wait)
            while not peer.asked:
                await anyio.sleep(0.01)
            for number in range(30):
                with anyio.move_on_after(0.0005 * (number % 3)):
                    await calls.call(f"{peer.url}/echo", b'"given up"', str)
                answer = await calls.call(f"{peer.url}/echo", b'"%d"' % number, str)
                self.assertEqual(answer, str(number))
            self.assertEqual(found, [])
            peer.go_on.set()
            while not found:
                await anyio.sleep(0.01)
            self.assertEqual(found, ["late"])

        self.play(body)

    def test_many_at_once_each_get_their_own_answer(self) -> None:
        async def body(peer: Peer, calls: ChannelCalls, tasks: TaskGroup) -> None:
            found: dict[int, object] = {}

            async def ask(number: int) -> None:
                found[number] = await calls.call(f"{peer.url}/echo", b'"%d"' % number, str)

            async with anyio.create_task_group() as own:
                for number in range(200):
                    own.start_soon(ask, number)
            self.assertEqual(found, {number: str(number) for number in range(200)})

        self.play(body)

    def test_a_process_that_started_anew_is_reached_by_the_next_call(self) -> None:
        async def main() -> None:
            peer, calls = Peer(), ChannelCalls("secret")
            for _ in range(3):
                stop = anyio.Event()
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(peer.run, peer.make_router(), stop.wait)
                    await self.wait_until_up(peer)
                    self.assertEqual(await calls.call(f"{peer.url}/echo", b'"a"', str), "a")
                    stop.set()
            failure = await calls.call(f"{peer.url}/echo", b'"a"', str)
            self.assertIs(failure.kind, FailureKind.UNREACHABLE)

        anyio.run(main)

    def test_a_stop_lets_questions_that_were_read_be_answered(self) -> None:
        async def main() -> None:
            peer, calls = Peer(), ChannelCalls("secret")
            router, stop, found = peer.make_router(), anyio.Event(), []

            async def wait() -> None:
                found.append(await calls.call(f"{peer.url}/wait", b"{}", str))

            with anyio.fail_after(LIMIT):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(peer.run, router, stop.wait)
                    await self.wait_until_up(peer)
                    tasks.start_soon(wait)
                    while not peer.asked:
                        await anyio.sleep(0.01)
                    assert router.channels is not None
                    router.channels.close()
                    stop.set()
                    await anyio.sleep(0.1)
                    peer.go_on.set()
            self.assertEqual(found, ["late"])

        anyio.run(main)

    def test_a_silent_process_is_given_up_in_time_and_asked_on_a_new_connection(self) -> None:
        async def main() -> None:
            calls, accepted, closed = ChannelCalls("secret"), [], []

            async def say_nothing(stream: anyio.abc.SocketStream) -> None:
                accepted.append(stream)
                async for _ in stream:
                    pass
                closed.append(stream)

            async with anyio.create_task_group() as tasks:
                listener = await anyio.create_tcp_listener(local_host="127.0.0.1", local_port=0)
                tasks.start_soon(listener.serve, say_nothing)
                port = listener.extra(anyio.abc.SocketAttribute.local_port)
                for number in (1, 2):
                    began = anyio.current_time()
                    found = await calls.call(f"http://127.0.0.1:{port}/x", b"{}", str, 0.2)
                    self.assertIs(found.kind, FailureKind.UNREACHABLE)
                    self.assertLess(anyio.current_time() - began, 2.0)
                    self.assertEqual(len(accepted), number)
                    # What is given up holds no descriptor.
                    await anyio.sleep(0.05)
                    self.assertEqual(closed, accepted)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_a_channel_on_which_nothing_is_asked_is_ended_and_the_next_call_opens_one(self) -> None:
        async def body(peer: Peer, calls: ChannelCalls, tasks: TaskGroup) -> None:
            for _ in range(3):
                self.assertEqual(await calls.call(f"{peer.url}/echo", b'"a"', str), "a")
                await anyio.sleep(0.3)

        with mock.patch("daleroad.channelserver.IDLE_SECONDS", 0.1):
            self.play(body)

    def test_a_name_that_is_no_address_is_a_failure(self) -> None:
        async def main() -> None:
            calls = ChannelCalls("secret")
            for name in ("127.0.0.1", "127.0.0.1:port", "127.0.0.1:70000", "127.0.0.1:-1"):
                answer = await calls.call(f"http://{name}/x", b"{}", type(None), 1.0)
                assert isinstance(answer, Failure), name
                self.assertIs(answer.kind, FailureKind.UNREACHABLE)

        anyio.run(main)

    def test_a_server_that_is_no_channel_is_a_failure(self) -> None:
        async def main() -> None:
            peer, calls = Peer(), ChannelCalls("secret")
            router = peer.make_router()
            router.channels = None
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(peer.run, router, anyio.sleep_forever)
                await self.wait_until_up(peer)
                found = await calls.call(f"{peer.url}/echo", b"{}", str, 3.0)
                self.assertIs(found.kind, FailureKind.UNREACHABLE)
                tasks.cancel_scope.cancel()

        anyio.run(main)
