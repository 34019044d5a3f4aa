"""Tests of bytes from an upstream that belong to no request, or to another one."""

import time
import unittest
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager, suppress
from dataclasses import replace
from typing import Any
from unittest.mock import patch

import anyio
from anyio.abc import SocketStream

from daleroad.dispatch import (
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    EngineReport,
    Lost,
    NotCopied,
    NotRun,
    Reply,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure
from daleroad.instances import Instance
from tests import test_platform
from tests.fakes import make_instance, make_job
from tests.test_platform import ID, SIGNED, EngineClient, EventStream, Upstream, answer

SIGNATURE = "X-Daleroad-Engine-Signature: s"
KEEP_ALIVE = "Keep-Alive: timeout=10"
TYPE = "Content-Type: application/octet-stream"


def make_response(request: str, status: str, body: bytes) -> bytes:
    return answer(
        status, SIGNATURE, TYPE, f"X-Daleroad-Attempt-Id: {request}", KEEP_ALIVE, body=body
    )


COPIES = (b'{"handle":"1","made":4}', b'{"handle":"2","made":5}')
REPORTS = (b'{"leaves_ms":2000,"runs":[]}', b'{"leaves_ms":1000,"runs":[]}')
NOT_EXECUTED = "X-Daleroad-Not-Executed: 1"
FULL = answer("503 Full", NOT_EXECUTED)
MISDIRECTED = answer("421 Other", "X-Daleroad-Instance-Id: i-9")
FIRST = make_response("abc", "200 OK", b"the first body")
SECOND = make_response("def", "200 OK", b"the second body")
FAILURE = make_response("def", "500 Internal Server Error", b"what went wrong")


def read(reply: Reply) -> tuple[int, bytes]:
    assert isinstance(reply, Whole), reply
    return reply.status, reply.body


class LateUpstream(Upstream):
    """Sends its first response again a moment later."""

    def __init__(self, *answers: bytes) -> None:
        super().__init__(*answers)
        self.sent_again = anyio.Event()

    async def handle(self, stream: SocketStream) -> None:
        async with anyio.create_task_group() as tasks:
            if not self.connections:
                tasks.start_soon(self._send_again, stream, self.answers[0])
            await super().handle(stream)

    async def _send_again(self, stream: SocketStream, response: bytes) -> None:
        await anyio.sleep(0.1)
        await stream.send(response)
        await anyio.sleep(0.05)
        self.sent_again.set()


class CuttingUpstream(Upstream):
    """Sends a part of a response and closes its connection."""

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(self.answers[0])


class EndlessUpstream(Upstream):
    """Sends a response that has a start and no end."""

    def __init__(self, start: bytes, more: bytes) -> None:
        super().__init__()
        self._start = start
        self._more = more
        self.closed = anyio.Event()

    async def handle(self, stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            with suppress(anyio.BrokenResourceError):
                await stream.send(self._start)
                while True:
                    await stream.send(self._more)
                    await anyio.sleep(0)
        self.closed.set()


class StutteringUpstream(Upstream):
    """Sends each response on a connection again before the next one."""

    async def handle(self, stream: SocketStream) -> None:
        await super().handle(_RepeatingStream(stream))


class _RepeatingStream:
    def __init__(self, stream: SocketStream) -> None:
        self._stream = stream
        self._last = b""
        self.receive = stream.receive

    async def __aenter__(self) -> "_RepeatingStream":
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stream.aclose()

    async def send(self, response: bytes) -> None:
        await self._stream.send(self._last + response)
        self._last = response


async def send(client: EngineClient, engine: Instance) -> Reply:
    return await client.send(Attempt(make_job(0.0), engine, "", 5.0))


async def ask_copy(client: EngineClient, engine: Instance) -> Copied | NotCopied:
    return await client.copy(make_job(0.0), engine, engine, False)


async def ask_report(client: EngineClient, engine: Instance) -> EngineReport | Failure:
    return await client.report(engine)


class ClientTest(unittest.TestCase):
    exchange = test_platform.EngineClientTest.send_requests

    def exchange_two(self, *responses: bytes) -> tuple[Reply, Reply]:
        """Return the replies to the requests abc and def."""
        self.upstream = Upstream(*responses)
        first, second = self.exchange(self.upstream, 2, ids=("abc", "def"))
        return first, second


class SurplusTest(ClientTest):
    def test_bytes_behind_a_response_are_not_the_start_of_the_next(self) -> None:
        for surplus in (FIRST, FIRST[:20], b"\r\n", b"junk"):
            with self.subTest(surplus), self.assertLogs() as logs:
                first, second = self.exchange_two(FIRST + surplus, SECOND)
                self.assertEqual(read(first), (200, b"the first body"))
                self.assertEqual(read(second), (200, b"the second body"))
                self.assertEqual(self.upstream.connections, 2)
                self.assertIn("D345 SURPLUS_RECEIVED", logs.output[0])

    def test_bytes_on_an_idle_connection_are_not_the_start_of_the_next_response(self) -> None:
        upstream = LateUpstream(FIRST, SECOND)

        async def wait(reply: Reply) -> None:
            await upstream.sent_again.wait()

        with self.assertLogs() as logs:
            replies = self.exchange(upstream, 2, wait, ids=("abc", "def"))
        self.assertEqual(read(replies[1]), (200, b"the second body"))
        self.assertEqual(upstream.connections, 2)
        self.assertIn(f'"bytes":{len(FIRST)}', logs.output[0])

    def test_a_sound_connection_is_reused(self) -> None:
        via = FIRST.replace(TYPE.encode(), b"Via: HTTP/1.1 cache")
        first, second = self.exchange_two(via, SECOND)
        self.assertEqual((read(first)[0], read(second)[0]), (200, 200))
        self.assertEqual(self.upstream.connections, 1)


class UndelimitedTest(ClientTest):
    """Responses that end with their connection."""

    def test_a_duplicate_is_not_the_rest_of_the_body(self) -> None:
        whole = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "", "the body"]).encode()
        (reply,) = self.exchange(CuttingUpstream(whole * 2))
        self.assertIsInstance(reply, Lost)
        quoting = whole + b" quotes HTTP/1.1 200 OK"
        (reply,) = self.exchange(CuttingUpstream(quoting))
        self.assertEqual(read(reply), (200, b"the body quotes HTTP/1.1 200 OK"))


