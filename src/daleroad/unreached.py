"""Tracks failed connections to upstreams, to avoid unreachable ones before their heartbeats lapse.

An upstream that crashed seems idle until its next heartbeat is overdue, so load balancing prefers
it. A failed connection shows the crash at once. Since the cause may also be a network partition
between availability zones, failures are counted by the zone that they were seen from.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field

from daleroad.fleet import Fleet

MIN_FAILED_ZONES = 2
"""Availability zones with failed connections from which on an upstream gets nothing from any zone.
A partition between two zones makes it unreachable from one only."""


@dataclass
class UnreachableUpstreams:
    """When and from which availability zones connections to upstreams failed.

    :param fleet: the upstreams; a heartbeat after a failure shows that an upstream is alive.
    """

    fleet: Fleet
    _failure_times: dict[str, dict[str, float]] = field(default_factory=dict)

    def record_failure(self, instance_id: str, zone: str, now: float) -> None:
        """Record a failed connection.

        :param instance_id: the upstream.
        :param zone: the availability zone that the connection came from.
        :param now: the time.
        """
        self._failure_times.setdefault(instance_id, {})[zone] = now

    def is_unreachable(self, instance_id: str, zone: str, now: float) -> bool:
        """Return whether an upstream should get nothing from an availability zone for now.

        Failures before the newest heartbeat don't count.

        :param instance_id: the upstream.
        :param zone: the availability zone of the sender.
        :param now: the time.
        """
        failure_times = self._failure_times.get(instance_id)
        if failure_times is None:
            return False
        heard_at = now - self.fleet.get_age(instance_id, now)
        failed_zones = {name for name, at in failure_times.items() if at >= heard_at}
        if not failed_zones:
            del self._failure_times[instance_id]
        return zone in failed_zones or len(failed_zones) >= MIN_FAILED_ZONES

    def list_failed(self) -> list[str]:
        """Return the upstreams with failed connections, whether they were heard since or not."""
        return list(self._failure_times)

    def prune(self) -> None:
        """Forget upstreams that have left the fleet."""
        unknown = [name for name in self._failure_times if self.fleet.get(name) is None]
        for name in unknown:
            del self._failure_times[name]
