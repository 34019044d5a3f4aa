"""The upstreams that are alive, as their own heartbeats tell. Pure.

An upstream's process is one *instance*, from its start to its end; it counts its heartbeats, so one
that arrives late changes nothing. An instance that left is remembered for a while, or a late
heartbeat would bring it back.

A process that starts again may keep its name. It is another instance then, which holds and knows
nothing of before, and the one that was born later has replaced the other for good: all that is kept
by an instance's id (connections, loads, ejection, runs) belongs to one start. What orders two
starts is the upstream's own clock, since nothing else tells a start from a late heartbeat. If that
clock went back, the later start is hidden until the earlier one is forgotten: FORGET_SECONDS after
a crash, GONE_KEPT_SECONDS after a leave.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from daleroad.instances import Instance, InstanceState, Sighting, make_instance_id
from daleroad.ratelimits import KnownLimit, RateLimit

GONE_KEPT_SECONDS = 60.0
"""How long an instance that left is remembered; heartbeats arrive seconds late, not minutes."""

SILENT_HEARTBEATS = 2.6
"""Intervals after which the older of two instances at an address is taken as gone, or the younger
as one that never came up: one heartbeat lost, one late, and the way of the news."""

FORGET_SECONDS = 20.0
"""An instance without a heartbeat for so long is dropped; many missed heartbeats."""

_ORDER = list(InstanceState)


@dataclass
class _Known:
    instance: Instance
    first_heard_at: float
    heard_at: float
    warm_at: float
    started_at: float
    revision: int
    limit: KnownLimit = field(default_factory=KnownLimit)

    def tell(self, now: float) -> Sighting:
        """Return the instance as others are told of it."""
        cold = max(0.0, self.warm_at - now)
        return Sighting(self.instance, now - self.heard_at, cold, self.limit.tell(now))


@dataclass
class Fleet:
    """All instances known to one process.

    :param heartbeat: interval of instances' heartbeats in seconds; matters only to who asks what is
        ready.
    :param revision: grows with each change that those who follow should know.
    """

    heartbeat: float = 1.0
    revision: int = 1
    _known: dict[str, _Known] = field(default_factory=dict)
    _youngest: dict[str, str] = field(default_factory=dict)
    _contested: set[str] = field(default_factory=set)

    def note(self, sighting: Sighting, now: float) -> list[Instance]:
        """Take in news of an instance; return those of which others should know that they changed.

        :param sighting: the instance, and how long ago it was heard.
        :param now: the time.
        """
        changed = self._note_start(sighting, now)
        if sighting.limit is not None:
            self.note_limit(sighting.instance.id, sighting.limit, now)
        return changed

    def _note_start(self, sighting: Sighting, now: float) -> list[Instance]:
        """Take in which start of an upstream is alive, and in which state."""
        fresh = sighting.instance
        youngest = self._find_youngest(fresh.get_name())
        if youngest is None or fresh.born == youngest.instance.born:
            return [fresh] if self._take(sighting, now) else []
        if fresh.born > youngest.instance.born:
            replaced = self._end(youngest)
            self._take(sighting, now)
            return [*replaced, fresh]
        known_then = youngest.first_heard_at <= now - sighting.age
        if fresh.state is InstanceState.GONE and not fresh.born and known_then:
            # A leave that doesn't say of which start it is.
            return self._end(youngest)
        return []

    def _find_youngest(self, name: str) -> _Known | None:
        """Return the last start of an upstream, if it is known."""
        return self._known.get(self._youngest.get(name, ""))

    def _find_start(self, name: str, born: int) -> _Known | None:
        """Return a start of an upstream, the last one where none is named, if it is known."""
        if not born:
            return self._find_youngest(name)
        return self._known.get(make_instance_id(name, born))

    def _end(self, known: _Known) -> list[Instance]:
        """Note that an instance is gone; return it if that is news."""
        return self._advance(known, InstanceState.GONE)

    def _advance(self, known: _Known, state: InstanceState) -> list[Instance]:
        """Bring an instance into a later state; return it if that is news."""
        if _ORDER.index(known.instance.state) >= _ORDER.index(state):
            return []
        known.instance = replace(known.instance, state=state)
        self._mark(known)
        return [known.instance]

    def _mark(self, known: _Known) -> None:
        """Note that others should hear of an instance."""
        self.revision += 1
        known.revision = self.revision

    def _take(self, sighting: Sighting, now: float) -> bool:
        """Take in news of the last start of an upstream; return whether it is news to others."""
        fresh = sighting.instance
        heard_at = now - sighting.age
        known = self._known.get(fresh.id)
        if known is None:
            if any(k.instance.address == fresh.address for k in self._known.values()):
                self._contested.add(fresh.address)
            started_at = self._guess_start(fresh, heard_at)
            self.revision += 1
            warm_at = now + sighting.cold
            self._known[fresh.id] = _Known(
                fresh, heard_at, heard_at, warm_at, started_at, self.revision
            )
            self._youngest[fresh.get_name()] = fresh.id
            return True
        old = known.instance
        known.first_heard_at = min(known.first_heard_at, heard_at)
        known.heard_at = max(known.heard_at, heard_at)
        known.started_at = min(known.started_at, self._guess_start(fresh, heard_at))
        forward = _ORDER.index(fresh.state) > _ORDER.index(old.state)
        if fresh.sequence < old.sequence and not forward:
            return False
        if not forward and fresh.state is not old.state:
            return False
        known.instance = fresh
        self._set_warm_at(known, now + sighting.cold, now)
        changed = (fresh.state, fresh.address, fresh.service) != (
            old.state,
            old.address,
            old.service,
        )
        if changed:
            self._mark(known)
        return changed

    def _set_warm_at(self, known: _Known, warm_at: float, now: float) -> None:
        """Note until when an instance is cold; that it has become so is news to others."""
        if warm_at > now >= known.warm_at:
            self._mark(known)
        known.warm_at = warm_at

    def note_cold(self, instance_id: str, seconds: float, now: float) -> None:
        """Note that an instance is cold, until it says something else.

        :param instance_id: the instance.
        :param seconds: how much longer.
        :param now: the time.
        """
        known = self._known.get(instance_id)
        if known is not None:
            self._set_warm_at(known, now + seconds, now)

    def note_limit(self, instance_id: str, limit: RateLimit, now: float) -> bool:
        """Note what an instance says of the requests that it takes; return whether that changed.

        :param instance_id: the instance.
        :param limit: what it said, and how long ago; the newest counts.
        :param now: the time.
        """
        known = self._known.get(instance_id)
        if known is None or not known.limit.note(limit, now):
            return False
        self._mark(known)
        return True

    def note_leaving(self, instance_id: str) -> list[Instance]:
        """Note that an instance said that it leaves; return it if that is news.

        :param instance_id: the instance.
        """
        known = self._known.get(instance_id)
        return self._advance(known, InstanceState.LEAVING) if known is not None else []

    def get_rate_limit(self, instance_id: str) -> float | None:
        """Return the requests a second that an instance takes from all gateways, if it named them.

        :param instance_id: its id.
        """
        known = self._known.get(instance_id)
        return known.limit.rate if known is not None else None

    def count_limited(self) -> int:
        """Return how many instances that are alive name a limit on their requests."""
        alive = (k for k in self._known.values() if k.instance.state is not InstanceState.GONE)
        return sum(known.limit.rate is not None for known in alive)

    def tell_limit(self, instance_id: str, now: float) -> RateLimit | None:
        """Return the newest that an instance said of what it takes, if it ever named a limit.

        :param instance_id: its id.
        :param now: the time.
        """
        known = self._known.get(instance_id)
        return known.limit.tell(now) if known is not None else None

    def note_cold_zone(self, zone: str, seconds: float, now: float) -> None:
        """Note that the instances of an availability zone are cold, until they say something else.

        :param zone: the zone.
        :param seconds: how much longer.
        :param now: the time.
        """
        for known in self._known.values():
            if known.instance.zone == zone:
                self._set_warm_at(known, max(known.warm_at, now + seconds), now)

    def leave(self, name: str, now: float, born: int = 0) -> list[Instance]:
        """Note that an upstream said it is gone; return the instance if that is news.

        :param name: what it calls itself.
        :param now: the time.
        :param born: which start of it; 0 for the last one that is known.
        """
        known = self._find_start(name, born) or self._known.get(make_instance_id(name, born))
        if known is None:
            gone = InstanceState.GONE
            instance = Instance(make_instance_id(name, born), "", "", "", 0, gone, 0, name, born)
        else:
            instance = replace(known.instance, state=InstanceState.GONE)
        return self.note(Sighting(instance, 0.0), now)

    def is_replaced(self, instance: Instance) -> bool:
        """Return whether a later start of the same upstream is known.

        :param instance: the instance.
        """
        return self._youngest.get(instance.get_name(), instance.id) != instance.id

    def find(self, name: str, born: int = 0) -> Instance | None:
        """Return a start of an upstream, if it is known.

        :param name: what the upstream calls itself.
        :param born: which start; 0 for the last one.
        """
        known = self._find_start(name, born)
        return known.instance if known is not None else None

    def count(self) -> int:
        """Return how many instances are known."""
        return len(self._known)

    def get(self, instance_id: str) -> Instance | None:
        """Return what is known of an instance.

        :param instance_id: its id.
        """
        known = self._known.get(instance_id)
        return known.instance if known else None

    def get_age(self, instance_id: str, now: float) -> float:
        """Return the seconds since an instance's last heartbeat.

        :param instance_id: its id.
        :param now: the time.
        """
        known = self._known.get(instance_id)
        return now - known.heard_at if known else float("inf")

    def is_cold(self, instance_id: str, now: float) -> bool:
        """Return whether an instance is still slow after its start."""
        known = self._known.get(instance_id)
        return known is not None and now < known.warm_at

    def list_ready(self, service: str) -> list[Instance]:
        """Return the instances of a service that take new work.

        :param service: its name.
        """
        return [
            known.instance
            for known in self._known.values()
            if known.instance.service == service
            and known.instance.state is InstanceState.READY
            and self._holds_address(known)
        ]

    def _guess_start(self, instance: Instance, heard_at: float) -> float:
        """Return when an instance started at the latest, by the number of its heartbeats.

        A heartbeat that was held up tells a start that is too late by as much; the least counts.
        """
        return heard_at - max(0, instance.sequence - 1) * self.heartbeat

    def _holds_address(self, known: _Known) -> bool:
        """Return whether an instance is the youngest that is alive at its address.

        An instance that crashed says nothing, and its address may be used again at once; its last
        heartbeats may arrive long after the first of its successor.
        """
        address = known.instance.address
        if address not in self._contested:
            return True
        rivals = [
            other
            for other in self._known.values()
            if other.instance.address == address and other.instance.state is not InstanceState.GONE
        ]
        newest = max(rival.heard_at for rival in rivals)
        oldest = newest - SILENT_HEARTBEATS * self.heartbeat
        alive = [rival for rival in rivals if rival.heard_at >= oldest]
        told = all(rival.instance.born for rival in alive)
        holder = max(
            alive,
            key=lambda rival: (
                rival.instance.born if told else rival.started_at,
                rival.instance.id,
            ),
        )
        return holder is known

    def list_sightings(self, now: float, since: float = float("-inf")) -> Iterator[Sighting]:
        """Yield all instances, or those heard after a time, as others are told of them.

        :param now: the time.
        :param since: the time.
        """
        for known in self._known.values():
            if known.heard_at >= since:
                yield known.tell(now)

    def list_changed(self, now: float, revision: int) -> Iterator[Sighting]:
        """Yield the instances that changed after a revision, as others are told of them.

        :param now: the time.
        :param revision: the revision that they know.
        """
        for known in self._known.values():
            if known.revision > revision:
                yield known.tell(now)

    def list_ages(self, now: float, since: float = float("-inf")) -> dict[str, float]:
        """Return the seconds since each instance was heard that has not left.

        :param now: the time.
        :param since: only of those heard after this time.
        """
        return {
            instance_id: round(now - known.heard_at, 2)
            for instance_id, known in self._known.items()
            if known.instance.state is not InstanceState.GONE and known.heard_at >= since
        }

    def note_all(self, sightings: Iterable[Sighting], now: float) -> list[Instance]:
        """Take in news of many instances; return those that changed.

        :param sightings: the news.
        :param now: the time.
        """
        return [instance for sighting in sightings for instance in self.note(sighting, now)]

    def note_ages(self, ages: dict[str, float], now: float) -> bool:
        """Note when instances were last heard; return whether all of them are known.

        :param ages: seconds since then by instance.
        :param now: the time.
        """
        for instance_id, age in ages.items():
            known = self._known.get(instance_id)
            if known is not None:
                known.heard_at = max(known.heard_at, now - age)
        return all(instance_id in self._known for instance_id in ages)

    def prune(self, now: float) -> list[Instance]:
        """Drop instances not heard of for long; return those that had not said they leave.

        :param now: the time.
        """
        lost = []
        for instance_id, known in list(self._known.items()):
            gone = known.instance.state is InstanceState.GONE
            limit = GONE_KEPT_SECONDS if gone else FORGET_SECONDS
            if now - known.heard_at <= limit:
                continue
            del self._known[instance_id]
            if self._youngest.get(known.instance.get_name()) == instance_id:
                del self._youngest[known.instance.get_name()]
            if not gone:
                self.revision += 1
                lost.append(known.instance)
        self._contested &= {known.instance.address for known in self._known.values()}
        return lost
