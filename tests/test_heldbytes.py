"""Tests of the bytes that a gateway holds, and of streams that their clients do not read."""

import socket
import sys
import unittest
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import replace
from pathlib import Path
from typing import Any
from unittest.mock import Mock

import anyio
import httpcore
import trio
import trio.testing

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "platform"))

from clientface import ClientApp  # noqa: E402
from engines import EngineClient, EventStream, _read_complete, find_own_silence  # noqa: E402
from nodefile import read_node  # noqa: E402

from daleroad.clientstalls import MIN_STALL_SECONDS, ClientStall  # noqa: E402
from daleroad.defaults import SILENCE_SECONDS  # noqa: E402
from daleroad.dispatch import Attempt, ClientRequest, Lost, StreamEvent, Whole  # noqa: E402
from daleroad.errors import Failure, FailureKind, Ran  # noqa: E402
from daleroad.exchanges import HttpResponse  # noqa: E402
from daleroad.forwarding import Forwarder, Outcome, StreamResponse  # noqa: E402
from daleroad.heldbytes import (  # noqa: E402
    FREE_ANSWER_BYTES,
    FREE_BODY_BYTES,
    MIN_BOUND_BYTES,
    REQUEST_BYTES,
    UPSTREAM_BYTES,
    HeldBytes,
    RequestBytes,
    find_bound,
)
from daleroad.metrics import Metrics, RequestMetrics  # noqa: E402
from daleroad.migration import EngineMigrator  # noqa: E402
from daleroad.routing import Repeat  # noqa: E402
from daleroad.runs import RetryState, StreamEnd, StreamRegistry, StreamRun  # noqa: E402
from daleroad.serving import make_config as make_server_config  # noqa: E402
from daleroad.serving import serve_config  # noqa: E402
from daleroad.settings import Tls  # noqa: E402
from tests.fakes import (  # noqa: E402
    PROMPT,
    WHOLE,
    FakeDispatcher,
    FakeStream,
    make_config,
    make_gateway,
    make_instance,
    make_job,
    make_serving_gateway,
)
from tests.test_platform import NODE, SIGNED, Upstream, answer  # noqa: E402

BOUND = 1_000_000
HEADERS = [(b"host", b"h"), (b"x-daleroad-attempt-id", b"id1")]


