"""Persistence of the suspected requests in a file on a coordinator's disk.

Gateways and coordinators replicate the suspects among themselves, so the file matters only after
all of them have failed at once. Changes are written every PERSIST_INTERVAL_SECONDS; later ones are
lost and learnt anew. Ages are stored as of the write, so downtime does not shorten a hold.
"""

from pathlib import Path

import anyio

from daleroad.atomicfile import persist_on_change, read_file
from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.suspects import Suspects
from daleroad.suspicions import Suspicion

_NAME = "suspects.json"


class SuspectFile:
    """Writes suspects to a file and reads them back after a restart.

    :param folder: the folder of the file.
    :param suspects: the suspects to persist.
    """

    def __init__(self, folder: Path, suspects: Suspects) -> None:
        self._path = folder / _NAME
        self._suspects = suspects
        self._written_revision = 0

    def recover(self) -> None:
        """Load the suspects that were written before the restart."""
        found = load_suspects(self._path)
        if isinstance(found, Failure):
            log_event(Event.SUSPECTS_NOT_KEPT, reason=found.reason)
            return
        now = anyio.current_time()
        for report in found:
            self._suspects.merge(report, now)
        self._written_revision = self._suspects.revision
        log_event(Event.SUSPECTS_RECOVERED, requests=len(found))

    async def run(self) -> None:
        """Write the file whenever the suspects have changed, until cancelled."""
        suspects = self._suspects
        await persist_on_change(
            self._path,
            lambda: suspects.revision,
            self._encode,
            Event.SUSPECTS_NOT_KEPT,
            self._written_revision,
        )

    def _encode(self) -> bytes:
        return encode(self._suspects.list_changed(anyio.current_time()), tuple[Suspicion, ...])


def load_suspects(path: Path) -> tuple[Suspicion, ...] | Failure:
    """Return the reports in a file, none if it doesn't exist, or why it can't be read.

    :param path: the file.
    """
    if not path.exists():
        return ()
    body = read_file(path)
    return body if isinstance(body, Failure) else decode(tuple[Suspicion, ...], body)
