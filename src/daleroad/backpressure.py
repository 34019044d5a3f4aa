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

    One that turns all away has no work, so by its load it would be the best choice. Rest is kept by
    what an upstream calls itself: one that has just started again may ask for it before its start
    is known here, and the news of its start must not end it.
    """

    _until: dict[str, float] = field(default_factory=dict)

    def note(self, name: str, seconds: float, now: float) -> bool:
        """Note that an upstream asked for rest; return whether it rests longer by that.

        :param name: what the upstream calls itself.
        :param seconds: for how long.
        :param now: the time.
        """
        if seconds <= 0:
            return False
        self._until = {n: until for n, until in self._until.items() if until > now}
        if now + seconds <= self._until.get(name, now):
            return False
        self._until[name] = now + seconds
        return True

    def count(self, now: float) -> int:
        """Return how many upstreams want nothing.

        :param now: the time.
        """
        return sum(until > now for until in self._until.values())

    def is_resting(self, name: str, now: float) -> bool:
        """Return whether an upstream wants nothing.

        :param name: what the upstream calls itself.
        :param now: the time.
        """
        return now < self._until.get(name, now)
