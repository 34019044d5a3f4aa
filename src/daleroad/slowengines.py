"""Engines that generate much slower than the quickest of their service, for operators.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Container, Iterator, Mapping

from daleroad.events import Event, log_event
from daleroad.fleet import Fleet
from daleroad.notices import KnownPace, Pace, PacesAnswer
from daleroad.paces import PaceTable

SLOW_RATIO = 2.0
"""An engine is slow that takes so many times as long for an event as the quickest of its service;
engines of two generations of hardware differ by less."""

SLOW_END_RATIO = 1.8
"""A slow engine is slow no longer below this ratio, so that one near the limit is not logged all
the time."""

CHECK_SECONDS = 2.0
"""Interval at which slow engines are looked for; bounds the events of one engine."""


class SlowEngines:
    """Finds the engines that are slow, and logs when one becomes slow and when that ends.

    :param fleet: the live instances.
    :param paces: the known paces.
    """

    def __init__(self, fleet: Fleet, paces: PaceTable) -> None:
        self._fleet = fleet
        self._paces = paces
        self._slow: dict[str, Pace] = {}
        self._checked_at = float("-inf")

    def count(self) -> int:
        """Return the number of slow engines; 0 where this coordinator does not lead."""
        return len(self._slow)

    def clear(self) -> None:
        """Forget the slow engines, without a log line; another coordinator leads now."""
        self._slow = {}

    def check(self, now: float) -> None:
        """Look for slow engines, at most every ``CHECK_SECONDS``.

        :param now: the time.
        """
        if now - self._checked_at < CHECK_SECONDS:
            return
        self._checked_at = now
        services = self._group_by_service(now)
        before, self._slow = self._slow, {}
        for service, paces in services.items():
            quickest = min(pace.event_seconds for pace in paces)
            self._slow |= {pace.instance: pace for pace in _find_slow(paces, before)}
            for pace in paces:
                if (pace.instance in before) != (pace.instance in self._slow):
                    _log_change(pace, service, quickest, pace.instance in self._slow)

    def list_paces(self, now: float) -> PacesAnswer:
        """Return the known pace of each engine, by service and from quick to slow.

        :param now: the time.
        """
        slow = {
            pace.instance
            for paces in self._group_by_service(now).values()
            for pace in _find_slow(paces, self._slow)
        }
        rows = [
            KnownPace(pace, instance.service, round(age, 1), reporters, pace.instance in slow)
            for pace, age, reporters in self._paces.list_known(now)
            if (instance := self._fleet.get(pace.instance)) is not None
        ]
        rows.sort(key=lambda row: (row.service, row.pace.event_seconds, row.pace.instance))
        return PacesAnswer(tuple(rows))

    def _group_by_service(self, now: float) -> Mapping[str, list[Pace]]:
        services: dict[str, list[Pace]] = {}
        for pace, _, _ in self._paces.list_known(now):
            instance = self._fleet.get(pace.instance)
            if instance is not None:
                services.setdefault(instance.service, []).append(pace)
        return services


def _find_slow(paces: list[Pace], slow_before: Container[str]) -> Iterator[Pace]:
    """Yield the paces of one service that are slow against the quickest.

    :param slow_before: ids of the engines that were slow; they stay so down to a lower ratio.
    """
    quickest = min(pace.event_seconds for pace in paces)
    for pace in paces:
        ratio = SLOW_END_RATIO if pace.instance in slow_before else SLOW_RATIO
        if pace.event_seconds > ratio * quickest:
            yield pace


def _log_change(pace: Pace, service: str, quickest: float, slow: bool) -> None:
    log_event(
        Event.ENGINE_SLOW if slow else Event.ENGINE_SLOW_ENDED,
        id=pace.instance,
        service=service,
        event_seconds=pace.event_seconds,
        slow_event_seconds=pace.slow_event_seconds,
        quickest=quickest,
    )
