"""Tests that each request in progress at shutdown ends whole or with a typed failure.

A supervisor kills a process a few seconds after SIGTERM, which must not cut off any response.
"""

import threading
import time
import unittest
from collections.abc import AsyncGenerator, Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace

import anyio
import httpx

from daleroad.codec import encode
from daleroad.ending import ShutdownScopes, make_shutdown_failure
from daleroad.errors import Ran
from daleroad.leaderclient import LeaderClient
from daleroad.loopback import OPERATOR_TOKENS, STOYANOV, Site, find_ports, get_token, make_site
from daleroad.records import Organisation
from daleroad.security import hash_token
from daleroad.serving import Answer, Request, Response, Router, Stream, serve_app
from daleroad.settings import Settings, Tls
from tests.harness import SiteTest, generate, get_json, wait_for

KILL_SECONDS = 3.0
"""From SIGTERM to SIGKILL; the setting ``stop`` of the site."""

LONG_OUTPUT_TOKENS = 900
"""Takes about 11 s at the stand-in's default speed, longer than KILL_SECONDS."""

SHORT_GRACE_SECONDS = 0.5
"""Grace period for open requests in ServerTest; control processes use 3 s."""

MAX_FORCED_EXIT_SECONDS = 2.0
"""Limit for the exit after a second SIGTERM, which docs/OPERATIONS.md says is immediate."""

_END = b"event: end\n"
_ERROR = b"event: error\n"


@dataclass(frozen=True)
class Outcome:
    """Result of one HTTP exchange.

    :param connection_error: ``repr`` of the transport error, or empty.
    """

    status: int = 0
    body: bytes = b""
    connection_error: str = ""


def ask(url: str, body: dict, headers: dict[str, str], body_started: threading.Event) -> Outcome:
    """Send one request without retries, and read the response until it ends or fails."""
    status = 0
    read = b""
    try:
        with httpx.stream(
            "POST", url, json=body, headers=headers, timeout=30, trust_env=False
        ) as response:
            status = response.status_code
            for chunk in response.iter_bytes():
                read += chunk
                body_started.set()
    except httpx.HTTPError as error:
        return Outcome(status, read, repr(error))
    return Outcome(status, read)


class ShutdownTest(SiteTest):
    """A site whose locate answers expire after 1 s, which shortens draining."""

    kill_seconds = KILL_SECONDS

    def change_site(self, site: Site) -> Site:
        site = super().change_site(site)
        times = {"locate_keep": 1.0, "follow": 0.5, "stop": self.kill_seconds}
        entries = tuple(replace(s, **times) for s in site.entries)
        control = tuple(replace(s, **times) for s in site.control)
        return replace(site, entries=entries, control=control)

    def setUp(self) -> None:
        super().setUp()
        self.pool = self.enterContext(ThreadPoolExecutor(4))
        self.body_started = threading.Event()

    def terminate_then_kill(self, name: str) -> Callable[[], None]:
        """Send SIGTERM, and SIGKILL after ``kill_seconds``; return what repeats SIGTERM."""
        process = self.processes.terminate(name)
        timer = threading.Timer(self.kill_seconds, process.kill)
        timer.start()

        def end() -> None:
            timer.cancel()
            process.kill()
            process.wait()

        self.addCleanup(end)
        return process.terminate

    def submit(
        self,
        settings: Settings,
        stream: bool = True,
        tokens: int = LONG_OUTPUT_TOKENS,
        last: str = "",
    ) -> "Future[Outcome]":
        headers = {"authorization": f"Bearer {get_token('danube-barges')}"}
        body = {
            "route": "bulletin",
            "prompt": f"#tokens={tokens}",
            "max_tokens": tokens,
            "stream": stream,
        }
        if last:
            headers["last-event-id"] = last
        return self.pool.submit(
            ask, f"{settings.url}/v1/completions", body, headers, self.body_started
        )

    def wait_inflight(self, settings: Settings) -> None:
        wait_for(lambda: get_json(f"{settings.url}/status")["inflight"], "a generation in progress")

    def check_whole_or_typed_failure(self, outcome: Outcome) -> None:
        """Check that an exchange ended whole or with a typed failure."""
        seen = f"status {outcome.status}, {len(outcome.body)} bytes, {outcome.connection_error}"
        self.assertEqual(
            outcome.connection_error, "", f"connection closed without a complete answer: {seen}"
        )
        if outcome.status != 200:
            self.assertIn(b'"urn:daleroad:', outcome.body, seen)
        elif not outcome.body.startswith(b"{"):
            last = outcome.body.rstrip(b"\n").rpartition(b"\n\n")[2]
            self.assertTrue(last.startswith((_END, _ERROR)), f"{seen}; last: {last!r}")

    def check_whole_or_refused(self, outcome: Outcome) -> None:
        """Check that a generation was whole or was refused before it started."""
        self.check_whole_or_typed_failure(outcome)
        if outcome.status == 200:
            self.assertNotIn(_ERROR, outcome.body, "started, then aborted")
        else:
            self.assertIn(b'"ran":"no"', outcome.body)


