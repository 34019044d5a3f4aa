"""Decides which connections of clients a process keeps.

Each process has one table for all its listeners. A crowd of clients that misbehave reaches the
bounds of the table, not those of the process, and loses its own connections before those of others.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import IntEnum, StrEnum

from daleroad.defaults import CONNECTION_HELD_BYTES
from daleroad.heldbytes import PROCESS_BYTES

CONNECTION_BYTES = 16_000
"""Memory of a connection on which nothing is under way."""

CONNECTIONS_SHARE = 0.25
"""Part of the memory beyond that of an idle process that connections may take."""

MIN_HELD_BYTES = 4_000_000
"""Smallest bound of held bytes, so that a process with little memory serves ordinary clients."""

MAX_HELD_BYTES = CONNECTION_HELD_BYTES
"""Largest bound of held bytes, also that of a process whose memory limit is not known."""

RESERVED_DESCRIPTORS = 200
"""Descriptors for files, which the platform reserves as well."""

DESCRIPTOR_SHARE = 0.5
"""Part of the other descriptors that connections of clients may take; requests need others."""

MIN_CONNECTIONS = 32

STALLED_SECONDS = 0.5
"""A client that lets the process wait for so long may be cut to make room for others' requests."""


STALLED_SHARE = 0.5
"""A client that stalled is cut before others if it holds so large a part of the most that one
connection holds; cutting it frees little otherwise."""


class Stage(IntEnum):
    """What is under way on a connection, in the order in which connections are cut."""

    IDLE = 0
    RECEIVING = 1
    """A part of a request has come. It has not run."""
    SERVING = 2


class Cut(StrEnum):
    """Why the process cut a connection."""

    PLACE = "all connections are taken"
    HELD_BYTES = "connections hold too many bytes"
    STALLED = "no room for requests while this client stalled"
    HEAD_TIMEOUT = "the head of a request did not come in time"
    SILENT = "the client neither sent nor read what is under way"


@dataclass(frozen=True)
class ConnectionLimits:
    """Limits of a process.

    :param connections: connections of clients, on all listeners.
    :param held_bytes: bytes that they may hold in buffers. A single connection may exceed it.
    """

    connections: int
    held_bytes: int


