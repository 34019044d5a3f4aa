"""The HTTP server of a process: its listeners, connections, and its end."""

import socket
from collections.abc import Awaitable, Callable

import anyio
from anyio.abc import TaskGroup
from hypercorn.asyncio.worker_context import WorkerContext

from daleroad.clienttable import ClientConnection, ClientTable
from daleroad.events import Event, log_event
from daleroad.http1protocol import ServerConfig
from daleroad.httpconnections import AsgiApp, HttpConnection, HttpContext
from daleroad.listeners import Acceptor

SWEEP_SECONDS = 0.25
"""Interval at which connections are checked for what is over its time."""


class HttpServer:
    """Serves an ASGI application on some listeners.

    :param app: the application.
    :param config: the settings, which may change.
    :param table: the process's connections.
    :param uncounted: IP:PORT of the listeners whose application counts the bodies itself.
    """

    def __init__(
        self,
        app: AsgiApp,
        config: ServerConfig,
        table: ClientTable,
        uncounted: frozenset[str] = frozenset(),
    ) -> None:
        self._config = config
        self._worker = WorkerContext(None)
        tls = config.create_ssl_context()
        self._context = HttpContext(app, config, self._worker, table, tls, uncounted)
        self._table = table
        self._connections: set[HttpConnection] = set()
        self._all_ended = anyio.Event()
        table.measure = self._measure

    async def run(self, wait_stop: Callable[[], Awaitable[object]]) -> None:
        """Serve until told to stop, then until the requests under way or their grace have ended.

        :param wait_stop: returns when serving should stop.
        """
        sockets = self._config.create_sockets()
        listeners = [*sockets.insecure_sockets, *sockets.secure_sockets]
        for listener in listeners:
            listener.listen(self._config.backlog)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._sweep)

            def serve(client: socket.socket, record: ClientConnection) -> None:
                self._start(tasks, client, record)

            async with Acceptor(self._table, serve).accept(listeners):
                await wait_stop()
            await self._end()
            tasks.cancel_scope.cancel()

    async def _end(self) -> None:
        """End idle connections, and wait for the others within the grace."""
        await self._worker.terminated.set()
        for connection in list(self._connections):
            connection.end_idle()
        with anyio.move_on_after(self._config.graceful_timeout):
            while self._connections:
                self._all_ended = anyio.Event()
                await self._all_ended.wait()

    def _start(self, tasks: TaskGroup, client: socket.socket, record: ClientConnection) -> None:
        connection = HttpConnection(self._context, record)
        self._connections.add(connection)
        tasks.start_soon(self._serve, connection, client)

    async def _serve(self, connection: HttpConnection, client: socket.socket) -> None:
        try:
            await connection.run(client)
        except Exception as error:
            # A fault of one connection must not end the others.
            log_event(Event.HANDLER_FAILED, error=repr(error))
        finally:
            self._connections.discard(connection)
            if not self._connections:
                self._all_ended.set()

    async def _sweep(self) -> None:
        """Check all connections from time to time until cancelled."""
        checked_at = anyio.current_time()
        while True:
            await anyio.sleep(SWEEP_SECONDS)
            now = anyio.current_time()
            late = now - checked_at > 2 * SWEEP_SECONDS
            checked_at = now
            if late:
                # The process stood still. What came meanwhile is read first.
                continue
            for connection in list(self._connections):
                connection.check(now)

    def _measure(self) -> None:
        for connection in list(self._connections):
            connection.measure()