class EntryTest(ShutdownTest):
    """An entry that its supervisor stops after a short grace period."""

    def setUp(self) -> None:
        super().setUp()
        self.entry = self.site.entries[0]

    def test_a_stream_taken_after_the_signal(self) -> None:
        self.terminate_then_kill(self.entry.name)
        time.sleep(0.5)
        self.check_whole_or_refused(self.submit(self.entry).result(30))

    def test_an_answer_in_one_piece_taken_after_the_signal(self) -> None:
        self.terminate_then_kill(self.entry.name)
        time.sleep(0.5)
        self.check_whole_or_refused(self.submit(self.entry, stream=False).result(30))

    def test_a_stream_taken_before_the_signal(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.body_started.wait(30))
        self.terminate_then_kill(self.entry.name)
        self.check_whole_or_typed_failure(future.result(30))

    def test_an_answer_in_one_piece_taken_before_the_signal(self) -> None:
        future = self.submit(self.entry, stream=False)
        self.wait_inflight(self.entry)
        self.terminate_then_kill(self.entry.name)
        self.check_whole_or_typed_failure(future.result(30))

    def test_a_second_signal_exits_at_once(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.body_started.wait(30))
        process = self.processes.running[self.entry.name]
        send_sigterm = self.terminate_then_kill(self.entry.name)
        time.sleep(0.3)
        send_sigterm()
        asked_at = time.monotonic()
        code = process.wait(30)
        took = time.monotonic() - asked_at
        future.result(30)
        self.assertLess(took, MAX_FORCED_EXIT_SECONDS, f"exit code {code}")

    def test_a_stream_open_at_a_second_signal(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.body_started.wait(30))
        send_sigterm = self.terminate_then_kill(self.entry.name)
        time.sleep(0.3)
        send_sigterm()
        self.check_whole_or_typed_failure(future.result(30))

    def test_a_stream_counts_once(self) -> None:
        self.submit(self.entry)
        self.assertTrue(self.body_started.wait(30))
        status = get_json(f"{self.entry.url}/status")
        self.assertEqual((status["requests"], status["inflight"]), (1, 1))

    def test_a_caller_resumes_at_another_entry(self) -> None:
        caller = self.make_caller("danube-barges")
        future = self.pool.submit(generate, caller, "bulletin", f"#tokens={LONG_OUTPUT_TOKENS}")
        self.terminate_then_kill(
            wait_for(self.find_busy_entry, "an entry with a generation in progress").name
        )
        self.check_whole(future.result(60), LONG_OUTPUT_TOKENS)
        self.assertGreater(caller.resumes, 0)

    def find_busy_entry(self) -> Settings | None:
        """Return an entry with a generation in progress, if any."""
        for settings in self.site.entries:
            if get_json(f"{settings.url}/status")["inflight"]:
                return settings
        return None


class LongGraceTest(ShutdownTest):
    """An entry that its supervisor stops after a longer grace period."""

    kill_seconds = 12.0

    def setUp(self) -> None:
        super().setUp()
        self.entry = self.site.entries[0]

    def check_whole_outcome(self, outcome: Outcome) -> None:
        self.check_whole_or_typed_failure(outcome)
        self.assertEqual(outcome.status, 200, outcome)
        self.assertNotIn(_ERROR, outcome.body)
        self.assertIn(_END, outcome.body)

    def test_a_short_stream_taken_after_the_signal_is_whole(self) -> None:
        self.terminate_then_kill(self.entry.name)
        time.sleep(0.3)
        self.check_whole_outcome(self.submit(self.entry, tokens=60).result(30))

    def test_a_stream_taken_before_the_signal_is_whole_and_the_entry_exits_early(self) -> None:
        future = self.submit(self.entry, tokens=300)
        self.assertTrue(self.body_started.wait(30))
        process = self.processes.running[self.entry.name]
        self.terminate_then_kill(self.entry.name)
        self.check_whole_outcome(future.result(30))
        self.assertEqual(process.wait(30), 0)

    def test_a_resumed_stream_counts_once_and_is_whole(self) -> None:
        other = self.site.entries[1]
        self.submit(other, tokens=400)
        self.assertTrue(self.body_started.wait(30))
        record = self.get_record()
        (generation,) = record["generations"]
        self.body_started = threading.Event()
        future = self.submit(self.entry, last=f"{generation}:0")
        self.assertTrue(self.body_started.wait(30))
        status = get_json(f"{self.entry.url}/status")
        self.assertEqual((status["requests"], status["inflight"]), (1, 0))
        self.terminate_then_kill(self.entry.name)
        self.check_whole_outcome(future.result(30))


