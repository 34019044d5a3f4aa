"""How fast engines generate: estimated from the gaps between the events of streams.

A gateway estimates the pace of the engines that its streams run on and reports it to the
coordinators that it watches. A coordinator merges the reports of all gateways and tells them the
result. Paces are learnt only for services with guarded streams.

Does no I/O; the caller passes in the time.
"""

from collections import deque
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from daleroad.notices import Pace

GetPace = Callable[[str], Pace | None]
"""Returns the last known pace of an instance, by its id; nothing if it is not known."""

WINDOW_SECONDS = 6.0
"""How long a gap counts for an estimate. An engine may be slow for some seconds; one stream of a
slow engine has a hundred events in this time."""

MAX_GAPS = 256
"""Gaps kept for each engine; with several streams, those of the last second or two."""

MIN_GAPS = 20
"""Gaps needed for an estimate, so that the largest alone does not decide the 95th percentile."""

MAX_INSTANCES = 1024
"""Engines whose gaps are kept; more than a site has."""

ESTIMATE_SECONDS = 0.25
"""Shortest time between two estimates of one engine; as often as loads are exchanged."""

FRESH_SECONDS = 4.0
"""How long a gateway's report counts: two intervals at which it is repeated."""

REPEAT_SECONDS = 2.0
"""Interval at which a gateway repeats a pace that has not changed noticeably."""

TELL_SECONDS = 1.0
"""Interval at which a coordinator tells a gateway all paces; they change slower than loads."""

KEPT_SECONDS = 30.0
"""How long the last known pace of an engine without streams is kept: longer than it is mostly idle,
and a slow engine mostly stays slow."""

NOTICEABLE_RATIO = 0.15
"""Relative change of a pace that is reported at once. Slow engines take twice as long as quick
ones, and estimates from a hundred gaps vary by some percent."""

MEDIAN = 0.5
SLOW_QUANTILE = 0.95

_SECONDS_DIGITS = 4
"""Paces are reported to 0.1 ms."""


@dataclass
class _Window:
    """The newest gaps of one engine, and its last estimate.

    :param gaps: when each gap ended, and its length in seconds.
    :param estimated_at: when an estimate was last tried.
    :param pace: the last estimate, if there was one.
    :param pace_at: when that was made.
    """

    gaps: deque[tuple[float, float]] = field(default_factory=lambda: deque(maxlen=MAX_GAPS))
    estimated_at: float = float("-inf")
    pace: Pace | None = None
    pace_at: float = float("-inf")

    def get_used_at(self) -> float:
        """Return when the last gap ended or the last estimate was made."""
        return max(self.gaps[-1][0], self.pace_at) if self.gaps else self.pace_at

    def estimate(self, instance_id: str, now: float) -> None:
        """Estimate the pace, unless there are too few gaps; then the last estimate is kept."""
        gaps = self.gaps
        self.estimated_at = now
        while gaps and now - gaps[0][0] > WINDOW_SECONDS:
            gaps.popleft()
        if len(gaps) < MIN_GAPS:
            return
        lengths = sorted(seconds for _, seconds in gaps)
        self.pace = Pace(
            instance_id,
            round(_find_quantile(lengths, MEDIAN), _SECONDS_DIGITS),
            round(_find_quantile(lengths, SLOW_QUANTILE), _SECONDS_DIGITS),
            float(round(sum(1.0 - (now - at) / WINDOW_SECONDS for at, _ in gaps))),
        )
        self.pace_at = now


class PaceEstimator:
    """Estimates the pace of engines from the streams of one gateway."""

    def __init__(self) -> None:
        self._windows: dict[str, _Window] = {}

    def note_gap(self, instance_id: str, seconds: float, now: float) -> None:
        """Record the gap between two consecutive events of one stream.

        :param instance_id: the engine that sent both.
        :param seconds: the time between them.
        :param now: when the later one arrived.
        """
        window = self._windows.get(instance_id)
        if window is None:
            if len(self._windows) >= MAX_INSTANCES:
                return
            window = self._windows[instance_id] = _Window(estimated_at=now)
        window.gaps.append((now, seconds))
        if now - window.estimated_at >= ESTIMATE_SECONDS:
            window.estimate(instance_id, now)

    def list_paces(self, now: float) -> Iterator[Pace]:
        """Yield the paces of the engines with enough recent gaps.

        :param now: the time.
        """
        for instance_id, window in self._windows.items():
            if now - window.estimated_at >= ESTIMATE_SECONDS:
                window.estimate(instance_id, now)
            if window.pace is not None and window.pace_at == window.estimated_at:
                yield window.pace

    def find(self, instance_id: str) -> tuple[Pace, float] | None:
        """Return the last estimate of an engine and when it was made, if there is one.

        :param instance_id: the engine.
        """
        window = self._windows.get(instance_id)
        if window is None or window.pace is None:
            return None
        return window.pace, window.pace_at

    def forget(self, instance_id: str) -> None:
        """Remove what is known of an engine.

        :param instance_id: the engine.
        """
        self._windows.pop(instance_id, None)

    def prune(self, now: float, is_wanted: Callable[[str], bool]) -> None:
        """Remove engines that had no gaps for long, or whose pace is not wanted.

        :param now: the time.
        :param is_wanted: returns whether the pace of an instance is wanted, by its id.
        """
        self._windows = {
            instance_id: window
            for instance_id, window in self._windows.items()
            if is_wanted(instance_id) and now - window.get_used_at() <= KEPT_SECONDS
        }


