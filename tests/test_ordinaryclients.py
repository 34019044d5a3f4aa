"""Tests that clients within the limits are served, whatever bounds the others."""

import socket
import struct
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress
from unittest.mock import patch

import anyio

from daleroad.clientstream import READ_AHEAD_BYTES
from daleroad.clienttable import ClientTable, ConnectionLimits, Cut
from daleroad.dispatch import ClientRequest, Whole
from daleroad.forwarding import Outcome
from daleroad.routing import RequestLimits
from daleroad.serving import Request, Response, Router
from tests.test_clientconnections import Answer, Client, ConnectionCase, make_request, serve_path

LIMITS = RequestLimits()
IDLE_SECONDS = 2.0
LARGE_ANSWER = bytes(range(256)) * (LIMITS.body_bytes // 256)
MANY = 3000
SOCKET_BYTES = 512_000


async def echo(job: ClientRequest) -> Outcome:
    """Answer with the request's body."""
    return Whole(200, (), job.body)


class LimitsCase(ConnectionCase):
    """A gateway's client port with the limits of the pages, and few places for connections."""

    def setUp(self) -> None:
        super().setUp()
        self.gateway.table.config.limits.body_bytes = LIMITS.body_bytes
        self.clients = ClientTable(ConnectionLimits(4, 4_000_000))
        self.held.bound = 12_000_000
        self.held.relieve = lambda: self.clients.cut_stalled(anyio.current_time())

    async def ask(self, client: Client, request: bytes) -> Answer:
        found = await client.ask(request)
        assert found is not None
        self.assertEqual((found.status, found.whole), (200, True))
        return found

    def check_none_cut(self) -> None:
        self.assertEqual((self.clients.cuts, self.clients.refused), ({}, 0))


class OrdinaryClientTest(LimitsCase):
    def test_largest_head(self) -> None:
        async def body(client: Client) -> None:
            for field in ("X-Long: ", "x:\r\n" * 1500 + "X-Long: "):
                head = make_request("/x", field)
                rest = b"v" * (LIMITS.header_bytes - len(head))
                found = await self.ask(client, head[:-4] + rest + b"\r\n\r\n")
                self.assertEqual(found.body, b"body of /x")

        self.talk(serve_path, body)
        self.check_none_cut()

    def test_largest_body_and_answer(self) -> None:
        async def body(client: Client) -> None:
            length = f"Content-Length: {LIMITS.body_bytes}"
            for _ in range(2):
                request = make_request("/x", length, method="POST", body=LARGE_ANSWER)
                found = await self.ask(client, request)
                self.assertEqual(found.body, LARGE_ANSWER)

        self.talk(echo, body)
        self.check_none_cut()

    def test_head_and_body_that_come_slowly(self) -> None:
        async def body(client: Client) -> None:
            request = make_request("/x", "Content-Length: 40", method="POST", body=b"b" * 40)
            for byte in request[:-1]:
                await client.stream.send(bytes([byte]))
                await anyio.sleep(0.8 * IDLE_SECONDS / len(request))
            found = await self.ask(client, request[-1:])
            self.assertEqual(found.body, b"b" * 40)

        self.talk(echo, body, idle=IDLE_SECONDS)
        self.check_none_cut()

    def test_idle_for_four_fifths_of_the_timeout(self) -> None:
        async def body(client: Client) -> None:
            for _ in range(3):
                await self.ask(client, make_request("/x"))
                await anyio.sleep(0.8 * IDLE_SECONDS)
            await self.ask(client, make_request("/x"))

        self.talk(serve_path, body, idle=IDLE_SECONDS)
        self.check_none_cut()

    def test_thousands_of_requests_on_a_connection(self) -> None:
        async def body(client: Client) -> None:
            for number in range(MANY):
                found = await self.ask(client, make_request(f"/{number}"))
                self.assertEqual(found.body, b"body of /%d" % number)

        self.talk(serve_path, body)
        self.check_none_cut()

    def test_requests_sent_ahead_and_read_among_them_large_bodies(self) -> None:
        bodies = [b"small", LARGE_ANSWER[:1_000_000], b"", LARGE_ANSWER[:300_000], b"last"]

        async def echo_late(job: ClientRequest) -> Outcome:
            await anyio.sleep(0.3)
            return await echo(job)

        async def body(client: Client) -> None:
            async def send_all() -> None:
                for number, content in enumerate(bodies):
                    length = f"Content-Length: {len(content)}"
                    request = make_request(f"/{number}", length, method="POST", body=content)
                    await client.stream.send(request)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all)
                for content in bodies:
                    found = await client.read("POST")
                    assert found is not None
                    self.assertEqual((found.status, found.body), (200, content))

        self.talk(echo_late, body)
        self.check_none_cut()

    def test_answer_that_is_read_slowly(self) -> None:
        async def serve(job: ClientRequest) -> Outcome:
            return Whole(200, (), LARGE_ANSWER)

        async def body(client: Client) -> None:
            await client.stream.send(make_request("/x"))
            received = b""
            while len(received) < len(LARGE_ANSWER):
                received += await client.stream.receive()
                await anyio.sleep(0.02)
            self.assertTrue(received.endswith(LARGE_ANSWER))

        self.talk(serve, body)
        self.check_none_cut()


