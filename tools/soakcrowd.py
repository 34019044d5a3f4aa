"""Clients of a soak that misbehave, beside the ordinary ones."""

import socket
import struct
from collections.abc import Callable, Iterator
from contextlib import suppress
from random import Random

import anyio

STAY_SECONDS = (0.1, 4.0)
"""How long such a client stays on a connection."""

GAP_SECONDS = (0.0, 0.5)
"""Time between two connections of one client."""

MEMORY_MB = 150
DESCRIPTORS = 4100
"""Limits in the settings of each process: those of small VMs."""

_BODY_BYTES = 4_000_000
_REQUESTS_AHEAD = 300
_HTTP2 = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + bytes(9)

MakeParts = Callable[[list[str], str], Iterator[bytes]]


def _make_head(request: str, path: str, method: str = "GET", *headers: str) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: h", f"X-Daleroad-Attempt-Id: {request}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode()


def _send_ahead(requests: list[str], path: str) -> Iterator[bytes]:
    for request in requests:
        yield _make_head(request, path)


def _send_half_a_head(requests: list[str], path: str) -> Iterator[bytes]:
    yield _make_head(requests[0], path)[:-2] + b"a:\r\n" * 3000


def _send_half_a_body(requests: list[str], path: str) -> Iterator[bytes]:
    yield _make_head(requests[0], path, "POST", f"Content-Length: {_BODY_BYTES}")
    yield bytes(_BODY_BYTES - 1)


def _send_http2(requests: list[str], path: str) -> Iterator[bytes]:
    yield _HTTP2


def _send_upgrade(requests: list[str], path: str) -> Iterator[bytes]:
    wanted = ("Connection: Upgrade", "Upgrade: websocket", "Sec-WebSocket-Version: 13")
    yield _make_head(requests[0], path, "GET", *wanted, "Sec-WebSocket-Key: AAAA")
    yield b"\x02\xfe\xff\xff\0\0\0\0" + bytes(65_535)


def _send_nothing(requests: list[str], path: str) -> Iterator[bytes]:
    yield from ()


BEHAVIOURS: tuple[MakeParts, ...] = (
    _send_ahead,
    _send_half_a_head,
    _send_half_a_body,
    _send_http2,
    _send_upgrade,
    _send_nothing,
)


class CrowdClient:
    """Uses one connection after the other, each in a way that is drawn, and reads nothing.

    :param name: begins the ids of its requests.
    :param random: draws what it does, where and how long.
    :param listeners: addresses that clients reach.
    :param requests: where the ids of its requests are added; all may run more than once.
    """

    def __init__(self, name: str, random: Random, listeners: list[str], requests: set[str]) -> None:
        self._name = name
        self._random = random
        self._listeners = listeners
        self._requests = requests
        self._number = 0

    async def run(self) -> None:
        """Misbehave until cancelled."""
        while True:
            with socket.socket() as client, suppress(OSError):
                client.setblocking(False)
                stay = self._random.uniform(*STAY_SECONDS)
                with anyio.move_on_after(stay):
                    await self._use(client)
                    await anyio.sleep_forever()
                if self._random.random() < 0.5:
                    linger = struct.pack("ii", 1, 0)
                    client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            await anyio.sleep(self._random.uniform(*GAP_SECONDS))

    async def _use(self, client: socket.socket) -> None:
        host, port = self._random.choice(self._listeners).split(":")
        behaviour = self._random.choice(BEHAVIOURS)
        requests = [self._name_request() for _ in range(_REQUESTS_AHEAD)]
        with suppress(BlockingIOError):
            client.connect((host, int(port)))
        await anyio.wait_writable(client)
        for part in behaviour(requests, "/again/x"):
            left = memoryview(part)
            while left:
                await anyio.wait_writable(client)
                with suppress(BlockingIOError):
                    left = left[client.send(left) :]

    def _name_request(self) -> str:
        self._number += 1
        request = f"{self._name}-{self._number}"
        self._requests.add(request)
        return request
