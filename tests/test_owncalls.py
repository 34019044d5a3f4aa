"""Tests of our own HTTP calls before upstreams that send what belongs to no request.

An upstream may send a response twice, cut or whole, send without end, or end early.
"""

import gzip
import subprocess
import sys
import tempfile
import unittest
from collections.abc import Awaitable, Callable, Iterable
from contextlib import aclosing
from dataclasses import replace
from random import Random
from typing import Any
from unittest import mock

import anyio
from anyio.abc import SocketAttribute, SocketStream

from daleroad import records
from daleroad.boundedheads import HEAD_BYTES
from daleroad.caller import Caller, CallerPart
from daleroad.catalog import Catalog
from daleroad.channels import ChannelCalls
from daleroad.codec import encode
from daleroad.daleroad_pb import Announcement, LocateAnswer, ReadAnswer, Report
from daleroad.delivery import UNDELIVERED_BYTES, TokenSequence
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.frames import Frame, FrameWriter
from daleroad.links import Links
from daleroad.loopback import make_site
from daleroad.messages import EngineCompletion, EngineState, Forbidden
from daleroad.operating import OperatorClient
from daleroad.orderdelivery import OrderSender
from daleroad.orders import DesiredModels
from daleroad.relay import (
    EngineStream,
    StreamEnded,
    StreamFailed,
    StreamPart,
    cancel_generation,
)
from daleroad.requestholds import RequestHolds
from daleroad.security import hash_token
from daleroad.services import ANSWER_BYTES, PlainCalls
from daleroad.serving import Answer, Request, make_response
from daleroad.settings import Tls
from daleroad.standin import Announcer

LIMIT_SECONDS = 20.0
ROUTE = records.Route("r", "p", "s", repeatable=True, deadline=4.0)
HASTY_ROUTE = replace(ROUTE, deadline=0.5)
STALL_SECONDS = 0.5
CALL_SECONDS = 0.5
SOCKET_BYTES = 12_000_000
"""The most that the buffers of two sockets take of what nobody reads."""

ENDLESS_BYTES = 60_000_000
"""More than all bounds and the buffers of two sockets; who has sent as much was read on and on."""


def make_answer(
    body: bytes, *headers: str, status: str = "200 OK", length: int | None = None
) -> bytes:
    size = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status}", f"Content-Length: {size}", *headers, "", ""]
    return "\r\n".join(lines).encode() + body


def make_open_answers(status: str = "200 OK") -> dict[str, tuple[bytes, bytes]]:
    """Return heads of responses without end, and what follows them again and again."""
    data = b"x" * 60_000
    head = f"HTTP/1.1 {status}\r\n"
    return {
        "long": (f"{head}Content-Length: {10**12}\r\n\r\n".encode(), data),
        "chunked": (
            f"{head}Transfer-Encoding: chunked\r\n\r\n".encode(),
            f"{len(data):x}\r\n".encode() + data + b"\r\n",
        ),
        "undelimited": (f"{head}\r\n".encode(), data),
        "head": (f"{head}X: ".encode(), data),
        "trailers": (f"{head}Transfer-Encoding: chunked\r\n\r\n0\r\nX: ".encode(), data),
    }


def make_refusal(ran: Ran) -> bytes:
    response = make_response(Failure(FailureKind.DRAINING, "leaving", ran))
    return make_answer(response.body, status=f"{response.status} No")


def make_events(generation: str, count: int) -> bytes:
    tokens = [f'id: {generation}:{i}\ndata: {{"text":"t"}}\n\n' for i in range(count)]
    return "".join([*tokens, f"event: end\nid: {generation}:{count}\ndata: {{}}\n\n"]).encode()