def run_virtual(main: Callable[..., Awaitable[Any]]) -> Any:
    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class AccountTest(unittest.TestCase):
    def test_bound_follows_from_the_memory_limit_alone(self) -> None:
        self.assertEqual(find_bound(128_000_000), 32_000_000)
        self.assertEqual(find_bound(60_000_000), MIN_BOUND_BYTES)
        self.assertIsNone(find_bound(read_node(NODE).memory_bytes))
        stated = read_node(NODE | {"limits": {"memory_mb": 88}})
        self.assertEqual(find_bound(stated.memory_bytes), 12_000_000)

    def test_without_a_limit_nothing_is_refused_or_waits(self) -> None:
        held = HeldBytes()
        with held.open_request() as request, held.send_body("i", 10**9):
            self.assertTrue(request.try_reserve(10**12))
            self.assertTrue(run_virtual(lambda: request.reserve_answer(10**12, 0)))
            with held.send_body("i", 10**9) as allowed:
                self.assertTrue(allowed)
        self.assertEqual((held.held, held.refusals), (0, 0))

    def test_refusal_leaves_what_others_have_and_bounded_events_tell(self) -> None:
        held, told = HeldBytes(BOUND), Mock()
        held.on_bound = told
        with held.open_request() as first, held.open_request() as second:
            self.assertFalse(first.try_reserve(BOUND // 2 + 1))
            self.assertTrue(first.try_reserve(BOUND // 2))
            for _ in range(3):
                self.assertFalse(second.try_reserve(BOUND // 2))
            self.assertEqual((held.held, first.held), (BOUND // 2, BOUND // 2))
            second.reserve(BOUND)  # an accepted request is not refused
            self.assertEqual([c.args for c in told.call_args_list], [(True,), (False,), (True,)])
        self.assertEqual((held.held, held.refusals), (0, 4))
        self.assertEqual(told.call_args.args, (False,))

    def test_bytes_are_released_once_on_each_end(self) -> None:
        held = HeldBytes(BOUND)
        for error in (None, ValueError, KeyboardInterrupt):
            raises = self.assertRaises(error or StopIteration)
            with self.subTest(error), raises, held.open_request() as request:
                request.reserve(5000)
                request.release(9000)
                request.reserve(300)
                raise error or StopIteration
            self.assertEqual(held.held, 0)

    def test_large_answer_waits_for_room_and_a_cancelled_one_holds_nothing(self) -> None:
        held, times = HeldBytes(BOUND), []

        async def read(request: RequestBytes, size: int) -> None:
            self.assertTrue(await request.reserve_answer(size, 0))
            times.append(anyio.current_time())

        async def main() -> None:
            start = anyio.current_time()
            with held.open_request() as small, held.open_request() as large:
                with held.open_request() as full:
                    full.reserve(BOUND)
                    with anyio.move_on_after(1.0) as scope:
                        await read(large, 200_000)
                    self.assertTrue(scope.cancelled_caught)
                    self.assertEqual((large.held, large.starved), (0, True))
                    async with anyio.create_task_group() as tasks:
                        tasks.start_soon(read, large, 200_000)
                        await read(small, FREE_ANSWER_BYTES)
                        await anyio.sleep(3.0)
                        full.release(BOUND)
                self.assertFalse(large.starved)
                self.assertFalse(await large.reserve_answer(BOUND, 200_000))
            self.assertEqual([round(t - start) for t in times], [1, 4])
            self.assertEqual(held.held, 0)

        run_virtual(main)

    def test_answers_never_wait_for_each_other(self) -> None:
        """Requests whose bodies leave no room for any of their answers, read side by side."""
        held, most = HeldBytes(BOUND), 0

        async def serve() -> None:
            nonlocal most
            with held.open_request() as request:
                self.assertTrue(request.try_reserve(BOUND // 4))
                await anyio.sleep(0.1)
                for part in range(3):
                    self.assertTrue(await request.reserve_answer(BOUND // 8, part * BOUND // 8))
                    most = max(most, held.held)
                    await anyio.sleep(0.1)

        async def main() -> None:
            with anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    for _ in range(3):
                        tasks.start_soon(serve)

        run_virtual(main)
        self.assertEqual((held.held, held.waiting, held.overdrawn), (0, 0, None))
        self.assertLessEqual(most, BOUND * 3 // 2)

    def test_bodies_under_way_to_one_upstream_are_bounded(self) -> None:
        held = HeldBytes(BOUND)
        first = held.send_body("i1", UPSTREAM_BYTES + 1)
        size = FREE_BODY_BYTES + 1
        with first as sent, held.send_body("i1", size) as more, held.send_body("i2", size) as other:
            self.assertEqual((sent, more, other), (True, False, True))
        with held.send_body("i1", UPSTREAM_BYTES) as again, held.send_body("i1", 9) as small:
            self.assertEqual((again, small), (True, True))

    def test_upstream_s_answer_is_read_once_there_is_room(self) -> None:
        """On loopback, for an announced length and a chunked body."""
        body = bytes(200_000)
        chunked = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "Transfer-Encoding: chunked", "", ""])
        chunks = chunked.encode() + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
        held = HeldBytes(BOUND)

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            client = EngineClient(held)
            instance = replace(make_instance(1), address=f"127.0.0.1:{port}")
            async with anyio.create_task_group() as tasks:
                upstream = Upstream(answer("200 OK", *SIGNED, body=body), chunks)
                tasks.start_soon(listener.serve, upstream.handle)
                for _ in range(2):
                    with held.open_request() as request, held.open_request() as other:
                        other.reserve(BOUND)
                        job = replace(make_job(0.0), id="abc", held=request)
                        tasks.start_soon(self.free_later, other, request)
                        reply = await client.send(Attempt(job, instance, "", 5.0))
                        assert isinstance(reply, Whole), reply
                        self.assertEqual((reply.body, request.held), (body, len(body)))
                await client.close()
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def lose_answer(self, seconds: float) -> bool:
        """Wait for room, then lose the answer; return whether it counts as left unread."""
        held = HeldBytes(BOUND)

        async def cut() -> AsyncGenerator[bytes, None]:
            yield b"x" * 1000
            raise httpcore.ReadError

        async def main() -> bool:
            head = [(b"content-length", b"99999")]
            with held.open_request() as request, held.open_request() as other:
                other.reserve(BOUND)
                request.reserve(5)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(release, other)
                    found = await _read_complete(FakeResponse(cut(), *head), request)
                self.assertEqual(request.held, 5)
                assert isinstance(found, Lost), found
                return found.unread

        async def release(other: RequestBytes) -> None:
            await anyio.sleep(seconds)
            other.release(BOUND)

        return bool(run_virtual(main))

    def test_lost_answer_holds_nothing_and_is_the_engine_s_fault_unless_left_unread(self) -> None:
        self.assertFalse(self.lose_answer(1.0))
        self.assertTrue(self.lose_answer(MIN_STALL_SECONDS))

    def test_answer_left_unread_is_not_recorded_as_a_crash(self) -> None:
        async def serve(unread: bool) -> tuple[int, int]:
            now = anyio.current_time()
            gateway = make_gateway(
                FakeDispatcher(Lost("cut", unread)), make_config(Repeat.ONCE), now
            )
            gateway.selector.record_result = result = Mock()  # type: ignore[method-assign]
            gateway.guard.evidence.record_lost = suspected = Mock()  # type: ignore[method-assign]
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            outcome = await Forwarder(gateway, runs, RequestMetrics(Metrics())).serve(make_job(now))
            assert isinstance(outcome, Failure), outcome
            self.assertEqual((outcome.kind, outcome.ran), (FailureKind.UPSTREAM_LOST, Ran.UNKNOWN))
            return result.call_count, suspected.call_count

        self.assertEqual(run_virtual(lambda: serve(False)), (1, 1))
        self.assertEqual(run_virtual(lambda: serve(True)), (0, 0))

    async def free_later(self, other: RequestBytes, request: RequestBytes) -> None:
        await anyio.sleep(0.2)
        self.assertTrue(request.starved)
        self.assertLessEqual(request.held, FREE_ANSWER_BYTES)
        other.release(BOUND)

    def test_engine_that_reads_a_large_body_slowly_is_not_taken_as_silent(self) -> None:
        small = Attempt(make_job(0.0), make_instance(1), "", 5.0)
        self.assertIsNone(find_own_silence(small))
        self.assertEqual(find_own_silence(replace(small, new_connection=True)), SILENCE_SECONDS)
        large = replace(small, job=replace(small.job, body=bytes(100_000)))
        self.assertEqual(find_own_silence(large), 12.0)

    def test_silence_of_a_started_stream_is_as_long_as_with_a_small_body(self) -> None:
        """On loopback."""
        head = "\r\n".join(["HTTP/1.1 200 OK", *SIGNED, "Content-Type: text/event-stream", "", ""])

        async def serve(peer: anyio.abc.SocketStream) -> None:
            while not (await peer.receive()).endswith(b"end"):
                pass
            await peer.send(head.encode())
            await anyio.sleep_forever()

        async def main() -> int:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            instance = replace(make_instance(1), address=f"127.0.0.1:{port}")
            job = replace(make_job(0.0), id="abc", body=bytes(100_000) + b"end")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                stream = await EngineClient().send(Attempt(job, instance, "", 5.0))
                assert isinstance(stream, EventStream), stream
                sock = stream._response.get_info("socket")
                found = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
                tasks.cancel_scope.cancel()
            return int(found)

        self.assertEqual(anyio.run(main), int(1000 * (SILENCE_SECONDS - 0.5)))

    def test_events_before_one_that_is_too_large_are_passed_on(self) -> None:
        async def give() -> AsyncGenerator[bytes, None]:
            yield b"id: 1\n\n" + b"x" * 1_000_001

        async def main() -> list[StreamEvent | Lost]:
            return [piece async for piece in EventStream(FakeResponse(give())).events()]

        first, last = run_virtual(main)
        self.assertEqual(first, StreamEvent(b"id: 1\n\n", "1"))
        self.assertIsInstance(last, Lost)


class FakeResponse(HttpResponse):
    """A response with the given headers whose body is what a generator gives."""

    def __init__(self, body: AsyncGenerator[bytes, None], *headers: tuple[bytes, bytes]) -> None:
        self.status = 200
        self.headers = headers
        self._body = body

    def chunks(self) -> AsyncGenerator[bytes, None]:
        return self._body

    async def close(self) -> None:
        await self._body.aclose()


class FakeForwarder:
    """Serves what a test says, and notes the jobs and refusals."""

    def __init__(self, serve: Callable[[ClientRequest], Awaitable[Outcome]]) -> None:
        self._serve = serve
        self.jobs: list[ClientRequest] = []
        self.refusals: list[Failure] = []

    async def serve(self, job: ClientRequest) -> Outcome:
        self.jobs.append(job)
        return await self._serve(job)

    def note_refusal(self, job: ClientRequest, failure: Failure) -> None:
        self.refusals.append(failure)


async def serve_whole(job: ClientRequest) -> Outcome:
    return WHOLE


class ClientAppTest(unittest.TestCase):
    def setUp(self) -> None:
        self.held = HeldBytes(BOUND)
        self.forwarder = FakeForwarder(serve_whole)
        self.sent: list[dict[str, Any]] = []
        self.gateway = make_serving_gateway()

    def make_app(self) -> ClientApp:
        return ClientApp(self.gateway, self.forwarder, self.held)  # type: ignore[arg-type]

    def request(self, *parts: bytes, length: int | None = None) -> int:
        """Send a request of these parts; return the number of parts left unread."""
        events = [{"type": "http.request", "body": p, "more_body": True} for p in parts]
        events.append({"type": "http.request", "body": b"", "more_body": False})
        headers = HEADERS if length is None else [*HEADERS, (b"content-length", b"%d" % length)]
        scope = {"type": "http", "method": "POST", "raw_path": b"/x", "headers": headers}
        unread_at_answer = len(events)

        async def receive() -> dict[str, Any]:
            if not events:
                await anyio.sleep_forever()
            return events.pop(0)

        async def send(event: dict[str, Any]) -> None:
            nonlocal unread_at_answer
            if event["type"] == "http.response.start":
                unread_at_answer = len(events)
            self.sent.append(event)

        run_virtual(lambda: self.make_app().handle(scope, receive, send))
        return unread_at_answer

    def test_request_without_room_is_refused_unread_and_not_run(self) -> None:
        cases: tuple[tuple[int, list[bytes], int | None, int], ...] = (
            (BOUND, [b"x"], 1, 2),  # no room at all
            (0, [b"x"] * 3, BOUND - 1, 4),  # announced
            (0, [b"x" * 300_000] * 3, None, 2),  # found out while it is read
        )
        for taken, parts, length, unread in cases:
            with self.subTest(length=length), self.held.open_request() as other:
                other.reserve(taken)
                self.sent.clear()
                self.assertEqual(self.request(*parts, length=length), unread)
                headers = dict(self.sent[0]["headers"])
                self.assertEqual((self.sent[0]["status"], headers[b"retry-after"]), (503, b"0.5"))
                self.assertEqual(headers[b"connection"], b"close")
                self.assertEqual(self.held.held, taken)
        self.assertEqual(self.forwarder.jobs, [])
        refusals = {(f.kind, f.ran) for f in self.forwarder.refusals}
        self.assertEqual(refusals, {(FailureKind.NO_MEMORY, Ran.NO)})

    def test_accepted_request_holds_its_body_until_its_end(self) -> None:
        found = []

        async def serve(job: ClientRequest) -> Outcome:
            found.append(self.held.held)
            return Failure(FailureKind.NO_UPSTREAM, "none") if len(found) == 2 else WHOLE

        self.forwarder = FakeForwarder(serve)
        for length in (8, None):
            self.assertEqual(self.request(b"body", b"body", length=length), 0)
        self.assertEqual(found, [REQUEST_BYTES + 8] * 2)
        self.assertEqual(self.held.held, 0)

    def test_whole_answer_is_sent_in_pieces_that_make_it_up(self) -> None:
        for size in (0, 1, 64_000, 64_001, 200_000):
            body = bytes(range(250)) * (size // 250) + b"z" * (size % 250)

            async def serve(job: ClientRequest, body: bytes = body) -> Outcome:
                return Whole(200, (), body)

            self.forwarder = FakeForwarder(serve)
            self.sent.clear()
            self.request()
            pieces = self.sent[1:]
            self.assertEqual(b"".join(p["body"] for p in pieces), body)
            self.assertEqual([p.get("more_body", False) for p in pieces].count(False), 1)
            self.assertLessEqual(max(len(p["body"]) for p in pieces), 64_000)

    def test_stalled_client_pauses_only_its_own_stream_until_the_deadline(self) -> None:
        """On loopback: one client of two does not read."""
        pulled = {"/stalled": 0, "/read": 0}

        async def serve(job: ClientRequest) -> Outcome:
            async def give() -> AsyncGenerator[bytes | Failure, None]:
                while pulled[job.path] < 400:
                    pulled[job.path] += 1
                    yield b"x" * 50_000

            async def close() -> None:
                pass

            return StreamResponse(200, (), give(), anyio.current_time() + 2.0, close)

        self.forwarder = FakeForwarder(serve)

        async def main() -> None:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            raw = listener.extra(anyio.abc.SocketAttribute.raw_socket)
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            config = make_server_config([f"fd://{raw.fileno()}"], Tls())
            config.graceful_timeout = 0.1
            stop = anyio.Event()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve_config, self.make_app(), config, stop.wait)
                stalled = await anyio.connect_tcp("127.0.0.1", port)
                reader = await anyio.connect_tcp("127.0.0.1", port)
                for client, path in ((stalled, b"/stalled"), (reader, b"/read")):
                    head = b"".join(b"%s: %s\r\n" % pair for pair in HEADERS)
                    await client.send(b"GET %s HTTP/1.1\r\n%s\r\n" % (path, head))
                with anyio.fail_after(10):
                    while pulled["/read"] < 400:
                        await reader.receive()
                before = pulled["/stalled"]
                await anyio.sleep(0.3)
                self.assertEqual(pulled["/stalled"], before)
                self.assertLess(before, 400)
                with anyio.fail_after(10):
                    while self.gateway.open_requests:
                        await anyio.sleep(0.05)
                self.assertEqual(self.held.held, 0)
                await stalled.aclose()
                await reader.aclose()
                await anyio.sleep(0.1)
                stop.set()

        anyio.run(main)


class UnreadStreamTest(unittest.TestCase):
    """An engine cuts a stream after two events; another engine would take it."""

    def cut(
        self, stalls: float, waits: float = 0.0, suspended: bool = False, max_runs: int = 3
    ) -> StreamRun:
        dispatcher = FakeDispatcher(
            FakeStream(1, 2, cut=True, wait=lambda: anyio.sleep(waits)), FakeStream(3, 4)
        )
        self.events: list[bytes | Failure] = []

        async def main() -> StreamRun:
            now = anyio.current_time()
            gateway = make_gateway(
                dispatcher, make_config(Repeat.STREAM, attempts=3, resumable=True), now
            )
            gateway.selector.record_result = self.recorded = Mock()  # type: ignore[method-assign]
            gateway.guard.evidence.record_lost = self.suspected = Mock()  # type: ignore[method-assign]
            runs = StreamRegistry(gateway, EngineMigrator(gateway))
            attempt = Attempt(make_job(now, 60.0, PROMPT), make_instance(1), "", 60.0)
            stream = await gateway.dispatcher.send(attempt)
            tries = RetryState({"i1"}, max_runs)
            run = StreamRun(attempt, stream, now + 60.0, 10, tries=tries)  # type: ignore[arg-type]
            runs.open(run)
            async for piece in runs.deliver(run):
                self.events.append(piece)
                if len(self.events) == 2:
                    await anyio.sleep(stalls)
                    if suspended:
                        gateway.guard.resumed_at = anyio.current_time()
            await runs.close(run)
            self.sends = len(dispatcher.attempts)
            return run

        return run_virtual(main)

    def test_cut_after_a_stall_is_not_held_against_the_engine(self) -> None:
        run = self.cut(MIN_STALL_SECONDS, max_runs=0)
        self.assertIs(run.outcome, StreamEnd.UNREAD)
        self.assertIsInstance(self.events[-1], Failure)
        self.assertEqual(self.sends, 1)
        self.recorded.assert_not_called()
        self.suspected.assert_not_called()

    def test_cut_after_a_stall_restarts_a_stream_that_may_be_without_blaming_the_engine(
        self,
    ) -> None:
        run = self.cut(MIN_STALL_SECONDS)
        self.assertIs(run.outcome, StreamEnd.WHOLE)
        self.assertEqual((self.sends, len(self.events)), (2, 4))
        self.recorded.assert_not_called()
        self.suspected.assert_not_called()

    def test_stall_is_over_once_quick_events_came_for_longer_than_a_cut_would(self) -> None:
        stall = ClientStall()
        stall.note_taken(MIN_STALL_SECONDS)
        for _ in range(10):
            stall.note_event(0.015)
            stall.note_taken(0.0)
        self.assertTrue(stall.explains_cut(0.0))
        for _ in range(10):
            stall.note_event(0.015)
        self.assertFalse(stall.explains_cut(0.0))

    def test_cut_without_a_stall_still_is_and_the_stream_goes_on(self) -> None:
        for name, stalls, waits, suspended in (
            ("no stall", 0.0, 0.0, False),
            ("a short one", 1.0, 0.0, False),
            ("the engine was alive after it", 5.0, 0.5, False),
            ("this VM was suspended", 5.0, 0.0, True),
        ):
            with self.subTest(name):
                run = self.cut(stalls, waits, suspended)
                self.assertIs(run.outcome, StreamEnd.WHOLE)
                self.assertEqual((self.sends, len(self.events)), (2, 4))
                self.recorded.assert_called_once()
                self.suspected.assert_called_once()


if __name__ == "__main__":
    unittest.main()
