"""Tests of clients' connections, each of which carries many requests, through the real server."""

import socket
import sys
import tracemalloc
import unittest
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field, replace
from functools import partial
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import h2.connection
import h2.errors
import h2.events
import h11
from anyio.abc import SocketAttribute, SocketStream

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from clientface import ClientApp, ReadinessApp  # noqa: E402
from engines import EngineClient  # noqa: E402
from faces import PortRouter, read_body  # noqa: E402

from daleroad.clienttable import ClientTable  # noqa: E402
from daleroad.dispatch import Attempt, ClientRequest, Lost, Reply, Whole  # noqa: E402
from daleroad.errors import Failure, FailureKind, Ran  # noqa: E402
from daleroad.forwarding import Outcome, StreamResponse  # noqa: E402
from daleroad.heldbytes import HeldBytes  # noqa: E402
from daleroad.serving import Request, Response, Router, serve_config  # noqa: E402
from daleroad.serving import make_config as make_server_config  # noqa: E402
from daleroad.settings import Tls  # noqa: E402
from tests.fakes import make_instance, make_job, make_serving_gateway  # noqa: E402
from tests.test_platform import SIGNED  # noqa: E402
from tests.test_platform import answer as make_answer  # noqa: E402

LOST = Failure(FailureKind.UPSTREAM_LOST, "cut", Ran.UNKNOWN)
BODY_LIMIT = 100_000
SMALL_CHUNKS = b"1\r\nx\r\n" * 200
"""More parts of a body than the server queues for one request."""

_BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream)

Serve = Callable[[ClientRequest], Awaitable[Outcome]]


def make_request(path: str, *headers: str, method: str = "GET", body: bytes = b"") -> bytes:
    """Return a request whose attempt id is its path."""
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"X-Daleroad-Attempt-Id: {path}", *headers]
    return "\r\n".join([*lines, "", ""]).encode() + body


@dataclass
class Answer:
    """One answer as its client read it; ``whole`` tells whether it came to its end."""

    status: int
    headers: dict[str, str]
    body: bytes = b""
    whole: bool = False
    informational: list[int] = field(default_factory=list)


class Client:
    """A client's connection; reads by the rules of the protocol, with the bytes kept in order."""

    def __init__(self, stream: SocketStream) -> None:
        self.stream = stream
        self.rest = b""

    async def read(self, method: str = "GET", version: bytes = b"1.1") -> Answer | None:
        """Return the next answer, or None if the connection ends before one begins."""
        state = h11.Connection(h11.CLIENT)
        state.send(h11.Request(method=method, target="/", headers=[("host", "h")]))
        state.send(h11.EndOfMessage())
        state.receive_data(self.rest or b"") if self.rest else None
        answer: Answer | None = None
        early: list[int] = []
        while True:
            try:
                event = state.next_event()
                if event is h11.NEED_DATA:
                    try:
                        state.receive_data(await self.stream.receive())
                    except anyio.EndOfStream:
                        state.receive_data(b"")
                    continue
            except (h11.RemoteProtocolError, anyio.BrokenResourceError):
                return answer
            match event:
                case h11.InformationalResponse(status_code=status):
                    early.append(status)
                case h11.Response(status_code=status, headers=headers):
                    fields = {k.decode(): v.decode() for k, v in headers}
                    answer = Answer(status, fields, informational=early)
                case h11.Data(data=data) if answer:
                    answer.body += bytes(data)
                case h11.EndOfMessage() if answer:
                    answer.whole = True
                    self.rest, _ = state.trailing_data
                    return answer
                case _:
                    return answer

    async def ask(self, request: bytes) -> Answer | None:
        """Send a request and read its answer."""
        await self.stream.send(request)
        return await self.read(request.split(b" ", 1)[0].decode())