class Upstream:
    """Fake upstream that answers each request with prepared bytes.

    :param answers: one for each request, over all connections.
    :param surplus: returns what is sent behind an answer, as part of the same write.
    :param late: whether the surplus comes only once the next request on the connection is read.
    :param endless: sent behind the last answer until the caller closes, or ENDLESS_BYTES are sent.
    :param pause: seconds between two of these.
    :param hangs: whether the connection stays open, rather than ends, behind the last answer.
    """

    def __init__(
        self,
        *answers: bytes,
        surplus: Callable[[bytes], bytes] = lambda answer: b"",
        late: bool = False,
        endless: bytes = b"",
        pause: float = 0.0,
        hangs: bool = True,
    ) -> None:
        self.answers = list(answers)
        self.heads: list[bytes] = []
        self.connections = 0
        self.sent = 0
        self._surplus = surplus
        self._late = late
        self._endless = endless
        self._pause = pause
        self._hangs = hangs

    async def handle(self, stream: SocketStream) -> None:
        """Serve one connection."""
        self.connections += 1
        left = b""
        try:
            async with stream:
                while await self._read_request(stream):
                    answer = self.answers.pop(0) if self.answers else b""
                    surplus = self._surplus(answer)
                    await stream.send(left + answer + (b"" if self._late else surplus))
                    left = surplus if self._late else b""
                    if not self.answers:
                        await self._send_endlessly(stream)
                        if not self._hangs:
                            return
        except (anyio.BrokenResourceError, anyio.EndOfStream):
            return

    async def _read_request(self, stream: SocketStream) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            try:
                data += await stream.receive()
            except anyio.EndOfStream:
                return False
        head, _, body = data.partition(b"\r\n\r\n")
        fields = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        length = sum(int(value) for name, _, value in fields if name == b"content-length")
        while len(body) < length:
            body += await stream.receive()
        self.heads.append(head)
        return True

    async def _send_endlessly(self, stream: SocketStream) -> None:
        while self._endless and self.sent < ENDLESS_BYTES:
            await anyio.sleep(self._pause)
            await stream.send(self._endless)
            self.sent += len(self._endless)


class OwnCallsTest(unittest.TestCase):
    """Plays an upstream and our side of the calls to it."""

    def play(self, upstream: Upstream, body: Callable[[str], Awaitable[None]]) -> None:
        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            url = f"http://127.0.0.1:{listener.extra(SocketAttribute.local_port)}"
            with anyio.fail_after(LIMIT_SECONDS):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(listener.serve, upstream.handle)
                    self.links = Links(Tls(), "secret")
                    await body(url)
                    await self.links.close()
                    tasks.cancel_scope.cancel()
            await listener.aclose()

        anyio.run(main)

    def call_service(
        self, upstream: Upstream, count: int = 1, method: str = "GET", **headers: str
    ) -> list[Answer]:
        """Return the answers of an upstream of a plain service to one call after the other."""
        found: list[Answer] = []

        async def body(url: str) -> None:
            env = Environment(make_site("data").entries[0], self.links, Random(1))
            organisation = records.Organisation("o", "p", hash_token("token"))
            env.catalog.store(1, "Organisation", "o", organisation)
            env.catalog.store(2, "Route", "r", ROUTE)
            env.budget.try_acquire = lambda: False
            calls = PlainCalls(env, RequestHolds(env))
            known = records.Upstream("u", url, "s", "z", 1, 1, ())
            with mock.patch.object(env.directory, "list_upstreams", return_value=[known]):
                for number in range(count):
                    path, given = f"r/{number}", {"authorization": "Bearer token", **headers}
                    request = Request(method, f"/services/{path}", path, "", given, b"")
                    found.append(await calls.serve(request))

        self.play(upstream, body)
        return found

    def generate(self, upstream: Upstream, count: int = 1, urgent: bool = True) -> list[StreamPart]:
        """Return the last parts of generations g0, g1, ..."""
        found: list[StreamPart] = []

        async def body(url: str) -> None:
            for number in range(count):
                name = f"g{number}"
                stream = EngineStream(
                    self.links, url, TokenSequence(name), STALL_SECONDS, urgent, Random(1)
                )
                async with aclosing(stream.start(EngineCompletion(name, "m", "p", 8, 1))) as parts:
                    found.append([part async for part in parts][-1])

        with mock.patch("daleroad.relay.MAX_RESUME_TRIES", 0):
            self.play(upstream, body)
        return found

    def cancel(self, upstream: Upstream, count: int = 1) -> list[Forbidden | Failure]:
        """Return the answers to cancellations."""
        found: list[Forbidden | Failure] = []

        async def body(url: str) -> None:
            for number in range(count):
                found.append(await cancel_generation(self.links, url, f"g{number}"))

        self.play(upstream, body)
        return found

    def send_orders(self, upstream: Upstream, count: int = 1) -> list[EngineState | None]:
        """Return the states that were read back after orders."""
        found: list[EngineState | None] = []

        async def body(url: str) -> None:
            known = records.Upstream("u", url, "s", "z", 1, 1, ())
            sender = OrderSender(make_site("data").control[0], self.links, Catalog(), 0.0)
            sender._scheduler.confirm = lambda order, state: found.append(state)  # type: ignore
            for number in range(count):
                await sender._send(DesiredModels("u", ("m",), number), known)

        self.play(upstream, body)
        return found


