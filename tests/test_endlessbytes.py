"""Tests of a gateway's memory while its upstreams send without end.

A real gateway has requests at upstreams whose responses go on until it closes the connections. The
calls for copies and reports, which no client makes, are sent by the gateway's client of upstreams
in a process of its own.
"""

import os
import sys
import tempfile
import time
import unittest
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random

import anyio
import httpx
import orjson
from anyio.abc import SocketStream

from tests.fakes import make_instance, make_job
from tools.soak import CLIENT_PORT, CONTROL_PORT, Processes
from tools.soakledger import Ledger
from tools.soakupstreams import PLAIN_SERVICE, Upstream, read_requests

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

from engines import EngineClient  # noqa: E402

REQUESTS = 40
UPSTREAMS = 3
GROWTH_MB = 48
"""Most by which the peak may grow; the rest of a VM's memory is for the process and sound work."""

MEMORY_MB = 128
ROUTE_SECONDS, DEADLINE_SECONDS = 3.0, 5.0
CLOSE_SECONDS = 2.0
"""Time in which the connections must be closed once all requests have ended."""

START_SECONDS = 30.0
PIECE_BYTES = 64_000
FLOOD_HEADER = "x-flood"

WARM, COPY, REPORT = "warm", "copy", "report"
SIGNED = "X-Daleroad-Attempt-Id: {id}\r\nX-Daleroad-Engine-Signature: s\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"
OK = "HTTP/1.1 200 OK\r\n"
STREAM = "Content-Type: text/event-stream\r\n"
LETTERS = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%s\r\n" % (PIECE_BYTES, LETTERS)
HEADERS = b"X-More: 1\r\n" * (PIECE_BYTES // 11)


@dataclass(frozen=True)
class Flood:
    """A response without end: its beginning, and the piece that follows again and again."""

    begin: str
    piece: bytes


FLOODS = {
    "header value": Flood(OK + SIGNED + "X-Long: ", LETTERS),
    "headers": Flood(OK + SIGNED, HEADERS),
    "1xx": Flood("", b"HTTP/1.1 102 Processing\r\n\r\n" * (PIECE_BYTES // 27)),
    "1xx with headers": Flood("", b"HTTP/1.1 103 Early Hints\r\n%s\r\n" % (HEADERS[:1100])),
    "success": Flood(OK + SIGNED + CHUNKED, CHUNK),
    "success without length": Flood(OK + SIGNED + "\r\n", LETTERS),
    "failure": Flood("HTTP/1.1 500 Failed\r\n" + SIGNED + CHUNKED, CHUNK),
    "rejection": Flood("HTTP/1.1 503 Full\r\nX-Daleroad-Not-Executed: 1\r\n" + CHUNKED, CHUNK),
    "rejection without length": Flood(
        "HTTP/1.1 503 Full\r\nX-Daleroad-Not-Executed: 1\r\n\r\n", LETTERS
    ),
    "chunk header": Flood(OK + SIGNED + CHUNKED + "1;", LETTERS),
    "trailer value": Flood(OK + SIGNED + CHUNKED + "1\r\na\r\n0\r\nX-Long: ", LETTERS),
    "trailers": Flood(OK + SIGNED + CHUNKED + "1\r\na\r\n0\r\n", HEADERS),
    "event": Flood(OK + STREAM + SIGNED + CHUNKED + "7\r\nid: 1\n\n\r\n", CHUNK),
    "event without length": Flood(OK + STREAM + SIGNED + "\r\nid: 1\n\n", LETTERS),
    COPY: Flood(OK + CHUNKED, CHUNK),
    REPORT: Flood(OK + "\r\n", LETTERS),
}


class EndlessUpstream(Upstream):
    """An upstream that answers without end where a request names a flood.

    :ivar flooding: connections on which it does so now.
    :ivar flooded: requests that it has answered so.
    """

    flooding = 0
    flooded = 0
    flood = ""
    """Answers requests that name none."""

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            async for request in read_requests(stream):
                name = request.headers.get(FLOOD_HEADER, self.flood)
                attempt = request.headers.get("x-daleroad-attempt-id", "")
                if name == WARM:
                    await anyio.sleep(0.2)
                    head = f"{OK}{SIGNED}Content-Length: 2\r\n\r\nok"
                    await stream.send(head.replace("{id}", attempt).encode())
                else:
                    await self._send_endlessly(stream, FLOODS[name], attempt)

    async def _send_endlessly(self, stream: SocketStream, flood: Flood, attempt: str) -> None:
        self.flooding += 1
        self.flooded += 1
        try:
            await stream.send(flood.begin.replace("{id}", attempt).encode())
            while True:
                await stream.send(flood.piece)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            await stream.aclose()
        finally:
            self.flooding -= 1


class SmallProcesses(Processes):
    """Processes that are told the memory of a VM."""

    def _write_settings(self, name: str, role: str, number: int) -> Path:
        path = super()._write_settings(name, role, number)
        settings = orjson.loads(path.read_bytes()) | {"limits": {"memory_mb": MEMORY_MB}}
        path.write_bytes(orjson.dumps(settings))
        return path


@dataclass(frozen=True)
class Found:
    """What was seen.

    :param endings: statuses, or how requests ended that got none.
    :param slowest: seconds that the slowest request took.
    :param growth: bytes by which the peak of the process's memory grew.
    :param peak: that peak in bytes.
    :param flooded: how often requests were answered without end.
    :param open: connections of these that were still open at the end.
    """

    endings: list[str]
    slowest: float
    growth: int
    peak: int
    flooded: int
    open: int


def read_peak(process: int) -> int:
    """Return the peak of a process's resident memory in bytes."""
    lines = Path(f"/proc/{process}/status").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith("VmHWM"))


def make_upstreams(network: str) -> list[EndlessUpstream]:
    entries = [f"{network}.0.1:{CONTROL_PORT}"]
    return [
        EndlessUpstream(number, Ledger(), Random(number), entries, network, linked=False)
        for number in range(UPSTREAMS)
    ]


async def wait_closed(upstreams: list[EndlessUpstream]) -> int:
    """Return how many connections with endless responses are open after the time for that."""
    with anyio.move_on_after(CLOSE_SECONDS):
        while any(upstream.flooding for upstream in upstreams):
            await anyio.sleep(0.05)
    return sum(upstream.flooding for upstream in upstreams)


class EndlessTest(unittest.TestCase):
    """Checks that are the same for requests and calls."""

    def check(self, found: Found, held: bool = False) -> None:
        """Check what was seen.

        :param held: whether the bodies are held to be passed on. The account of held bytes may let
            them take what the VM has beside the process.
        """
        said = (
            f"{Counter(found.endings)}, the slowest after {found.slowest:.2f} s, "
            f"{found.growth / 10**6:.0f} MB more"
        )
        with self.subTest("all reach an upstream"):
            self.assertGreaterEqual(found.flooded, REQUESTS, said)
        with self.subTest("each fails or is rejected before its deadline"):
            self.assertFalse({"whole", "late"} & set(found.endings), said)
            self.assertEqual(len(found.endings), REQUESTS, said)
            self.assertLess(found.slowest, DEADLINE_SECONDS, said)
        with self.subTest("memory is bounded"):
            if held:
                self.assertLess(found.peak, MEMORY_MB * 10**6, said)
            else:
                self.assertLess(found.growth, GROWTH_MB * 10**6, said)
        with self.subTest("the connections are closed"):
            self.assertEqual(found.open, 0, said)


class GatewayTest(EndlessTest):
    """A gateway, a coordinator and three upstreams."""

    NETWORK = "127.47"
    KINDS = {"/once/": "non_idempotent", "/again/": "idempotent", "/stream/": "streaming"}

    def play(self, flood: str, *paths: str) -> Found:
        """Send requests at once to some paths by turns, and return how they ended."""

        async def main() -> Found:
            async with self.start_site() as (pid, upstreams):
                await self.ask_all(WARM, ("/once/x", "/again/x"))
                before = read_peak(pid)
                found = await self.ask_all(flood, paths)
                open_count = await wait_closed(upstreams)
                return Found(
                    [ending for ending, _ in found],
                    max(seconds for _, seconds in found),
                    read_peak(pid) - before,
                    read_peak(pid),
                    sum(upstream.flooded for upstream in upstreams),
                    open_count,
                )

        return anyio.run(main)

    @asynccontextmanager
    async def start_site(self) -> AsyncIterator[tuple[int, list[EndlessUpstream]]]:
        """Yield the gateway's process and the upstreams once it has served a request."""
        upstreams = make_upstreams(self.NETWORK)
        with tempfile.TemporaryDirectory(prefix="daleroad-test-") as folder:
            processes = SmallProcesses(Path(folder), 1, 1, self.NETWORK)
            processes.start_all()
            try:
                async with (
                    httpx.AsyncClient(trust_env=False) as client,
                    anyio.create_task_group() as tasks,
                ):
                    for upstream in upstreams:
                        tasks.start_soon(upstream.run)
                        tasks.start_soon(upstream.beat, client)
                    with anyio.fail_after(START_SECONDS):
                        await self.configure(client)
                        await self.wait_served(client)
                    yield processes.list_pids("gateway")[0], upstreams
                    tasks.cancel_scope.cancel()
            finally:
                processes.end_all()

    async def configure(self, client: httpx.AsyncClient) -> None:
        route = {"name": "r", "host": "h", "public": True, "service": PLAIN_SERVICE}
        route |= {"timeout_ms": int(ROUTE_SECONDS * 1000), "max_attempts": 1}
        routes = [
            route | {"path_prefix": prefix, "route_kind": kind}
            for prefix, kind in self.KINDS.items()
        ]
        config = {"version": 1, "routes": routes, "services": [{"name": PLAIN_SERVICE}]}
        status = 0
        while status != httpx.codes.OK:
            await anyio.sleep(0.1)
            try:
                url = f"http://{self.NETWORK}.0.1:{CONTROL_PORT}/-/config"
                status = (await client.put(url, json=config)).status_code
            except httpx.HTTPError:
                continue

    async def wait_served(self, client: httpx.AsyncClient) -> None:
        """Wait until all upstreams are known."""
        served = 0
        while served < 3 * UPSTREAMS:
            await anyio.sleep(0.1)
            ending, _ = await self.ask(client, f"warm{time.monotonic()}", WARM, "/once/x")
            served += ending == "whole"

    async def ask_all(self, flood: str, paths: tuple[str, ...]) -> list[tuple[str, float]]:
        found: list[tuple[str, float]] = []

        async def ask(number: int) -> None:
            path = paths[number % len(paths)]
            found.append(await self.ask(client, f"{flood}-{number}", flood, path))

        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(trust_env=False, limits=limits) as client,
            anyio.create_task_group() as tasks,
        ):
            for number in range(REQUESTS):
                tasks.start_soon(ask, number)
        return found

    async def ask(
        self, client: httpx.AsyncClient, request: str, flood: str, path: str
    ) -> tuple[str, float]:
        """Send a request and return how it ended, and after how many seconds."""
        headers = {"host": "h", "x-daleroad-attempt-id": request, FLOOD_HEADER: flood}
        headers["x-daleroad-deadline-ms"] = str(int(DEADLINE_SECONDS * 1000))
        url = f"http://{self.NETWORK}.0.1:{CLIENT_PORT}{path}"
        began = time.monotonic()
        ending = "late"
        with anyio.move_on_after(2 * DEADLINE_SECONDS):
            try:
                answer = await client.post(
                    url, content=request.encode(), headers=headers, timeout=2 * DEADLINE_SECONDS
                )
                good = answer.status_code < httpx.codes.BAD_REQUEST
                ending = "whole" if good else str(answer.status_code)
            except httpx.HTTPError as error:
                ending = type(error).__name__
        return ending, time.monotonic() - began

    def check_plain(self, flood: str, held: bool = False) -> None:
        self.check(self.play(flood, "/once/x", "/again/x"), held)

    def test_header_value_without_end_takes_no_memory(self) -> None:
        self.check_plain("header value")

    def test_headers_without_end_take_no_memory(self) -> None:
        self.check_plain("headers")

    def test_informational_responses_without_end_take_no_memory(self) -> None:
        self.check_plain("1xx")

    def test_informational_responses_with_headers_without_end_take_no_memory(self) -> None:
        self.check_plain("1xx with headers")

    def test_body_of_a_success_without_end_takes_no_memory(self) -> None:
        self.check_plain("success", held=True)

    def test_body_of_a_success_without_length_and_end_takes_no_memory(self) -> None:
        self.check_plain("success without length", held=True)

    def test_body_of_a_failure_without_end_takes_no_memory(self) -> None:
        self.check_plain("failure", held=True)

    def test_body_of_a_rejection_without_end_takes_no_memory(self) -> None:
        self.check_plain("rejection")

    def test_body_of_a_rejection_without_length_and_end_takes_no_memory(self) -> None:
        self.check_plain("rejection without length")

    def test_chunk_header_without_end_takes_no_memory(self) -> None:
        self.check_plain("chunk header")

    def test_trailer_value_without_end_takes_no_memory(self) -> None:
        self.check_plain("trailer value")

    def test_trailers_without_end_take_no_memory(self) -> None:
        self.check_plain("trailers")

    def test_event_without_end_takes_no_memory(self) -> None:
        self.check(self.play("event", "/stream/x"))

    def test_event_without_length_and_end_takes_no_memory(self) -> None:
        self.check(self.play("event without length", "/stream/x"))


class CallTest(EndlessTest):
    """The client of upstreams, in a process of its own, calls upstreams."""

    NETWORK = "127.48"

    def play(self, call: str) -> Found:
        async def main() -> Found:
            upstreams = make_upstreams(self.NETWORK)
            for upstream in upstreams:
                upstream.flood = call
            async with anyio.create_task_group() as tasks:
                for upstream in upstreams:
                    tasks.start_soon(upstream.run)
                await anyio.sleep(0.2)
                found = await self.run_caller(call, [u.address for u in upstreams], upstreams)
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(main)

    async def run_caller(
        self, call: str, addresses: list[str], upstreams: list[EndlessUpstream]
    ) -> Found:
        command = [sys.executable, "-m", "tests.test_endlessbytes", call, *addresses]
        environment = {"PATH": os.environ["PATH"]}
        async with await anyio.open_process(command, cwd=ROOT, env=environment) as caller:
            assert caller.stdout is not None
            line = b""
            with anyio.fail_after(START_SECONDS + 2 * DEADLINE_SECONDS):
                while not line.endswith(b"\n"):
                    line += await caller.stdout.receive()
            open_count = await wait_closed(upstreams)
            caller.kill()
        seen = orjson.loads(line)
        flooded = sum(upstream.flooded for upstream in upstreams)
        return Found(**seen, flooded=flooded, open=open_count)

    def test_answer_to_a_copy_without_end_takes_no_memory(self) -> None:
        self.check(self.play(COPY))

    def test_report_without_end_takes_no_memory(self) -> None:
        self.check(self.play(REPORT))


async def call_all(call: str, addresses: list[str]) -> None:
    """Call upstreams, print what was seen, and wait to be ended."""
    client = EngineClient()
    instances = [replace(make_instance(n), address=a) for n, a in enumerate(addresses)]
    endings: list[str] = []
    before = read_peak(os.getpid())
    began = time.monotonic()

    async def make_call(number: int) -> None:
        instance = instances[number % len(instances)]
        result: object = None
        with anyio.move_on_after(DEADLINE_SECONDS):
            if call == COPY:
                job = replace(make_job(0.0), id=f"copy-{number}")
                result = await client.copy(job, instance, instances[0], final=False)
            else:
                result = await client.report(instance)
        endings.append("late" if result is None else type(result).__name__)

    async with anyio.create_task_group() as tasks:
        for number in range(REQUESTS):
            tasks.start_soon(make_call, number)
    seen = {"endings": endings, "slowest": time.monotonic() - began}
    peak = read_peak(os.getpid())
    print(orjson.dumps(seen | {"growth": peak - before, "peak": peak}).decode(), flush=True)
    await anyio.sleep_forever()


if __name__ == "__main__":
    anyio.run(call_all, sys.argv[1], sys.argv[2:])
