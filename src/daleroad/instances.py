"""One process of an upstream, from its start to its end, as it describes itself."""

from dataclasses import dataclass
from enum import StrEnum

from daleroad.ratelimits import RateLimit


class InstanceState(StrEnum):
    """How far an instance is on its way; states only go forward."""

    READY = "ready"
    LEAVING = "leaving"
    GONE = "gone"


@dataclass(frozen=True)
class Instance:
    """One process of an upstream, as it describes itself.

    :param id: tells it from all other starts, as :func:`make_instance_id` returns it.
    :param sequence: number of the heartbeat that said so.
    :param slots: requests that it works on at a time.
    :param name: what it calls itself, if that is not its id; it may start again under this name.
    :param born: when it started, in milliseconds since 1970 by its own clock; 0 if it does not say.
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
        """Return what the upstream calls itself."""
        return self.name or self.id


def make_instance_id(name: str, born: int) -> str:
    """Return the id of one start of an upstream.

    :param name: what it calls itself.
    :param born: when it started, in milliseconds since 1970; 0 if it does not say.
    """
    return f"{name}@{born}" if born else name


@dataclass(frozen=True)
class Sighting:
    """An instance as one process tells another of it, with ages instead of times.

    :param age: seconds since its last heartbeat.
    :param cold: seconds for which it will still be slow after its start.
    :param limit: the newest that it said of what it takes, if it ever named a limit.
    """

    instance: Instance
    age: float
    cold: float = 0.0
    limit: RateLimit | None = None