class GatewayPaces:
    """The paces of engines as one gateway knows them: its own estimates, and what it was told."""

    def __init__(self) -> None:
        self.own = PaceEstimator()
        self._told: dict[str, tuple[Pace, float]] = {}

    def note_gap(self, instance_id: str, seconds: float, now: float) -> None:
        """Record the gap between two consecutive events of one stream.

        :param instance_id: the engine that sent both.
        :param seconds: the time between them.
        :param now: when the later one arrived.
        """
        self.own.note_gap(instance_id, seconds, now)

    def set_told(self, paces: Iterable[Pace], now: float) -> None:
        """Record the paces that a coordinator told, over all gateways.

        :param paces: the paces.
        :param now: the time.
        """
        self._told.update((pace.instance, (pace, now)) for pace in paces)

    def get(self, instance_id: str) -> Pace | None:
        """Return the last known pace of an instance, if there is one.

        What coordinators tell includes this gateway's reports, so its own estimate counts only if
        it is much newer, which means that nothing is told.

        :param instance_id: the instance.
        """
        told, own = self._told.get(instance_id), self.own.find(instance_id)
        if told is None or own is None:
            known = told or own
            return known[0] if known is not None else None
        return own[0] if own[1] > told[1] + FRESH_SECONDS else told[0]

    def forget(self, instance_id: str) -> None:
        """Remove what is known of an engine.

        :param instance_id: the engine.
        """
        self.own.forget(instance_id)
        self._told.pop(instance_id, None)

    def prune(self, now: float, is_wanted: Callable[[str], bool]) -> None:
        """Remove old paces, and those that are not wanted.

        :param now: the time.
        :param is_wanted: returns whether the pace of an instance is wanted, by its id.
        """
        self.own.prune(now, is_wanted)
        self._told = {
            instance_id: told
            for instance_id, told in self._told.items()
            if is_wanted(instance_id) and now - told[1] <= KEPT_SECONDS
        }


@dataclass(frozen=True)
class ReportedPaces:
    """The paces that a gateway has reported to one run of a coordinator, and when."""

    reported: Mapping[str, tuple[Pace, float]] = field(default_factory=dict)

    def list_due(self, paces: Iterable[Pace], now: float) -> tuple[Pace, ...]:
        """Return the paces to report: those that changed noticeably or were reported long ago.

        :param paces: the current paces.
        :param now: the time.
        """
        return tuple(pace for pace in paces if self._is_due(pace, now))

    def add(self, paces: Iterable[Pace], now: float) -> "ReportedPaces":
        """Return this with paces that the coordinator has received.

        :param paces: the paces.
        :param now: when they were sent.
        """
        known = {
            instance_id: (pace, at)
            for instance_id, (pace, at) in self.reported.items()
            if now - at < REPEAT_SECONDS
        }
        return ReportedPaces(known | {pace.instance: (pace, now) for pace in paces})

    def _is_due(self, pace: Pace, now: float) -> bool:
        known, at = self.reported.get(pace.instance, (None, 0.0))
        if known is None or now - at >= REPEAT_SECONDS:
            return True
        return _differs(pace.event_seconds, known.event_seconds) or _differs(
            pace.slow_event_seconds, known.slow_event_seconds
        )


@dataclass
class _Reporter:
    """A gateway that reports to this coordinator."""

    heard_at: float
    told_at: float = float("-inf")


