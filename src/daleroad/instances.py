"""Data types that describe one process of an upstream and its reported state."""

from dataclasses import dataclass
from enum import StrEnum

from daleroad.ratelimits import RateLimit


class InstanceState(StrEnum):
    """Lifecycle states of an instance, in order; an instance never returns to an earlier one."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class Instance:
    """One process of an upstream, as its heartbeats describe it.

    :param id: identifies this start of the upstream; made by :func:`make_instance_id`.
    :param sequence: number of the heartbeat that this description is from.
    :param slots: requests that it runs concurrently.
    :param name: the upstream's name, which stays the same across restarts; empty if it is the id.
    :param born: start time in milliseconds since the epoch, by its own clock; 0 if not reported.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    state: InstanceState
    sequence: int
    name: str = ""
    born: int = 0

    def get_name(self) -> str:
        """Return the upstream's name."""
        return self.name or self.id


def make_instance_id(name: str, born: int) -> str:
    """Return the id of one start of an upstream.

    :param name: the upstream's name.
    :param born: start time in milliseconds since the epoch; 0 if not reported.
    """
    return f"{name}@{born}" if born else name


@dataclass(frozen=True)
class Sighting:
    """A report on an instance between processes, with ages, since each has its own clock.

    :param age: seconds since its last heartbeat.
    :param cold: seconds for which it will still be slow after its start.
    :param limit: the newest report on its rate limit, or None if it never had one.
    """

    instance: Instance
    age: float
    cold: float = 0.0
    limit: RateLimit | None = None
