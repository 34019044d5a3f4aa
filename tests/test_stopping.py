"""What a caller sees of requests that a process took and that outlast it.

A supervisor gives a process some seconds after SIGTERM and then kills it. Each request that was
taken must have ended by then: whole, or by a typed failure that says whether it ran.
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
from daleroad.ending import Ending, make_leaving
from daleroad.errors import Ran
from daleroad.leader import LeaderClient
from daleroad.loopback import OPERATOR_TOKENS, STOYANOV, Site, find_ports, get_token, make_site
from daleroad.records import Organisation
from daleroad.security import hash_token
from daleroad.serving import Answer, Request, Response, Router, Stream, serve_app
from daleroad.settings import Settings, Tls
from tests.harness import SiteTest, generate, get_json, wait_for

KILL_SECONDS = 3.0
"""From SIGTERM to SIGKILL; the site's setting."""

LONG_TOKENS = 900
"""About 11 s at the stand-in's usual speed, so more than KILL_SECONDS."""

SHORT_GRACE_SECONDS = 0.5
"""Time that the server gives to open requests where a test sets it; control gives 3 s."""

AT_ONCE_SECONDS = 2.0
"""docs/OPERATIONS.md: a second SIGTERM ends an entry at once."""

_END = b"event: end\n"
_ERROR = b"event: error\n"


@dataclass(frozen=True)
class Outcome:
    """What one HTTP exchange gave. ``cut`` says how the connection broke, or is empty."""

    status: int = 0
    body: bytes = b""
    cut: str = ""


def ask(url: str, body: dict, headers: dict[str, str], begun: threading.Event) -> Outcome:
    """Send one request without any retry, and read whatever comes."""
    status = 0
    read = b""
    try:
        with httpx.stream(
            "POST", url, json=body, headers=headers, timeout=30, trust_env=False
        ) as response:
            status = response.status_code
            for chunk in response.iter_bytes():
                read += chunk
                begun.set()
    except httpx.HTTPError as error:
        return Outcome(status, read, repr(error))
    return Outcome(status, read)


class StoppingTest(SiteTest):
    """A site whose locate answers are kept for 1 s, so that draining is short."""

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
        self.begun = threading.Event()

    def supervise(self, name: str) -> Callable[[], None]:
        """Send SIGTERM, later SIGKILL as the setting says; return what sends SIGTERM again."""
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
        self, settings: Settings, stream: bool = True, tokens: int = LONG_TOKENS, last: str = ""
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
        return self.pool.submit(ask, f"{settings.url}/v1/completions", body, headers, self.begun)

    def wait_taken(self, settings: Settings) -> None:
        wait_for(lambda: get_json(f"{settings.url}/status")["inflight"], "a generation there")

    def check_ended(self, outcome: Outcome) -> None:
        """Check that an exchange ended whole or by a typed failure."""
        seen = f"status {outcome.status}, {len(outcome.body)} bytes, {outcome.cut}"
        self.assertEqual(outcome.cut, "", f"ended without an answer: {seen}")
        if outcome.status != 200:
            self.assertIn(b'"urn:daleroad:', outcome.body, seen)
        elif not outcome.body.startswith(b"{"):
            last = outcome.body.rstrip(b"\n").rpartition(b"\n\n")[2]
            self.assertTrue(last.startswith((_END, _ERROR)), f"{seen}; last: {last!r}")

    def check_not_begun_or_whole(self, outcome: Outcome) -> None:
        """Check that what can't end in time was not begun: a typed end in its middle won't do."""
        self.check_ended(outcome)
        if outcome.status == 200:
            self.assertNotIn(_ERROR, outcome.body, "begun, and ended in the middle")
        else:
            self.assertIn(b'"ran":"no"', outcome.body)


class EntryTest(StoppingTest):
    """An entry that its supervisor stops."""

    def setUp(self) -> None:
        super().setUp()
        self.entry = self.site.entries[0]

    def test_a_stream_taken_after_the_signal(self) -> None:
        self.supervise(self.entry.name)
        time.sleep(0.5)
        self.check_not_begun_or_whole(self.submit(self.entry).result(30))

    def test_an_answer_in_one_piece_taken_after_the_signal(self) -> None:
        self.supervise(self.entry.name)
        time.sleep(0.5)
        self.check_not_begun_or_whole(self.submit(self.entry, stream=False).result(30))

    def test_a_stream_taken_before_the_signal(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.begun.wait(30))
        self.supervise(self.entry.name)
        self.check_ended(future.result(30))

    def test_an_answer_in_one_piece_taken_before_the_signal(self) -> None:
        future = self.submit(self.entry, stream=False)
        self.wait_taken(self.entry)
        self.supervise(self.entry.name)
        self.check_ended(future.result(30))

    def test_the_second_signal_ends_the_process_at_once(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.begun.wait(30))
        process = self.processes.running[self.entry.name]
        again = self.supervise(self.entry.name)
        time.sleep(0.3)
        again()
        asked_at = time.monotonic()
        code = process.wait(30)
        took = time.monotonic() - asked_at
        future.result(30)
        self.assertLess(took, AT_ONCE_SECONDS, f"exit code {code}")

    def test_a_stream_at_the_second_signal(self) -> None:
        future = self.submit(self.entry)
        self.assertTrue(self.begun.wait(30))
        again = self.supervise(self.entry.name)
        time.sleep(0.3)
        again()
        self.check_ended(future.result(30))

    def test_a_stream_counts_once(self) -> None:
        self.submit(self.entry)
        self.assertTrue(self.begun.wait(30))
        status = get_json(f"{self.entry.url}/status")
        self.assertEqual((status["requests"], status["inflight"]), (1, 1))

    def test_a_caller_goes_on_at_another_entry(self) -> None:
        caller = self.make_caller("danube-barges")
        future = self.pool.submit(generate, caller, "bulletin", f"#tokens={LONG_TOKENS}")
        self.supervise(wait_for(self.find_busy, "an entry that delivers").name)
        self.check_whole(future.result(60), LONG_TOKENS)
        self.assertGreater(caller.resumes, 0)

    def find_busy(self) -> Settings | None:
        """Return an entry with a generation, if there is any."""
        for settings in self.site.entries:
            if get_json(f"{settings.url}/status")["inflight"]:
                return settings
        return None