class ConnectionCase(unittest.TestCase):
    """A gateway's client port that answers as a test says."""

    def setUp(self) -> None:
        limits = SimpleNamespace(body_bytes=BODY_LIMIT)
        table = SimpleNamespace(config=SimpleNamespace(limits=limits), longest_timeout=30.0)
        self.gateway: Any = make_serving_gateway(table)
        self.held = HeldBytes()
        self.clients: ClientTable | None = None
        self.jobs: list[ClientRequest] = []
        self.refusals: list[Failure] = []

    def make_app(self, serve: Serve) -> ClientApp:
        async def note(job: ClientRequest) -> Outcome:
            self.jobs.append(job)
            return await serve(job)

        forwarder: Any = SimpleNamespace(
            serve=note, note_refusal=lambda job, failure: self.refusals.append(failure)
        )
        return ClientApp(self.gateway, forwarder, self.held)

    def play(self, app: Any, body: Callable[[int], Awaitable[None]], idle: float = 5.0) -> None:
        """Serve an application on a port of loopback while a test's client runs."""

        async def main() -> None:
            raw = socket.create_server(("127.0.0.1", 0), backlog=512)
            port = raw.getsockname()[1]
            config = make_server_config([f"fd://{raw.detach()}"], Tls())
            config.graceful_timeout = 0.1
            config.keep_alive_timeout = idle
            stop = anyio.Event()
            served = app if isinstance(app, Router) else PortRouter({f"127.0.0.1:{port}": app})
            async with anyio.create_task_group() as tasks:
                uncounted = frozenset([f"127.0.0.1:{port}"])
                serve = partial(serve_config, table=self.clients, uncounted=uncounted)
                tasks.start_soon(serve, served, config, stop.wait)
                try:
                    with anyio.fail_after(15):
                        await body(port)
                finally:
                    stop.set()

        anyio.run(main)

    def talk(
        self,
        serve: Serve,
        body: Callable[[Client], Awaitable[None]],
        idle: float = 5.0,
    ) -> None:
        """Serve requests while a test's client uses one connection."""

        async def connect(port: int) -> None:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                await body(Client(stream))

        self.play(self.make_app(serve), connect, idle)

    async def wait_idle(self) -> None:
        """Wait until no request is open."""
        with anyio.fail_after(5):
            while self.gateway.open_requests:
                await anyio.sleep(0.01)


async def serve_path(job: ClientRequest) -> Outcome:
    """Answer with the path, later for the first requests of a test."""
    return Whole(200, ((b"x-path", job.path.encode()),), b"body of " + job.path.encode())


def make_stream(*pieces: bytes | Failure, wait: float = 0.0) -> StreamResponse:
    """Return a stream of these pieces."""

    async def give() -> AsyncGenerator[bytes | Failure, None]:
        for piece in pieces:
            yield piece
            await anyio.sleep(wait)

    async def close() -> None:
        pass

    return StreamResponse(200, (), give(), anyio.current_time() + 5.0, close)


