"""Upstreams that could not be reached, as evidence that they have ended. Pure.

An upstream that ends without a word is overdue only when its next heartbeat has not come; until
then it looks idle, and the less it has to do, the more is sent there. A connection that can't be
made tells it at once. It may be the way that is cut, though, so what counts is from where it was
tried.
"""

from dataclasses import dataclass, field

from daleroad.fleet import Fleet

ZONES_SURE = 2
"""Availability zones from which an upstream was tried in vain, after which nobody is sent there; a
cut between two zones hides an upstream from one."""


@dataclass
class Unreached:
    """When upstreams were tried in vain, and from which zones.

    :param fleet: the upstreams; one that is heard later is alive.
    """

    fleet: Fleet
    _tried: dict[str, dict[str, float]] = field(default_factory=dict)

    def note(self, instance_id: str, zone: str, now: float) -> None:
        """Note that an upstream could not be reached.

        :param instance_id: the upstream.
        :param zone: the availability zone from which it was tried.
        :param now: the time.
        """
        self._tried.setdefault(instance_id, {})[zone] = now

    def is_out_of_reach(self, instance_id: str, zone: str, now: float) -> bool:
        """Return whether an upstream should get nothing from a zone for now.

        :param instance_id: the upstream.
        :param zone: the availability zone of who asks.
        :param now: the time.
        """
        tried = self._tried.get(instance_id)
        if tried is None:
            return False
        heard_at = now - self.fleet.get_age(instance_id, now)
        zones = {name for name, at in tried.items() if at >= heard_at}
        if not zones:
            del self._tried[instance_id]
        return zone in zones or len(zones) >= ZONES_SURE

    def prune(self) -> None:
        """Forget upstreams that are not known any more."""
        gone = [name for name in self._tried if self.fleet.get(name) is None]
        for name in gone:
            del self._tried[name]
