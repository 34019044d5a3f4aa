"""The suspected requests on a coordinator's disk, for after a loss of all processes.

Gateways and coordinators tell each other what they hold against requests, so it is lost only where
all of them end at once. What is written is at most FLEET_KEPT_SECONDS old; what came later is
learnt anew. Time without power is not counted: what was held stays so a little longer.
"""

from pathlib import Path

import anyio

from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.keptfile import keep_file, read_file
from daleroad.suspects import Suspects, Suspicion

_NAME = "suspects.json"


class SuspectKeeper:
    """Keeps suspects on a disk.

    :param folder: where.
    :param suspects: what is kept.
    """

    def __init__(self, folder: Path, suspects: Suspects) -> None:
        self._path = folder / _NAME
        self._suspects = suspects
        self._kept = 0

    def recover(self) -> None:
        """Begin with what was held before the restart."""
        found = load_suspects(self._path)
        if isinstance(found, Failure):
            log_event(Event.SUSPECTS_NOT_KEPT, reason=found.reason)
            return
        now = anyio.current_time()
        for told in found:
            self._suspects.merge(told, now)
        self._kept = self._suspects.revision
        log_event(Event.SUSPECTS_RECOVERED, requests=len(found))

    async def run(self) -> None:
        """Write the suspects down whenever they changed, until cancelled."""
        suspects = self._suspects
        await keep_file(
            self._path, lambda: suspects.revision, self._dump, Event.SUSPECTS_NOT_KEPT, self._kept
        )

    def _dump(self) -> bytes:
        return encode(self._suspects.list_changed(anyio.current_time()), tuple[Suspicion, ...])


def load_suspects(path: Path) -> tuple[Suspicion, ...] | Failure:
    """Return what the file holds, nothing where there is none, or why it can't be read.

    :param path: the file.
    """
    if not path.exists():
        return ()
    body = read_file(path)
    return body if isinstance(body, Failure) else decode(tuple[Suspicion, ...], body)