class OrderTest(ConnectionCase):
    """Each answer on a connection is that of its request."""

    def test_pipelined_requests_get_their_own_answers_in_order(self) -> None:
        found: list[Answer | None] = []

        async def serve(job: ClientRequest) -> Outcome:
            await anyio.sleep(0.1 if job.path == "/0" else 0.0)
            return make_stream(b"a", b"b") if job.path == "/1" else await serve_path(job)

        async def body(client: Client) -> None:
            requests = [
                make_request(f"/{n}", "Content-Length: 5", method="POST", body=b"GET /")
                for n in range(6)
            ]
            await client.stream.send(b"".join(requests))
            for _ in requests:
                found.append(await client.read())

        self.talk(serve, body)
        bodies = [answer.body for answer in found if answer and answer.whole]
        others = [b"body of /%d" % n for n in range(2, 6)]
        self.assertEqual(bodies, [b"body of /0", b"ab", *others])
        self.assertEqual([job.body for job in self.jobs], [b"GET /"] * 6)

    def test_body_that_reads_like_a_request_is_not_run(self) -> None:
        inner = make_request("/inner")
        chunked = b"%x\r\n%s\r\n0\r\n\r\n" % (len(inner), inner)

        async def body(client: Client) -> None:
            for framing, sent in (
                (f"Content-Length: {len(inner)}", inner),
                ("Transfer-Encoding: chunked", chunked),
                ("Content-Length: 3\r\nTransfer-Encoding: chunked", chunked),
            ):
                await client.ask(make_request("/outer", framing, method="POST", body=sent))

        self.talk(serve_path, body)
        self.assertEqual({(job.path, job.body) for job in self.jobs}, {("/outer", inner)})

    def test_rest_of_a_refused_body_is_neither_a_request_nor_kept(self) -> None:
        """Refused as too large, and as there is no room for it."""
        for bound in (None, 1000):
            found: list[Answer | None] = []
            self.held.bound = bound
            self.jobs.clear()

            async def body(client: Client, found: list[Answer | None] = found) -> None:
                size = BODY_LIMIT * 2
                inner = make_request("/inner") * 4000
                head = make_request("/outer", f"Content-Length: {size}", method="POST")
                found.append(await client.ask(head + inner[: BODY_LIMIT + 5000]))
                with suppress(*_BROKEN):
                    await client.stream.send(inner + make_request("/next"))
                found.append(await client.read())
                await self.wait_idle()

            with self.subTest(bound):
                self.talk(serve_path, body)
                assert found[0] is not None
                self.assertEqual(found[0].status, 503 if bound else 413)
                self.assertEqual(found[0].headers["connection"], "close")
                self.assertTrue(found[0].whole)
                self.assertIsNone(found[1])
                self.assertEqual(self.jobs, [])
                self.assertEqual(self.held.held, 0)

    def test_client_that_sends_a_refused_body_without_end_is_cut_off(self) -> None:
        sent = 0

        async def body(client: Client) -> None:
            nonlocal sent
            head = make_request("/x", "Transfer-Encoding: chunked", method="POST")
            await client.stream.send(head)
            with anyio.move_on_after(5.0) as scope, suppress(*_BROKEN):
                while True:
                    await client.stream.send(SMALL_CHUNKS)
                    sent += len(SMALL_CHUNKS)
            self.endless = scope.cancelled_caught
            self.open = self.gateway.open_requests

        self.talk(serve_path, body)
        self.assertEqual((self.endless, self.open), (False, 0), sent)
        self.assertEqual(self.jobs, [])

    def test_client_is_told_to_continue_once_and_gets_the_answer(self) -> None:
        found: list[Answer | None] = []

        async def body(client: Client) -> None:
            head = make_request("/x", "Content-Length: 2", "Expect: 100-continue", method="POST")
            await client.stream.send(head)
            await anyio.sleep(0.1)
            found.append(await client.ask(b"ok"))
            found.append(await client.ask(make_request("/y")))

        self.talk(serve_path, body)
        assert found[0] and found[1]
        self.assertEqual((found[0].informational, found[0].body), ([100], b"body of /x"))
        self.assertEqual((found[1].informational, found[1].body), ([], b"body of /y"))


