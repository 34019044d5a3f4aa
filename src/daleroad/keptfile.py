"""A small file that is replaced as a whole, and is whole after a loss of power."""

import os
from pathlib import Path

from daleroad.errors import Failure, FailureKind


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
