"""The last known upstreams on a coordinator's disk, for the first second after a restart.

Who is alive is not replicated: heartbeats tell it anew within an interval. Where all coordinators
were down at once, nobody knows any upstream until then, and gateways refuse what they are sent. A
list that may be seconds old is enough to begin with: its upstreams get less work until they are
heard, none soon after, and each request names the instance that it is for.
"""

from pathlib import Path

import anyio

from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.instances import Sighting
from daleroad.keptfile import keep_file, read_file

RECOVERED_HEARTBEATS = 1.75
"""Age of what was read, in heartbeats: overdue, so that those that are heard get more work, and for
most of one heartbeat not doubtful yet. Were they, the first few that are heard would get all work:
in one restart of all processes three of nine engines got 21 of 25 streams, 11 of them late."""


_NAME = "fleet.json"


class FleetKeeper:
    """Keeps a fleet on a disk.

    :param folder: where.
    :param fleet: what is kept.
    :param heartbeat: interval of upstreams' heartbeats in seconds.
    """

    def __init__(self, folder: Path, fleet: Fleet, heartbeat: float) -> None:
        self._age = RECOVERED_HEARTBEATS * heartbeat
        self._path = folder / _NAME
        self._fleet = fleet

    def recover(self) -> None:
        """Begin with the upstreams that were known before the restart."""
        found = load_fleet(self._path, self._age)
        if isinstance(found, Failure):
            log_event(Event.FLEET_NOT_KEPT, reason=found.reason)
            return
        self._fleet.note_all(found, anyio.current_time())
        log_event(Event.FLEET_RECOVERED, instances=len(found))

    async def run(self) -> None:
        """Write the known upstreams down whenever they changed, until cancelled."""
        fleet = self._fleet
        await keep_file(
            self._path, lambda: fleet.revision, self._dump, Event.FLEET_NOT_KEPT, kept=0
        )

    def _dump(self) -> bytes:
        return dump_fleet(tuple(self._fleet.list_sightings(anyio.current_time())))


def dump_fleet(sightings: tuple[Sighting, ...]) -> bytes:
    """Return a list of instances as it is written.

    :param sightings: all instances, also those that left.
    """
    return encode(sightings, tuple[Sighting, ...])


def load_fleet(path: Path, age: float) -> tuple[Sighting, ...] | Failure:
    """Return what the list holds, or why it can't be read.

    :param path: the file.
    :param age: seconds since its upstreams were heard, as is assumed.
    """
    body = read_file(path)
    found = body if isinstance(body, Failure) else decode(tuple[Sighting, ...], body)
    if isinstance(found, Failure):
        return found
    return tuple(Sighting(sighting.instance, age) for sighting in found)