class FramingTest(ConnectionCase):
    """Answers without a body do not take the next answer's bytes, nor give it theirs."""

    def ask_twice(self, outcome: Whole, method: str) -> tuple[Answer, Answer]:
        found: list[Answer | None] = []

        async def serve(job: ClientRequest) -> Outcome:
            return outcome if job.path == "/first" else await serve_path(job)

        async def body(client: Client) -> None:
            first = make_request("/first", "Content-Length: 0", method=method)
            found.append(await client.ask(first))
            found.append(await client.ask(make_request("/next")))

        self.talk(serve, body)
        first, following = found
        assert first and following
        self.assertEqual((following.status, following.body), (200, b"body of /next"))
        self.assertTrue(first.whole)
        return first, following

    def test_answer_to_head_has_no_body_and_no_length_of_an_empty_one(self) -> None:
        for body in (b"", b"never sent"):
            first, _ = self.ask_twice(Whole(200, (), body), "HEAD")
            self.assertEqual(first.body, b"")
            self.assertNotIn("content-length", first.headers)

    def test_no_content_and_not_modified_have_no_length(self) -> None:
        for status in (204, 304):
            for method in ("GET", "POST", "HEAD"):
                with self.subTest(f"{method} {status}"):
                    first, _ = self.ask_twice(Whole(status, (), b""), method)
                    self.assertEqual((first.status, first.body), (status, b""))
                    self.assertNotIn("content-length", first.headers)
                    self.assertNotIn("transfer-encoding", first.headers)

    def test_router_names_no_length_where_there_is_no_body(self) -> None:
        found: list[Answer | None] = []
        router = Router(BODY_LIMIT)

        async def serve(request: Request) -> Response:
            return Response(int(request.tail))

        async def body(port: int) -> None:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                for method, status in (("GET", 204), ("POST", 304), ("HEAD", 200)):
                    request = make_request(f"/x/{status}", "Content-Length: 0", method=method)
                    found.append(await Client(stream).ask(request))

        router.add("*", "/x/", serve)
        self.play(router, body)
        for got in found:
            assert got is not None
            self.assertTrue(got.whole)
            self.assertNotIn("content-length", got.headers)

    def test_empty_answer_of_another_status_has_the_length_zero(self) -> None:
        for status in (200, 205, 404, 500):
            first, _ = self.ask_twice(Whole(status, (), b""), "GET")
            self.assertEqual(first.headers["content-length"], "0")

    def test_stream_to_head_has_no_pieces(self) -> None:
        found: list[Answer | None] = []

        async def serve(job: ClientRequest) -> Outcome:
            return make_stream(b"a", b"b") if job.method == "HEAD" else await serve_path(job)

        async def body(client: Client) -> None:
            found.append(await client.ask(make_request("/x", method="HEAD")))
            found.append(await client.ask(make_request("/y")))

        self.talk(serve, body)
        assert found[0] and found[1]
        self.assertEqual((found[0].body, found[1].body), (b"", b"body of /y"))


