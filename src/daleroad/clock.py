"""The clock of a process, which goes on while its machine is suspended.

All times of a process are those of its event loop (``anyio.current_time()``): leases, ages,
budgets, drains, deadlines. The loop's usual clock, CLOCK_MONOTONIC, stands still while the machine
is suspended, so a lease would seem to hold on after others have taken over. The loop made here
reads CLOCK_BOOTTIME, which counts that time and never goes back.

What waits for a timer still waits by the clock that stood still; :func:`watch_clock` wakes the loop
often enough that no timer is late by more than its turn.
"""

import time
from asyncio import SelectorEventLoop
from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from daleroad.defaults import CLOCK_TURN_SECONDS, SUSPENDED_LEAST_SECONDS
from daleroad.events import Event, log_event

ReadClock = Callable[[], float]


def read_clock() -> float:
    """Return the seconds since the machine was booted, with those in which it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_running_clock() -> float:
    """Return the same without the seconds in which it was suspended."""
    return time.clock_gettime(time.CLOCK_MONOTONIC)


class ClockLoop(SelectorEventLoop):
    """An event loop whose time is read from a given clock.

    :param read: the clock, in seconds; it may jump ahead and never goes back.
    """

    def __init__(self, read: ReadClock = read_clock) -> None:
        self._read = read
        super().__init__()

    def time(self) -> float:
        """Return the time."""
        return self._read()


def run_on_clock(
    func: Callable[..., Awaitable[Any]], *args: Any, read: ReadClock = read_clock
) -> Any:
    """Run a coroutine function in an event loop of this clock; return what it returns.

    :param func: the function.
    :param args: its arguments.
    :param read: another clock, for tests.
    """
    return anyio.run(func, *args, backend_options={"loop_factory": lambda: ClockLoop(read)})


async def watch_clock(
    on_resumed: Callable[[float], None],
    read: ReadClock = read_clock,
    read_running: ReadClock = read_running_clock,
) -> None:
    """Keep timers from being late after the machine was suspended, until cancelled.

    :param on_resumed: called after that with the seconds for which it was.
    :param read: the process's clock.
    :param read_running: the same without those seconds.
    """
    suspended = read() - read_running()
    while True:
        await anyio.sleep(CLOCK_TURN_SECONDS)
        fresh = read() - read_running()
        seconds = fresh - suspended
        suspended = fresh
        if seconds >= SUSPENDED_LEAST_SECONDS:
            log_event(Event.RESUMED, seconds=round(seconds, 3))
            on_resumed(seconds)
