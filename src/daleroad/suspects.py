"""Which requests are suspected of ending the upstreams that run them. Pure.

Where an upstream ends, each request that it was running is a suspect of that end. What tells the
one that ends upstreams from those that ran beside it:

- it was there at several ends, and only ends of different instances count;
- it never has a whole answer; one takes back an end, seen by whichever gateway, that came shortly
  before or after it;
- an instance that is heard from after a cut has not ended, so that cut is taken back;
- ends at which a request was running that is held and never had a whole answer are not held
  against those that had one, nor against those that were at fewer ends than hold them.

What each process knows only grows: ends by instance, those of them that were taken back, and
whether there was a whole answer. Processes tell each other parts of it in any order and any number
of times, and come to the same view.
"""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

CRASHES_LAST = 2
"""Ends after which a request is tried once more, where little is lost."""

CRASHES_HELD = 3
"""Ends after which it reaches no upstream. With two, a request that ran beside two ends of another
cause would be held; the third try goes where little is lost."""

HELD_SECONDS = (300.0, 3_600.0, 86_400.0)
"""Time since its last end after which a request that is held is tried once more, by one gateway
for all: after CRASHES_HELD ends, after one more, and after any further one. One that was held by
mistake is free again after minutes; one that ends each upstream ends one more in five minutes, one
in the next hour and then one a day."""

WHOLE_HELD_SECONDS = 10.0
"""The same for one that had a whole answer; twice as long for each further end, up to the first of
HELD_SECONDS. What ends each upstream that runs it never has one."""

SUSPECT_KEPT_SECONDS = 600.0
"""Time since its last end after which a request that is not held is forgotten."""

HELD_KEPT_SECONDS = 2 * HELD_SECONDS[-1]
"""The same for one that is held."""

TRIAL_SECONDS = 10.0
"""Time between two tries of one request that is held; by then the end of the first is known."""

SUSPECTS_MOST = 2048
"""Requests remembered; one takes some 600 bytes. A caller's own go first that has most of them."""

ENDS_KEPT = 16
"""Ends remembered of one request, and as many that were taken back; far more than hold it."""

VOUCHED_MOST = 4096
"""Requests remembered that had a whole answer lately; one takes some 150 bytes."""

VOUCHES_EACH = 10
"""Ends that whole answers make up for in advance, at each gateway. Requests that are the same to
the letter and come all the time run wherever an upstream ends."""

VOUCHED_SECONDS = 10.0
"""How long a whole answer makes up for ends: a request that has turned bad has none any more."""


class Standing(StrEnum):
    """What may be done with a request."""

    CLEAR = "clear"
    """It may run anywhere."""
    LAST = "last try"
    """It may run once more, where little is lost."""
    TRIAL = "trial"
    """It was held for long; one gateway may try it where little is lost."""
    HELD = "held"
    """It must reach no upstream."""


@dataclass(frozen=True)
class Suspicion:
    """News of one request, as one process tells another.

    :param fingerprint: what it is known by.
    :param caller: the organisation that sent it, or empty.
    :param route: the route that it took.
    :param crashes: ids of instances that ended while they ran it.
    :param cleared: those of them that count no more.
    :param age: seconds since the last of these ends.
    :param whole: whether it is known to have had a whole answer.
    """

    fingerprint: str
    caller: str
    route: str
    crashes: tuple[str, ...] = ()
    cleared: tuple[str, ...] = ()
    age: float = 0.0
    whole: bool = False


@dataclass
class _Suspect:
    caller: str
    route: str
    last_at: float
    revision: int
    crashes: dict[str, None] = field(default_factory=dict)
    cleared: dict[str, None] = field(default_factory=dict)
    marked: bool = False
    whole: bool = False

    def knows(self, instance: str) -> bool:
        """Return whether an end is known, whether it counts or was taken back."""
        return instance in self.crashes or instance in self.cleared

    def count(self) -> int:
        """Return how many ends there were, whatever else explains them."""
        return len(self.crashes)

    def add_crashes(self, instances: Iterable[str]) -> bool:
        """Note ends that are not known yet, as many as are kept; return whether there were any."""
        fresh = [i for i in instances if i not in self.crashes and i not in self.cleared]
        kept = fresh[: ENDS_KEPT - len(self.crashes)]
        self.crashes.update(dict.fromkeys(kept))
        return bool(kept)

    def clear(self, instances: Iterable[str]) -> bool:
        """Take ends back; return whether that is news."""
        fresh = [i for i in instances if i not in self.cleared]
        self.cleared.update(dict.fromkeys(fresh))
        while len(self.cleared) > ENDS_KEPT:
            self.cleared.pop(next(iter(self.cleared)))
        for instance in fresh:
            self.crashes.pop(instance, None)
        return bool(fresh)


