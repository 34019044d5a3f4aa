"""Tests of bytes on tunnels that are no part of what was asked for, that never end, or are cut."""

import socket
import unittest
from collections.abc import Awaitable, Callable
from contextlib import suppress

import anyio
from anyio.abc import SocketAttribute, SocketStream

from daleroad.dialing import Target, Tunnel
from daleroad.errors import Failure
from daleroad.loopback import find_ports
from daleroad.tunnelpeers import TunnelPeers
from daleroad.tunnels import TunnelClient, TunnelLostError, TunnelStream
from daleroad.tunnelserver import HEAD_SECONDS, MAX_TUNNELS, TunnelServer

OPEN = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
END = b"0\r\n\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
READ_BYTES = 65_536
ENDLESS_BYTES = 20_000_000
"""Where a peer gives up that would send without end."""

MOST_BYTES = 4_000_000
"""What the buffers of two sockets may take besides what is read."""

_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)

Serve = Callable[[SocketStream], Awaitable[None]]


def make_chunk(data: bytes) -> bytes:
    """Return the bytes of one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_head(stream: SocketStream) -> None:
    """Read a request's head."""
    head = b""
    while not head.endswith(b"\r\n\r\n"):
        head += await stream.receive()


async def read_all(stream: TunnelStream) -> bytes:
    """Read what comes until the upstream's connection ends."""
    found = b""
    with suppress(anyio.EndOfStream):
        while True:
            found += await stream.receive()
    return found


class PeerCase(unittest.TestCase):
    """A gateway that opens tunnels and sends what a test says."""

    def play(self, serve: Serve, body: Callable[[TunnelClient], Awaitable[None]]) -> None:
        async def handle(stream: SocketStream) -> None:
            async with stream:
                with suppress(*_BROKEN):
                    await read_head(stream)
                    await serve(stream)

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, handle)
                with anyio.fail_after(20):
                    await body(TunnelClient(TunnelPeers((f"127.0.0.1:{port}",)), "secret"))
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def open(self, client: TunnelClient) -> TunnelStream:
        found = await client.open(Target("10.0.0.1:80", 3.0))
        assert isinstance(found, Tunnel), found
        return found.connection


class ReuseTest(PeerCase):
    """Before a connection is reused, bytes that nobody asked for must be seen."""

    def check(self, sent: bytes, answer: bytes, expected: bool) -> None:
        found, readable = b"", None

        async def serve(stream: SocketStream) -> None:
            await stream.send(OPEN)
            await stream.receive()
            await stream.send(sent)
            await anyio.sleep_forever()

        async def body(client: TunnelClient) -> None:
            nonlocal found, readable
            stream = await self.open(client)
            raw = stream.extra(SocketAttribute.raw_socket)
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 * READ_BYTES)
            await stream.send(b"x")
            await anyio.sleep(0.03)
            while len(found) < len(answer):
                found += await stream.receive(READ_BYTES)
            readable = stream.is_readable()
            await stream.aclose()

        self.play(serve, body)
        self.assertEqual(found, answer)
        self.assertEqual(readable, expected, sent[-40:])

    def test_connection_without_surplus_bytes_is_reused(self) -> None:
        self.check(make_chunk(ANSWER), ANSWER, False)

    def test_second_answer_that_was_read_along_with_the_first_is_seen(self) -> None:
        """Cut anywhere, also inside the chunk's own head."""
        surplus = make_chunk(ANSWER)
        for length in range(1, len(surplus) + 1):
            with self.subTest(length):
                self.check(make_chunk(ANSWER) + surplus[:length], ANSWER, True)

    def test_second_answer_in_the_rest_of_a_chunk_is_seen(self) -> None:
        chunk = make_chunk(ANSWER * 2)
        for length in (0, 1, len(ANSWER)):
            with self.subTest(length):
                sent = chunk[: len(chunk) - 2 - len(ANSWER) + length]
                self.check(sent, ANSWER + ANSWER[:length], length < len(ANSWER))

    def test_surplus_that_the_event_loop_read_along_with_a_long_answer_is_seen(self) -> None:
        answer = b"z" * (READ_BYTES - len(make_chunk(b"")) - 3)
        self.assertEqual(len(make_chunk(answer)), READ_BYTES)
        self.check(make_chunk(answer) + make_chunk(b"y"), answer, True)


class EndTest(PeerCase):
    """The end of an upstream's connection is told, all other ends are cuts."""

    def read(self, sent: bytes) -> bytes | TunnelLostError | anyio.BrokenResourceError:
        found: list[bytes | TunnelLostError | anyio.BrokenResourceError] = []

        async def serve(stream: SocketStream) -> None:
            await stream.send(OPEN + sent)

        async def body(client: TunnelClient) -> None:
            stream = await self.open(client)
            try:
                found.append(await read_all(stream))
            except anyio.BrokenResourceError as error:
                found.append(error)
            await stream.aclose()

        self.play(serve, body)
        return found[0]

    def test_tunnel_cut_anywhere_does_not_look_like_the_end_of_the_upstream(self) -> None:
        whole = make_chunk(ANSWER) + END
        self.assertEqual(self.read(whole), ANSWER)
        for length in range(len(whole)):
            with self.subTest(length):
                self.assertIsInstance(self.read(whole[:length]), TunnelLostError)

    def test_malformed_chunks_and_endless_trailers_are_cuts(self) -> None:
        for sent in (b"zz\r\n" + ANSWER, b"5\r\nhelloXX", b"0\r\nx: " + b"y" * 1_000_000):
            with self.subTest(sent[:12]):
                self.assertIsInstance(self.read(sent), TunnelLostError)


