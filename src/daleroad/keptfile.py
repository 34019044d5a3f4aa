"""A small file that is replaced as a whole, and is whole after a loss of power."""

import os
from collections.abc import Callable
from pathlib import Path

import anyio

from daleroad.defaults import FLEET_KEPT_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event


async def keep_file(
    path: Path, get_revision: Callable[[], int], dump: Callable[[], bytes], failed: Event, kept: int
) -> None:
    """Write something down whenever it changed, until cancelled.

    :param path: the file.
    :param get_revision: returns a number that grows with each change.
    :param dump: returns what should be written.
    :param failed: logged where it could not be written.
    :param kept: the revision that the file has.
    """
    while True:
        revision = get_revision()
        if revision != kept:
            kept = revision
            failure = await anyio.to_thread.run_sync(replace_file, path, dump())
            if failure is not None:
                log_event(failed, reason=failure.reason)
        await anyio.sleep(FLEET_KEPT_SECONDS)


def replace_file(path: Path, body: bytes) -> Failure | None:
    """Replace a file, also for after a loss of power; return why that failed, if so.

    :param path: the file.
    :param body: what it should hold.
    """
    fresh = path.with_suffix(".new")
    try:
        with fresh.open("wb", buffering=0) as file:
            file.write(body)
            os.fsync(file.fileno())
        os.replace(fresh, path)
        _sync_folder(path.parent)
    except OSError as error:
        return Failure(FailureKind.UNREACHABLE, f"{path.name}: {error!r}")
    return None


def _sync_folder(folder: Path) -> None:
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def read_file(path: Path) -> bytes | Failure:
    """Return what a file holds, or why it can't be read.

    :param path: the file.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        return Failure(FailureKind.NOT_FOUND, f"{path.name}: {error!r}")