class SentAgainTest(ClientTest):
    def test_a_late_duplicate_is_not_the_response_to_a_resend_of_its_id(self) -> None:
        failure = make_response("abc", "500 Internal Server Error", b"what went wrong")
        upstream = StutteringUpstream(FIRST, failure)
        first, second = self.exchange(upstream, 2, ids=("abc", "abc"))
        self.assertEqual(read(first), (200, b"the first body"))
        self.assertEqual(read(second), (500, b"what went wrong"))


class UnattributedTest(ClientTest):
    """Responses without an attempt id."""

    def test_a_rejection_of_another_request_is_not_taken_for_not_run(self) -> None:
        first, second = self.exchange_two(FIRST, FULL + SECOND)
        self.assertEqual(read(first)[0], 200)
        assert isinstance(second, Lost), second
        self.assertTrue(second.ambiguous)
        self.assertFalse(second.blames_upstream())

    def test_a_late_duplicate_of_a_rejection_is_not_taken_for_the_next_response(self) -> None:
        for rejection in (FULL, MISDIRECTED):
            first, second = self.exchange_two(rejection, rejection + SECOND)
            assert isinstance(first, NotRun), first
            assert isinstance(second, NotRun), second
            self.assertEqual((first.earlier, second.earlier), (0, 0))
            self.assertEqual(self.upstream.connections, 2)

    def test_rejections_without_an_id_are_ambiguous_only_once(self) -> None:
        upstream = Upstream(FIRST, FULL, make_response("ghi", "200 OK", b""), FULL)
        replies = self.exchange(upstream, 4, ids=("abc", "def", "ghi", "jkl"))
        self.assertEqual([type(reply) for reply in replies], [Whole, Lost, Whole, NotRun])

    def test_a_failure_of_another_request_is_not_passed_on(self) -> None:
        _, second = self.exchange_two(FIRST, answer("500 Oops") + SECOND)
        self.assertIsInstance(second, Lost)

    def test_a_rejection_with_the_id_counts_and_its_connection_is_reused(self) -> None:
        full = answer("503 Full", "X-Daleroad-Attempt-Id: def", NOT_EXECUTED)
        _, second = self.exchange_two(FIRST, full)
        self.assertEqual(second, NotRun("status 503", earlier=1))
        self.assertEqual(self.upstream.connections, 1)


