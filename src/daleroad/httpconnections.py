"""Connections of HTTP clients: bounded reading and writing below the library's HTTP/1.1 protocol.

The library parses requests, frames responses and calls the application. This module reads ahead no
more than a bound, waits while a client does not read, and notices that a client has left, so that
nothing of its connection outlasts it.
"""

import asyncio
import fcntl
import select
import socket
import ssl
import struct
import termios
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

import anyio
import h11
from anyio.abc import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.typing import ConnectionState

from daleroad.clienttable import ClientConnection, ClientTable, Cut, Stage
from daleroad.events import Event, log_event
from daleroad.http1protocol import Http1Protocol, RefusedError, RequestEvents, ServerConfig
from daleroad.listeners import KERNEL_FACTOR, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES

READ_AHEAD_BYTES = 65_536
"""Bytes of one connection that are read while a request is under way on it; about as many more may
come with the read that reaches it."""

WRITE_AHEAD_BYTES = 65_536
"""Bytes of one connection that wait to be written before its application waits."""

FIELD_BYTES = 150
"""Memory of a parsed header field beside its text."""

SILENT_SECONDS = 60.0
"""How long a client may neither send the rest of a body nor read any of its answer."""

_READ_BYTES = 65_536
_KERNEL_RECEIVE_BYTES = KERNEL_FACTOR * RECEIVE_BUFFER_BYTES
_KERNEL_SEND_BYTES = KERNEL_FACTOR * SEND_BUFFER_BYTES

AsgiApp = Callable[[dict[str, Any], Any, Any], Awaitable[None]]


@dataclass(frozen=True)
class HttpContext:
    """What the connections of a server share.

    :param app: the ASGI application.
    :param config: the settings, which may change.
    :param worker: tells the library when the server ends.
    :param table: the process's connections.
    :param tls: the TLS context, or None for plain TCP.
    :param uncounted: IP:PORT of the listeners whose application counts the bodies itself.
    """

    app: AsgiApp
    config: ServerConfig
    worker: WorkerContext
    table: ClientTable
    tls: ssl.SSLContext | None
    uncounted: frozenset[str] = frozenset()


