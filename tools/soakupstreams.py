"""The stand-in upstreams of a soak: plain services, and engines that stream events."""

import time
from collections import defaultdict
from collections.abc import AsyncIterator
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum
from random import Random

import anyio
import httpx
from anyio.abc import SocketStream

from tools.faultylink import FaultyLink
from tools.soakledger import Given, Hurt, Ledger
from tools.soakneeds import GATEWAY_HEADER, Needs
from tools.soakstutter import BROKEN_OFF, REJECTED, StutteringStream, Stutters

PLAIN_SERVICE, ENGINE_SERVICE = "s", "e"

SIZE_HEADER = "x-soak-stream"
"""Carries the size of a stream and how it ends, as EVENTS,SECONDS,FRAMING: a :class:`Framing`."""

HEARTBEAT_SECONDS = 0.5

CRASHING_BODY = b"crash"
"""A request with this body ends the upstream that begins to run it."""

BODY = "body"
CRASHING_PARTS = ("bad0bad0", "bad1bad1")
"""A request with one of these among its prompt's parts, but for the last, does so too."""

REASONS = {200: "OK", 429: "Too Many", 500: "Failed", 503: "Full"}

CRASHED_SECONDS = 2.0
"""Time from a crash until the upstream is back, under its id."""


class Framing(StrEnum):
    """How the end of a stream is told."""

    CHUNKS = "chunks"
    CLOSE = "close"
    """By the end of its connection."""
    TORN = "torn"
    """By the end of its connection inside the last event."""


@dataclass(frozen=True)
class UpstreamRequest:
    """A request as an upstream read it; names of headers are in lower case."""

    headers: dict[str, str]
    body: bytes

    def find_culprit(self) -> str:
        """Return what in it ends the upstream that begins to run it: BODY, a part, or nothing."""
        if self.body == CRASHING_BODY:
            return BODY
        parts = self.headers.get("x-daleroad-prefix-hash", "").split(",")[:-1]
        shared = {part.partition(":")[0] for part in parts}
        return next((part for part in CRASHING_PARTS if part in shared), "")


