"""The server library's HTTP/1.1 protocol without its ways into other protocols."""

import re
from typing import Any

import anyio
import h11
from anyio.lowlevel import checkpoint, checkpoint_if_cancelled
from hypercorn.config import Config
from hypercorn.protocol.events import Request as RequestEvent
from hypercorn.protocol.h11 import STREAM_ID, H11Protocol
from hypercorn.protocol.http_stream import HTTPStream

_HTTP2_REFUSAL = (
    # An empty SETTINGS frame, and GOAWAY with HTTP_1_1_REQUIRED for no stream (RFC 9113).
    b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
    b"\x00\x00\x08\x07\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x00\x0d"
)

_CLOSE = b"content-length: 0\r\nconnection: close\r\n\r\n"
_HEAD_REFUSAL = b"HTTP/1.1 431 Request Header Fields Too Large\r\n" + _CLOSE
_CONNECT_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n" + _CLOSE

BODY_AHEAD_BYTES = 65_536
"""Bytes of a body that wait for the application; one more part may exceed it."""

_ABSOLUTE_FORM = re.compile(rb"https?://([^/?#@]+)(/[^?]*)?(\?.*)?", re.IGNORECASE)

_TURN_EVENTS = 64
"""Parts of a body that are parsed before other connections have a turn."""


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


class Http1Protocol(H11Protocol):
    """The HTTP/1.1 protocol of one connection.

    Other protocols, tunnels, and heads above the limit raise :class:`RefusedError`.
    """

    def release(self) -> None:
        """Drop what was received, and the references to and from the request under way."""
        self.connection = h11.Connection(h11.SERVER)
        self.stream = None  # type: ignore[assignment]
        self.task_group = None  # type: ignore[assignment]
        self.send = None  # type: ignore[assignment]

    async def _check_protocol(self, event: h11.Request) -> None:
        if event.method == b"PRI" and event.http_version == b"2.0":
            raise RefusedError(_HTTP2_REFUSAL)
        if event.method == b"CONNECT":
            raise RefusedError(_CONNECT_REFUSAL)
        # The parser checks the size of incomplete heads only.
        if _measure_head(event) > self.config.h11_max_incomplete_size:
            raise RefusedError(_HEAD_REFUSAL)

    async def _create_stream(self, request: h11.Request) -> None:
        target, headers = _read_target(request)
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
                headers=headers,
                http_version=request.http_version.decode(),
                method=request.method.decode("ascii").upper(),
                raw_path=target,
                state=self.connection_state,
            )
        )
        self.keep_alive_requests += 1


def _read_target(request: h11.Request) -> tuple[bytes, list[tuple[bytes, bytes]]]:
    """Return the path and query of a request, and its headers with the host that it is for.

    A target in absolute form names the host; the header counts no more (RFC 9112, 3.2.2).
    """
    headers = list(request.headers)
    found = _ABSOLUTE_FORM.fullmatch(request.target)
    if found is None:
        return request.target, headers
    host, path, query = found.groups(default=b"")
    others = [(name, value) for name, value in headers if name != b"host"]
    return (path or b"/") + query, [(b"host", host), *others]


def _measure_head(request: h11.Request) -> int:
    """Return the size of a head without optional white space, in bytes."""
    line = len(request.method) + len(request.target) + len("  HTTP/1.1\r\n")
    fields = sum(len(name) + len(value) + len(":\r\n") for name, value in request.headers)
    return line + fields + len("\r\n")


class RequestEvents:
    """The ASGI events of one request, on their way from the protocol to the application.

    Parts of the body that wait are joined: a client may send it byte by byte.

    :ivar is_complete: whether the request has come to its end.
    :ivar waiting_bytes: bytes of the body that wait.
    :ivar taken_bytes: bytes of the body that the application has taken.
    """

    def __init__(self) -> None:
        self._body = bytearray()
        self._changed = anyio.Event()
        self._puts = 0
        self._end_taken = False
        self._closed = False
        self.is_complete = False
        self.taken_bytes = 0

    @property
    def waiting_bytes(self) -> int:
        """Bytes of the body that wait."""
        return len(self._body)

    async def put(self, event: dict[str, Any]) -> None:
        """Add an event once there is room, or drop it if the application has ended.

        :param event: the event; after a disconnect none is added.
        """
        if event["type"] == "http.disconnect":
            self.close()
            return
        self._puts += 1
        if self._puts % _TURN_EVENTS == 0:
            await checkpoint()
        while len(self._body) >= BODY_AHEAD_BYTES and not self._closed:
            await self._wait()
        if self._closed:
            return
        self._body += event["body"]
        self.is_complete = not event["more_body"]
        self._changed.set()

    async def get(self) -> dict[str, Any]:
        """Return the next event; behind the last it is always a disconnect."""
        while not self._body and not self._closed and (self._end_taken or not self.is_complete):
            await self._wait()
        if not self._body and (self._end_taken or not self.is_complete):
            return {"type": "http.disconnect"}
        body = bytes(self._body)
        self._body.clear()
        self._end_taken = self.is_complete
        self.taken_bytes += len(body)
        self._changed.set()
        return {"type": "http.request", "body": body, "more_body": not self.is_complete}

    def close(self) -> None:
        """Add no more events; the application still gets those that wait."""
        self._closed = True
        self._changed.set()

    async def _wait(self) -> None:
        if self._changed.is_set():
            self._changed = anyio.Event()
        await self._changed.wait()
        # Two tasks that wake each other up are never idle, so a deadline would end neither.
        await checkpoint_if_cancelled()
