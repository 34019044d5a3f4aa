"""Accepts the connections of every listener of a process, within the limits of its table."""

import errno
import resource
import socket
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager, suppress

import anyio

from daleroad.clienttable import ClientConnection, ClientTable
from daleroad.events import Event, log_event

RECEIVE_BUFFER_BYTES = 65_536
"""Receive buffer of a client's socket. Without one the kernel lets it grow to megabytes."""

SEND_BUFFER_BYTES = 131_072
"""Send buffer of a client's socket."""

KERNEL_FACTOR = 2
"""The kernel takes up to so many times the size of a buffer for it."""

_ACCEPT_BATCH = 8
"""Connections accepted before other tasks have a turn."""

_PAUSE_SECONDS = 0.2
"""Pause of a listener after the system has refused a connection for lack of something."""

_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\n"
    b"content-length: 0\r\n\r\n"
)

_EXHAUSTED = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)

Serve = Callable[[socket.socket, ClientConnection], None]


def find_descriptor_limit() -> int | None:
    """Return the limit that the system sets for the descriptors of this process, if any."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return None if soft == resource.RLIM_INFINITY else soft


def bound_buffers(listener: socket.socket) -> None:
    """Bound the buffers of the connections that a listener accepts, which inherit them.

    :param listener: the listening socket.
    """
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


class Acceptor:
    """Accepts the connections of some listeners.

    :param table: admits the connections.
    :param serve: starts to serve an admitted connection, and removes it from the table at its end.
    """

    def __init__(self, table: ClientTable, serve: Serve) -> None:
        self._table = table
        self._serve = serve

    @asynccontextmanager
    async def accept(self, listeners: Sequence[socket.socket]) -> AsyncIterator[None]:
        """Accept connections until the block ends.

        :param listeners: listening sockets; closed at the end.
        """
        try:
            async with anyio.create_task_group() as tasks:
                for listener in listeners:
                    bound_buffers(listener)
                    listener.setblocking(False)
                    tasks.start_soon(self._run, listener)
                yield
                tasks.cancel_scope.cancel()
        finally:
            for listener in listeners:
                listener.close()

    async def _run(self, listener: socket.socket) -> None:
        while True:
            await anyio.wait_readable(listener)
            try:
                self._accept_batch(listener)
            except OSError as error:
                if error.errno in _EXHAUSTED:
                    log_event(Event.ACCEPT_FAILED, reason=repr(error), connections=len(self._table))
                    self._table.cut_for_place()
                    await anyio.sleep(_PAUSE_SECONDS)
                # Others are errors of the network that were pending on a connection (accept(2)).

    def _accept_batch(self, listener: socket.socket) -> None:
        for _ in range(_ACCEPT_BATCH):
            try:
                client, address = listener.accept()
            except BlockingIOError:
                return
            client.setblocking(False)
            self._admit(client, str(address[0]))

    def _admit(self, client: socket.socket, address: str) -> None:
        connection = ClientConnection(address, anyio.current_time())
        if self._table.admit(connection):
            self._serve(client, connection)
            return
        log_event(Event.CONNECTION_REFUSED, address=address, connections=len(self._table))
        with client, suppress(OSError):
            client.send(_REFUSAL)