class OpeningTest(PeerCase):
    """What is no acceptance opens no tunnel, and is not read without end."""

    def refuse(self, head: bytes, part: bytes = b"") -> int:
        """Answer with a head and a part that comes again and again; return the bytes sent."""
        sent = 0
        found: list[Tunnel[TunnelStream] | Failure] = []

        async def serve(stream: SocketStream) -> None:
            nonlocal sent
            await stream.send(head)
            while part and sent < ENDLESS_BYTES:
                await stream.send(part)
                sent += len(part)

        async def body(client: TunnelClient) -> None:
            found.append(await client.open(Target("10.0.0.1:80", 3.0)))

        self.play(serve, body)
        self.assertIsInstance(found[0], Failure)
        return sent

    def test_refusal_without_end_is_not_read_without_end(self) -> None:
        head = b"HTTP/1.1 503 Unavailable\r\n"
        framed = (
            (b"Content-Length: 999999999\r\n\r\n", b"x" * 60_000),
            (b"Transfer-Encoding: chunked\r\n\r\n", make_chunk(b"x" * 60_000)),
            (b"\r\n", b"x" * 60_000),
        )
        for framing, part in framed:
            with self.subTest(framing):
                self.assertLess(self.refuse(head + framing, part), MOST_BYTES)

    def test_head_without_end_is_not_read_without_end(self) -> None:
        self.assertLess(self.refuse(b"HTTP/1.1 200 OK\r\n", b"x: y\r\n" * 9000), MOST_BYTES)
        self.assertLess(self.refuse(b"HTTP/1.1 200 ", b"z" * 60_000), MOST_BYTES)

    def test_informational_responses_open_no_tunnel(self) -> None:
        early = b"HTTP/1.1 103 Early Hints\r\n\r\n"
        self.assertLess(self.refuse(early, early * 2000), MOST_BYTES)
        self.refuse(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n")

    def test_acceptance_whose_cut_would_look_like_an_end_opens_no_tunnel(self) -> None:
        for framing in (b"", b"Content-Length: 5\r\n"):
            with self.subTest(framing):
                self.refuse(b"HTTP/1.1 200 OK\r\n" + framing + b"\r\nhello")


class ServerTest(unittest.TestCase):
    """The far end of tunnels."""

    def play(self, handle: Serve, body: Callable[[str, str], Awaitable[None]]) -> None:
        async def main() -> None:
            upstream = await anyio.create_tcp_listener(local_host="127.0.0.1", backlog=512)
            port = upstream.extra(SocketAttribute.local_port)
            self.server = TunnelServer("secret", lambda address: "")
            peer = f"127.0.0.1:{find_ports(1)[0]}"
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(upstream.serve, handle)
                tasks.start_soon(self.server.run, peer)
                await anyio.sleep(0.05)
                with anyio.fail_after(20):
                    await body(peer, f"127.0.0.1:{port}")
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_tunnels_that_are_opened_at_once_are_bounded(self) -> None:
        most = 0
        accepted = 0
        left: list[int] = []

        async def handle(stream: SocketStream) -> None:
            nonlocal accepted
            accepted += 1
            await anyio.sleep_forever()

        async def body(peer: str, address: str) -> None:
            client = TunnelClient(TunnelPeers((peer,)), "secret")
            found: list[Tunnel[TunnelStream]] = []

            async def open_one() -> None:
                nonlocal most
                opened = await client.open(Target(address, 3.0))
                most = max(most, self.server.count())
                if isinstance(opened, Tunnel):
                    found.append(opened)

            async with anyio.create_task_group() as tasks:
                for _ in range(2 * MAX_TUNNELS):
                    tasks.start_soon(open_one)
            for opened in found:
                await opened.connection.aclose()
            await anyio.sleep(0.1)
            left.append(self.server.count())

        self.play(handle, body)
        self.assertLessEqual(most, MAX_TUNNELS)
        self.assertLessEqual(accepted, MAX_TUNNELS)
        self.assertGreater(accepted, 0)
        self.assertEqual(left, [0])

    def test_request_for_a_tunnel_is_bounded_in_size_and_time(self) -> None:
        async def handle(stream: SocketStream) -> None:
            self.fail("the upstream was connected to")

        async def body(peer: str, address: str) -> None:
            host, _, port = peer.partition(":")
            begun = anyio.current_time()
            async with await anyio.connect_tcp(host, int(port)) as slow:
                await slow.send(b"POST /tunnel/")
                with self.assertRaises(_BROKEN):
                    await slow.receive()
            self.assertLess(anyio.current_time() - begun, HEAD_SECONDS + 1.0)
            async with await anyio.connect_tcp(host, int(port)) as endless:
                with self.assertRaises(_BROKEN):
                    for _ in range(ENDLESS_BYTES // READ_BYTES):
                        await endless.send(b"x: y\r\n" * (READ_BYTES // 6))

        self.play(handle, body)

    def test_upstream_that_sends_without_end_waits_for_its_reader(self) -> None:
        sent = 0

        async def handle(stream: SocketStream) -> None:
            nonlocal sent
            with suppress(*_BROKEN):
                while sent < 20 * ENDLESS_BYTES:
                    await stream.send(bytes(READ_BYTES))
                    sent += READ_BYTES

        async def body(peer: str, address: str) -> None:
            client = TunnelClient(TunnelPeers((peer,)), "secret")
            opened = await client.open(Target(address, 3.0))
            assert isinstance(opened, Tunnel)
            await anyio.sleep(0.5)
            before = sent
            await anyio.sleep(0.3)
            self.assertEqual(sent, before)
            self.assertTrue(opened.connection.is_readable())
            await opened.connection.aclose()

        self.play(handle, body)


if __name__ == "__main__":
    unittest.main()