class HttpConnection(asyncio.BufferedProtocol):
    """One connection of an HTTP client.

    :param context: what the connections of a server share.
    :param record: the connection in the process's table.
    """

    # All connections read into the same buffer; what was read is copied at once.
    _buffer = bytearray(_READ_BYTES)

    def __init__(self, context: HttpContext, record: ClientConnection) -> None:
        self._context = context
        self._record = record
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._http: Http1Protocol | None = None
        self._tasks: TaskGroup | None = None
        self._reading = anyio.CancelScope()
        self._handshake = anyio.CancelScope()
        self._ahead = bytearray()
        self._arrived = asyncio.Event()
        self._paused = False
        self._writable = asyncio.Event()
        self._writable.set()
        self._left = False
        self._lost = asyncio.Event()
        self._events: RequestEvents | None = None
        self._serving = False
        self._counts_bodies = False
        self._field_bytes = 0
        self._parsing = 0
        self._unread = 0
        self._idle_since = self._sent_at = self._read_at = self._loop.time()
        self._head_since: float | None = None
        record.cut = self._cut

    async def run(self, client: socket.socket) -> None:
        """Serve requests until the connection ends.

        :param client: the accepted socket.
        """
        context = self._context
        try:
            with self._handshake:
                await self._connect(client)
            if self._transport is not None:
                async with anyio.create_task_group() as self._tasks:
                    await self._serve(self._transport)
                await self._lost.wait()
        except (OSError, ssl.SSLError):
            # The client has gone, or failed to set up TLS.
            pass
        finally:
            context.table.remove(self._record)
            if self._transport is not None:
                self._transport.close()
            else:
                client.close()

    async def _connect(self, client: socket.socket) -> None:
        config = self._context.config
        tls = self._context.tls
        timeout = config.ssl_handshake_timeout if tls else None
        await self._loop.connect_accepted_socket(
            lambda: self, client, ssl=tls, ssl_handshake_timeout=timeout
        )

    async def _serve(self, transport: asyncio.Transport) -> None:
        context = self._context
        server = transport.get_extra_info("sockname")[:2]
        self._counts_bodies = f"{server[0]}:{server[1]}" not in context.uncounted
        self._http = Http1Protocol(
            context.app,  # type: ignore[arg-type]
            context.config,
            context.worker,
            self,  # type: ignore[arg-type]
            ConnectionState({}),
            context.tls is not None,
            # A client that has gone already has no address.
            (transport.get_extra_info("peername") or ("", 0))[:2],
            server,
            self._send,  # type: ignore[arg-type]
        )
        with self._reading:
            if not self._left:
                await self._read(self._http)
        await self._http.handle(Closed())
        self._end()

    async def _read(self, http: Http1Protocol) -> None:
        try:
            while True:
                while not self._ahead:
                    self._arrived.clear()
                    await self._arrived.wait()
                data = bytes(self._ahead)
                self._parsing = len(data)
                self._ahead.clear()
                self._resume_reading()
                await http.handle(RawData(data))
                self._parsing = 0
                if not self._serving and http.connection.trailing_data[0]:
                    self._head_since = self._head_since or self._loop.time()
                self._note_state()
        except RefusedError as error:
            self._write(error.answer)

    async def spawn_app(
        self, app: AsgiApp, config: Config, scope: dict[str, Any], send: Any
    ) -> Callable[[dict[str, Any]], Awaitable[None]]:
        """Start the application for a request; return what takes the request's events.

        The library calls this.
        """
        assert self._tasks is not None
        self._field_bytes = sum(
            FIELD_BYTES + len(name) + len(value) for name, value in scope["headers"]
        )
        self._events = events = RequestEvents(config.max_app_queue_size)
        self._note_state()
        self._tasks.start_soon(self._run_app, app, scope, events, send)

        async def put(event: dict[str, Any]) -> None:
            await events.put(event)
            self._note_state()

        return put

    async def _run_app(
        self, app: AsgiApp, scope: dict[str, Any], events: RequestEvents, send: Any
    ) -> None:
        try:
            await app(scope, events.get, send)
        except Exception as error:
            log_event(Event.HANDLER_FAILED, path=scope["path"][:200], error=repr(error))
        finally:
            events.close()
            # Lets the library answer in place of an application that did not.
            await send(None)

    async def _send(self, event: RawData | Closed | Updated) -> None:
        """Carry out what the library's protocol wants of the connection."""
        match event:
            case RawData(data=data):
                await self._send_data(data)
            case Closed():
                self._end()
            case Updated(idle=idle):
                self._serving = not idle
                self._head_since = None
                self._idle_since = self._loop.time()
                if idle:
                    self._events = None
                    self._field_bytes = 0
                self._note_state()

    async def _send_data(self, data: bytes) -> None:
        for start in range(0, len(data), WRITE_AHEAD_BYTES):
            if self._left:
                return
            self._write(data[start : start + WRITE_AHEAD_BYTES])
            if not self._writable.is_set():
                await self._writable.wait()

    def _write(self, data: bytes) -> None:
        if self._left or self._transport is None:
            return
        if not self._unread:
            self._note_read()
        self._transport.write(data)
        most = self._transport.get_write_buffer_size() + _KERNEL_SEND_BYTES
        self._unread = min(self._unread + len(data), most)
        self._note_state()

    def _note_read(self) -> None:
        """Note that the client has read something, or has only now something to read."""
        self._read_at = self._record.active_at = self._loop.time()

    def _note_state(self) -> None:
        """Tell the table what is under way and what the connection holds."""
        record = self._record
        record.stage = self._find_stage()
        record.waits_since = self._find_wait()
        held = len(self._ahead) + self._parsing + self._unread + self._field_bytes
        if self._paused:
            held += _KERNEL_RECEIVE_BYTES
        if self._events is not None:
            held += self._events.waiting_bytes
            if self._counts_bodies and not self._is_answering():
                held += self._events.taken_bytes
        self._context.table.set_held(record, held)

    def _find_stage(self) -> Stage:
        if self._left:
            return Stage.IDLE
        if not self._serving:
            return Stage.IDLE if self._head_since is None else Stage.RECEIVING
        if self._is_answering() or (self._events is not None and self._events.is_complete):
            return Stage.SERVING
        return Stage.RECEIVING

    def _find_wait(self) -> float | None:
        """Return since when the process has waited for the client, or None if it does not."""
        if not self._writable.is_set() or (self._left and self._unread):
            return self._read_at
        if self._serving and self._record.stage is Stage.RECEIVING:
            return self._sent_at
        return None

    def _is_answering(self) -> bool:
        """Return whether an answer has begun before its request came to its end."""
        return self._http is not None and self._http.connection.our_state is not h11.SEND_RESPONSE

    def check(self, now: float) -> None:
        """End the connection if it is over its time, or if the client has left.

        :param now: the time.
        """
        if self._transport is None or self._lost.is_set():
            return
        self.measure()
        if self._paused and _has_left(self._transport):
            self._leave()
            return
        record, config = self._record, self._context.config
        if record.waits_since is not None and now - record.waits_since > SILENT_SECONDS:
            self._context.table.cut(record, Cut.SILENT)
        elif self._serving or self._left:
            return
        elif self._head_since is not None:
            if now - self._head_since > min(config.head_timeout, config.keep_alive_timeout):
                self._context.table.cut(record, Cut.HEAD_TIMEOUT)
        elif now - self._idle_since > config.keep_alive_timeout:
            self._end()

    def measure(self) -> None:
        """Correct the estimate of what the client has not read."""
        if self._transport is None or not self._unread:
            return
        unread = self._transport.get_write_buffer_size() + _count_unacknowledged(self._transport)
        if unread < self._unread:
            self._unread = unread
            self._note_read()
            self._note_state()

    def end_idle(self) -> None:
        """End the connection unless a request is under way."""
        if not self._serving:
            self._end()

    def _end(self) -> None:
        """Read no more, and close once the client has what was written."""
        self._leave()
        if self._transport is not None and not self._transport.is_closing():
            with suppress(OSError, NotImplementedError, RuntimeError):
                self._transport.write_eof()
            self._transport.close()

    def _leave(self) -> None:
        self._left = True
        self._ahead.clear()
        self._writable.set()
        self._reading.cancel()
        self._note_state()

    def _cut(self, reason: Cut) -> None:
        log_event(
            Event.CONNECTION_CUT,
            reason=reason.value,
            address=self._record.address,
            stage=self._record.stage.name.lower(),
            held=self._record.held,
        )
        self._leave()
        self._handshake.cancel()
        if self._transport is not None:
            self._transport.abort()

    def _resume_reading(self) -> None:
        if self._paused and self._transport is not None:
            self._paused = False
            self._transport.resume_reading()

    # Called by the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take a transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return where to read to."""
        return self._buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Take bytes that were read."""
        if self._left:
            return
        self._ahead += memoryview(self._buffer)[:nbytes]
        self._sent_at = self._record.active_at = now = self._loop.time()
        if not self._serving and self._head_since is None:
            self._head_since = now
        if len(self._ahead) >= READ_AHEAD_BYTES and self._transport is not None:
            self._paused = True
            self._transport.pause_reading()
        self._arrived.set()
        self._note_state()

    def eof_received(self) -> None:
        """Note that the client sends no more, which is taken for its leaving."""
        self._leave()

    def connection_lost(self, exc: Exception | None) -> None:
        """Note that the connection has ended."""
        self._unread = 0
        self._leave()
        self._lost.set()

    def pause_writing(self) -> None:
        """Let the application wait until the client has read more."""
        if not self._left:
            self._writable.clear()
            self._note_state()

    def resume_writing(self) -> None:
        """Let the application go on."""
        self._note_read()
        self._writable.set()
        self._note_state()


def _count_unacknowledged(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel holds that the client has not acknowledged."""
    client = transport.get_extra_info("socket")
    try:
        return struct.unpack("i", fcntl.ioctl(client.fileno(), termios.TIOCOUTQ, bytes(4)))[0]
    except OSError:
        # Closed meanwhile, or not known on this system.
        return 0


def _has_left(transport: asyncio.Transport) -> bool:
    """Return whether the client has closed a connection that is not being read."""
    descriptor = transport.get_extra_info("socket").fileno()
    if descriptor < 0:
        return True
    poll = select.poll()
    poll.register(descriptor, select.POLLRDHUP)
    return bool(poll.poll(0))