class PatientTest(StoppingTest):
    """An entry whose supervisor gives it some more seconds."""

    kill_seconds = 12.0

    def setUp(self) -> None:
        super().setUp()
        self.entry = self.site.entries[0]

    def check_whole_outcome(self, outcome: Outcome) -> None:
        self.check_ended(outcome)
        self.assertEqual(outcome.status, 200, outcome)
        self.assertNotIn(_ERROR, outcome.body)
        self.assertIn(_END, outcome.body)

    def test_a_short_stream_taken_after_the_signal_is_whole(self) -> None:
        self.supervise(self.entry.name)
        time.sleep(0.3)
        self.check_whole_outcome(self.submit(self.entry, tokens=60).result(30))

    def test_a_stream_taken_before_the_signal_is_whole_and_the_entry_ends_early(self) -> None:
        future = self.submit(self.entry, tokens=300)
        self.assertTrue(self.begun.wait(30))
        process = self.processes.running[self.entry.name]
        self.supervise(self.entry.name)
        self.check_whole_outcome(future.result(30))
        self.assertEqual(process.wait(30), 0)

    def test_a_resumed_stream_counts_once_and_is_whole(self) -> None:
        other = self.site.entries[1]
        self.submit(other, tokens=400)
        self.assertTrue(self.begun.wait(30))
        record = self.get_record()
        (generation,) = record["generations"]
        self.begun = threading.Event()
        future = self.submit(self.entry, last=f"{generation}:0")
        self.assertTrue(self.begun.wait(30))
        status = get_json(f"{self.entry.url}/status")
        self.assertEqual((status["requests"], status["inflight"]), (1, 0))
        self.supervise(self.entry.name)
        self.check_whole_outcome(future.result(30))


class SlowServiceTest(StoppingTest):
    """An entry that waits for a plain service when its supervisor stops it."""

    def test_a_call_taken_after_the_signal(self) -> None:
        entry = self.site.entries[0]
        # The entry bears an urgent route's silent upstream for 10 s, more than KILL_SECONDS.
        self.processes.freeze(self.site.plain[0].name)
        self.supervise(entry.name)
        time.sleep(0.5)
        headers = {"authorization": f"Bearer {get_token('pass-depots')}"}
        url = f"{entry.url}/services/weather/stations/7"
        self.check_ended(ask(url, {}, headers, self.begun))


class ServerTest(unittest.TestCase):
    """The server under every role, when its grace is over or its process cancels it."""

    def test_a_stream_when_the_grace_is_over(self) -> None:
        self.check(anyio.run(self.serve, "/stream", False), b"event: error\n")

    def test_an_answer_in_one_piece_when_the_grace_is_over(self) -> None:
        self.check(anyio.run(self.serve, "/piece", False), b'"urn:daleroad:')

    def test_a_stream_when_the_server_is_cancelled(self) -> None:
        self.check(anyio.run(self.serve, "/stream", True), b"event: error\n")

    def check(self, outcome: Outcome, expected: bytes) -> None:
        self.assertEqual(outcome.cut, "", f"ended without an answer: {outcome}")
        self.assertIn(expected, outcome.body, f"untyped: {outcome}")

    async def serve(self, path: str, cancel: bool) -> Outcome:
        """Serve one request that takes longer than the server stays; return what came of it."""
        stop = anyio.Event()
        taken = anyio.Event()
        outcomes: list[Outcome] = []

        async def make_pieces() -> AsyncGenerator[bytes, None]:
            while True:
                yield b": keepalive\n\n"
                taken.set()
                await anyio.sleep(0.05)

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        async def answer_late(request: Request) -> Answer:
            taken.set()
            await anyio.sleep(KILL_SECONDS)
            return Response(200, b"{}")

        router = Router(1000)
        router.add("POST", "/stream", stream)
        router.add("POST", "/piece", answer_late)
        address = f"127.0.0.1:{find_ports(1)[0]}"

        async def fetch() -> None:
            begun = threading.Event()
            url = f"http://{address}{path}"
            outcomes.append(await anyio.to_thread.run_sync(ask, url, {}, {}, begun))

        async with anyio.create_task_group() as client, anyio.create_task_group() as server:
            server.start_soon(serve_app, router, address, Tls(), stop.wait, SHORT_GRACE_SECONDS)
            await anyio.sleep(0.3)
            client.start_soon(fetch)
            await taken.wait()
            if cancel:
                server.cancel_scope.cancel()
            else:
                stop.set()
        return outcomes[0]


