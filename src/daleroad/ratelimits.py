"""The requests a second that an upstream takes, as one process knows them. Pure."""

from dataclasses import dataclass

LIFT_SECONDS = 0.5
"""An answer without a limit so soon after one with it lifts nothing: it may have been on its way,
or not all answers of that instance say so."""

SAME_LIMIT_SHARE = 0.1
"""Part by which a limit may differ from the one that is known and still be no news. One that an
instance reckons anew for each answer would wake all processes of a site with each."""


@dataclass(frozen=True)
class RateLimit:
    """What an instance said of the requests that it takes from all gateways together.

    :param rate: requests a second; nothing where it names no limit any more.
    :param age: seconds since it said so.
    """

    rate: float | None
    age: float = 0.0


@dataclass
class KnownLimit:
    """The newest that is known of one upstream's limit.

    :param rate: requests a second; nothing where it names no limit.
    """

    rate: float | None = None
    _said_at: float = float("-inf")
    _was_named: bool = False

    def note(self, limit: RateLimit, now: float) -> bool:
        """Take in what the upstream said; return whether that is news.

        :param limit: what it said, and how long ago; the newest counts.
        :param now: the time.
        """
        said_at = now - limit.age
        lifts = limit.rate is None and self.rate is not None
        if said_at < self._said_at + (LIFT_SECONDS if lifts else 0):
            return False
        self._said_at = said_at
        if not _is_other(self.rate, limit.rate):
            return False
        self.rate = limit.rate
        self._was_named = True
        return True

    def tell(self, now: float) -> RateLimit | None:
        """Return it as others are told of it, if the upstream ever named a limit.

        :param now: the time.
        """
        return RateLimit(self.rate, now - self._said_at) if self._was_named else None


def _is_other(known: float | None, said: float | None) -> bool:
    """Return whether a limit differs from the one that is known by enough to be news."""
    if known is None or said is None:
        return known is not said
    return abs(said - known) > SAME_LIMIT_SHARE * known