@dataclass(frozen=True)
class _Vouch:
    """Whole answers that make up for ends, and when the last of them came."""

    count: int
    at: float


class Suspects:
    """The requests that one process suspects.

    ``revision`` grows with each change that others should know; ``marked_revision`` is that of the
    last change of a request for which it ever mattered where it goes.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.marked_revision = 0
        self._known: dict[str, _Suspect] = {}
        self._counts: dict[str, int] = {}
        self._vouched: OrderedDict[str, _Vouch] = OrderedDict()

    def note_crash(
        self, fingerprint: str, caller: str, route: str, instance: str, now: float
    ) -> Suspicion | None:
        """Note that an instance ended while it ran a request; return what others should know.

        :param fingerprint: the request.
        :param caller: the organisation that sent it, or empty.
        :param route: the route that it took.
        :param instance: the instance's id.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is not None and suspect.knows(instance):
            # Several runs of it ended there; that is one end.
            return None
        ends = (instance,)
        told = Suspicion(fingerprint, caller, route, ends)
        if self._take_vouches(fingerprint, 1, now):
            told = Suspicion(fingerprint, caller, route, ends, ends, whole=True)
        return told if self.merge(told, now) else None

    def note_whole(self, fingerprint: str, now: float) -> Suspicion | None:
        """Note that a request had a whole answer; return what others should know.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.crashes:
            self._vouch(fingerprint, now)
            return None
        first = next(iter(suspect.crashes))
        return self._take_back(fingerprint, suspect, [first], now, whole=True)

    def refute(self, fingerprint: str, now: float) -> Suspicion | None:
        """Take back ends that others saw for whole answers here; return what others should know.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return None
        taken = self._take_vouches(fingerprint, len(suspect.crashes), now)
        if not taken:
            return None
        ends = list(suspect.crashes)[:taken]
        return self._take_back(fingerprint, suspect, ends, now, whole=True)

    def release(self, fingerprint: str, now: float) -> Suspicion | None:
        """Take back all ends of a request, as an operator asks; return what others should know.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None or not suspect.crashes:
            return None
        return self._take_back(fingerprint, suspect, list(suspect.crashes), now)

    def note_alive(self, instance: str, now: float) -> list[Suspicion]:
        """Take back the end of an instance that has not ended; return what others should know.

        :param instance: the instance's id.
        :param now: the time.
        """
        found = [(f, s) for f, s in self._known.items() if instance in s.crashes]
        return [self._take_back(f, s, [instance], now) for f, s in found]

    def _take_back(
        self,
        fingerprint: str,
        suspect: _Suspect,
        instances: list[str],
        now: float,
        whole: bool = False,
    ) -> Suspicion:
        cleared = tuple(instances)
        age = now - suspect.last_at
        told = Suspicion(fingerprint, suspect.caller, suspect.route, (), cleared, age, whole)
        self.merge(told, now)
        return told

    def merge(self, told: Suspicion, now: float) -> bool:
        """Take in what another process knows of a request; return whether it was news here.

        :param told: what it knows.
        :param now: the time.
        """
        suspect = self._known.get(told.fingerprint)
        if suspect is None:
            if not told.crashes:
                return False
            self._make_room()
            suspect = _Suspect(told.caller, told.route, now - told.age, 0)
            self._known[told.fingerprint] = suspect
        cleared = suspect.clear(told.cleared)
        added = suspect.add_crashes(told.crashes)
        proved = told.whole and not suspect.whole
        suspect.whole = suspect.whole or told.whole
        if added:
            suspect.last_at = max(suspect.last_at, now - told.age)
        if added or cleared or proved:
            self.revision += 1
            suspect.revision = self.revision
            suspect.marked = suspect.marked or suspect.count() >= CRASHES_LAST
            if suspect.marked:
                self.marked_revision = self.revision
            self._recount()
        return added or cleared or proved

    def _make_room(self) -> None:
        if len(self._known) < SUSPECTS_MOST:
            return
        ((caller, _),) = Counter(s.caller for s in self._known.values()).most_common(1)
        own = ((f, s) for f, s in self._known.items() if s.caller == caller)
        least, _ = min(own, key=lambda pair: (pair[1].count(), pair[1].last_at))
        del self._known[least]

    def _recount(self) -> None:
        """Count the ends of each request that others don't explain."""
        marked = [(f, s) for f, s in self._known.items() if s.count() >= CRASHES_LAST]
        explained: set[str] = set()
        for _, suspect in marked:
            if suspect.count() >= CRASHES_HELD and not suspect.whole:
                explained |= suspect.crashes.keys()
        self._counts = {}
        for fingerprint, suspect in marked:
            # One that may end upstreams itself must not hide behind another one.
            hides = suspect.count() >= CRASHES_HELD and not suspect.whole
            ends = suspect.crashes.keys()
            self._counts[fingerprint] = len(ends if hides else ends - explained)

    def is_empty(self) -> bool:
        """Return whether nothing is suspected so much that it matters where it goes."""
        return not self._counts

    def get_standing(self, fingerprint: str, now: float) -> Standing:
        """Return what may be done with a request.

        :param fingerprint: the request.
        :param now: the time.
        """
        count = self._counts.get(fingerprint, 0)
        if count < CRASHES_LAST:
            return Standing.CLEAR
        if count < CRASHES_HELD:
            return Standing.LAST
        return Standing.HELD if self.get_held_left(fingerprint, now) > 0 else Standing.TRIAL

    def get_held_left(self, fingerprint: str, now: float) -> float:
        """Return for how many seconds a request that is held stays so.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        if suspect is None:
            return 0.0
        further = max(0, self._counts.get(fingerprint, 0) - CRASHES_HELD)
        if suspect.whole:
            seconds = min(HELD_SECONDS[0], WHOLE_HELD_SECONDS * 2**further)
        else:
            seconds = HELD_SECONDS[min(further, len(HELD_SECONDS) - 1)]
        return max(0.0, suspect.last_at + seconds - now)

    def count_held(self, now: float) -> int:
        """Return how many requests are held.

        :param now: the time.
        """
        return sum(self.get_standing(f, now) is Standing.HELD for f in self._counts)

    def get(self, fingerprint: str, now: float) -> Suspicion | None:
        """Return what is known of a request, if anything is.

        :param fingerprint: the request.
        :param now: the time.
        """
        suspect = self._known.get(fingerprint)
        return _tell(fingerprint, suspect, now) if suspect is not None else None

    def list_changed(
        self, now: float, revision: int = 0, marked: bool = False
    ) -> tuple[Suspicion, ...]:
        """Return what changed after a revision.

        :param now: the time.
        :param revision: the revision that is known.
        :param marked: whether only requests count for which it ever mattered where they go.
        """
        return tuple(
            _tell(fingerprint, suspect, now)
            for fingerprint, suspect in self._known.items()
            if suspect.revision > revision and (suspect.marked or not marked)
        )

    def prune(self, now: float) -> None:
        """Forget what has not ended an upstream for long.

        :param now: the time.
        """
        forgotten = False
        for fingerprint, suspect in list(self._known.items()):
            held = self._counts.get(fingerprint, 0) >= CRASHES_HELD
            kept = HELD_KEPT_SECONDS if held else SUSPECT_KEPT_SECONDS
            if now - suspect.last_at > kept:
                del self._known[fingerprint]
                forgotten = True
        if forgotten:
            self._recount()

    def _vouch(self, fingerprint: str, now: float) -> None:
        known = self._vouched.pop(fingerprint, _Vouch(0, now))
        self._vouched[fingerprint] = _Vouch(min(VOUCHES_EACH, known.count + 1), now)
        if len(self._vouched) > VOUCHED_MOST:
            self._vouched.popitem(last=False)

    def _take_vouches(self, fingerprint: str, most: int, now: float) -> int:
        """Use up whole answers that make up for ends; return for how many."""
        known = self._vouched.pop(fingerprint, None)
        if known is None or now - known.at > VOUCHED_SECONDS:
            return 0
        taken = min(most, known.count)
        if known.count > taken:
            self._vouched[fingerprint] = _Vouch(known.count - taken, known.at)
        return taken


class Trials:
    """Who may try a request that was held for long: one for all, once in a while."""

    def __init__(self) -> None:
        self._tried: dict[str, float] = {}

    def take(self, fingerprint: str, now: float) -> bool:
        """Take the trial of a request; return whether it is to be had now.

        :param fingerprint: the request.
        :param now: the time.
        """
        self._tried = {f: at for f, at in self._tried.items() if now - at < TRIAL_SECONDS}
        if fingerprint in self._tried:
            return False
        self._tried[fingerprint] = now
        return True


def _tell(fingerprint: str, suspect: _Suspect, now: float) -> Suspicion:
    return Suspicion(
        fingerprint,
        suspect.caller,
        suspect.route,
        tuple(suspect.crashes),
        tuple(suspect.cleared),
        now - suspect.last_at,
        suspect.whole,
    )
