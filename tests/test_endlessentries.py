"""Tests of an entry's memory while its upstreams send without end."""

import contextlib
from collections import Counter
from dataclasses import replace

import anyio
import httpx
from anyio.abc import SocketStream, TaskStatus
from anyio.from_thread import start_blocking_portal

from daleroad.loopback import Site, find_ports, get_token
from tests.harness import SiteTest
from tests.test_endlessbytes import (
    CHUNK,
    CHUNKED,
    GROWTH_MB,
    HEADERS,
    LETTERS,
    OK,
    STREAM,
    Flood,
    read_peak,
)

CALLS = 20
PATIENCE_SECONDS = 40.0
ORGANISATION, MODEL_ROUTE, PLAIN_ROUTE = "danube-barges", "bulletin", "weather"
FLOODS = {
    "header value": Flood(OK + "X-Long: ", LETTERS),
    "headers": Flood(OK, HEADERS),
    "1xx": Flood("", b"HTTP/1.1 102 Processing\r\n\r\n" * 2000),
    "event": Flood(OK + STREAM + CHUNKED, CHUNK),
    "event without length": Flood(OK + STREAM + "\r\n", LETTERS),
    "comments": Flood(OK + STREAM + "\r\n", b": still here\n\n" * 4000),
    "failure": Flood("HTTP/1.1 500 Failed\r\n" + CHUNKED, CHUNK),
    "rejection": Flood("HTTP/1.1 503 Full\r\n" + CHUNKED, CHUNK),
    "chunk header": Flood(OK + CHUNKED + "1;", LETTERS),
    "trailers": Flood(OK + CHUNKED + "1\r\na\r\n0\r\n", HEADERS),
}


class EndlessEntryTest(SiteTest):
    """The engine and the plain service announce an address that answers without end."""

    ENTRIES = 1

    def change_site(self, site: Site) -> Site:
        self.flood = FLOODS["headers"]
        self.sent: Counter[str] = Counter()
        self.address = f"127.0.0.1:{find_ports(1)[0]}"
        self.portal = self.enterContext(start_blocking_portal())
        future, _ = self.portal.start_task(self.run_upstream)
        self.addCleanup(future.cancel)
        return replace(
            super().change_site(site),
            engines=tuple(replace(engine, advertise=self.address) for engine in site.engines),
            plain=tuple(replace(plain, advertise=self.address) for plain in site.plain),
        )

    async def run_upstream(self, *, task_status: TaskStatus[None]) -> None:
        host, port = self.address.split(":")
        async with await anyio.create_tcp_listener(
            local_host=host, local_port=int(port)
        ) as listener:
            task_status.started()
            await listener.serve(self.answer)

    async def answer(self, stream: SocketStream) -> None:
        flood = self.flood
        with contextlib.suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream:
                head = await stream.receive()
                self.sent[head.split(b" ")[1].decode().split("/")[1]] += 1
                await stream.send(flood.begin.encode())
                while True:
                    await stream.send(flood.piece)

    async def call(self, path: str, body: dict[str, str], statuses: list[object]) -> None:
        token = {"authorization": f"Bearer {get_token(ORGANISATION)}"}
        async with httpx.AsyncClient(trust_env=False, timeout=PATIENCE_SECONDS) as client:
            url = f"{self.site.entries[0].url}{path}"
            try:
                answer = await client.post(url, json=body, headers=token)
                statuses.append(answer.status_code)
            except httpx.HTTPError as error:
                statuses.append(repr(error))

    def check(self, path: str, body: dict[str, str]) -> None:
        process = self.processes.running[self.site.entries[0].name]
        for name, flood in FLOODS.items():
            with self.subTest(name):
                self.flood = flood
                before = read_peak(process.pid)
                statuses: list[object] = []

                async def main(found: list[object] = statuses) -> None:
                    async with anyio.create_task_group() as tasks:
                        for _ in range(CALLS):
                            tasks.start_soon(self.call, path, body, found)

                anyio.run(main)
                growth = (read_peak(process.pid) - before) / 10**6
                said = f"{Counter(map(str, statuses))}, {growth:.0f} MB, {self.sent}"
                self.assertIsNone(process.poll(), said)
                self.assertEqual(len(statuses), CALLS)
                self.assertLess(growth, GROWTH_MB, said)

    def test_generations_take_no_memory(self) -> None:
        self.check("/v1/completions", {"route": MODEL_ROUTE, "prompt": "p", "max_tokens": 0})

    def test_service_calls_take_no_memory(self) -> None:
        self.check(f"/services/{PLAIN_ROUTE}/x", {})
