"""Account of the bytes that a gateway holds for its clients and upstreams.

A process that uses more memory than its VM allows is killed with all its requests. With the limit
known, a gateway near its bound refuses new requests before they run, and lets large answers wait
at their upstreams. What was reserved is never taken back. Without a limit nothing is bounded.
"""

from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from daleroad.errors import Failure, FailureKind

PROCESS_BYTES = 64_000_000
"""Memory of a gateway that holds nothing: the interpreter, its libraries and tables."""

HELD_SHARE = 0.5
"""Part of the remaining memory that may be held. Each byte may exist twice: it is joined from
pieces, and copied into a socket's buffer."""

MIN_BOUND_BYTES = 4_000_000
"""Smallest bound, so that a gateway with little memory still serves ordinary requests."""

ADMIT_SHARE = 0.8
"""Part of the bound up to which new requests with large bodies are accepted; the rest is for
answers, and for requests with small ones."""

ANSWER_SHARE = 0.9
"""Part of the bound up to which large answers are read; the rest is for small requests, which many
large answers must not shut out."""

OVER_SHARE = 0.6
"""Part of the bound below which a reached bound counts as over, so that it does not flap."""

REQUEST_SHARE = 0.5
"""Largest part of the bound that one request's body, or its answer, may take."""

REQUEST_BYTES = 32_000
"""Held for each open request beside its body: its connections, headers and tasks."""

STREAM_BYTES = 128_000
"""Held for each open stream, as a client that does not read leaves up to one read from the engine
and a socket's buffer of 64 KiB full."""

FREE_ANSWER_BYTES = 64_000
"""An answer up to this size is read at once, also at the bound: most answers are smaller, and one
that waits keeps its request's body in memory."""

FREE_BODY_BYTES = 64_000
"""A body up to this size is sent whatever else is under way to its upstream."""

SMALL_BYTES = REQUEST_BYTES + FREE_BODY_BYTES
"""What a small request holds at most before it runs."""

UPSTREAM_BYTES = 8_000_000
"""Bodies that this gateway may have under way to one upstream, which holds them in its own memory:
two of the largest. A single larger body is still sent."""

ROOM_SECONDS = 0.5
"""How long bytes may take to be released once their client was cut, and how often those that wait
for room look for a client to cut."""

MEMORY_RETRY_SECONDS = 0.5
"""When to come back to a gateway without room; other gateways mostly have some at once."""


def find_bound(memory_bytes: int | None) -> int | None:
    """Return how many bytes a gateway may hold, or None for no bound.

    :param memory_bytes: the memory limit of the process, if one is stated.
    """
    if memory_bytes is None:
        return None
    return max(MIN_BOUND_BYTES, int(HELD_SHARE * (memory_bytes - PROCESS_BYTES)))


def make_memory_failure() -> Failure:
    """Return the refusal of a request for which there is no room; it did not run."""
    reason = "the gateway holds as many bytes as its memory allows"
    return Failure(FailureKind.NO_MEMORY, reason, retry_after=MEMORY_RETRY_SECONDS)


class HeldBytes:
    """The bytes that one gateway process holds.

    :param bound: bytes that it may hold, or None for no bound.
    :ivar held: bytes that it holds.
    :ivar refusals: requests refused since the start.
    :ivar on_bound: called with True when the bound is reached, and with False when that is over.
    :ivar relieve: called to make room; cuts a client that lets the process wait, and returns False
        if there is none.
    :ivar waiting: bytes held by requests whose answers wait for room.
    :ivar overdrawn: the request whose answer may go beyond the bound, if there is one.
    """

    def __init__(self, bound: int | None = None) -> None:
        self.bound = bound
        self.held = 0
        self.refusals = 0
        self.on_bound: Callable[[bool], None] = lambda reached: None
        self.relieve: Callable[[], bool] = lambda: False
        self.waiting = 0
        self.overdrawn: RequestBytes | None = None
        self._reached = False
        self._freed: anyio.Event | None = None
        self._under_way: Counter[str] = Counter()

    def get_share(self, share: float) -> float:
        """Return a part of the bound in bytes, infinite without a bound.

        :param share: the part.
        """
        return float("inf") if self.bound is None else share * self.bound

    @contextmanager
    def open_request(self) -> Iterator["RequestBytes"]:
        """Yield the account of one request; all that it holds is released at its end."""
        request = RequestBytes(self)
        try:
            yield request
        finally:
            if self.overdrawn is request:
                self.overdrawn = None
            request.release(request.held)

    def change(self, size: int) -> None:
        """Count bytes that are held from now on, or no longer if negative.

        :param size: the bytes.
        """
        self.held += size
        if size < 0 and self._freed is not None:
            self._freed.set()
            self._freed = None
        if self._reached and self.held <= self.get_share(OVER_SHARE):
            self._reached = False
            self.on_bound(False)

    def note_reached(self) -> None:
        """Note that something was refused or has to wait."""
        if not self._reached:
            self._reached = True
            self.on_bound(True)

    async def make_room(self) -> bool:
        """Let a client that stalled lose its connection; return False if none did.

        What it held is mostly released when this returns.
        """
        if not self.relieve():
            return False
        with anyio.move_on_after(ROOM_SECONDS):
            await self.wait_freed()
        return True

    async def wait_freed(self) -> None:
        """Wait until some bytes are released."""
        self.note_reached()
        if self._freed is None:
            self._freed = anyio.Event()
        await self._freed.wait()

    @contextmanager
    def send_body(self, upstream: str, size: int) -> Iterator[bool]:
        """Count a body as under way to an upstream; yield whether it may be sent.

        Small ones always may, or a single large body would shut out all other requests.

        :param upstream: the upstream's id.
        :param size: bytes of the body.
        """
        before = self._under_way[upstream]
        fits = not before or size <= FREE_BODY_BYTES or before + size <= UPSTREAM_BYTES
        allowed = self.bound is None or fits
        added = size if allowed else 0
        self._under_way[upstream] += added
        try:
            yield allowed
        finally:
            self._under_way[upstream] -= added
            if not self._under_way[upstream]:
                del self._under_way[upstream]