@dataclass
class _Merged:
    """The reports on one engine that count, and the last known pace.

    :param reports: the latest report of each gateway and when it came.
    :param pace: the last known pace.
    :param updated_at: when the last report came.
    """

    reports: dict[str, tuple[Pace, float]]
    pace: Pace
    updated_at: float


class PaceTable:
    """The paces of engines at a coordinator, merged from the reports of the gateways.

    :param max_silence_seconds: how long the reports of a gateway count that is not heard.
    """

    def __init__(self, max_silence_seconds: float) -> None:
        self._max_silence_seconds = max_silence_seconds
        self._reporters: dict[str, _Reporter] = {}
        self._engines: dict[str, _Merged] = {}

    def set_report(self, gateway: str, paces: Iterable[Pace], now: float) -> None:
        """Record that a gateway was heard, and the paces that it reported.

        :param gateway: its address.
        :param paces: the paces that changed or are repeated; others stay as they were reported.
        :param now: the time.
        """
        self._reporters.setdefault(gateway, _Reporter(now)).heard_at = now
        for pace in paces:
            merged = self._engines.get(pace.instance)
            if merged is None:
                if len(self._engines) < MAX_INSTANCES:
                    self._engines[pace.instance] = _Merged({gateway: (pace, now)}, pace, now)
                continue
            merged.reports[gateway] = (pace, now)
            merged.updated_at = now
            merged.pace = merge_paces([report for report, _ in merged.reports.values()])

    def get(self, instance_id: str) -> Pace | None:
        """Return the last known pace of an instance, if there is one.

        :param instance_id: the instance.
        """
        merged = self._engines.get(instance_id)
        return merged.pace if merged is not None else None

    def list_known(self, now: float) -> Iterator[tuple[Pace, float, int]]:
        """Yield each known pace, the seconds since its last report, and its current reporters.

        :param now: the time.
        """
        for merged in self._engines.values():
            yield merged.pace, now - merged.updated_at, len(merged.reports)

    def tell(self, gateway: str, now: float) -> tuple[Pace, ...]:
        """Return all known paces if they are due to be told to a gateway, else none.

        :param gateway: its address.
        :param now: the time.
        """
        reporter = self._reporters.get(gateway)
        if reporter is None or now - reporter.told_at < TELL_SECONDS:
            return ()
        reporter.told_at = now
        return tuple(merged.pace for merged in self._engines.values())

    def remove_expired(self, now: float, is_wanted: Callable[[str], bool]) -> None:
        """Remove reports that are old or of silent gateways, and paces that are not wanted.

        The last known pace stays for ``KEPT_SECONDS``, since an idle engine gets no reports.

        :param now: the time.
        :param is_wanted: returns whether the pace of an instance is wanted, by its id.
        """
        self._reporters = {
            gateway: reporter
            for gateway, reporter in self._reporters.items()
            if now - reporter.heard_at <= self._max_silence_seconds
        }
        self._engines = {
            instance_id: merged
            for instance_id, merged in self._engines.items()
            if now - merged.updated_at <= KEPT_SECONDS and is_wanted(instance_id)
        }
        for merged in self._engines.values():
            current = {
                gateway: (pace, at)
                for gateway, (pace, at) in merged.reports.items()
                if now - at <= FRESH_SECONDS and gateway in self._reporters
            }
            if current and len(current) < len(merged.reports):
                merged.pace = merge_paces([pace for pace, _ in current.values()])
            merged.reports = current


def merge_paces(paces: Sequence[Pace]) -> Pace:
    """Return one pace of an engine from those that several gateways see.

    Medians weighted by samples, so that a gateway that stalls itself does not decide.

    :param paces: at least one pace, all of the same engine.
    """
    if len(paces) == 1:
        return paces[0]
    return Pace(
        paces[0].instance,
        _find_weighted_median((pace.event_seconds, pace.samples) for pace in paces),
        _find_weighted_median((pace.slow_event_seconds, pace.samples) for pace in paces),
        sum(pace.samples for pace in paces),
    )


def _find_weighted_median(values: Iterable[tuple[float, float]]) -> float:
    """Return the smallest value up to which the values have half of the total weight."""
    ordered = sorted(values)
    half = sum(weight for _, weight in ordered) / 2
    reached = 0.0
    for value, weight in ordered:
        reached += weight
        if reached >= half:
            return value
    return ordered[-1][0]


def _find_quantile(ordered: Sequence[float], quantile: float) -> float:
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def _differs(seconds: float, known_seconds: float) -> bool:
    return abs(seconds - known_seconds) > NOTICEABLE_RATIO * known_seconds