class LeavingClientTest(LimitsCase):
    """What a connection leaves behind ends with it."""

    def leave(self, requests: bytes, reset: bool) -> int:
        """Send requests ahead and leave; return how many were begun once the client has left."""
        before = 0

        async def serve(job: ClientRequest) -> Outcome:
            await anyio.sleep(0.5)
            return await serve_path(job)

        async def body(port: int) -> None:
            nonlocal before
            with socket.create_connection(("127.0.0.1", port)) as client:
                await anyio.to_thread.run_sync(client.sendall, requests)
                await anyio.sleep(0.2)
                before = len(self.jobs)
                if reset:
                    linger = struct.pack("ii", 1, 0)
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await anyio.sleep(0.4)
            self.assertEqual((self.gateway.open_requests, len(self.clients)), (0, 0))
            await anyio.sleep(0.4)

        self.play(self.make_app(serve), body)
        return len(self.jobs) - before

    def test_requests_read_ahead_end_with_their_connection(self) -> None:
        few = b"".join(make_request(f"/{n}") for n in range(20))
        # Reading pauses, and the close waits in the kernel behind the rest.
        many = few * (5 * READ_AHEAD_BYTES // 2 // len(few))
        for requests in (few, many):
            for reset in (False, True):
                with self.subTest(size=len(requests), reset=reset):
                    self.jobs.clear()
                    self.assertEqual(self.leave(requests, reset), 0)
                    self.assertEqual(len(self.jobs), 1)


class CutClientTest(LimitsCase):
    """Clients that are cut lose their own requests only."""

    def serve_beside(
        self, serve: Callable[[ClientRequest], Awaitable[Outcome]], sent: bytes, count: int
    ) -> None:
        """Let clients send something and read nothing, and an ordinary client ask beside them."""

        async def body(port: int) -> None:
            crowd = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(count)]
            for stream in crowd:
                with anyio.move_on_after(0.3), suppress(OSError, anyio.BrokenResourceError):
                    await stream.send(sent)
            await anyio.sleep(0.6)
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await self.ask(Client(stream), make_request("/small"))
            for stream in crowd:
                await anyio.aclose_forcefully(stream)

        self.play(self.make_app(serve), body)

    async def answer_by_path(self, job: ClientRequest) -> Outcome:
        if job.path != "/large":
            return await serve_path(job)
        assert job.held is not None
        await job.held.reserve_answer(len(LARGE_ANSWER), 0)
        return Whole(200, (), LARGE_ANSWER)

    def test_answers_left_unread_make_room_for_a_small_request(self) -> None:
        self.clients.limits = ConnectionLimits(20, 4_000_000)
        self.serve_beside(self.answer_by_path, make_request("/large"), 12)
        self.assertEqual(set(self.clients.cuts), {Cut.STALLED})

    def test_answer_read_byte_by_byte_is_not_kept_for_as_long_as_its_client_likes(self) -> None:
        self.gateway.table.longest_timeout = 0.2
        size = 200 * 1024

        async def serve(job: ClientRequest) -> Outcome:
            return Whole(200, (), bytes(40 * size))

        async def body(client: Client) -> None:
            with patch("clientface._SLOWEST_READ_RATE", 40.0 * size):
                deadline = "X-Daleroad-Deadline-Ms: 999999999"
                await client.stream.send(make_request("/x", deadline))
                with suppress(anyio.EndOfStream, anyio.BrokenResourceError), anyio.fail_after(10):
                    while True:
                        await client.stream.receive(1)
                        await anyio.sleep(0.1)
                        if not self.gateway.open_requests:
                            break

        self.talk(serve, body)

    def test_idle_connections_make_place(self) -> None:
        self.serve_beside(serve_path, b"", 8)
        self.assertEqual(set(self.clients.cuts), {Cut.PLACE})

    def test_bodies_that_never_end_make_room(self) -> None:
        self.clients.limits = ConnectionLimits(20, 4_000_000)
        length = f"Content-Length: {LIMITS.body_bytes}"
        self.serve_beside(echo, make_request("/x", length, method="POST", body=b"part"), 12)
        self.assertLessEqual(set(self.clients.cuts), {Cut.STALLED})


class HeldAnswerTest(LimitsCase):
    """Answers that an application holds whole while their clients do not read them."""

    COUNT = 20

    def test_whole_answers_left_unread_are_counted_and_bounded(self) -> None:
        router = Router(1000)

        async def serve(request: Request) -> Response:
            return Response(200, bytes(LIMITS.body_bytes // 2))

        async def body(port: int) -> None:
            crowd = [await anyio.connect_tcp("127.0.0.1", port) for _ in range(self.COUNT)]
            for stream in crowd:
                await stream.send(make_request("/x"))
            await anyio.sleep(0.5)
            # The sockets of both ends take a part of each, and one connection may exceed the bound.
            size = LIMITS.body_bytes // 2 - SOCKET_BYTES
            self.assertLessEqual(len(self.clients) - 1, self.clients.limits.held_bytes // size)
            for stream in crowd:
                await anyio.aclose_forcefully(stream)

        router.add("*", "/x", serve)
        self.clients.limits = ConnectionLimits(2 * self.COUNT, 4_000_000)
        self.play(router, body)
        self.assertEqual(set(self.clients.cuts), {Cut.HELD_BYTES})


if __name__ == "__main__":
    unittest.main()
