"""The server library's HTTP/1.1 protocol without its ways into other protocols."""

import asyncio
from collections import deque
from typing import Any

import h11
from hypercorn.config import Config
from hypercorn.protocol.events import Request as RequestEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

_HTTP2_REFUSAL = (
    # An empty SETTINGS frame, and GOAWAY with HTTP_1_1_REQUIRED for no stream (RFC 9113).
    b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
    b"\x00\x00\x08\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x0d"
)

_HEAD_REFUSAL = (
    b"HTTP/1.1 431 Request Header Fields Too Large\r\n"
    b"content-length: 0\r\nconnection: close\r\n\r\n"
)


class RefusedError(Exception):
    """A connection ends before a request of it is served.

    :param answer: what its client is sent.
    """

    def __init__(self, answer: bytes) -> None:
        super().__init__(answer)
        self.answer = answer


class ServerConfig(Config):
    """The library's settings, and one that it lacks.

    :ivar head_timeout: seconds from the first byte of a request until its head is complete.
    """

    head_timeout = 10.0
    ssl_handshake_timeout = 10.0
    alpn_protocols = ["http/1.1"]
    max_app_queue_size = 2


class Http1Protocol(H11Protocol):
    """The HTTP/1.1 protocol of one connection.

    Other protocols, and heads above the limit, raise :class:`RefusedError`.
    """

    async def _check_protocol(self, event: h11.Request) -> None:
        if event.method == b"PRI" and event.http_version == b"2.0":
            raise RefusedError(_HTTP2_REFUSAL)
        # The parser checks the size of incomplete heads only.
        if _measure_head(event) > self.config.h11_max_incomplete_size:
            raise RefusedError(_HEAD_REFUSAL)

    async def _create_stream(self, request: h11.Request) -> None:
        # Requests to upgrade are served in HTTP/1.1, as RFC 9110 allows (7.8).
        self.stream = HTTPStream(
            self.app,
            self.config,
            self.context,
            self.task_group,
            self.ssl,
            self.client,
            self.server,
            self.stream_send,
            STREAM_ID,
        )
        await self.stream.handle(
            RequestEvent(
                stream_id=STREAM_ID,
                headers=list(request.headers),
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=request.target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1


def _measure_head(request: h11.Request) -> int:
    """Return the size of a head without optional white space, in bytes."""
    line = len(request.method) + len(request.target) + len("  HTTP/1.1\r\n")
    fields = sum(len(name) + len(value) + len(":\r\n") for name, value in request.headers)
    return line + fields + len("\r\n")


class RequestEvents:
    """The ASGI events of one request, on their way from the protocol to the application.

    :param size: events that wait at most.
    :ivar waiting_bytes: bytes of bodies that wait.
    :ivar taken_bytes: bytes of bodies that the application has taken.
    """

    def __init__(self, size: int) -> None:
        self._size = size
        self._events: deque[dict[str, Any]] = deque()
        self._changed = asyncio.Event()
        self._closed = False
        self.is_complete = False
        self.waiting_bytes = 0
        self.taken_bytes = 0

    async def put(self, event: dict[str, Any]) -> None:
        """Add an event once there is room, or drop it if the application has ended.

        :param event: the event; after a disconnect none is added.
        """
        if event["type"] == "http.disconnect":
            self.close()
            return
        while len(self._events) >= self._size and not self._closed:
            await self._wait()
        if self._closed:
            return
        self._events.append(event)
        self.waiting_bytes += len(event["body"])
        self.is_complete = not event["more_body"]
        self._notify()

    async def get(self) -> dict[str, Any]:
        """Return the next event; behind the last it is always a disconnect."""
        while not self._events and not self._closed:
            await self._wait()
        if not self._events:
            return {"type": "http.disconnect"}
        event = self._events.popleft()
        self.waiting_bytes -= len(event["body"])
        self.taken_bytes += len(event["body"])
        self._notify()
        return event

    def close(self) -> None:
        """Add no more events; the application still gets those that wait."""
        self._closed = True
        self._notify()

    async def _wait(self) -> None:
        self._changed.clear()
        await self._changed.wait()

    def _notify(self) -> None:
        self._changed.set()
