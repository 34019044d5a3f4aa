"""Runs one process: signals, clean stop, event loop."""

import signal
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any, TypeAlias

import anyio
from anyio.abc import TaskGroup

from daleroad.clock import watch_clock
from daleroad.control import Control
from daleroad.entry import Entry
from daleroad.events import Event, log_event
from daleroad.freememory import MemoryTrimmer
from daleroad.logs import set_up_logs
from daleroad.settings import NodeRole, Settings

AsyncCall: TypeAlias = Callable[[], Coroutine[Any, Any, None]]


def _do_nothing(seconds: float) -> None:
    """Leave it at the log line: each lease is read from a clock that went on."""


async def _watch_signals(drain: AsyncCall, stop: Callable[[], None], tasks: TaskGroup) -> None:
    """Drain at the first signal and stop at the second."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        draining = False
        async for _ in signals:
            if draining:
                stop()
                tasks.cancel_scope.cancel()
                return
            draining = True
            tasks.start_soon(drain)


async def run_process(
    run: AsyncCall,
    drain: AsyncCall,
    stop: Callable[[], None],
) -> None:
    """Run something until it ends, with signals handled.

    :param run: the work of the process.
    :param drain: leaves gracefully; the first signal calls it.
    :param stop: stops at once; the second signal calls it.
    """
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(_watch_signals, drain, stop, tasks)
        tasks.start_soon(watch_clock, _do_nothing)
        tasks.start_soon(MemoryTrimmer().run)
        await run()
        tasks.cancel_scope.cancel()


async def serve(settings: Settings) -> None:
    """Run the process that settings describe.

    :param settings: the settings.
    """
    set_up_logs()
    random = Random()
    log_event(Event.STARTED, name=settings.name, role=settings.role.value)
    match settings.role:
        case NodeRole.CONTROL:
            control = Control(settings, random)

            async def drain() -> None:
                log_event(Event.STOPPING, name=settings.name)
                control.stop()

            await run_process(control.run, drain, control.stop)
        case NodeRole.ENTRY:
            entry = Entry(settings, random)
            await run_process(entry.run, entry.drain, entry.stop)
    log_event(Event.STOPPED, name=settings.name)


def move_damaged(settings: Settings) -> list[str]:
    """Move a control process's files aside, so that the leader fills its disk anew.

    :param settings: its settings.
    :return: the files' new names.
    """
    moved = []
    for path in sorted(Path(settings.data).glob("*.db*")):
        aside = path.with_name(f"{path.name}.damaged")
        path.rename(aside)
        moved.append(str(aside))
    return moved