class EngineCallTest(unittest.TestCase):
    """Responses to calls for copies and reports, which carry no attempt id."""

    def call(
        self, upstream: Upstream, *calls: Callable[[EngineClient, Instance], Awaitable[Any]]
    ) -> list[Any]:
        """Return the results of calls to an upstream, one after the other."""

        async def main() -> list[Any]:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            engine = replace(make_instance(1), address=f"127.0.0.1:{port}")
            client = EngineClient()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, upstream.handle)
                found = [await call(client, engine) for call in calls]
                await client.close()
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(main)

    def test_a_late_duplicate_of_an_answer_does_not_name_the_memory_for_another_stream(
        self,
    ) -> None:
        upstream = StutteringUpstream(*(answer("200 OK", body=body) for body in COPIES))
        self.assertEqual(self.call(upstream, ask_copy, ask_copy), [Copied("1", 4), Copied("2", 5)])

    def test_a_late_duplicate_of_a_report_is_not_the_next_report(self) -> None:
        upstream = StutteringUpstream(*(answer("200 OK", body=body) for body in REPORTS))
        reports = self.call(upstream, ask_report, ask_report)
        self.assertEqual([report.stops_in_seconds for report in reports], [2.0, 1.0])

    def test_an_answer_without_end_is_given_up(self) -> None:
        head = b"HTTP/1.1 200 OK\r\n"
        for start in (head, head + b"\r\n", head + b"Content-Length: 900000000\r\n\r\n"):
            upstream = EndlessUpstream(start, b"a" * 1000)
            copied, report = self.call(upstream, ask_copy, ask_report)
            self.assertEqual(copied.fault, CopyFault.UNREACHABLE)
            self.assertIsInstance(report, Failure)

    def test_wrong_bytes_in_an_answer_end_no_gateway(self) -> None:
        for body in (b"", b"7", b"[]", b"{}", b'{"handle":', b'{"handle":"1","made":"x"}', b"\xff"):
            with self.subTest(body):
                upstream = Upstream(*[answer("200 OK", body=body)] * 2)
                copied, report = self.call(upstream, ask_copy, ask_report)
                assert isinstance(copied, NotCopied), copied
                self.assertTrue(copied.may_have_stopped())

    def test_a_response_to_a_request_is_not_the_answer_to_a_call(self) -> None:
        upstream = StutteringUpstream(make_response("id1", "200 OK", b""), answer("404 No"))
        reply, copied = self.call(upstream, send, ask_copy)
        self.assertEqual(read(reply), (200, b""))
        self.assertEqual(copied, NotCopied("status 404", CopyFault.ABSENT))


class CutShortTest(ClientTest):
    """Upstreams that stop within a response and close."""

    def test_a_response_cut_anywhere_is_not_whole(self) -> None:
        chunked = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "Transfer-Encoding: chunked", "", ""])
        for whole in (FIRST, chunked.encode() + b"5\r\nwhole\r\n0\r\n\r\n"):
            for cut in range(len(whole)):
                (reply,) = self.exchange(CuttingUpstream(whole[:cut]))
                self.assertIsInstance(reply, Lost, whole[:cut])

    def test_a_head_cut_short_is_no_undelimited_response(self) -> None:
        whole = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, TYPE, "", ""]).encode()
        for cut in range(len(whole)):
            (reply,) = self.exchange(CuttingUpstream(whole[:cut]))
            self.assertIsInstance(reply, Lost, whole[:cut])


