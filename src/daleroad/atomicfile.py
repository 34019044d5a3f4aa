"""Small files that are replaced atomically and survive a power loss."""

import os
from collections.abc import Callable
from pathlib import Path

import anyio

from daleroad.defaults import PERSIST_INTERVAL_SECONDS
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event


async def persist_on_change(
    path: Path,
    get_revision: Callable[[], int],
    dump: Callable[[], bytes],
    failure_event: Event,
    saved_revision: int,
) -> None:
    """Write data to a file whenever its revision changes, until cancelled.

    :param path: the file.
    :param get_revision: returns the revision, a number that grows with each change.
    :param dump: returns the content to write.
    :param failure_event: event to log when a write fails.
    :param saved_revision: the revision that the file already holds.
    """
    while True:
        revision = get_revision()
        if revision != saved_revision:
            saved_revision = revision
            failure = await anyio.to_thread.run_sync(replace_file, path, dump())
            if failure is not None:
                log_event(failure_event, reason=failure.reason)
        await anyio.sleep(PERSIST_INTERVAL_SECONDS)


def replace_file(path: Path, body: bytes) -> Failure | None:
    """Replace a file atomically and durably; return a failure if it could not be written.

    :param path: the file.
    :param body: the new content.
    """
    temporary = path.with_suffix(".new")
    try:
        with temporary.open("wb", buffering=0) as file:
            file.write(body)
            os.fsync(file.fileno())
        os.replace(temporary, path)
        _sync_directory(path.parent)
    except OSError as error:
        return Failure(FailureKind.UNREACHABLE, f"{path.name}: {error!r}")
    return None


def _sync_directory(directory: Path) -> None:
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def read_file(path: Path) -> bytes | Failure:
    """Return the content of a file, or a failure if it can't be read.

    :param path: the file.
    """
    try:
        return path.read_bytes()
    except OSError as error:
        return Failure(FailureKind.NOT_FOUND, f"{path.name}: {error!r}")
