"""Accepts the connections of every listener of a process, within the limits of its table."""

import asyncio
import errno
import resource
import socket
from collections.abc import Callable, Iterable, Iterator
from contextlib import contextmanager, suppress

from daleroad.clienttable import ClientConnection, ClientTable
from daleroad.events import Event, log_event

RECEIVE_BUFFER_BYTES = 65_536
"""Receive buffer of a client's socket. Without one the kernel lets it grow to megabytes."""

SEND_BUFFER_BYTES = 131_072
"""Send buffer of a client's socket."""

KERNEL_FACTOR = 2
"""The kernel takes up to so many times the size of a buffer for it."""

_ACCEPT_BATCH = 64
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

    :param listeners: listening sockets; closed at the end.
    :param table: admits the connections.
    :param serve: starts to serve an admitted connection, and removes it from the table at its end.
    """

    def __init__(
        self, listeners: Iterable[socket.socket], table: ClientTable, serve: Serve
    ) -> None:
        self._loop = asyncio.get_running_loop()
        self._listeners = list(listeners)
        self._table = table
        self._serve = serve

    @contextmanager
    def accept(self) -> Iterator[None]:
        """Accept connections until the block ends."""
        for listener in self._listeners:
            bound_buffers(listener)
            listener.setblocking(False)
            self._resume(listener)
        try:
            yield
        finally:
            for listener in self._listeners:
                self._loop.remove_reader(listener)
                listener.close()

    def _resume(self, listener: socket.socket) -> None:
        # It may have been closed during a pause.
        if listener.fileno() >= 0:
            self._loop.add_reader(listener, self._accept_batch, listener)

    def _accept_batch(self, listener: socket.socket) -> None:
        for _ in range(_ACCEPT_BATCH):
            try:
                client, address = listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._handle_error(listener, error)
                return
            client.setblocking(False)
            self._admit(client, str(address[0]))

    def _admit(self, client: socket.socket, address: str) -> None:
        connection = ClientConnection(address, self._loop.time())
        if self._table.admit(connection):
            self._serve(client, connection)
            return
        log_event(Event.CONNECTION_REFUSED, address=address, connections=len(self._table))
        with client, suppress(OSError):
            client.send(_REFUSAL)

    def _handle_error(self, listener: socket.socket, error: OSError) -> None:
        if error.errno not in _EXHAUSTED:
            # Errors of the network that were pending on the new connection (accept(2)).
            return
        log_event(Event.ACCEPT_FAILED, reason=repr(error), connections=len(self._table))
        self._table.cut_for_place()
        self._loop.remove_reader(listener)
        self._loop.call_later(_PAUSE_SECONDS, self._resume, listener)