class Upstream:
    """A stand-in plain service that answers each request with its id and a signature of its own.

    A request with CRASHING_BODY or one of CRASHING_PARTS ends it: its connections end, nothing
    listens, no heartbeat comes, and CRASHED_SECONDS later it starts again.

    :param number: tells its VM.
    :param ledger: where it notes what it runs.
    :param random: draws how long it takes.
    :param entries: addresses that take heartbeats.
    :param network: begins the addresses of its site.
    :param linked: whether it announces the address of the link before it, not its own.
    """

    service = PLAIN_SERVICE
    port = 18000
    slots = 50

    def __init__(
        self,
        number: int,
        ledger: Ledger,
        random: Random,
        entries: list[str],
        network: str,
        linked: bool = True,
    ) -> None:
        self.address = f"{network}.1.{number + 1}:{self.port}"
        self.link = FaultyLink(f"{network}.2.{number + 1}:{self.port}", self.address)
        self._announced = self.link.address if linked else self.address
        self.link_name = f"link-{number}"
        self.id = f"{self.service}-{number}"
        self.zone = f"z{number}"
        self.arrivals: list[tuple[float, str]] = []
        self._ledger = ledger
        self._random = random
        self._entries = entries
        self._sequence = 0
        self._life: anyio.CancelScope | None = None
        self.born = read_clock()
        self.restarted_at = float("-inf")
        self.ran_at = float("-inf")
        self.crashed_at: dict[str, list[float]] = defaultdict(list)
        self.torn: list[str] = []
        self.reached: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.stutters = Stutters()
        drawn = Random(f"{random.random()} {self.id}")
        self.needs = Needs(self.id, self.link_name, drawn, ledger, self.go_down)

    def restart(self) -> None:
        """Start again under the same id; what was open must be cut off by its link."""
        self._sequence = 0
        self.born = max(self.born + 1, read_clock())
        self.restarted_at = anyio.current_time()

    async def run(self) -> None:
        """Serve until cancelled, with a pause after each crash."""
        while True:
            with anyio.CancelScope() as self._life:
                await self._serve()
            self._life = None
            await anyio.sleep(CRASHED_SECONDS)
            self.restart()

    async def _serve(self) -> None:
        host, port = self.address.split(":")
        async with await anyio.create_tcp_listener(local_host=host, local_port=int(port)) as found:
            await found.serve(self._handle)

    async def _handle(self, stream: SocketStream) -> None:
        found = StutteringStream(stream, self.stutters)
        async with stream:
            async for request in read_requests(stream):
                # The generation stops if the caller is gone.
                with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                    # A request that ends upstreams is found by how its connection ends.
                    if not request.find_culprit():
                        await found.begin_response()
                    await self._answer(found, request)
                    await found.end_response()

    def _crash(self, culprit: str) -> None:
        self.crashed_at[culprit].append(anyio.current_time())
        self.go_down()

    def go_down(self) -> None:
        """End; what it runs is cut off."""
        now = anyio.current_time()
        self._ledger.history.hurts.append(Hurt(self.link_name, now, now + CRASHED_SECONDS))
        if self._life is not None:
            self._life.cancel()

    async def _answer(self, stream: StutteringStream, asked: UpstreamRequest) -> None:
        head = asked.headers
        request = head.get("x-daleroad-attempt-id", "")
        if head.get("x-daleroad-expect-instance") != self.id:
            await stream.send(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        self.needs.take(head.get(GATEWAY_HEADER, ""))
        if self.needs.turns_away():
            words = self.needs.list_words()
            await _turn_away(stream, 503, f"X-Daleroad-Attempt-Id: {request}", *words)
            self._note_told(stream, head, words)
            return
        status = self.stutters.draw_status()
        if status in (429, 503):
            stream.stutter = self._random.choice(REJECTED)
            await _turn_away(stream, status)
            return
        self.ran_at = anyio.current_time()
        self.arrivals.append((self.ran_at, request))
        culprit = asked.find_culprit()
        if culprit:
            self.reached[culprit].append((self.ran_at, request))
        self._ledger.runs[request] = self._ledger.runs.get(request, 0) + 1
        self._ledger.reached.setdefault(request, set()).add(self.link_name)
        if stream.stutter in BROKEN_OFF:
            self._ledger.broken_off.add(request)
        if culprit:
            await self._begin_and_crash(stream, request, culprit, head)
        elif status == 200:
            await self._run(stream, request, head)
        else:
            await self._send_whole(stream, request, head, status)

    async def _begin_and_crash(
        self, stream: StutteringStream, request: str, culprit: str, head: dict[str, str]
    ) -> None:
        await anyio.sleep(self._random.uniform(0.02, 0.1))
        self._crash(culprit)
        await anyio.sleep_forever()

    def _note_told(self, stream: StutteringStream, head: dict[str, str], words: list[str]) -> None:
        if stream.intact:
            self.needs.note_told(head.get(GATEWAY_HEADER, ""), words)

    async def _run(self, stream: StutteringStream, request: str, head: dict[str, str]) -> None:
        await self._send_whole(stream, request, head, 200)

    async def _send_whole(
        self, stream: StutteringStream, request: str, head: dict[str, str], status: int
    ) -> None:
        await anyio.sleep(self._random.uniform(0.005, 0.08))
        words = self.needs.list_words()
        given = self._ledger.give(request, self.id, status)
        await _send_head(stream, given, f"Content-Length: {len(given.body)}", *words)
        await stream.send(given.body.encode())
        self._note_told(stream, head, words)

    async def beat(self, client: httpx.AsyncClient) -> None:
        """Send heartbeats to any coordinator until cancelled."""
        while True:
            if self._life is None:
                await anyio.sleep(HEARTBEAT_SECONDS / 10)
                continue
            self._sequence += 1
            body = self.make_heartbeat()
            place = f"http://{self._random.choice(self._entries)}"
            try:
                await client.put(f"{place}/-/instances/{self.id}", json=body)
            except httpx.HTTPError:
                continue
            await anyio.sleep(HEARTBEAT_SECONDS)

    def make_heartbeat(self) -> dict[str, object]:
        """Return what this upstream says of itself."""
        return {
            "service": self.service,
            "zone": self.zone,
            "address": self._announced,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }


class Engine(Upstream):
    """A stand-in engine whose streams have the size that their requests name."""

    service = ENGINE_SERVICE
    port = 18010
    slots = 24

    async def _begin_and_crash(
        self, stream: StutteringStream, request: str, culprit: str, head: dict[str, str]
    ) -> None:
        await self._send_stream_head(stream, request, read_size(head)[2])
        await super()._begin_and_crash(stream, request, culprit, head)

    async def _send_stream_head(
        self, stream: StutteringStream, request: str, framing: Framing, *words: str
    ) -> None:
        kind = ["Content-Type: text/event-stream"]
        kind += ["Transfer-Encoding: chunked"] if framing is Framing.CHUNKS else []
        await _send_head(stream, self._ledger.give(request, self.id, 200), *kind, *words)

    async def _run(self, stream: StutteringStream, request: str, head: dict[str, str]) -> None:
        events, pause, framing = read_size(head)
        words = self.needs.list_words()
        await self._send_stream_head(stream, request, framing, *words)
        self._note_told(stream, head, words)
        for number in range(1, events + 1):
            await anyio.sleep(pause)
            event = f"id: {number}\ndata: {request}\n\n"
            if framing is Framing.TORN and number == events:
                event = event[:-3]
            await stream.send(_frame(event.encode(), framing))
            if framing is Framing.TORN and number == events:
                self.torn.append(request)
        if framing is Framing.CHUNKS:
            await stream.send(b"0\r\n\r\n")
        else:
            await stream.aclose()


def read_size(head: dict[str, str]) -> tuple[int, float, Framing]:
    """Return the events of a stream, the seconds between them, and how it ends.

    :param head: the headers of its request.
    """
    events, pause, *framing = head[SIZE_HEADER].split(",")
    return int(events), float(pause), Framing(framing[0]) if framing else Framing.CHUNKS


def _frame(event: bytes, framing: Framing) -> bytes:
    return b"%x\r\n%s\r\n" % (len(event), event) if framing is Framing.CHUNKS else event


def read_clock() -> int:
    """Return the time of day in milliseconds."""
    return int(time.time() * 1000)


async def _turn_away(stream: StutteringStream, status: int, *words: str) -> None:
    lines = [
        f"HTTP/1.1 {status} {REASONS[status]}",
        "X-Daleroad-Not-Executed: 1",
        "Content-Length: 0",
        *words,
    ]
    await stream.send(("\r\n".join(lines) + "\r\n\r\n").encode())


async def _send_head(stream: StutteringStream, given: Given, *more: str) -> None:
    lines = [
        f"HTTP/1.1 {given.status} {REASONS[given.status]}",
        f"X-Daleroad-Attempt-Id: {given.request}",
        f"X-Daleroad-Engine-Signature: {given.signature}",
        *more,
    ]
    await stream.send(("\r\n".join(lines) + "\r\n\r\n").encode())


async def read_requests(stream: SocketStream) -> AsyncIterator[UpstreamRequest]:
    """Yield requests whose bodies have a length."""
    data = b""
    while True:
        try:
            while b"\r\n\r\n" not in data:
                data += await stream.receive()
            head, _, data = data.partition(b"\r\n\r\n")
            lines = head.decode().split("\r\n")[1:]
            pairs = (line.partition(":") for line in lines)
            headers = {name.lower(): value.strip() for name, _, value in pairs}
            length = int(headers.get("content-length", "0"))
            while len(data) < length:
                data += await stream.receive()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            return
        yield UpstreamRequest(headers, data[:length])
        data = data[length:]
