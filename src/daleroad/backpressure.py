"""What an upstream says of itself in an answer: what it takes, and for how long not. Pure."""

from dataclasses import dataclass


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
