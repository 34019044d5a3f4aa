"""HTTP/1.1 exchanges with upstreams, on new connections or on idle ones that are reused.

An upstream may send bytes that belong to no response: a duplicate of one, also late, or a part of
it. So a connection is reused only while nothing follows its last response, and a head that was
merged from two is rejected.
"""

import re
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import anyio
import h11
import httpcore

from daleroad.events import Event, log_event

READ_BYTES = 262_144
"""Most bytes of one read, as many as the event loop takes from a socket: the rest of a smaller one
would wait where no poll of the socket sees it."""

MAX_HEAD_BYTES = 32_768
"""Largest head or trailer of a response; the last read may go beyond it."""

MAX_INTERIM_RESPONSES = 16
"""Most informational (1xx) responses before a response."""

DISCARDED_BYTES = 65_536
"""Largest body that is read only so that its connection can be reused."""

DISCARD_SECONDS = 0.25
"""Longest wait for the end of such a body."""

STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
"""The beginning of a status line, wherever it is."""

_SURPLUS_SECONDS = 0.01
"""Longest wait for the bytes of an idle connection that is readable."""

_REMEMBERED_IDS = 32
"""Requests of a connection whose ids it remembers; late duplicates are of its last responses."""

_EVENTS_AT_ONCE = 200
"""Events, such as chunks, that are taken out of one read before other tasks have their turn."""

_COALESCED_BYTES = 16_384
"""Bodies up to this size are written together with their heads."""

Headers = tuple[tuple[bytes, bytes], ...]
Connect = Callable[[float], Awaitable[httpcore.AsyncNetworkStream]]
"""Connects to an upstream whose TCP may acknowledge nothing for some seconds."""


