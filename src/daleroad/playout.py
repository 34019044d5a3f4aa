"""Delivers the events of guarded streams with a small delay that shortens their longest pauses.

An engine that reads a prompt in a slow moment pauses a stream for a little longer than its route
allows, and so does a stream's move to another engine. Events that are held for a moment, as in the
jitter buffer of a media player, are still there to be delivered while the engine pauses.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable

import anyio

from daleroad.errors import Failure

HOLD_SHARE = 0.25
"""Longest hold of an event, as a share of the pause that its route allows. Readers notice no delay
so short, and it is several times what pauses in slow moments exceed the limit by."""

GAP_SHARE = 0.9
"""Longest gap between two deliveries while an event is held, as a share of the allowed pause. The
rest is for the way to the client."""

MAX_BUFFERED_EVENTS = 8
"""Events read ahead of their delivery. More than a hold's worth of them means that the client reads
slowly, and then its engine should wait for it."""

SendPiece = Callable[[bytes], Awaitable[None]]
"""Sends a piece of a stream to its client."""


class PlayoutSchedule:
    """Decides when the events of one stream are delivered.

    :param max_pause: longest pause between events that the route allows, in seconds.
    :ivar longest_pause: longest gap between two deliveries so far, in seconds.
    :ivar shortened: number of pauses above ``max_pause`` that were not above it at delivery.
    """

    def __init__(self, max_pause: float) -> None:
        self.longest_pause = 0.0
        self.shortened = 0
        self._max_pause = max_pause
        self._arrived_at: float | None = None
        self._delivered_at = 0.0

    def find_delivery(self, arrived_at: float, now: float) -> float:
        """Return when to deliver the next event; the first is delivered at once.

        :param arrived_at: when it arrived.
        :param now: the time.
        """
        delivery = max(arrived_at, now)
        if self._arrived_at is not None:
            held_until = min(
                arrived_at + HOLD_SHARE * self._max_pause,
                self._delivered_at + GAP_SHARE * self._max_pause,
            )
            delivery = max(delivery, held_until)
            self._note_gap(arrived_at - self._arrived_at, delivery - self._delivered_at)
        self._arrived_at, self._delivered_at = arrived_at, delivery
        return delivery

    def _note_gap(self, arrived: float, delivered: float) -> None:
        self.longest_pause = max(self.longest_pause, delivered)
        self.shortened += delivered <= self._max_pause < arrived


async def deliver_pieces(
    pieces: AsyncGenerator[bytes | Failure, None],
    schedule: PlayoutSchedule | None,
    send_piece: SendPiece,
) -> Failure | None:
    """Send the pieces of a stream; return the failure that ended it, if any.

    :param pieces: complete events, then a failure if the stream was cut; the caller closes it.
    :param schedule: when to deliver them; nothing to do so as they arrive.
    :param send_piece: sends one piece.
    """
    if schedule is None:
        async for piece in pieces:
            if isinstance(piece, Failure):
                return piece
            await send_piece(piece)
        return None
    return await _deliver_on_schedule(pieces, schedule, send_piece)


async def _deliver_on_schedule(
    pieces: AsyncGenerator[bytes | Failure, None],
    schedule: PlayoutSchedule,
    send_piece: SendPiece,
) -> Failure | None:
    # Events are read while others are held, or each would be held after the one before.
    sender, receiver = anyio.create_memory_object_stream[tuple[float, bytes | Failure]](
        MAX_BUFFERED_EVENTS
    )

    async def read() -> None:
        async with sender:
            async for piece in pieces:
                await sender.send((anyio.current_time(), piece))

    async with anyio.create_task_group() as tasks, receiver:
        tasks.start_soon(read)
        async for arrived_at, piece in receiver:
            if isinstance(piece, Failure):
                return piece
            delivery = schedule.find_delivery(arrived_at, anyio.current_time())
            await anyio.sleep_until(delivery)
            await send_piece(piece)
    return None
