"""Findings of a review of the exchanges with upstreams; each test fails on the reviewed code."""

import time
import unittest
from collections.abc import Awaitable, Callable
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import anyio
import httpcore
from anyio.abc import SocketStream

from daleroad.dialing import Target
from daleroad.dispatch import Attempt, CopySource, Lost, NotRun, Reply, StreamEvent, Whole
from daleroad.exchanges import READ_BYTES, ConnectionPool, HttpConnection, HttpRequest
from daleroad.instances import Instance, InstanceState
from daleroad.runs import _record_event
from daleroad.tunnelpeers import TunnelPeers
from daleroad.tunnels import TunnelClient, TunnelStream
from tests.fakes import make_job, make_serving_gateway
from tests.test_foreignresponses import FIRST, NOT_EXECUTED, ClientTest, make_response
from tests.test_heldbytes import ClientApp, HeldBytes
from tests.test_platform import SIGNED, EngineClient, EventStream, Upstream, answer

REQUEST = HttpRequest(b"GET", b"/", ((b"host", b"h"),))


def find_response_head(*headers: str) -> bytes:
    return "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, *headers, "", ""]).encode()


class HangingUpstream(Upstream):
    """Sends its answer and keeps the connection open until the caller closes it."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__(*answers)
        self.closed = anyio.Event()

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(self.answers[0])
            try:
                while True:
                    await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.closed.set()


def serve(upstream: Any, body: Callable[[EngineClient, Instance], Awaitable[None]]) -> None:
    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        engine = Instance("i-1", "s", f"127.0.0.1:{port}", "z", 4, InstanceState.READY, 1)
        client = EngineClient()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, upstream.handle)
            await body(client, engine)
            await client.close()
            tasks.cancel_scope.cancel()

    anyio.run(main)


class CancelledDiscardTest(unittest.TestCase):
    def test_a_request_cancelled_while_a_rejection_is_read_leaves_no_connection(self) -> None:
        """exchanges.py, HttpResponse.discard: a cancellation skips its close()."""
        head = "\r\n".join(["HTTP/1.1 503 Full", "X-Daleroad-Attempt-Id: id1", NOT_EXECUTED])
        upstream = HangingUpstream(head.encode() + b"\r\nContent-Length: 10\r\n\r\nabc")
        found: list[object] = []

        async def body(client: EngineClient, engine: Instance) -> None:
            with anyio.move_on_after(0.1) as scope:
                await client.send(Attempt(make_job(0.0), engine, "", 5.0))
            assert scope.cancelled_caught
            with anyio.move_on_after(1.0):
                await upstream.closed.wait()
            pool = client._pools[engine.id]
            found.extend([upstream.closed.is_set(), len(pool._open), len(pool._idle)])

        serve(upstream, body)
        self.assertEqual(found, [True, 0, 0])


class UnsendableHeaderTest(unittest.TestCase):
    """exchanges.py, HttpConnection._send: h11.Request is made outside of the try."""

    def send(self, **changes: Any) -> Reply:
        replies: list[Reply] = []

        async def body(client: EngineClient, engine: Instance) -> None:
            attempt = Attempt(make_job(0.0), engine, "", 1.0, new_connection=True, **changes)
            replies.append(await client.send(attempt))

        serve(Upstream(make_response("id1", "200 OK", b"")), body)
        return replies[0]

    def test_a_handle_that_is_no_header_value_is_a_failed_attempt(self) -> None:
        source = CopySource("127.0.0.1:1", "a\nb", "3")
        self.assertIsInstance(self.send(source=source), Lost | NotRun)

    def test_an_event_id_that_is_no_header_value_is_a_failed_attempt(self) -> None:
        self.assertIsInstance(self.send(last_event="3\r4"), Lost | NotRun)


class LongNumberTest(ClientTest):
    """Numbers in an upstream's headers and events that no float or int takes."""

    def test_a_long_keep_alive_timeout_ends_no_request(self) -> None:
        for digits in (400, 5000):
            with self.subTest(digits):
                head = f"Keep-Alive: timeout={'9' * digits}"
                (reply,) = self.exchange(Upstream(answer("200 OK", *SIGNED, head, body=b"x")))
                assert isinstance(reply, Whole), reply

    def test_a_long_cold_time_ends_no_request(self) -> None:
        head = f"X-Daleroad-Cold-Ms: {'9' * 400}"
        (reply,) = self.exchange(Upstream(answer("200 OK", *SIGNED, head, body=b"x")))
        assert isinstance(reply, Whole), reply