class BodilessTest(ClientTest):
    """Responses that have no body, whatever they announce."""

    def test_what_follows_a_response_without_a_body_is_not_the_next_response(self) -> None:
        for method, status in (("HEAD", "200 OK"), ("GET", "204 No"), ("GET", "304 Same")):
            with self.subTest(status, method=method), self.use_method(method):
                upstream = Upstream(make_response("abc", status, FAILURE), SECOND)
                first, second = self.exchange(upstream, 2, ids=("abc", "def"))
                self.assertEqual(read(first), (int(status[:3]), b""))
                self.assertEqual(read(second)[0], 200)
                self.assertEqual(upstream.connections, 2)

    def test_interim_responses_are_not_passed_on(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Daleroad-Attempt-Id: abc\r\n\r\n"
        first, second = self.exchange_two(interim + FIRST, interim + SECOND)
        self.assertEqual((read(first)[0], read(second)[0]), (200, 200))
        switch = make_response("abc", "101 Switching Protocols", b"")
        (reply,) = self.exchange(Upstream(switch))
        self.assertIsInstance(reply, Lost)

    @contextmanager
    def use_method(self, method: str) -> Iterator[None]:
        def make(request: str, _: str, *rest: Any) -> ClientRequest:
            return ClientRequest(request, method, *rest)

        with patch.object(test_platform, "ClientRequest", make):
            yield


class EndlessBytesTest(ClientTest):
    """Upstreams that send until their connection is closed."""

    def receive_endless(self, start: bytes, more: bytes) -> Reply:
        """Return the reply to a request; the upstream's connection must be closed by the client."""
        upstream = EndlessUpstream(start, more)

        async def wait(reply: Reply) -> None:
            with anyio.fail_after(1.0):
                await upstream.closed.wait()

        (reply,) = self.exchange(upstream, 1, wait)
        return reply

    def test_a_head_without_end_is_given_up(self) -> None:
        for start, more in (
            (b"HTTP/1.1 200 OK\r\nX-A: ", b"a" * 1000),
            (b"HTTP/1.1 200 OK\r\n", b"X-A: a\r\n" * 100),
            (b"", b"\x00" * 1000),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        ):
            with self.subTest(start, more=more):
                self.assertIsInstance(self.receive_endless(start, more), Lost)

    def test_a_body_without_end_is_given_up(self) -> None:
        head = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "Transfer-Encoding: chunked", "", ""])
        for more in (b"a" * 1000, b"1000\r\n" + b"a" * 0x1000 + b"\r\n", b"0\r\nX-A: " * 100):
            with self.subTest(more):
                self.assertIsInstance(self.receive_endless(head.encode(), more), Lost)

    def test_the_body_of_a_rejection_delays_no_retry(self) -> None:
        for framing in ("Transfer-Encoding: chunked", "Content-Length: 900000000", "X: y"):
            head = "\r\n".join(["HTTP/1.1 503 Full", ID, NOT_EXECUTED, framing, "", ""])
            with self.subTest(framing):
                begun = time.monotonic()
                reply = self.receive_endless(head.encode(), b"1\r\na\r\n")
                self.assertEqual(reply, NotRun("status 503"))
                self.assertLess(time.monotonic() - begun, 1.0)

    def test_an_event_without_end_is_given_up(self) -> None:
        head = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "Content-Type: text/event-stream", "", ""])
        upstream = EndlessUpstream(head.encode() + b"id: 1\n\n", b"data")
        pieces: list[StreamEvent | Lost] = []

        async def on_reply(reply: Reply) -> None:
            assert isinstance(reply, EventStream), reply
            pieces.extend([piece async for piece in reply.events()])
            await reply.close()

        self.exchange(upstream, 1, on_reply)
        self.assertEqual([type(piece) for piece in pieces], [StreamEvent, Lost])


class MergedHeadTest(ClientTest):
    def test_a_duplicate_cut_in_its_head_does_not_give_its_status_to_the_next_response(
        self,
    ) -> None:
        found: Counter[int] = Counter()
        for cut in range(1, FIRST.index(b"\r\n\r\n")):
            duplicate = FIRST[:cut]
            for responses in ((FIRST + duplicate, FAILURE), (FIRST, duplicate + FAILURE)):
                first, second = self.exchange_two(*responses)
                assert isinstance(first, Whole), first
                self.assertEqual((first.status, first.body), (200, b"the first body"))
                if isinstance(second, Whole):
                    found[second.status] += 1
        self.assertLessEqual(set(found), {500}, found)