class SlowServiceTest(ShutdownTest):
    """An entry that waits for a plain service when its supervisor stops it."""

    def test_a_call_taken_after_the_signal(self) -> None:
        entry = self.site.entries[0]
        # The entry waits 10 s for a silent upstream of an urgent route, longer than KILL_SECONDS.
        self.processes.freeze(self.site.plain[0].name)
        self.terminate_then_kill(entry.name)
        time.sleep(0.5)
        headers = {"authorization": f"Bearer {get_token('pass-depots')}"}
        url = f"{entry.url}/services/weather/stations/7"
        self.check_whole_or_typed_failure(ask(url, {}, headers, self.body_started))


class ServerTest(unittest.TestCase):
    """The HTTP server that all roles use, at the end of its grace period or when cancelled."""

    def test_a_stream_when_the_grace_is_over(self) -> None:
        self.check(anyio.run(self.serve, "/stream", False), b"event: error\n")

    def test_an_answer_in_one_piece_when_the_grace_is_over(self) -> None:
        self.check(anyio.run(self.serve, "/piece", False), b'"urn:daleroad:')

    def test_a_stream_when_the_server_is_cancelled(self) -> None:
        self.check(anyio.run(self.serve, "/stream", True), b"event: error\n")

    def check(self, outcome: Outcome, expected: bytes) -> None:
        self.assertEqual(
            outcome.connection_error, "", f"connection closed without a complete answer: {outcome}"
        )
        self.assertIn(expected, outcome.body, f"no typed failure: {outcome}")

    async def serve(self, path: str, cancel: bool) -> Outcome:
        """Serve one request that outlasts the server; return its outcome."""
        stop = anyio.Event()
        request_started = anyio.Event()
        outcomes: list[Outcome] = []

        async def make_pieces() -> AsyncGenerator[bytes, None]:
            while True:
                yield b": keepalive\n\n"
                request_started.set()
                await anyio.sleep(0.05)

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        async def answer_late(request: Request) -> Answer:
            request_started.set()
            await anyio.sleep(KILL_SECONDS)
            return Response(200, b"{}")

        router = Router(1000)
        router.add("POST", "/stream", stream)
        router.add("POST", "/piece", answer_late)
        address = f"127.0.0.1:{find_ports(1)[0]}"

        async def fetch() -> None:
            body_started = threading.Event()
            url = f"http://{address}{path}"
            outcomes.append(await anyio.to_thread.run_sync(ask, url, {}, {}, body_started))

        async with anyio.create_task_group() as client, anyio.create_task_group() as server:
            server.start_soon(serve_app, router, address, Tls(), stop.wait, SHORT_GRACE_SECONDS)
            await anyio.sleep(0.3)
            client.start_soon(fetch)
            await request_started.wait()
            if cancel:
                server.cancel_scope.cancel()
            else:
                stop.set()
        return outcomes[0]