class _SlowToClose(httpcore.AsyncNetworkStream):
    """A stream whose close and whose read take some turns of the event loop."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.readable = False
        self.closed = False
        self.unread = b""

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        if self.readable:
            await anyio.sleep(0.01)
            return b""
        data, self.unread = self.unread, b""
        return data

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        self.unread = FIRST

    async def aclose(self) -> None:
        self.closed = True
        await anyio.sleep({"0": 0.1, "2": 0.02}.get(self.name, 0.0))

    def get_extra_info(self, info: str) -> Any:
        return self.readable if info == "is_readable" else None


class ExpiryRaceTest(unittest.TestCase):
    def test_no_connection_in_use_is_closed_as_expired(self) -> None:
        """exchanges.py, ConnectionPool._close_expired: its list is older than its awaits."""
        made: list[_SlowToClose] = []

        async def connect(silence: float) -> httpcore.AsyncNetworkStream:
            made.append(_SlowToClose(str(len(made))))
            return made[-1]

        async def main() -> bool:
            pool = ConnectionPool(connect, "a", 1.0, 0.1)
            used = [await pool.connect(f"r{number}") for number in range(3)]

            async def finish(connection: HttpConnection) -> None:
                response = await pool.send(connection, REQUEST)
                await response.read(1000)
                await response.close()

            # 0 and 1 become idle first, 2 (to be closed by its upstream) just after.
            await finish(used[0])
            await finish(used[1])
            await finish(used[2])
            made[2].readable = True
            taken: list[HttpConnection] = []

            async def take() -> None:
                taken.append(await pool.connect("new"))

            async with anyio.create_task_group() as tasks:
                await anyio.sleep(0.092)
                tasks.start_soon(take)  # waits for what came on 2
                await anyio.sleep(0.015)
                tasks.start_soon(pool.connect, "other")  # closes 0 and 1 as expired
            (connection,) = taken
            assert isinstance(connection.stream, _SlowToClose)
            return connection.stream.closed

        self.assertFalse(anyio.run(main), "the connection was closed after it was taken")


class TunneledMethodTest(unittest.TestCase):
    def test_connect_is_not_passed_on(self) -> None:
        sent: list[dict[str, Any]] = []

        async def send(event: dict[str, Any]) -> None:
            sent.append(event)

        async def receive() -> dict[str, Any]:
            return {"type": "http.request", "body": b"", "more_body": False}

        async def main() -> None:
            app = ClientApp(make_serving_gateway(), Mock(), HeldBytes())
            scope = {"method": "CONNECT", "headers": [], "http_version": "1.1"}
            await app.handle(scope | {"raw_path": b"h:1", "type": "http"}, receive, send)

        anyio.run(main)
        self.assertEqual(sent[0]["status"], 400)


class TinyPieceTest(ClientTest):
    def find_longest_stall(self, data: bytes) -> float:
        longest = 0.0

        async def body(client: EngineClient, engine: Instance) -> None:
            nonlocal longest

            async def watch() -> None:
                nonlocal longest
                while True:
                    begun = time.monotonic()
                    await anyio.sleep(0.001)
                    longest = max(longest, time.monotonic() - begun)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watch)
                with anyio.move_on_after(3.0):
                    reply = await client.send(Attempt(make_job(0.0), engine, "", 5.0))
                    if isinstance(reply, EventStream):
                        async for _ in reply.events():
                            pass
                        await reply.close()
                tasks.cancel_scope.cancel()

        serve(HangingUpstream(data), body)
        return longest

    def test_tiny_chunks_stall_no_other_request(self) -> None:
        head = find_response_head("Transfer-Encoding: chunked").replace(b"abc", b"id1")
        stall = self.find_longest_stall(head + b"1\r\na\r\n" * 200_000)
        self.assertLess(stall, 0.1)

    def test_a_discarded_body_of_tiny_chunks_stalls_no_other_request(self) -> None:
        lines = ("HTTP/1.1 503 Full", NOT_EXECUTED, "Transfer-Encoding: chunked", "", "")
        stall = self.find_longest_stall("\r\n".join(lines).encode() + b"1\r\na\r\n" * 200_000)
        self.assertLess(stall, 0.1)


class TunnelSurplusTest(unittest.TestCase):
    """tunnels.py, TunnelStream.is_readable: it sees neither h11's buffer nor anyio's queue."""

    def is_readable_after(self, rest: bytes) -> bool:
        """Return whether a tunnel is readable after one chunk of a write with two."""

        async def answer_tunnel(stream: SocketStream) -> None:
            await stream.receive()
            head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            await stream.send(head + b"%x\r\n%s\r\n" % (len(FIRST), FIRST) + rest)
            await anyio.sleep_forever()

        async def main() -> bool:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            peer = f"127.0.0.1:{port}"
            peers = TunnelPeers("127.0.0.1:1")
            client = TunnelClient(peers, "t")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, answer_tunnel)
                tunnel = await client._try_through(peer, Target("127.0.0.1:2", 1.0), 1.0)
                assert isinstance(tunnel, TunnelStream), tunnel
                assert await tunnel.receive(READ_BYTES) == FIRST
                readable = tunnel.is_readable()
                await tunnel.aclose()
                tasks.cancel_scope.cancel()
            return readable

        return anyio.run(main)

    def test_bytes_behind_a_response_in_the_same_read_are_seen(self) -> None:
        self.assertTrue(self.is_readable_after(b"%x\r\n%s\r\n" % (len(FIRST), FIRST)))

    def test_the_end_of_the_upstreams_connection_in_the_same_read_is_seen(self) -> None:
        self.assertTrue(self.is_readable_after(b"0\r\n\r\n"))


class LongEventIdTest(unittest.TestCase):
    def test_event_ids_of_many_digits_end_no_request(self) -> None:
        """runs.py, _record_event: int() of more than 4300 digits raises."""
        run = SimpleNamespace(
            last_event="", events=0, longest_pause=0.0, last_event_at=0.0, attempt=None
        )

        async def main() -> None:
            for event_id in ("1", "9" * 5000):
                _record_event(run, StreamEvent(b"", event_id))  # type: ignore[arg-type]

        anyio.run(main)


class StatusInHeaderTest(ClientTest):
    def test_a_sound_header_with_a_status_line_loses_no_first_response(self) -> None:
        """On a new connection nothing can have been merged with a response to another request."""
        head = "X-Origin: HTTP/1.1 200 OK"
        (reply,) = self.exchange(Upstream(answer("200 OK", *SIGNED, head, body=b"x")))
        assert isinstance(reply, Whole), reply


if __name__ == "__main__":
    unittest.main()