class EarlyEndTest(ConnectionCase):
    """An answer that ended early does not look complete."""

    def read_one(self, serve: Serve, request: bytes, read: float = 0.0) -> Answer | None:
        found: list[Answer | None] = []

        async def body(client: Client) -> None:
            await client.stream.send(request)
            await anyio.sleep(read)
            found.append(await client.read(request.split(b" ", 1)[0].decode()))
            self.assertIsNone(await client.read())

        self.talk(serve, body)
        return found[0]

    def test_stream_that_is_broken_off_is_not_complete(self) -> None:
        for pieces in ((LOST,), (b"a", LOST), (b"a", b"b", LOST)):
            with self.subTest(pieces):

                async def serve(job: ClientRequest, pieces: Any = pieces) -> Outcome:
                    return make_stream(*pieces)

                answer = self.read_one(serve, make_request("/x"))
                assert answer is not None
                self.assertFalse(answer.whole)

    def test_stream_that_raises_or_outlasts_its_deadline_is_not_complete(self) -> None:
        async def raise_late() -> AsyncGenerator[bytes | Failure, None]:
            yield b"a"
            raise ValueError("unexpected")

        async def stall() -> AsyncGenerator[bytes | Failure, None]:
            yield b"a"
            await anyio.sleep(9.0)

        async def close() -> None:
            pass

        for give in (raise_late, stall):
            with self.subTest(give.__name__):

                async def serve(job: ClientRequest, give: Any = give) -> Outcome:
                    return StreamResponse(200, (), give(), anyio.current_time() + 0.2, close)

                answer = self.read_one(serve, make_request("/x"))
                assert answer is not None
                self.assertEqual((answer.body, answer.whole), (b"a", False))

    def test_whole_answer_that_is_cut_at_its_deadline_is_not_complete(self) -> None:
        async def serve(job: ClientRequest) -> Outcome:
            return Whole(200, (), bytes(12_000_000))

        request = make_request("/x", "X-Daleroad-Deadline-Ms: 100")
        answer = self.read_one(serve, request, read=1.5)
        assert answer is not None
        self.assertFalse(answer.whole)

    def test_interrupted_stream_does_not_look_complete_to_an_old_client(self) -> None:
        """A client of HTTP/1.0 reads a body without length to the connection's end."""

        async def serve(job: ClientRequest) -> Outcome:
            return make_stream(b"a", LOST)

        for version, sent in ((b"HTTP/1.0", b""), (b"HTTP/1.0", b"x" * 10), (b"HTTP/0.9", b"")):
            request = make_request("/x", f"Content-Length: {len(sent)}", method="POST", body=sent)
            answer = self.read_one(serve, request.replace(b"HTTP/1.1", version))
            assert answer is not None
            self.assertEqual((answer.status, answer.whole), (400, True))
        self.assertEqual(self.jobs, [])

    def test_client_of_http2_is_sent_away_before_its_first_request(self) -> None:
        """By prior knowledge; a stream that broke off would leave it waiting."""
        events: list[h2.events.Event] = []

        async def serve(job: ClientRequest) -> Outcome:
            return make_stream(b"a", LOST)

        async def body(client: Client) -> None:
            state = h2.connection.H2Connection()
            state.initiate_connection()
            head = [(":method", "GET"), (":path", "/x"), (":scheme", "http"), (":authority", "h")]
            state.send_headers(1, [*head, ("x-daleroad-attempt-id", "x")], end_stream=True)
            await client.stream.send(state.data_to_send())
            with anyio.fail_after(2.0), suppress(*_BROKEN):
                while True:
                    events.extend(state.receive_data(await client.stream.receive()))

        self.talk(serve, body)
        (end,) = [e for e in events if isinstance(e, h2.events.ConnectionTerminated)]
        self.assertEqual(end.error_code, h2.errors.ErrorCodes.HTTP_1_1_REQUIRED)
        self.assertEqual((end.last_stream_id, self.jobs), (0, []))
        answers = [event for event in events if isinstance(event, h2.events.ResponseReceived)]
        self.assertEqual(answers, [])

    def test_request_for_a_tunnel_is_refused_on_any_listener(self) -> None:
        """The library would take the rest of the connection for the tunnel's bytes."""
        for app in (self.make_app(serve_path), ReadinessApp(self.gateway), Router(BODY_LIMIT)):
            found: list[Answer | None] = []

            async def body(port: int, found: list[Answer | None] = found) -> None:
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    client = Client(stream)
                    await stream.send(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n")
                    found.append(await client.read())
                    found.append(await client.read())

            self.play(app, body)
            assert found[0] is not None
            self.assertEqual((found[0].status, found[0].whole, found[1]), (400, True, None))
        self.assertEqual(self.jobs, [])

    def test_request_to_upgrade_is_served_in_http1(self) -> None:
        """As if it had not asked (RFC 9110, 7.8)."""
        websocket = ("Connection: Upgrade", "Upgrade: websocket", "Sec-WebSocket-Version: 13")
        websocket += ("Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==",)
        http2 = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMAAABk")
        for wanted in (websocket, http2):
            found: list[Answer | None] = []

            async def body(
                client: Client,
                wanted: tuple[str, ...] = wanted,
                found: list[Answer | None] = found,
            ) -> None:
                found.append(await client.ask(make_request("/x", *wanted)))
                found.append(await client.ask(make_request("/y")))

            self.talk(serve_path, body)
            assert found[0] and found[1]
            self.assertEqual((found[0].status, found[0].body), (200, b"body of /x"))
            self.assertEqual((found[0].informational, found[1].body), ([], b"body of /y"))

    def test_request_that_raises_is_no_success(self) -> None:
        async def serve(job: ClientRequest) -> Outcome:
            raise ValueError("unexpected")

        answer = self.read_one(serve, make_request("/x"))
        assert answer is not None
        self.assertEqual((answer.status, answer.body), (500, b""))

    def test_client_that_half_closes_gets_nothing_that_looks_complete(self) -> None:
        cancelled: list[str] = []

        async def serve(job: ClientRequest) -> Outcome:
            try:
                await anyio.sleep(1.0)
            finally:
                cancelled.append(job.path)
            return await serve_path(job)

        found: list[Answer | None] = []

        async def body(client: Client) -> None:
            await client.stream.send(make_request("/x"))
            await anyio.sleep(0.1)
            await client.stream.send_eof()
            found.append(await client.read())
            await self.wait_idle()

        self.talk(serve, body)
        self.assertEqual(found, [None])
        self.assertEqual(cancelled, ["/x"])

    def test_client_that_half_closes_inside_a_stream_does_not_take_it_as_complete(self) -> None:
        found: list[Answer | None] = []

        async def serve(job: ClientRequest) -> Outcome:
            return make_stream(*[b"piece"] * 40, wait=0.05)

        async def body(client: Client) -> None:
            await client.stream.send(make_request("/x"))
            await anyio.sleep(0.2)
            await client.stream.send_eof()
            found.append(await client.read())
            await self.wait_idle()

        self.talk(serve, body)
        assert found[0] is not None
        self.assertFalse(found[0].whole)


class UnreadBodyTest(ConnectionCase):
    """A request that is answered before its body was read leaves no connection that hangs."""

    def ask_with_unread_body(self, app: Any, path: str) -> None:
        found: list[Answer | None] = []

        async def body(port: int) -> None:
            async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                client = Client(stream)
                head = make_request(path, "Transfer-Encoding: chunked", method="POST")
                for _ in range(2):
                    with anyio.move_on_after(2.0) as scope, suppress(*_BROKEN):
                        found.append(await client.ask(head + SMALL_CHUNKS + b"0\r\n\r\n"))
                    self.hung = scope.cancelled_caught

        self.play(app, body)
        assert found[0] is not None
        self.assertFalse(self.hung)

    def test_readiness_check_with_a_body(self) -> None:
        self.ask_with_unread_body(ReadinessApp(self.gateway), "/-/readyz")

    def test_router_that_knows_no_such_path(self) -> None:
        self.ask_with_unread_body(Router(BODY_LIMIT), "/nowhere")

    def test_router_that_refuses_a_body_as_too_large(self) -> None:
        async def serve(request: Request) -> Response:
            return Response(200)

        router = Router(20)
        router.add("*", "/x", serve)
        self.ask_with_unread_body(router, "/x")


class UpstreamStatusTest(unittest.TestCase):
    """No status below 200 of an upstream becomes an answer."""

    def send(self, sent: bytes) -> Reply:
        async def main() -> Reply:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(SocketAttribute.local_port)
            instance = replace(make_instance(1), address=f"127.0.0.1:{port}")

            async def handle(stream: SocketStream) -> None:
                async with stream:
                    await stream.receive()
                    await stream.send(sent)

            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, handle)
                attempt = Attempt(replace(make_job(0.0), id="abc"), instance, "", 5.0)
                with anyio.fail_after(10):
                    reply = await EngineClient().send(attempt)
                tasks.cancel_scope.cancel()
            return reply

        return anyio.run(main)

    def test_informational_responses_are_neither_answers_nor_in_their_way(self) -> None:
        statuses = ("100 Continue", "103 Early Hints", "199 Odd")
        early = b"".join(make_answer(status, *SIGNED, body=b"") for status in statuses)
        reply = self.send(early + make_answer("200 OK", *SIGNED))
        assert isinstance(reply, Whole), reply
        self.assertEqual((reply.status, reply.body), (200, b"ok"))

    def test_informational_response_that_is_the_last_is_no_answer(self) -> None:
        for status in ("100 Continue", "101 Switching Protocols", "199 Odd", "099 Odd"):
            with self.subTest(status):
                upgrade = ("Upgrade: x", "Connection: upgrade")
                reply = self.send(make_answer(status, *SIGNED, *upgrade, body=b""))
                self.assertIsInstance(reply, Lost)


