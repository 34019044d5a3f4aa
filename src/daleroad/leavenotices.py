"""When one gateway learnt that upstreams leave.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field

from daleroad.fleet import GONE_KEPT_SECONDS


@dataclass
class LeaveNotices:
    """When a gateway learnt that each upstream leaves, kept for GONE_KEPT_SECONDS."""

    _noticed_at: dict[str, float] = field(default_factory=dict)

    def record(self, instance_id: str, now: float) -> None:
        """Record that an upstream leaves; later notices of the same upstream change nothing.

        :param instance_id: the upstream.
        :param now: the current time.
        """
        kept = {i: at for i, at in self._noticed_at.items() if now - at <= GONE_KEPT_SECONDS}
        self._noticed_at = {instance_id: now} | kept

    def get_noticed_at(self, instance_id: str) -> float | None:
        """Return when the gateway learnt that an upstream leaves, if it has.

        :param instance_id: the upstream.
        """
        return self._noticed_at.get(instance_id)

    def get_age(self, instance_id: str, now: float) -> float | None:
        """Return the seconds since the gateway learnt that an upstream leaves, if it has.

        :param instance_id: the upstream.
        :param now: the current time.
        """
        noticed_at = self.get_noticed_at(instance_id)
        return None if noticed_at is None else now - noticed_at