def find_limits(memory_bytes: int | None, descriptors: int | None) -> ConnectionLimits:
    """Return the limits of a process.

    :param memory_bytes: its memory limit, if one is known.
    :param descriptors: its descriptor limit, if one is known.
    """
    held_bytes = MAX_HELD_BYTES
    if memory_bytes is not None:
        share = int(CONNECTIONS_SHARE * (memory_bytes - PROCESS_BYTES))
        held_bytes = min(max(MIN_HELD_BYTES, share), MAX_HELD_BYTES)
    connections = bound_connections(held_bytes // CONNECTION_BYTES, descriptors)
    return ConnectionLimits(connections, held_bytes)


def bound_connections(connections: int, descriptors: int | None) -> int:
    """Return how many connections a process keeps so that descriptors remain for other things.

    :param connections: as many as it may keep otherwise.
    :param descriptors: its descriptor limit, if one is known.
    """
    if descriptors is not None:
        free = int(DESCRIPTOR_SHARE * (descriptors - RESERVED_DESCRIPTORS))
        connections = min(connections, free)
    return max(MIN_CONNECTIONS, connections)


class ClientConnection:
    """One connection as the table knows it.

    :param address: IP address of the client.
    :param opened_at: when it was accepted.
    :ivar stage: what is under way.
    :ivar held: bytes in its buffers.
    :ivar active_at: when the client last sent or read something.
    :ivar waits_since: since when the process has waited for the client to send the rest of a body,
        or to read more of an answer; None if it does not.
    :ivar cut: ends the connection at once.
    """

    def __init__(self, address: str, opened_at: float) -> None:
        self.address = address
        self.stage = Stage.IDLE
        self.held = 0
        self.active_at = opened_at
        self.waits_since: float | None = None
        self.cut: Callable[[Cut], None] = lambda reason: None


class ClientTable:
    """The connections of a process's clients.

    :param limits: the limits of the process; may be replaced.
    :ivar held: bytes in the buffers of all connections.
    :ivar refused: connections refused since the start.
    :ivar cuts: connections cut since the start, by reason.
    :ivar measure: called before connections are cut for what they hold, to correct estimates.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        self.limits = limits
        self.held = 0
        self.refused = 0
        self.cuts: Counter[Cut] = Counter()
        self.measure: Callable[[], None] = lambda: None
        self._connections: dict[ClientConnection, None] = {}
        self._by_address: Counter[str] = Counter()

    def __len__(self) -> int:
        """Return how many connections there are."""
        return len(self._connections)

    def admit(self, connection: ClientConnection) -> bool:
        """Add a new connection; return False if there is no place for it.

        :param connection: the connection.
        """
        while len(self._connections) >= self.limits.connections:
            if not self.cut_for_place():
                self.refused += 1
                return False
        self._connections[connection] = None
        self._by_address[connection.address] += 1
        return True

    def remove(self, connection: ClientConnection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection; it may be unknown.
        """
        if connection not in self._connections:
            return
        del self._connections[connection]
        self.held -= connection.held
        self._by_address[connection.address] -= 1
        if not self._by_address[connection.address]:
            del self._by_address[connection.address]

    def set_held(self, connection: ClientConnection, held: int) -> None:
        """Note what a connection holds now, and cut those that hold most beyond the bound.

        :param connection: the connection.
        :param held: its bytes.
        """
        if connection not in self._connections:
            return
        added = held - connection.held
        connection.held = held
        self.held += added
        if added > 0 and self.held > self.limits.held_bytes:
            self._cut_holders()

    def cut(self, connection: ClientConnection, reason: Cut) -> None:
        """Cut a connection.

        :param connection: the connection.
        :param reason: why.
        """
        self.remove(connection)
        self.cuts[reason] += 1
        connection.cut(reason)

    def cut_for_place(self) -> bool:
        """Cut the connection that costs callers least; return False if there is none.

        A connection with a request under way is never cut for this.
        """
        found = min(
            (c for c in self._connections if c.stage is not Stage.SERVING),
            key=lambda c: (-self._by_address[c.address], c.stage, c.active_at),
            default=None,
        )
        if found is not None:
            self.cut(found, Cut.PLACE)
        return found is not None

    def cut_stalled(self, now: float) -> bool:
        """Cut the connection whose client has let the process wait longest, if any stalled.

        :param now: the time.
        """
        self.measure()
        stalled = (
            (c.waits_since, number, c)
            for number, c in enumerate(self._connections)
            if c.waits_since is not None and now - c.waits_since >= STALLED_SECONDS
        )
        found = min(stalled, default=None)
        if found is not None:
            self.cut(found[2], Cut.STALLED)
        return found is not None

    def _cut_holders(self) -> None:
        """Cut connections until the others hold no more than the bound."""
        self.measure()
        while (found := self._find_holder()) is not None:
            self.cut(found, Cut.HELD_BYTES)

    def _find_holder(self) -> ClientConnection | None:
        """Return the connection to cut for what it holds, or None if all may stay.

        What an answer cost is lost to a client that does not read before one that does.
        """
        largest = max((c.held for c in self._connections), default=0)
        if self.held - largest <= self.limits.held_bytes:
            return None
        totals = self._sum_by_address()
        newest = max(c.active_at for c in self._connections)

        def rank(connection: ClientConnection) -> tuple[int, bool, int]:
            progress_at = connection.waits_since or connection.active_at
            stalled = newest - progress_at >= STALLED_SECONDS
            is_large = connection.held >= STALLED_SHARE * largest
            return totals[connection.address], stalled and is_large, connection.held

        return max(self._connections, key=rank)

    def _sum_by_address(self) -> Counter[str]:
        totals: Counter[str] = Counter()
        for connection in self._connections:
            totals[connection.address] += connection.held
        return totals

    def __iter__(self) -> Iterator[ClientConnection]:
        """Yield the connections, the oldest first."""
        return iter(self._connections)
