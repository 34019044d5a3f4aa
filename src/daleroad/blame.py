"""Attribution of crashes of upstreams to requests and to shared parts of prompts.

Whatever an upstream was running when it crashed is a candidate: each request, and each part that
its prompt shares with others. Several candidates often have the same crashes, since requests bring
their parts with them. These rules tell which of them is blamed:

- A request with MIN_CRASHES_HELD crashes and no complete response is always blamed.
- A part needs MIN_CRASHES_HELD crashes at the beginning of an answer, or MIN_UNBEGUN_CRASHES_HELD
  of any kind. If an answer on it ever got far, it needs MIN_ANSWERED_CRASHES_HELD at the beginning
  of an answer. In each case the crashes are at MIN_CRASH_TIMES_HELD times or more.
- The more specific candidate is blamed first, and explains its crashes: a request before the parts
  that it brings, a later part before an earlier one. What it explains counts no more against
  requests that are not always blamed. Against a part, it counts only once the part has
  MIN_UNEXPLAINED_CRASHES more, so that a poison part stays hidden behind a request that repeats it
  for two more crashes at most.

Does no I/O.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

MIN_CRASHES_LAST_TRY = 2
"""Counted crashes from which on a request is on its last try."""

MIN_CRASHES_HELD = 3
"""Counted crashes from which on a request is held: it reaches no upstream. With two, a request that
merely was running during two unrelated crashes would be held. For a part, crashes at the beginning
of an answer."""

MIN_UNBEGUN_CRASHES_HELD = 5
"""Counted crashes from which on a part is held, whether or not an answer had begun. Most runs that
wait for their answer when an upstream crashes have nothing to do with it."""

MIN_ANSWERED_CRASHES_HELD = 5
"""Counted crashes at the beginning of an answer from which on a part is held although an answer on
it once got far. Many requests may carry such a part, and it has turned poison at most lately."""

MIN_CRASH_TIMES_HELD = 2
"""Times at which upstreams crashed from which on a part is held. Several that crash at once have a
cause in common, such as a loss of power, and a common part is on most of them."""

JOINT_CRASH_SECONDS = 0.5
"""Crashes within this time of each other are at one time."""

MIN_UNEXPLAINED_CRASHES = 2
"""Crashes of a part which nothing more specific explains, for the part to be blamed as well."""


@dataclass(frozen=True)
class CrashRecord:
    """The crashes that are recorded for one candidate.

    :param crashes: ids of the instances that crashed.
    :param begun: those of them that had just begun to answer; only for parts.
    :param succeeded: whether it is known to have had a complete response.
    :param depth: place of a part in its prompt, from 0; None for a request.
    :param times: when the instances crashed; only for parts.
    """

    fingerprint: str
    crashes: frozenset[str]
    begun: frozenset[str] = frozenset()
    succeeded: bool = False
    depth: int | None = None
    times: Mapping[str, float] = field(default_factory=dict)

    def is_poison(self) -> bool:
        """Return whether its crashes suffice to blame it."""
        if self.depth is None:
            return len(self.crashes) >= MIN_CRASHES_HELD and not self.succeeded
        begun = self.begun & self.crashes
        if self.succeeded:
            return self._are_enough(begun, MIN_ANSWERED_CRASHES_HELD)
        return self._are_enough(begun, MIN_CRASHES_HELD) or self._are_enough(
            self.crashes, MIN_UNBEGUN_CRASHES_HELD
        )

    def _are_enough(self, crashes: frozenset[str], least: int) -> bool:
        return len(crashes) >= least and self.count_times(crashes) >= MIN_CRASH_TIMES_HELD

    def count_times(self, crashes: Iterable[str]) -> int:
        """Return at how many times some of the upstreams crashed.

        :param crashes: ids of their instances.
        """
        return count_times(self.times[instance] for instance in crashes)


def count_times(times: Iterable[float]) -> int:
    """Return how many times there are, those within JOINT_CRASH_SECONDS of each other as one.

    :param times: in seconds.
    """
    count, last = 0, float("-inf")
    for time in sorted(times):
        if time - last >= JOINT_CRASH_SECONDS:
            count, last = count + 1, time
    return count


def count_blamed_crashes(records: Iterable[CrashRecord]) -> Mapping[str, int]:
    """Return the crashes that count against each candidate, by fingerprint.

    A part that is not blamed has no entry.

    :param records: the candidates with MIN_CRASHES_LAST_TRY crashes or more.
    """
    known = tuple(records)
    counts: dict[str, int] = {}
    explained: set[str] = set()
    for record in sorted((r for r in known if r.is_poison()), key=_rank):
        if record.depth is not None and explained & record.crashes:
            unexplained = record.count_times(record.crashes - explained)
            if unexplained < MIN_UNEXPLAINED_CRASHES:
                continue
        counts[record.fingerprint] = len(record.crashes)
        explained |= record.crashes
    for record in known:
        if record.depth is None and record.fingerprint not in counts:
            counts[record.fingerprint] = len(record.crashes - explained)
    return counts


def _rank(record: CrashRecord) -> tuple[bool, float, int, str]:
    """Sort the most specific first, and among equals the one with the most crashes.

    A part that has had a complete response comes after all others.
    """
    if record.depth is None:
        return (False, float("-inf"), -len(record.crashes), record.fingerprint)
    return (record.succeeded, -record.depth, -len(record.crashes), record.fingerprint)