class RequestBytes:
    """The bytes held for one request.

    :param account: the account of the process.
    :ivar held: its bytes.
    :ivar starved: whether its answer waits for room.
    :ivar waited: longest time that its last answer waited for room, in seconds.
    """

    def __init__(self, account: HeldBytes) -> None:
        self._account = account
        self.held = 0
        self.starved = False
        self.waited = 0.0

    async def admit(self, size: int) -> bool:
        """Reserve bytes of a request that has not run, as :meth:`try_reserve`.

        Before it is refused, clients that stalled lose what is held for them.

        :param size: the bytes.
        """
        account = self._account
        while self._fits_alone(size) and not self._has_room(size):
            if not await account.make_room():
                break
        return self.try_reserve(size)

    def _fits_alone(self, size: int) -> bool:
        return self.held + size <= self._account.get_share(REQUEST_SHARE)

    def _has_room(self, size: int) -> bool:
        share = 1.0 if self.held + size <= SMALL_BYTES else ADMIT_SHARE
        return self._account.held + size <= self._account.get_share(share)

    def try_reserve(self, size: int) -> bool:
        """Reserve bytes of a request that has not run; return False if it must be refused.

        :param size: the bytes.
        """
        if not self._fits_alone(size) or not self._has_room(size):
            self._account.refusals += 1
            self._account.note_reached()
            return False
        self.reserve(size)
        return True

    def reserve(self, size: int) -> None:
        """Reserve bytes of an accepted request, also beyond the bound.

        :param size: the bytes.
        """
        self.held += size
        self._account.change(size)

    async def reserve_answer(self, size: int, before: int) -> bool:
        """Reserve bytes of an answer, waiting for room; return False if they can never fit.

        :param size: the bytes.
        :param before: bytes that are reserved for the same answer already.
        """
        account = self._account
        if not before:
            self.waited = 0.0
        if before + size > max(FREE_ANSWER_BYTES, account.get_share(REQUEST_SHARE)):
            return False
        if before + size > FREE_ANSWER_BYTES:
            begun = anyio.current_time()
            await self._wait_for_room(size)
            self.waited = max(self.waited, anyio.current_time() - begun)
        self.reserve(size)
        return True

    async def _wait_for_room(self, size: int) -> None:
        account = self._account
        while account.held + size > account.get_share(ANSWER_SHARE):
            account.waiting += self.held
            try:
                if self._may_overdraw(size):
                    account.overdrawn = self
                    break
                self.starved = True
                if not await account.make_room():
                    with anyio.move_on_after(ROOM_SECONDS):
                        await account.wait_freed()
            finally:
                account.waiting -= self.held
        self.starved = False

    def _may_overdraw(self, size: int) -> bool:
        """Return whether an answer may go beyond the bound, as one at a time does.

        It does where even without what other requests will release there is no room, because the
        rest is held by requests whose answers wait, too.
        """
        account = self._account
        if account.overdrawn is not None:
            return account.overdrawn is self
        return account.waiting + size > account.get_share(ANSWER_SHARE)

    def release(self, size: int) -> None:
        """Release bytes, at most those that are held.

        :param size: the bytes.
        """
        size = min(size, self.held)
        self.held -= size
        self._account.change(-size)
