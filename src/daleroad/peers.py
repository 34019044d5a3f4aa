"""The other coordinators that one knows of, and when each was heard.

Does no I/O but for its log events; the caller passes in the time.
"""

from dataclasses import dataclass, field

from daleroad.defaults import STANDBY_SILENT_SECONDS
from daleroad.events import Event, log_event
from daleroad.voters import MAX_VOTER_SILENCE_SECONDS


@dataclass
class Peers:
    """What one coordinator knows of the others.

    :param name: its own name.
    :param seeds: those to begin with.
    """

    name: str
    seeds: set[str]
    _heard: dict[str, float] = field(default_factory=dict)

    def list_others(self, voters: set[str]) -> list[str]:
        """Return the names of all others that may be alive.

        :param voters: the names in the membership.
        """
        return sorted((self.seeds | voters | set(self._heard)) - {self.name})

    def list_named(self, voters: set[str], now: float) -> tuple[str, ...]:
        """Return the names that others are told of: those heard of late, and all voters.

        :param voters: the names in the membership.
        :param now: the time.
        """
        heard = {n for n, at in self._heard.items() if now - at < STANDBY_SILENT_SECONDS}
        return tuple(sorted(heard | voters | {self.name}))

    def is_alive(self, name: str, now: float) -> bool:
        """Return whether another coordinator was heard a moment ago.

        :param name: its name.
        :param now: the time.
        """
        return now - self._heard.get(name, float("-inf")) < MAX_VOTER_SILENCE_SECONDS

    def learn(self, names: tuple[str, ...], now: float) -> None:
        """Note coordinators that another one named.

        :param names: their names.
        :param now: the time.
        """
        for name in names:
            if name != self.name and name not in self._heard:
                self.note_alive(name, now)

    def note_alive(self, name: str, now: float) -> None:
        """Note that a coordinator was heard.

        :param name: its name.
        :param now: the time.
        """
        if name not in self._heard:
            log_event(Event.COORDINATOR_LEARNT, name=name)
        self._heard[name] = now

    def prune(self, now: float) -> None:
        """Forget those not heard for long.

        :param now: the time.
        """
        for name, at in list(self._heard.items()):
            if now - at > STANDBY_SILENT_SECONDS:
                del self._heard[name]
                log_event(Event.COORDINATOR_SILENT, name=name, age=round(now - at, 3))
