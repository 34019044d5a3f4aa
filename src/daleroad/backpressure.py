"""What an upstream says of itself in an answer: what it takes, and for how long not. Pure."""

from dataclasses import dataclass, field


@dataclass(frozen=True)
class Backpressure:
    """What the head of one answer says of the upstream that gave it.

    :param limit: requests a second that it takes from all gateways together; nothing where it names
        no limit.
    :param rest: seconds for which it wants nothing from the gateway that it answers; 0 for none.
    :param leaving: whether it is leaving.
    :param cold: seconds for which it is still cold; nothing where it does not say.
    """

    limit: float | None = None
    rest: float = 0.0
    leaving: bool = False
    cold: float | None = None


@dataclass
class Rests:
    """The upstreams that want nothing from this gateway for now.

    One that turns all away has no work, so by its load it would be the best choice.
    """

    _until: dict[str, float] = field(default_factory=dict)

    def note(self, instance_id: str, seconds: float, now: float) -> bool:
        """Note that an upstream asked for rest; return whether it rests longer by that.

        :param instance_id: the upstream.
        :param seconds: for how long.
        :param now: the time.
        """
        if seconds <= 0:
            return False
        self._until = {name: until for name, until in self._until.items() if until > now}
        if now + seconds <= self._until.get(instance_id, now):
            return False
        self._until[instance_id] = now + seconds
        return True

    def count(self, now: float) -> int:
        """Return how many upstreams want nothing.

        :param now: the time.
        """
        return sum(until > now for until in self._until.values())

    def is_resting(self, instance_id: str, now: float) -> bool:
        """Return whether an upstream wants nothing.

        :param instance_id: the upstream.
        :param now: the time.
        """
        return now < self._until.get(instance_id, now)