class SlowClientTest(ConnectionCase):
    """What a client may hold, and for how long."""

    def test_client_that_never_sends_its_body_holds_nothing_beyond_its_deadline(self) -> None:
        found: list[Answer | None] = []
        begun = 0.0
        self.held.bound = 10_000_000

        async def body(client: Client) -> None:
            nonlocal begun
            begun = anyio.current_time()
            head = make_request(
                "/x", "Content-Length: 90000", "X-Daleroad-Deadline-Ms: 300", method="POST"
            )
            await client.stream.send(head + b"part")
            await anyio.sleep(0.1)
            self.assertGreater(self.held.held, 0)
            with anyio.move_on_after(4.0):
                found.append(await client.read())

        self.talk(serve_path, body)
        assert found and found[0], "still held"
        self.assertEqual((found[0].status, found[0].headers["connection"]), (504, "close"))
        self.assertEqual((self.jobs, self.held.held), ([], 0))

    def test_body_has_no_longer_than_the_longest_timeout_of_a_route(self) -> None:
        found: list[Answer | None] = []
        self.gateway.table.longest_timeout = 0.3

        async def body(client: Client) -> None:
            head = make_request(
                "/x", "Content-Length: 90000", "X-Daleroad-Deadline-Ms: 999999999", method="POST"
            )
            await client.stream.send(head)
            with anyio.move_on_after(4.0), suppress(*_BROKEN):
                while not found:
                    await client.stream.send(b"part")
                    with anyio.move_on_after(0.1):
                        found.append(await client.read())

        self.talk(serve_path, body)
        assert found and found[0], "still read"
        self.assertEqual((found[0].status, found[0].headers["connection"]), (504, "close"))
        self.assertEqual((self.jobs, self.held.held), ([], 0))

    def test_head_is_bounded_in_size_and_time(self) -> None:
        found: list[Answer | None] = []

        async def body(client: Client) -> None:
            with suppress(*_BROKEN):
                for _ in range(100):
                    await client.stream.send(b"X-A: b\r\n" * 1000)
            found.append(await client.read())

        async def dawdle(client: Client) -> None:
            with suppress(*_BROKEN):
                for letter in make_request("/x"):
                    await client.stream.send(bytes([letter]))
                    await anyio.sleep(0.1)
            found.append(await client.read())

        self.talk(serve_path, body)
        self.talk(serve_path, dawdle, idle=0.5)
        self.assertTrue(found[0] is None or found[0].status in (400, 431), found[0])
        self.assertIsNone(found[1])
        self.assertEqual(self.jobs, [])

    def test_head_above_the_limit_is_refused_also_if_it_comes_at_once(self) -> None:
        found: list[Answer | None] = []

        async def body(client: Client) -> None:
            found.append(await client.ask(make_request("/x", "X-Long: " + "v" * 16_500)))
            found.append(await client.read())

        self.talk(serve_path, body)
        assert found[0] is not None
        self.assertEqual((found[0].status, found[0].whole, found[1]), (431, True, None))
        self.assertEqual(self.jobs, [])

    def test_body_in_many_small_chunks_takes_no_more_room_than_in_one(self) -> None:
        size = 1_000_000
        part = bytearray(b"xy")

        async def main(read: Callable[..., Awaitable[Any]]) -> int:
            left = size

            async def receive() -> dict[str, Any]:
                nonlocal left
                left -= len(part)
                return {"type": "http.request", "body": bytes(part), "more_body": left > 0}

            tracemalloc.start()
            try:
                found = await read(receive)
                self.assertEqual(len(found), size)
                return tracemalloc.get_traced_memory()[1]
            finally:
                tracemalloc.stop()

        for read in (partial(read_body, limit=size), Router(size)._read_body):
            self.assertLess(anyio.run(main, read), 4 * size)

    def test_many_connections_at_once_are_all_served(self) -> None:
        found: list[Answer | None] = []

        async def body(port: int) -> None:
            async def ask(number: int) -> None:
                async with await anyio.connect_tcp("127.0.0.1", port) as stream:
                    client = Client(stream)
                    for _ in range(2):
                        answer = await client.ask(make_request(f"/{number}"))
                        if answer and answer.body == b"body of /%d" % number:
                            found.append(answer)

            async with anyio.create_task_group() as tasks:
                for number in range(300):
                    tasks.start_soon(ask, number)

        self.play(self.make_app(serve_path), body)
        self.assertEqual(len(found), 600)


if __name__ == "__main__":
    unittest.main()