class RouterShutdownTest(unittest.TestCase):
    """A router at shutdown, called directly as an ASGI application."""

    def setUp(self) -> None:
        self.ending = ShutdownScopes()
        self.router = Router(1000)
        self.router.shutdown_scopes = self.ending
        self.sent: list[dict] = []

    async def send(self, event: dict) -> None:
        self.sent.append(event)
        await anyio.sleep(0)

    async def receive_whole_body(self) -> dict:
        """Return the whole body once, then block."""
        if self.body_sent:
            await anyio.sleep_forever()
        self.body_sent = True
        return {"type": "http.request", "body": b"{}", "more_body": False}

    async def receive_partial_body(self) -> dict:
        if self.body_sent:
            await anyio.sleep_forever()
        self.body_sent = True
        return {"type": "http.request", "body": b"{", "more_body": True}

    async def answer(self, receive: Callable, end_after: float) -> None:
        scope = {"type": "http", "method": "POST", "path": "/", "headers": []}
        self.body_sent = False
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.router, scope, receive, self.send)
                await anyio.sleep(end_after)
                self.ending.cancel_all()

    def run_handler(self, handler: Callable, receive: Callable, end_after: float = 0.1) -> bytes:
        """Handle one request, shut down after a delay, and return the response body."""
        self.router.add("POST", "/", handler)
        anyio.run(self.answer, receive, end_after)
        return b"".join(event.get("body", b"") for event in self.sent)

    def test_a_stream_before_its_first_piece(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            await anyio.sleep_forever()
            yield b"never"

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        body = self.run_handler(stream, self.receive_whole_body)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"unknown"', body)

    def test_a_stream_in_its_middle(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            yield b"data: 1\n\n"
            await anyio.sleep_forever()

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        body = self.run_handler(stream, self.receive_whole_body)
        self.assertEqual(self.sent[0]["status"], 200)
        self.assertTrue(body.startswith(b"data: 1\n\nevent: error\n"), body)
        self.assertIn(b'"ran":"partial"', body)
        self.assertEqual(self.sent[-1].get("more_body", False), False)

    def test_a_stream_whose_last_piece_is_being_sent(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            yield b"event: end\n\n"

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        async def send(event: dict) -> None:
            self.sent.append(event)
            if event.get("body"):
                self.ending.cancel_all()
            await anyio.sleep(0.05)

        self.send = send
        self.assertEqual(self.run_handler(stream, self.receive_whole_body, 0.5), b"event: end\n\n")

    def test_a_stream_that_ends_as_it_is_cancelled(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            yield b"event: end\n\n"
            self.ending.cancel_all()

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        self.assertEqual(self.run_handler(stream, self.receive_whole_body, 0.5), b"event: end\n\n")

    def test_a_partially_received_request_body(self) -> None:
        async def answer(request: Request) -> Answer:
            return Response(200)

        body = self.run_handler(answer, self.receive_partial_body)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"no"', body)

    def test_a_request_after_shutdown(self) -> None:
        ran = []

        async def answer(request: Request) -> Answer:
            ran.append(request)
            return Response(200)

        self.ending.cancel_all()
        body = self.run_handler(answer, self.receive_whole_body)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"no"', body)
        self.assertEqual(ran, [])

    def test_an_answer_returned_as_its_handler_is_cancelled(self) -> None:
        async def answer(request: Request) -> Answer:
            self.ending.cancel_all()
            return Response(200, b"{}")

        self.assertEqual(self.run_handler(answer, self.receive_whole_body), b"{}")


class FakeLinks:
    """The first call is refused because of shutdown; later ones succeed."""

    def __init__(self) -> None:
        self.called_urls: list[str] = []

    async def call(self, url: str, body: bytes, answer_type: type, limit: float) -> object:
        self.called_urls.append(url)
        return "answer" if len(self.called_urls) > 1 else make_shutdown_failure(Ran.UNKNOWN)


class LeaderTest(unittest.TestCase):
    def test_a_call_refused_for_shutdown_is_retried_on_another_control_process(self) -> None:
        links = FakeLinks()
        leader = LeaderClient(make_site("data").entries[0], links)
        answer = anyio.run(leader.call, "/claims/0", b"", str, 1.0, 2.0)
        self.assertEqual(answer, "answer")
        self.assertNotEqual(links.called_urls[0], links.called_urls[1])


class ControlTest(ShutdownTest):
    """A control process that is the leader when its supervisor stops it."""

    def test_a_change_that_waits_to_take_effect(self) -> None:
        # The change takes effect only once the lease of the frozen entry has expired.
        self.processes.freeze(self.site.entries[0].name)
        self.addCleanup(self.processes.thaw, self.site.entries[0].name)
        leader = self.find_leader()
        record = Organisation("late", STOYANOV, hash_token("late-token"))
        body = {
            "operation": "late-1",
            "kind": "PutOrganisation",
            "body": encode(record).decode(),
            "waitSeconds": 8.0,
        }
        headers = {"authorization": f"Bearer {OPERATOR_TOKENS[STOYANOV]}"}
        url = f"{leader.url}/daleroad.v1.Operators/Change"
        status_url = f"{leader.url}/status"
        revision = get_json(status_url)["revision"]
        future = self.pool.submit(ask, url, body, headers, self.body_started)
        wait_for(lambda: get_json(status_url)["revision"] > revision, "the change")
        self.terminate_then_kill(leader.name)
        outcome = future.result(30)
        self.assertEqual(
            outcome.connection_error, "", f"connection closed without a complete answer: {outcome}"
        )
        self.assertIn(b'"accepted":true', outcome.body.replace(b" ", b""))
