"""Tests of accepting connections, also when the system or the process has no room for one."""

import errno
import socket
import unittest
from contextlib import suppress

import anyio

from daleroad.clienttable import ClientConnection, ClientTable, ConnectionLimits, Cut, Stage
from daleroad.listeners import KERNEL_FACTOR, RECEIVE_BUFFER_BYTES, SEND_BUFFER_BYTES, Acceptor


class ScarceListener(socket.socket):
    """A listening socket for whose next connections the system has no descriptor."""

    failures = 0

    def accept(self) -> tuple[socket.socket, tuple[str, int]]:
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, "too many open files")
        return super().accept()


class AcceptorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.listener = self.enterContext(ScarceListener())
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen()
        self.address = self.listener.getsockname()
        self.table = ClientTable(ConnectionLimits(2, 1000))
        self.served: list[tuple[socket.socket, ClientConnection]] = []
        self.cuts: list[Cut] = []

    def serve(self, client: socket.socket, connection: ClientConnection) -> None:
        self.enterContext(client)
        connection.cut = self.cuts.append
        self.served.append((client, connection))

    def connect(self, count: int, seconds: float) -> list[bytes]:
        """Connect some clients and return what each is sent in so many seconds."""
        found: list[bytes] = []

        async def main() -> None:
            async with Acceptor(self.table, self.serve).accept([self.listener]):
                for _ in range(count):
                    async with await anyio.connect_tcp(*self.address) as stream:
                        sent = b""
                        with anyio.move_on_after(seconds), suppress(anyio.EndOfStream):
                            sent = await stream.receive()
                        found.append(sent)

        anyio.run(main)
        return found

    def test_buffers_of_accepted_sockets_are_bounded(self) -> None:
        self.connect(1, 0.1)
        (client, _), *_ = self.served
        sizes = [
            client.getsockopt(socket.SOL_SOCKET, option)
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF)
        ]
        self.assertLessEqual(sizes[0], KERNEL_FACTOR * RECEIVE_BUFFER_BYTES)
        self.assertLessEqual(sizes[1], KERNEL_FACTOR * SEND_BUFFER_BYTES)

    def test_without_a_descriptor_an_idle_connection_makes_room(self) -> None:
        idle = ClientConnection("a", 0.0)
        idle.cut = self.cuts.append
        self.table.admit(idle)
        self.listener.failures = 1
        self.connect(1, 0.5)
        self.assertEqual((len(self.served), self.cuts), (1, [Cut.PLACE]))

    def test_without_a_place_a_client_is_told_when_to_come_back(self) -> None:
        for _ in range(2):
            busy = ClientConnection("a", 0.0)
            busy.stage = Stage.SERVING
            self.table.admit(busy)
        (told,) = self.connect(1, 0.5)
        self.assertTrue(told.startswith(b"HTTP/1.1 503 "), told)
        self.assertIn(b"\r\nretry-after: 1\r\n", told)
        self.assertEqual((self.served, self.table.refused), ([], 1))


if __name__ == "__main__":
    unittest.main()