class EndingTest(unittest.TestCase):
    """A router at the moment in which its process ends, without a server."""

    def setUp(self) -> None:
        self.ending = Ending()
        self.router = Router(1000)
        self.router.ending = self.ending
        self.sent: list[dict] = []

    async def send(self, event: dict) -> None:
        self.sent.append(event)
        await anyio.sleep(0)

    async def receive_all(self) -> dict:
        """Give an empty body, then nothing."""
        if self.begun:
            await anyio.sleep_forever()
        self.begun = True
        return {"type": "http.request", "body": b"{}", "more_body": False}

    async def receive_half(self) -> dict:
        if self.begun:
            await anyio.sleep_forever()
        self.begun = True
        return {"type": "http.request", "body": b"{", "more_body": True}

    async def answer(self, receive: Callable, end_after: float) -> None:
        scope = {"type": "http", "method": "POST", "path": "/", "headers": []}
        self.begun = False
        with anyio.fail_after(10):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.router, scope, receive, self.send)
                await anyio.sleep(end_after)
                self.ending.end()

    def run_handler(self, handler: Callable, receive: Callable, end_after: float = 0.1) -> bytes:
        """Answer one request, with the end some seconds later; return the body."""
        self.router.add("POST", "/", handler)
        anyio.run(self.answer, receive, end_after)
        return b"".join(event.get("body", b"") for event in self.sent)

    def test_a_stream_before_its_first_piece(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            await anyio.sleep_forever()
            yield b"never"

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        body = self.run_handler(stream, self.receive_all)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"unknown"', body)

    def test_a_stream_in_its_middle(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            yield b"data: 1\n\n"
            await anyio.sleep_forever()

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        body = self.run_handler(stream, self.receive_all)
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
                self.ending.end()
            await anyio.sleep(0.05)

        self.send = send
        self.assertEqual(self.run_handler(stream, self.receive_all, 0.5), b"event: end\n\n")

    def test_a_stream_that_ends_by_itself_as_it_is_cut_off(self) -> None:
        async def make_pieces() -> AsyncGenerator[bytes, None]:
            yield b"event: end\n\n"
            self.ending.end()

        async def stream(request: Request) -> Answer:
            return Stream(make_pieces())

        self.assertEqual(self.run_handler(stream, self.receive_all, 0.5), b"event: end\n\n")

    def test_a_body_that_is_half_read(self) -> None:
        async def answer(request: Request) -> Answer:
            return Response(200)

        body = self.run_handler(answer, self.receive_half)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"no"', body)

    def test_a_request_behind_the_end(self) -> None:
        ran = []

        async def answer(request: Request) -> Answer:
            ran.append(request)
            return Response(200)

        self.ending.end()
        body = self.run_handler(answer, self.receive_all)
        self.assertEqual(self.sent[0]["status"], 503)
        self.assertIn(b'"ran":"no"', body)
        self.assertEqual(ran, [])

    def test_an_answer_that_is_there_as_its_handler_is_cut_off(self) -> None:
        async def answer(request: Request) -> Answer:
            self.ending.end()
            return Response(200, b"{}")

        self.assertEqual(self.run_handler(answer, self.receive_all), b"{}")


class FakeLinks:
    """The first control process that is asked ends, the others answer."""

    def __init__(self) -> None:
        self.asked: list[str] = []

    async def call(self, url: str, body: bytes, shape: type, limit: float) -> object:
        self.asked.append(url)
        return "answer" if len(self.asked) > 1 else make_leaving(Ran.UNKNOWN)


class LeaderTest(unittest.TestCase):
    def test_a_control_process_that_ends_is_left_for_another(self) -> None:
        links = FakeLinks()
        leader = LeaderClient(make_site("data").entries[0], links)
        answer = anyio.run(leader.call, "/claims/0", b"", str, 1.0, 2.0)
        self.assertEqual(answer, "answer")
        self.assertNotEqual(links.asked[0], links.asked[1])


class ControlTest(StoppingTest):
    """A leading control process that its supervisor stops."""

    def test_a_change_that_waits_to_be_in_force(self) -> None:
        # The frozen entry keeps the change from being in force until its lease has run out.
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
        future = self.pool.submit(ask, url, body, headers, self.begun)
        time.sleep(0.5)
        self.supervise(leader.name)
        outcome = future.result(30)
        self.assertEqual(outcome.cut, "", f"ended without an answer: {outcome}")
        self.assertIn(b'"accepted":true', outcome.body.replace(b" ", b""))
