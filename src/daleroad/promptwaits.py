"""Holds the polls for prompts that wait for room, and answers them in the order of their queue.

The leading coordinator runs one for all gateways; each gateway has one for its own prompts, which
it uses while no leader answers.
"""

from collections import Counter
from collections.abc import Callable, Iterator

import anyio

from daleroad.metrics import CounterSample, GaugesSample, Metrics
from daleroad.notices import PlaceAnswer, PlaceRequest, WaitingPrompt
from daleroad.promptqueue import HOLD_SECONDS, PromptQueue, RefusalPolicy, Ticket, TryPlace

TURN_SECONDS = 0.03
"""Interval at which waiting prompts are tried without news of loads: patience ends, heartbeats come
and grants expire without any. A site with a hundred generations ends one as often."""

GATHER_SECONDS = 0.01
"""Pause after each turn, so that reports that come together cost one; as long as gateways gather
theirs."""

PAUSE_PER_TRY_SECONDS = 0.004
MAX_PAUSE_SECONDS = 0.06
"""Pause for each prompt that a turn tried without finding room, so that turns take a bounded part
of a core: a try takes up to a millisecond with a hundred engines. The pause is bounded, since a
waiting prompt would lose more of its objective than its way takes."""


class PromptWaits:
    """The queues of all services, and the polls held for them.

    :param try_place: places a prompt.
    :param is_active: returns whether prompts may be placed now.
    :param refusals: decides which prompts are refused; nothing if none are.
    """

    def __init__(
        self,
        try_place: TryPlace,
        is_active: Callable[[], bool] = lambda: True,
        refusals: RefusalPolicy | None = None,
    ) -> None:
        self._try_place = try_place
        self._is_active = is_active
        self._refusals = refusals
        self._queues: dict[str, PromptQueue] = {}
        self._polls: dict[Ticket, anyio.Event] = {}
        self._changed = anyio.Event()
        self._is_running = False

    def submit(self, request: PlaceRequest) -> PlaceAnswer:
        """Return a prompt's place, or ``crowded`` if it waits and should be polled for.

        :param request: the request, with a demand and a ticket.
        """
        return self._get_queue(request.service).submit(request, anyio.current_time())

    async def hold(self, request: PlaceRequest) -> PlaceAnswer:
        """Return a waiting prompt's place once there is room, or ``crowded`` after a hold.

        :param request: the request, with a demand and a ticket.
        """
        queue = self._get_queue(request.service)
        answer = queue.begin_poll(request, anyio.current_time())
        if answer is not None:
            return answer
        ticket = (request.gateway, request.ticket)
        answered = self._polls.setdefault(ticket, anyio.Event())
        self._changed.set()
        try:
            with anyio.move_on_after(HOLD_SECONDS):
                await answered.wait()
            if not self._is_running:
                self.turn(anyio.current_time())
        finally:
            self._polls.pop(ticket, None)
            answer = queue.end_poll(request, anyio.current_time())
        return answer

    def withdraw(self, service: str, gateway: str, ticket: str) -> None:
        """Remove a prompt that needs no upstream any more.

        :param service: the service that it is for.
        :param gateway: its gateway.
        :param ticket: its ticket.
        """
        if service in self._queues:
            self._queues[service].withdraw(gateway, ticket)

    def wake(self) -> None:
        """Try the waiting prompts soon, since there may be room."""
        if self._polls:
            self._changed.set()

    async def run(self) -> None:
        """Answer polls in turns until cancelled."""
        self._is_running = True
        while True:
            with anyio.move_on_after(TURN_SECONDS if self.count() else None):
                await self._changed.wait()
            self._changed = anyio.Event()
            self.turn(anyio.current_time())
            misfits = sum(queue.misfits for queue in self._queues.values())
            pause = PAUSE_PER_TRY_SECONDS * misfits
            await anyio.sleep(min(MAX_PAUSE_SECONDS, max(GATHER_SECONDS, pause)))

    def turn(self, now: float) -> None:
        """Place the prompts that there is room for, and answer their polls.

        :param now: the time.
        """
        active = self._is_active()
        for queue in self._queues.values():
            if active:
                queue.drain(now)
            else:
                queue.prune(now)

    def count(self) -> int:
        """Return the number of prompts that wait."""
        return sum(map(len, self._queues.values()))

    def list_waiting(self) -> Iterator[WaitingPrompt]:
        """Yield the prompts that wait, by service and in order."""
        now = anyio.current_time()
        for queue in self._queues.values():
            queue.prune(now)
            yield from queue.list_waiting(now)

    def show(self, metrics: Metrics) -> None:
        """Add the queues to a process's metrics.

        :param metrics: the metrics.
        """
        metrics.add(_Family(self._read_lengths))
        metrics.add(_Family(self._read_ages))
        metrics.add(_Family(self._read_ends))

    def _read_lengths(self) -> GaugesSample:
        lengths = Counter(str(waiting.rank) for waiting in self.list_waiting())
        return GaugesSample(
            "daleroad_queue_length",
            "Prompts that wait for room in an engine",
            ("rank",),
            tuple(((rank,), float(length)) for rank, length in lengths.items()),
        )

    def _read_ages(self) -> GaugesSample:
        oldest: dict[str, float] = {}
        for waiting in self.list_waiting():
            oldest[str(waiting.rank)] = max(waiting.age, oldest.get(str(waiting.rank), 0.0))
        return GaugesSample(
            "daleroad_queue_oldest_seconds",
            "Age of the oldest prompt that waits for room in an engine",
            ("rank",),
            tuple(((rank,), age) for rank, age in oldest.items()),
        )

    def _read_ends(self) -> CounterSample:
        ends: Counter[str] = Counter()
        for queue in self._queues.values():
            ends.update(queue.counts)
        return CounterSample(
            "daleroad_queue_ends",
            "Prompts that were queued, by what became of them",
            ("end",),
            tuple(((end,), float(number)) for end, number in ends.items()),
        )

    def _get_queue(self, service: str) -> PromptQueue:
        # Callers check the service's name first, so there are as many as are configured.
        if service not in self._queues:
            self._queues[service] = PromptQueue(
                service, self._try_place, self._refusals, self._end_hold
            )
        return self._queues[service]

    def _end_hold(self, ticket: Ticket) -> None:
        """End the poll for a prompt that was answered, if one is held."""
        if ticket in self._polls:
            self._polls[ticket].set()


class _Family:
    """A family of metrics that is read from the queues.

    :param read: returns it.
    """

    def __init__(self, read: Callable[[], CounterSample | GaugesSample]) -> None:
        self.read = read
