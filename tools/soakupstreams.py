"""The stand-in upstreams of a soak: plain services, and engines that stream events."""

import time
from collections.abc import AsyncIterator
from random import Random

import anyio
import httpx
from anyio.abc import SocketStream

from tools.faultylink import FaultyLink
from tools.soakledger import Ledger

PLAIN_SERVICE, ENGINE_SERVICE = "s", "e"

SIZE_HEADER = "x-soak-stream"
"""Carries the events of a stream and the seconds between them, as EVENTS,SECONDS."""

HEARTBEAT_SECONDS = 0.5


class Upstream:
    """A stand-in plain service that answers each request with its id and a signature.

    :param number: tells its VM.
    :param ledger: where it notes what it runs.
    :param random: draws how long it takes.
    :param entries: addresses that take heartbeats.
    """

    service = PLAIN_SERVICE
    port = 18000
    slots = 50

    def __init__(self, number: int, ledger: Ledger, random: Random, entries: list[str]) -> None:
        self.address = f"127.0.1.{number + 1}:{self.port}"
        self.link = FaultyLink(f"127.0.2.{number + 1}:{self.port}", self.address)
        self.link_name = f"link-{number}"
        self.id = f"{self.service}-{number}"
        self._ledger = ledger
        self._random = random
        self._entries = entries
        self._sequence = 0
        self.born = read_clock()
        self.restarted_at = float("-inf")
        self.ran_at = float("-inf")

    def restart(self) -> None:
        """Start again under the same id; what was open must be cut off by its link."""
        self._sequence = 0
        self.born = max(self.born + 1, read_clock())
        self.restarted_at = anyio.current_time()

    async def run(self) -> None:
        """Serve until cancelled."""
        host, port = self.address.split(":")
        async with await anyio.create_tcp_listener(local_host=host, local_port=int(port)) as found:
            await found.serve(self._handle)

    async def _handle(self, stream: SocketStream) -> None:
        async with stream:
            async for head in _read_heads(stream):
                await self._answer(stream, head)

    async def _answer(self, stream: SocketStream, head: dict[str, str]) -> None:
        request = head.get("x-daleroad-attempt-id", "")
        if head.get("x-daleroad-expect-instance") != self.id:
            await stream.send(b"HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n")
            return
        self.ran_at = anyio.current_time()
        self._ledger.runs[request] = self._ledger.runs.get(request, 0) + 1
        self._ledger.reached.setdefault(request, set()).add(self.link_name)
        await self._run(stream, request, head)

    async def _run(self, stream: SocketStream, request: str, head: dict[str, str]) -> None:
        await anyio.sleep(self._random.uniform(0.005, 0.08))
        await _send_head(stream, request, f"Content-Length: {len(request)}")
        await stream.send(request.encode())

    async def beat(self, client: httpx.AsyncClient) -> None:
        """Send heartbeats to any coordinator until cancelled."""
        while True:
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
            "zone": "z0",
            "address": self.link.address,
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

    async def _run(self, stream: SocketStream, request: str, head: dict[str, str]) -> None:
        events, pause = head[SIZE_HEADER].split(",")
        try:
            await _send_head(
                stream, request, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"
            )
            for number in range(1, int(events) + 1):
                await anyio.sleep(float(pause))
                event = f"id: {number}\ndata: {request}\n\n"
                await stream.send(f"{len(event):x}\r\n{event}\r\n".encode())
            await stream.send(b"0\r\n\r\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            # The caller is gone, so the generation stops.
            return


def read_clock() -> int:
    """Return the time of day in milliseconds."""
    return int(time.time() * 1000)


async def _send_head(stream: SocketStream, request: str, *more: str) -> None:
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Daleroad-Attempt-Id: {request}",
        "X-Daleroad-Engine-Signature: signed",
        *more,
    ]
    await stream.send(("\r\n".join(lines) + "\r\n\r\n").encode())


async def _read_heads(stream: SocketStream) -> AsyncIterator[dict[str, str]]:
    """Yield the heads of requests whose bodies are empty."""
    data = b""
    while True:
        while b"\r\n\r\n" not in data:
            try:
                data += await stream.receive()
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                return
        head, _, data = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")[1:]
        yield {name.lower(): value.strip() for name, _, value in (x.partition(":") for x in lines)}