@dataclass(frozen=True)
class HttpRequest:
    """A request to an upstream; a body needs a content length among the headers."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""


class HttpConnection:
    """A connection that carries one exchange after the other.

    :param stream: the connection itself.
    :param kept: whether it may be reused.
    :ivar responses: responses that it carried before the current one.
    :ivar request_ids: ids of the last requests that it carried.
    """

    def __init__(self, stream: httpcore.AsyncNetworkStream, kept: bool) -> None:
        self.stream = stream
        self.kept = kept
        self.responses = 0
        self.request_ids: deque[str] = deque(maxlen=_REMEMBERED_IDS)
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._request_sent = False
        self._events_at_once = 0

    async def exchange(self, request: HttpRequest) -> h11.Response:
        """Send a request and return the head of its response.

        :param request: the request.
        """
        # An upstream may respond and close before it has read the whole request.
        with suppress(httpcore.WriteError):
            await self._send(request)
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            head = await self._read_event()
            if not isinstance(head, h11.Response | h11.InformationalResponse):
                raise httpcore.RemoteProtocolError("no response")
            if _holds_status_line(head):
                if self.responses:
                    raise httpcore.RemoteProtocolError("the head holds a second status line")
                # It is sound, but on a reused connection it would look merged.
                self.kept = False
            if isinstance(head, h11.Response):
                return head
        raise httpcore.RemoteProtocolError(f"more than {MAX_INTERIM_RESPONSES} interim responses")

    async def _send(self, request: HttpRequest) -> None:
        self._request_sent = False
        data, body = self._pack(request)
        if len(body) <= _COALESCED_BYTES:
            data, body = data + body, b""
        await self.stream.write(data)
        if body:
            await self.stream.write(body)
        self._request_sent = True

    def _pack(self, request: HttpRequest) -> tuple[bytes, bytes]:
        """Return the head and the body of a request as they are sent."""
        try:
            head = h11.Request(
                method=request.method, target=request.target, headers=list(request.headers)
            )
            data = self._http.send(head) or b""
            body = self._http.send(h11.Data(data=request.body)) or b""
            self._http.send(h11.EndOfMessage())
        except h11.LocalProtocolError as error:
            raise httpcore.LocalProtocolError(str(error)) from error
        return data, body

    async def read_body(self) -> AsyncIterator[bytes]:
        """Yield the body of the response in pieces."""
        while isinstance(event := await self._read_event(), h11.Data):
            yield bytes(event.data)

    async def _read_event(self) -> Any:
        self._events_at_once += 1
        if self._events_at_once >= _EVENTS_AT_ONCE:
            self._events_at_once = 0
            await anyio.sleep(0)
        while True:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                raise httpcore.RemoteProtocolError(repr(error)) from error
            if event is not h11.NEED_DATA:
                return event
            self._events_at_once = 0
            data = await self.stream.read(READ_BYTES)
            if not data and self._http.their_state is h11.SEND_RESPONSE:
                raise httpcore.RemoteProtocolError("disconnected without a complete head")
            self._http.receive_data(data)

    def count_surplus(self) -> int:
        """Return how many bytes were received behind a response that was read to its end."""
        if self._http.their_state is not h11.DONE:
            return 0
        return len(self._http.trailing_data[0])

    async def read_surplus(self) -> int:
        """Return how many bytes have come on an idle connection; 0 at its end."""
        try:
            return len(await self.stream.read(READ_BYTES, _SURPLUS_SECONDS))
        except (httpcore.NetworkError, httpcore.TimeoutException):
            return 0

    def recycle(self) -> bool:
        """Prepare for the next exchange; return False if there can be none."""
        done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if not done or not self._request_sent or self.count_surplus():
            return False
        self._http.start_next_cycle()
        self.responses += 1
        return True

    async def close(self) -> None:
        """Close the connection."""
        with anyio.CancelScope(shield=True):
            await self.stream.aclose()


class HttpResponse:
    """A response of which the head has been read.

    :param connection: carries it.
    :param head: status and headers.
    :param release: takes the connection back at the end.
    """

    def __init__(
        self,
        connection: HttpConnection,
        head: h11.Response,
        release: Callable[[HttpConnection], Awaitable[None]],
    ) -> None:
        self.status = head.status_code
        self.headers: Headers = tuple(head.headers.raw_items())
        self._connection = connection
        self._release: Callable[[HttpConnection], Awaitable[None]] | None = release

    def get_info(self, name: str) -> Any:
        """Return extra information of the connection.

        :param name: as for the network streams of httpcore.
        """
        return self._connection.stream.get_extra_info(name)

    def forbid_reuse(self) -> None:
        """Let the connection carry no further request."""
        self._connection.kept = False

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in pieces."""
        return self._connection.read_body()

    async def read(self, max_bytes: int) -> bytes:
        """Return the whole body.

        :param max_bytes: largest body.
        :raises httpcore.RemoteProtocolError: if it is larger.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > max_bytes:
                raise httpcore.RemoteProtocolError(f"the body exceeds {max_bytes} bytes")
        return bytes(body)

    async def discard(self) -> None:
        """Drop the body; the connection is reused only if its end comes soon."""
        try:
            # Errors are ignored: what is left of the response is not used.
            with suppress(httpcore.NetworkError, httpcore.ProtocolError):
                with anyio.move_on_after(DISCARD_SECONDS):
                    await self.read(DISCARDED_BYTES)
        finally:
            await self.close()

    async def close(self) -> None:
        """Give the connection back; one whose response was not read to its end is closed."""
        release, self._release = self._release, None
        if release is not None:
            with anyio.CancelScope(shield=True):
                await release(self._connection)


class ConnectionPool:
    """The connections to one upstream.

    :param connect: makes a new one.
    :param address: IP:PORT of the upstream.
    :param silence: seconds for which the upstream's TCP may acknowledge nothing.
    :param idle_seconds: how long an idle connection is kept.
    """

    def __init__(self, connect: Connect, address: str, silence: float, idle_seconds: float) -> None:
        self.address = address
        self._connect = connect
        self._silence = silence
        self._idle_seconds = idle_seconds
        self._open: set[HttpConnection] = set()
        self._idle: dict[HttpConnection, float] = {}
        self._retired = False

    async def connect(
        self, request_id: str = "", own_silence: float | None = None
    ) -> HttpConnection:
        """Return a connection for one request; no idle one that has carried its id.

        :param request_id: what ties the response to the request; empty if nothing does.
        :param own_silence: allowed silence on a connection of the request's own; None to reuse an
            idle connection if there is one.
        :raises httpcore.ConnectError: if no connection was made, so that nothing was sent.
        """
        may_reuse = bool(request_id) and own_silence is None
        connection = await self._take_idle(request_id) if may_reuse else None
        if connection is None:
            silence = self._silence if own_silence is None else own_silence
            stream = await self._connect(silence)
            connection = HttpConnection(stream, kept=may_reuse)
            self._open.add(connection)
        connection.request_ids.append(request_id)
        return connection

    async def send(self, connection: HttpConnection, request: HttpRequest) -> HttpResponse:
        """Send a request and return its response once its head has been read.

        :param connection: one that :meth:`connect` returned.
        :param request: the request.
        :raises httpcore.NetworkError: if the connection was lost or its bytes are no response.
        """
        try:
            head = await connection.exchange(request)
        except BaseException:
            await self._close(connection)
            raise
        return HttpResponse(connection, head, self._release)

    async def _take_idle(self, request_id: str) -> HttpConnection | None:
        """Return the idle connection that was used last, if any can be used."""
        await self._close_expired()
        while connection := self._find_idle(request_id):
            del self._idle[connection]
            if not connection.stream.get_extra_info("is_readable"):
                return connection
            try:
                self._note_surplus(connection, await connection.read_surplus())
            finally:
                await self._close(connection)
        return None

    def _find_idle(self, request_id: str) -> HttpConnection | None:
        idle = reversed(self._idle)
        return next((c for c in idle if request_id not in c.request_ids), None)

    def _note_surplus(self, connection: HttpConnection, count: int) -> None:
        if count:
            log_event(
                Event.SURPLUS_RECEIVED,
                address=self.address,
                after=connection.request_ids[-1],
                bytes=count,
            )

    async def _release(self, connection: HttpConnection) -> None:
        self._note_surplus(connection, connection.count_surplus())
        if self._retired or not connection.kept or not connection.recycle():
            await self._close(connection)
            return
        self._idle[connection] = anyio.current_time()
        await self._close_expired()

    async def _close_expired(self) -> None:
        oldest = anyio.current_time() - self._idle_seconds
        expired = [c for c, since in self._idle.items() if since < oldest]
        for connection in expired:
            del self._idle[connection]
        async with anyio.create_task_group() as tasks:
            for connection in expired:
                tasks.start_soon(self._close, connection)

    async def _close(self, connection: HttpConnection) -> None:
        self._open.discard(connection)
        await connection.close()

    def retire(self) -> None:
        """Keep no connection from now on; those in use are closed after their responses."""
        self._retired = True
        self._open -= set(self._idle)
        # The garbage collector closes them.
        self._idle.clear()

    async def close(self) -> None:
        """Close all connections."""
        self._retired = True
        self._idle.clear()
        for connection in list(self._open):
            await self._close(connection)


def _holds_status_line(head: h11.Response | h11.InformationalResponse) -> bool:
    """Return whether a status line is inside a head, as where one that was cut goes on with it."""
    texts = (head.reason, *(value for _, value in head.headers))
    return any(STATUS_LINE.search(text) for text in texts)
