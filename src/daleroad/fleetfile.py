"""Persistence of the instance registry on a coordinator's disk, for use after a restart.

The registry is not replicated, since heartbeats rebuild it within one interval. After a restart of
all coordinators no upstream would be known until then, and gateways would refuse all requests. A
list that is a few seconds old bridges that time: its upstreams count as overdue and get fewer
requests until their next heartbeat arrives, and soon none if it doesn't. Each request names the
instance that it is for, in case another process has taken over the address.
"""

from pathlib import Path

import anyio

from daleroad.atomicfile import persist_on_change, read_file
from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.instances import Sighting

RECOVERED_HEARTBEATS = 1.75
"""Age in heartbeat intervals that is assumed for the instances read from disk. They are overdue, so
that instances with a fresh heartbeat get more requests, but do not become unhealthy for most of an
interval; otherwise the first few instances heard would get all requests. In one restart of all
processes, three of nine engines got 21 of 25 streams, 11 of which were late."""


_FILE_NAME = "fleet.json"


class FleetKeeper:
    """Saves and restores a coordinator's instance registry.

    :param folder: directory of the file.
    :param fleet: the registry.
    :param heartbeat: interval of upstreams' heartbeats in seconds.
    """

    def __init__(self, folder: Path, fleet: Fleet, heartbeat: float) -> None:
        self._assumed_age = RECOVERED_HEARTBEATS * heartbeat
        self._path = folder / _FILE_NAME
        self._fleet = fleet

    def recover(self) -> None:
        """Load the upstreams that were known before the restart."""
        found = load_fleet(self._path, self._assumed_age)
        if isinstance(found, Failure):
            log_event(Event.FLEET_NOT_KEPT, reason=found.reason)
            return
        self._fleet.note_all(found, anyio.current_time())
        log_event(Event.FLEET_RECOVERED, instances=len(found))

    async def run(self) -> None:
        """Save the known upstreams after each change, until cancelled."""
        fleet = self._fleet
        await persist_on_change(
            self._path, lambda: fleet.revision, self._dump, Event.FLEET_NOT_KEPT, saved_revision=0
        )

    def _dump(self) -> bytes:
        return dump_fleet(tuple(self._fleet.list_sightings(anyio.current_time())))


def dump_fleet(sightings: tuple[Sighting, ...]) -> bytes:
    """Return the content of the file for a list of instances.

    :param sightings: reports on all instances, including those that are gone.
    """
    return encode(sightings, tuple[Sighting, ...])


def load_fleet(path: Path, age: float) -> tuple[Sighting, ...] | Failure:
    """Return the instances in a file, or a failure if it can't be read.

    :param path: the file.
    :param age: assumed seconds since the last heartbeat of each instance.
    """
    body = read_file(path)
    found = body if isinstance(body, Failure) else decode(tuple[Sighting, ...], body)
    if isinstance(found, Failure):
        return found
    return tuple(Sighting(sighting.instance, age) for sighting in found)
