"""Connections of HTTP clients, whose requests are served one after the other.

The library parses requests, frames responses and calls the application. What is under way, what it
holds and for what it waits is told to the process's table, and ends with the connection.
"""

import re
import socket
import ssl
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

import anyio
import h11
from anyio.abc import TaskGroup
from anyio.lowlevel import checkpoint
from hypercorn.asyncio.worker_context import WorkerContext
from hypercorn.config import Config
from hypercorn.events import Closed, RawData, Updated
from hypercorn.typing import ConnectionState

from daleroad.clientstream import ClientStream, StreamEvents
from daleroad.clienttable import ClientConnection, ClientTable, Cut, Stage
from daleroad.events import Event, log_event
from daleroad.http1protocol import Http1Protocol, RefusedError, RequestEvents, ServerConfig

FIELD_BYTES = 250
"""Memory of a header field beside its text, as it is parsed, kept and passed on."""

MANY_FIELDS = 100
"""Header fields from which on they are counted before they are parsed."""

_HEAD_END = re.compile(rb"\n\r?\n")

SILENT_SECONDS = 60.0
"""How long a client may neither send the rest of a body nor read any of its answer."""

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


class HttpConnection:
    """One connection of an HTTP client.

    :param context: what the connections of a server share.
    :param record: the connection in the process's table.
    """

    def __init__(self, context: HttpContext, record: ClientConnection) -> None:
        self._context = context
        self._record = record
        self._stream = ClientStream(StreamEvents(self._handle_change, self._handle_left))
        self._http: Http1Protocol | None = None
        self._tasks: TaskGroup | None = None
        self._reading = anyio.CancelScope()
        self._handshake = anyio.CancelScope()
        self._events: RequestEvents | None = None
        self._serving = False
        self._counts_bodies = False
        self._field_bytes = 0
        self._parsing = 0
        self._idle_since = anyio.current_time()
        self._head_since: float | None = None
        record.cut = self._cut

    async def run(self, client: socket.socket) -> None:
        """Serve requests until the connection ends.

        :param client: the accepted socket.
        """
        stream, context = self._stream, self._context
        try:
            with self._handshake:
                await stream.connect(client, context.tls, context.config.ssl_handshake_timeout)
            if stream.is_connected:
                async with anyio.create_task_group() as self._tasks:
                    await self._serve()
                await stream.wait_closed()
        except OSError:
            # The client has gone, or failed to set up TLS.
            pass
        finally:
            context.table.remove(self._record)
            stream.close()
            if not stream.is_connected:
                client.close()
            self._release()

    def _release(self) -> None:
        """Drop what the connection held, without waiting for the garbage collector."""
        if self._http is not None:
            self._http.release()
        self._http = self._events = self._tasks = None
        self._record.cut = lambda reason: None
        self._stream.release()

    async def _serve(self) -> None:
        context, stream = self._context, self._stream
        host, port = stream.server
        self._counts_bodies = f"{host}:{port}" not in context.uncounted
        self._http = Http1Protocol(
            context.app,  # type: ignore[arg-type]
            context.config,
            context.worker,
            self,  # type: ignore[arg-type]
            ConnectionState({}),
            context.tls is not None,
            stream.client,
            stream.server,
            self._send,  # type: ignore[arg-type]
        )
        with self._reading:
            if not stream.has_left:
                await self._read(self._http)
        await self._http.handle(Closed())
        stream.close()

    async def _read(self, http: Http1Protocol) -> None:
        try:
            while True:
                data = await self._stream.receive()
                self._parsing = len(data)
                if not self._serving:
                    await self._admit_fields(http, data)
                await http.handle(RawData(data))
                rest = b"" if self._serving else http.connection.trailing_data[0]
                self._parsing = len(rest)
                if rest and self._head_since is None:
                    self._head_since = anyio.current_time()
                self._note_state()
        except RefusedError as error:
            self._stream.write(error.answer)

    async def _admit_fields(self, http: Http1Protocol, data: bytes) -> None:
        """Count the fields of a head that is complete with some bytes, if it has many.

        Heads that come at once would all be parsed before the first connection is cut.
        """
        head = http.connection.trailing_data[0] + data
        end = _HEAD_END.search(head)
        fields = head.count(b"\n", 0, end.start()) if end is not None else 0
        if fields > MANY_FIELDS:
            self._field_bytes = FIELD_BYTES * fields
            self._note_state()
            await checkpoint()

    async def spawn_app(
        self, app: AsgiApp, config: Config, scope: dict[str, Any], send: Any
    ) -> Callable[[dict[str, Any]], Awaitable[None]]:
        """Start the application for a request; return what takes the request's events.

        The library calls this, to which a connection is the group of its tasks.
        """
        assert self._tasks is not None
        self._field_bytes = sum(
            FIELD_BYTES + len(name) + len(value) for name, value in scope["headers"]
        )
        self._events = events = RequestEvents()
        self._note_state()
        self._tasks.start_soon(self._run_app, app, scope, events, send)

        async def put(event: dict[str, Any]) -> None:
            await events.put(event)
            if not event.get("more_body", False):
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
                await self._stream.send(data)
            case Closed():
                self._stream.close()
            case Updated(idle=idle):
                self._serving = not idle
                self._head_since = None
                self._idle_since = anyio.current_time()
                if idle:
                    self._events = None
                    self._field_bytes = 0
                self._note_state()

    def _handle_change(self) -> None:
        """Note that bytes have come, or that more or fewer are held."""
        if not self._serving and self._head_since is None and self._stream.has_arrived:
            self._head_since = self._stream.sent_at
        self._note_state()

    def _handle_left(self) -> None:
        """End what is under way; called by the stream."""
        self._reading.cancel()
        self._note_state()

    def _note_state(self) -> None:
        """Tell the table what is under way and what the connection holds."""
        record, stream = self._record, self._stream
        record.stage = self._find_stage()
        record.waits_since = self._find_wait()
        record.active_at = max(stream.sent_at, stream.read_at)
        held = stream.held + self._parsing + self._field_bytes
        if self._events is not None:
            held += self._events.waiting_bytes
            if self._counts_bodies and not self._is_answering():
                held += self._events.taken_bytes
        self._context.table.set_held(record, held)

    def _find_stage(self) -> Stage:
        if self._stream.has_left:
            return Stage.IDLE
        if not self._serving:
            return Stage.IDLE if self._head_since is None else Stage.RECEIVING
        if self._is_answering() or (self._events is not None and self._events.is_complete):
            return Stage.SERVING
        return Stage.RECEIVING

    def _find_wait(self) -> float | None:
        """Return since when the process has waited for the client, or None if it does not."""
        stream = self._stream
        if stream.is_blocked or (stream.has_left and stream.unread):
            return stream.read_at
        if self._serving and self._record.stage is Stage.RECEIVING:
            return stream.sent_at
        return None

    def _is_answering(self) -> bool:
        """Return whether an answer has begun before its request came to its end."""
        return self._http is not None and self._http.connection.our_state is not h11.SEND_RESPONSE

    def check(self, now: float) -> None:
        """End the connection if it is over its time, or if the client has left.

        :param now: the time.
        """
        stream, record, config = self._stream, self._record, self._context.config
        stream.measure()
        stream.check_left()
        if record.waits_since is not None and now - record.waits_since > SILENT_SECONDS:
            self._context.table.cut(record, Cut.SILENT)
        elif self._serving or stream.has_left:
            return
        elif self._head_since is not None:
            if now - self._head_since > min(config.head_timeout, config.keep_alive_timeout):
                self._context.table.cut(record, Cut.HEAD_TIMEOUT)
        elif now - self._idle_since > config.keep_alive_timeout:
            stream.close()

    def measure(self) -> None:
        """Correct the estimate of what the client has not read."""
        self._stream.measure()

    def end_idle(self) -> None:
        """End the connection unless a request is under way."""
        if not self._serving:
            self._stream.close()

    def _cut(self, reason: Cut) -> None:
        log_event(
            Event.CONNECTION_CUT,
            reason=reason.value,
            address=self._record.address,
            stage=self._record.stage.name.lower(),
            held=self._record.held,
        )
        self._handshake.cancel()
        self._stream.abort()