def repeat(answer: bytes) -> bytes:
    return answer


def cut_in_head(answer: bytes) -> bytes:
    return answer[: answer.index(b"\r\n\r\n") - 3]


def follow_with_bytes(answer: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nforeign"


class SurplusTest(OwnCallsTest):
    """What comes behind a response must not answer the next call."""

    def check_each(self, answers: Iterable[bytes], check: Callable[[Upstream], None]) -> None:
        """Check with each kind of surplus behind each answer, in its write or late."""
        for surplus in (repeat, cut_in_head, follow_with_bytes):
            for late in (False, True):
                with self.subTest(surplus=surplus.__name__, late=late):
                    check(Upstream(*answers, surplus=surplus, late=late))

    def test_a_service_call_is_not_answered_by_an_earlier_response(self) -> None:
        for method in ("GET", "POST"):

            def check(upstream: Upstream, method: str = method) -> None:
                found = self.call_service(upstream, 2, method)
                bodies = [getattr(answer, "body", b"") for answer in found]
                self.assertEqual(bodies, [b"answer 0", b"answer 1"], found)

            self.check_each([make_answer(b"answer 0"), make_answer(b"answer 1")], check)

    def test_a_head_request_is_not_answered_by_an_earlier_response(self) -> None:
        def check(upstream: Upstream) -> None:
            found = self.call_service(upstream, 2, "HEAD")
            types = [getattr(answer, "content_type", "") for answer in found]
            self.assertEqual(types, ["x/0", "x/1"], found)

        answers = [make_answer(b"", f"Content-Type: x/{number}", length=5) for number in range(2)]
        self.check_each(answers, check)

    def test_a_call_is_not_answered_by_what_follows_a_response_without_a_body(self) -> None:
        def check(upstream: Upstream) -> None:
            found = self.call_service(upstream, 2)
            self.assertEqual(getattr(found[1], "body", b""), b"answer 1", found)

        for status in ("204 No Content", "304 Not Modified"):
            self.check_each(
                [f"HTTP/1.1 {status}\r\n\r\n".encode(), make_answer(b"answer 1")], check
            )

    def test_a_generation_that_runs_is_not_refused_as_not_run_by_an_earlier_refusal(self) -> None:
        for urgent in (False, True):

            def check(upstream: Upstream, urgent: bool = urgent) -> None:
                found = self.generate(upstream, 2, urgent)
                self.assertIsInstance(found[0], StreamFailed)
                self.assertIsInstance(found[1], StreamEnded, found)

            self.check_each([make_refusal(Ran.NO), make_answer(make_events("g1", 3))], check)

    def test_a_running_generation_is_not_taken_for_unseen_by_an_earlier_cancellation(self) -> None:
        def check(upstream: Upstream) -> None:
            found = self.cancel(upstream, 2)
            self.assertEqual(found, [Forbidden("unseen"), Forbidden("running")])

        states = ("unseen", "running")
        self.check_each([make_answer(encode(Forbidden(state))) for state in states], check)

    def test_an_order_is_not_confirmed_by_an_earlier_state(self) -> None:
        states = [EngineState(1, ("old",)), EngineState(2, ("new",))]

        def check(upstream: Upstream) -> None:
            self.assertEqual(self.send_orders(upstream), [states[1]])

        self.check_each([make_answer(encode(state)) for state in states], check)

    def test_a_call_does_not_carry_what_an_earlier_response_has_set(self) -> None:
        answers = [make_answer(b"a", "Set-Cookie: session=of-another; Path=/")] * 2
        for path in (self.call_service, self.generate, self.cancel):
            upstream = Upstream(*answers)
            with self.subTest(path.__name__):
                path(upstream, 2)
                self.assertGreater(len(upstream.heads), 1)
                self.assertNotIn(b"of-another", b"".join(upstream.heads))

    def test_a_call_carries_the_cookies_of_its_caller(self) -> None:
        upstream = Upstream(make_answer(b"a"))
        self.call_service(upstream, cookie="session=mine")
        self.assertIn(b"session=mine", upstream.heads[0])

    def test_calls_at_a_time_get_their_own_answers_and_connections(self) -> None:
        rounds, count = 3, 20
        upstream = Upstream(*[make_answer(b"{}")] * rounds * count, surplus=repeat)

        async def body(url: str) -> None:
            for _ in range(rounds):
                async with anyio.create_task_group() as tasks:
                    for _ in range(count):
                        tasks.start_soon(self.links.urgent.get, url)

        self.play(upstream, body)
        self.assertEqual(upstream.connections, rounds * count)


class BoundTest(OwnCallsTest):
    """Responses without end, or that take for ever, end in a failure."""

    def check_each(self, check: Callable[[Upstream], None], status: str = "200 OK") -> None:
        for name, (head, endless) in make_open_answers(status).items():
            with self.subTest(name):
                upstream = Upstream(head, endless=endless)
                check(upstream)
                self.assertLess(upstream.sent, ENDLESS_BYTES)

    def check_service(self, upstream: Upstream, reason: str) -> None:
        found = self.call_service(upstream)[0]
        self.assertIsInstance(found, Failure)
        self.assertIs(found.ran, Ran.UNKNOWN)
        self.assertIn(reason, found.reason)

    def test_a_service_that_answers_without_end_is_not_read_on(self) -> None:
        def check(upstream: Upstream) -> None:
            self.check_service(upstream, "")

        self.check_each(check)

    def test_a_service_that_answers_too_much_may_have_run(self) -> None:
        upstream = Upstream(make_answer(b"x" * (ANSWER_BYTES + 1)))
        self.check_service(upstream, f"larger than {ANSWER_BYTES} bytes")
        found = self.call_service(Upstream(make_answer(b"x" * ANSWER_BYTES)))[0]
        self.assertEqual(getattr(found, "status", 0), 200, found)

    def test_an_answer_that_unpacks_without_end_is_not_unpacked(self) -> None:
        packed = gzip.compress(bytes(ENDLESS_BYTES))
        upstream = Upstream(make_answer(packed, "Content-Encoding: gzip"))
        self.check_service(upstream, f"larger than {ANSWER_BYTES} bytes")

    def test_an_answer_comes_plain_though_its_caller_reads_packed_ones(self) -> None:
        given = {"accept-encoding": "gzip, br"}
        for encoding, body in (("gzip", gzip.compress(b"plain")), ("identity", b"plain")):
            upstream = Upstream(make_answer(body, f"Content-Encoding: {encoding}"))
            found = self.call_service(upstream, **given)[0]
            self.assertEqual(getattr(found, "body", b""), b"plain", found)
            self.assertIn(b"accept-encoding: identity", upstream.heads[0].lower())
        self.check_service(
            Upstream(make_answer(b"?", "Content-Encoding: br")), "unknown encoding br"
        )

    def test_a_cancellation_ends_though_its_answer_does_not(self) -> None:
        def check(upstream: Upstream) -> None:
            found = self.cancel(upstream)[0]
            self.assertIsInstance(found, Failure)
            self.assertIs(found.ran, Ran.UNKNOWN)

        self.check_each(check)
        self.check_each(check, "503 No")

    def test_a_cancellation_ends_though_its_answer_comes_byte_by_byte(self) -> None:
        starts = {
            b"HTTP/1.1 200 OK\r\nX: ": b"x",
            b"HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n": b"x",
            b"HTTP/1.1 100 Continue\r\n\r\n": b"HTTP/1.1 100 Continue\r\n\r\n",
        }
        for start, endless in starts.items():
            upstream = Upstream(start, endless=endless, pause=CALL_SECONDS / 5)
            with (
                self.subTest(start),
                mock.patch("daleroad.relay.CALL_TIMEOUT_SECONDS", CALL_SECONDS),
            ):
                found = self.cancel(upstream)[0]
                self.assertIsInstance(found, Failure)
                self.assertIs(found.ran, Ran.UNKNOWN)

    def test_interim_responses_without_end_are_not_read_until_the_deadline(self) -> None:
        for call in (self.call_service, self.generate, self.cancel, self.send_orders):
            upstream = Upstream(b"", endless=b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)
            with self.subTest(call.__name__), mock.patch("daleroad.orderdelivery.log_event") as log:
                found = call(upstream)[0]
                found = getattr(found, "failure", found)
                reason = found.reason if found else str(log.call_args)
                self.assertIn("no whole head", reason)
                self.assertIs(getattr(found, "ran", Ran.UNKNOWN), Ran.UNKNOWN)

    def test_some_interim_responses_are_passed_over(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nX: " + b"x" * 1000 + b"\r\n\r\n"
        upstream = Upstream(interim * 20 + make_answer(b"x" * HEAD_BYTES * 3))
        found = self.call_service(upstream)[0]
        self.assertEqual(len(getattr(found, "body", b"")), HEAD_BYTES * 3, found)

    def test_an_order_is_not_confirmed_by_a_state_without_end(self) -> None:
        def check(upstream: Upstream) -> None:
            upstream.answers.insert(0, make_answer(b"{}"))
            self.assertEqual(self.send_orders(upstream), [None])

        self.check_each(check)

    def test_a_generation_refused_without_end_may_have_run(self) -> None:
        def check(upstream: Upstream) -> None:
            found = self.generate(upstream)[0]
            self.assertIsInstance(found, StreamFailed)
            self.assertIs(found.failure.ran, Ran.UNKNOWN)

        self.check_each(check, "503 No")

    def test_a_generation_whose_refusal_is_silent_may_have_run(self) -> None:
        for start in (b"HTTP/1.1 503 No\r\nContent-Length: 9\r\n\r\n{", b"HTTP/1.1 503 No\r\n"):
            with self.subTest(start):
                found = self.generate(Upstream(start))[0]
                self.assertIsInstance(found, StreamFailed)
                self.assertIs(found.failure.ran, Ran.UNKNOWN)

    def test_a_refusal_that_is_no_whole_problem_document_may_have_run(self) -> None:
        whole = make_refusal(Ran.NO).partition(b"\r\n\r\n")[2]
        head = b"HTTP/1.1 503 No\r\n"
        cases = {
            "page": make_answer(b"<html>Bad Gateway</html>", status="502 Bad Gateway"),
            "empty": make_answer(b"", status="503 No"),
            "other": make_answer(b"{}", status="503 No"),
            "list": make_answer(b"[]", status="503 No"),
            "cut": make_answer(whole[:-4], status="503 No", length=len(whole)),
            "cut without length": head + b"\r\n" + whole[:-4],
            "cut in head": head + b"Content-Le",
        }
        for name, answer in cases.items():
            with self.subTest(name):
                found = self.generate(Upstream(answer, hangs=False))[0]
                self.assertIsInstance(found, StreamFailed)
                self.assertIs(found.failure.ran, Ran.UNKNOWN)
        found = self.generate(Upstream(head + b"\r\n" + whole, hangs=False))[0]
        self.assertIs(found.failure.ran, Ran.NO)

    def test_a_pause_that_is_no_number_of_seconds_is_ignored(self) -> None:
        for value in ('"soon"', "-1", "1e300", "[]", "true"):
            body = b'{"title":"draining","ran":"no","retry_after":%s}' % value.encode()
            with self.subTest(value):
                found = self.generate(Upstream(make_answer(body, status="503 No")))[0]
                self.assertEqual(found.failure, Failure(FailureKind.UPSTREAM_REFUSED, "draining: "))


class CutTest(OwnCallsTest):
    """A cut response is a loss; one that has no body by its kind is none."""

    CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    CUT = (
        b"",
        b"HTTP/1.1 2",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n",
        make_answer(b"{", length=2),
        CHUNKED + b"2\r\n{",
        CHUNKED + b"2\r\n{}\r\n",
        CHUNKED + b"2\r\n{}\r\n0\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n{}",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n{}",
        b"\x00\x01\x02\r\n\r\n",
    )

    def test_a_call_whose_response_is_cut_or_none_may_have_run(self) -> None:
        for call in (self.call_service, self.cancel):
            for start in self.CUT:
                with self.subTest(call.__name__, start=start):
                    found = call(Upstream(start, hangs=False))[0]
                    self.assertIsInstance(found, Failure)
                    self.assertIs(found.ran, Ran.UNKNOWN)

    def test_a_call_whose_connection_hangs_may_have_run(self) -> None:
        for start in (b"", make_answer(b"{", length=2), self.CHUNKED):
            with self.subTest(start), mock.patch("tests.test_owncalls.ROUTE", HASTY_ROUTE):
                found = self.call_service(Upstream(start))[0]
                self.assertIsInstance(found, Failure)
                self.assertEqual((found.kind, found.ran), (FailureKind.DEADLINE, Ran.UNKNOWN))

    def test_responses_without_a_body_by_their_kind_are_whole(self) -> None:
        empty = make_answer(b"", "Content-Encoding: gzip", length=5)
        no_body = b"HTTP/1.1 %s\r\nContent-Length: 5\r\n\r\n"
        cases = (("HEAD", empty, 200), ("GET", no_body % b"204 No Content", 204))
        for method, start, status in (*cases, ("GET", no_body % b"304 Not Modified", 304)):
            for surplus in (b"", b"12345"):
                with self.subTest(method, status=status, surplus=surplus):
                    found = self.call_service(Upstream(start + surplus), 1, method)[0]
                    self.assertEqual((getattr(found, "status", 0), found.body), (status, b""))


class StreamTest(OwnCallsTest):
    """A stream is read on only while it brings tokens."""

    HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

    def check_stream(self, upstream: Upstream) -> None:
        found = self.generate(upstream)[0]
        self.assertIsInstance(found, StreamFailed)
        self.assertIs(found.failure.ran, Ran.UNKNOWN)
        self.assertLess(upstream.sent, ENDLESS_BYTES)

    def test_an_event_without_end_is_not_kept(self) -> None:
        self.check_stream(Upstream(self.HEAD + b"id: g0:0\ndata: ", endless=b"x" * 60_000))

    def test_events_of_other_generations_without_end_are_not_read_on(self) -> None:
        events = make_events("g7", 1000)
        self.check_stream(Upstream(self.HEAD, endless=events))

    def test_tokens_that_came_before_are_not_read_on(self) -> None:
        first = make_events("g0", 1).partition(b"\n\n")[0] + b"\n\n"
        self.check_stream(Upstream(self.HEAD, endless=first * 1000))

    def test_a_long_stream_is_read_to_its_end_past_comments_and_copies(self) -> None:
        comment = b": " + b"x" * (UNDELIVERED_BYTES // 10) + b"\n\n"
        events = make_events("g0", 60).split(b"\n\n")
        body = b"\n\n".join(part for event in events for part in (event, comment + event))
        found = self.generate(Upstream(self.HEAD + body))[0]
        self.assertEqual(getattr(found, "tokens", None), 60, found)

    def test_a_stream_cut_in_its_head_or_body_may_have_run(self) -> None:
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nff\r\nid: g0:0\nda"
        cases = (b"HTTP/1.1 200 O", self.HEAD[:-2], self.HEAD + b"id: g0:0\ndata: {", chunked)
        for start in (*cases, b"HTTP/1.1 204 No Content\r\n\r\n", b"\x00\x01\r\n\r\n"):
            with self.subTest(start):
                self.check_stream(Upstream(start, hangs=False))


class OwnProcessTest(OwnCallsTest):
    """Answers that are no answers of our processes end the calls to them typed."""

    NO_MESSAGES = (b"", b"x", b"[]", b'{"steward":1}', b'{"more":1}', b"[" * 100_000)

    def call_process(self, upstream: Upstream) -> Any:
        async def body(url: str) -> None:
            self.found = await self.links.call(f"{url}/a", b"{}", str)

        self.play(upstream, body)
        return self.found

    def call_as_caller(self, upstream: Upstream) -> list[CallerPart]:
        """Return the parts of an answer; the first answer of the upstream says where to call."""
        parts: list[CallerPart] = []

        async def body(url: str) -> None:
            if not upstream.answers[0]:
                place = LocateAnswer(addresses=[url], keep_seconds=9.0)
                upstream.answers[0] = make_answer(place.to_json().encode())
            caller = Caller([url], "token")
            async with aclosing(caller.generate("r", "p", "k")) as found:
                parts.extend([part async for part in found])
            await caller.close()

        with mock.patch("daleroad.caller._TRIES", 1):
            self.play(upstream, body)
        return parts

    def call_as_operator(self, upstream: Upstream) -> ReadAnswer | Failure:
        async def body(url: str) -> None:
            client = OperatorClient([url], "token", limit=CALL_SECONDS)
            self.found = await anyio.to_thread.run_sync(client.read, "Route")
            client.close()

        self.play(upstream, body)
        return self.found

    def announce(self, upstream: Upstream) -> float | None:
        async def body(url: str) -> None:
            announcer = Announcer([url], "token", Announcement, Report)
            self.found = await announcer._find_steward(url)

        self.play(upstream, body)
        return self.found

    def check_each_open(self, check: Callable[[Upstream], Any], *first: bytes) -> None:
        for status in ("200 OK", "503 No"):
            for name, (head, endless) in make_open_answers(status).items():
                with self.subTest(name, status=status):
                    upstream = Upstream(*first, head, endless=endless)
                    check(upstream)
                    self.assertLess(upstream.sent, ENDLESS_BYTES)

    def test_a_call_between_our_processes_ends_though_its_answer_does_not(self) -> None:
        def check(upstream: Upstream) -> None:
            self.assertIs(self.call_process(upstream).kind, FailureKind.UNREACHABLE)

        with mock.patch("daleroad.links.OWN_ANSWER_BYTES", 1_000_000):
            self.check_each_open(check)

    def test_a_caller_gives_up_an_answer_without_end(self) -> None:
        def check(upstream: Upstream) -> None:
            self.assertIsInstance(self.call_as_caller(upstream)[-1], Failure)

        self.check_each_open(check)
        self.check_each_open(check, b"")

    def test_a_caller_gets_a_failure_for_what_is_no_address_or_token(self) -> None:
        for body in self.NO_MESSAGES:
            with self.subTest(body[:9]):
                self.assertIsInstance(self.call_as_caller(Upstream(make_answer(body)))[-1], Failure)
        for data in (b"{", b"[]", b"{}", b'{"text":1}'):
            with self.subTest(data):
                stream = make_answer(b"id: g:0\ndata: " + data + b"\n\n", "X-Generation: g")
                self.assertIsInstance(self.call_as_caller(Upstream(b"", stream))[-1], Failure)

    def test_an_operator_gives_up_an_answer_that_is_none(self) -> None:
        def check(upstream: Upstream) -> None:
            self.assertIsInstance(self.call_as_operator(upstream), Failure)

        with mock.patch("daleroad.operating.OWN_ANSWER_BYTES", 1_000_000):
            self.check_each_open(check)
        for body in self.NO_MESSAGES:
            with self.subTest(body[:9]):
                check(Upstream(*[make_answer(body)] * 9))

    def test_an_upstream_announces_itself_again_where_no_answer_comes(self) -> None:
        def check(upstream: Upstream) -> None:
            self.assertIsNone(self.announce(upstream))

        self.check_each_open(check)
        for body in self.NO_MESSAGES:
            with self.subTest(body[:9]):
                check(Upstream(make_answer(body)))


def make_frames(*answers: tuple[int, str, bytes], status: str = "200 OK") -> bytes:
    """Return the response that begins a channel, with answers as one chunk."""
    data = FrameWriter().pack([Frame(*answer) for answer in answers])
    head = f"HTTP/1.1 {status}\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
    return head + f"{len(data):x}\r\n".encode() + data + b"\r\n"


class ChannelAnswerTest(OwnCallsTest):
    """Calls on a channel get the answers that bear their number, and end without one."""

    def call(self, upstream: Upstream, count: int = 1) -> list[Any]:
        """Return the answers to one call after the other; two channels are tried for each."""
        found: list[Any] = []

        async def body(url: str) -> None:
            calls = ChannelCalls("secret")
            for number in range(count):
                found.append(await calls.call(f"{url}/{number}", b"{}", str, CALL_SECONDS))

        self.play(upstream, body)
        return found

    def check_lost(self, start: bytes, endless: bytes = b"", hangs: bool = True) -> None:
        upstream = Upstream(start, endless=endless, hangs=hangs)
        found = self.call(upstream)[0]
        self.assertIsInstance(found, Failure)
        self.assertIs(found.kind, FailureKind.UNREACHABLE)
        self.assertLess(upstream.sent, ENDLESS_BYTES)

    def test_a_call_is_not_answered_by_another_copy_or_number(self) -> None:
        first = make_frames((1, "200", b'"a"'), (1, "200", b'"b"'), (7, "200", b'"c"'))
        self.assertEqual(self.call(Upstream(first))[0], "a")
        self.check_lost(make_frames((2, "200", b'"early"')))

    def test_a_second_call_is_not_answered_by_what_came_before_it(self) -> None:
        early = make_frames((1, "200", b'"a"'), (2, "200", b'"early"'))
        found = self.call(Upstream(early), 2)
        self.assertEqual(found[0], "a")
        self.assertIsInstance(found[1], Failure)

    def test_a_channel_ends_with_what_follows_its_response(self) -> None:
        whole = make_frames((1, "200", b'"a"')) + b"0\r\n\r\n"
        for surplus in (repeat(whole), cut_in_head(whole), b"\x00\x01"):
            with self.subTest(surplus[:9]):
                self.assertEqual(self.call(Upstream(whole + surplus))[0], "a")

    def test_calls_end_on_a_channel_without_end(self) -> None:
        chunk = b"f000\r\n" + bytes(0xF000) + b"\r\n"
        cases = make_open_answers()
        cases["zeros"] = (cases["chunked"][0], chunk)
        for name, (head, endless) in cases.items():
            with self.subTest(name):
                self.check_lost(head, endless)

    def test_interim_responses_without_end_are_not_kept(self) -> None:
        upstream = Upstream(b"", endless=b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000)
        self.assertIsInstance(self.call(upstream)[0], Failure)
        self.assertLess(upstream.sent, SOCKET_BYTES)

    def test_calls_end_on_a_channel_that_is_cut_or_none(self) -> None:
        whole = make_frames((1, "200", b'"a"'))
        starts = {
            "head": whole[:20],
            "frame": whole[:-9],
            "refused": make_frames(status="503 No"),
            "empty": b"HTTP/1.1 204 No Content\r\n\r\n",
            "other": b"\x00\x01\r\n\r\n",
            "no status": make_frames((1, "x", b'"a"')),
            "negative": make_frames((1, "-1", b'"a"')),
        }
        for name, start in starts.items():
            for hangs in (False, True):
                with self.subTest(name, hangs=hangs):
                    self.check_lost(start, hangs=hangs)


PUBLIC_CALL = """
import sys
from dataclasses import replace
from random import Random

import anyio

from daleroad.control import Control, initialise_data_folder
from daleroad.entry import Entry
from daleroad.loopback import make_site

async def main(process, method, folder):
    site = make_site(folder)
    if process == "entry":
        router = Entry(site.entries[0], Random(1))._make_router()
    else:
        initialise_data_folder(site.control[0])
        router = Control(site.control[0], Random(1))._make_router()
    path = "/daleroad.v1." + method
    headers = [(b"content-type", b"application/json")]
    scope = {"type": "http", "method": "POST", "path": path, "headers": headers,
             "query_string": b"", "http_version": "1.1", "root_path": "", "raw_path": path.encode()}

    async def receive():
        return {"type": "http.request", "body": sys.stdin.buffer.read(), "more_body": False}

    async def send(event):
        if event["type"] == "http.response.start":
            print(event["status"])

    await router(scope, receive, send)

anyio.run(main, *sys.argv[1:])
"""


class PublicFaceTest(unittest.TestCase):
    """What anybody sends must not end a process."""

    METHODS = (
        ("entry", "Locator/Locate"),
        ("entry", "Registry/Announce"),
        ("entry", "Registry/Tell"),
        ("control", "Locator/Locate"),
        ("control", "Operators/Change"),
        ("control", "Operators/Read"),
        ("control", "Operators/Audit"),
    )

    def call(self, process: str, method: str, body: bytes) -> subprocess.CompletedProcess:
        with tempfile.TemporaryDirectory() as folder:
            command = [sys.executable, "-c", PUBLIC_CALL, process, method, folder]
            return subprocess.run(
                command, input=body, capture_output=True, timeout=LIMIT_SECONDS, check=False
            )

    def test_brackets_without_end_do_not_end_a_process(self) -> None:
        for process, method in self.METHODS:
            with self.subTest(process, method=method):
                called = self.call(process, method, b"[" * 50_000)
                self.assertEqual(called.returncode, 0, called.stderr[-500:])
                self.assertEqual(called.stdout.split()[-1:], [b"400"])

    def test_a_proper_question_is_still_read(self) -> None:
        # This process knows no entry yet, and says so once it has read the question.
        for body, status in ((b'{"zone":"z","newer":[1]}', b"503"), (b'{"zone":1}', b"400")):
            with self.subTest(body):
                called = self.call("entry", "Locator/Locate", body)
                self.assertEqual(called.stdout.split()[-1:], [status], called.stderr[-500:])


if __name__ == "__main__":
    unittest.main()
