"""Registry of upstream instances, built from their heartbeats.

An *instance* is one process of an upstream. It numbers its heartbeats, so that those that arrive
out of order are recognised. An instance that is gone is kept for a while, so that a delayed
heartbeat does not restore it.

A restarted process may keep its name but is a new instance without the state of the previous one,
and replaces it permanently: everything stored by instance id (connections, loads, ejection, runs)
belongs to one start. Starts are ordered by the upstream's own clock, since nothing else tells a
restart from a delayed heartbeat. If that clock is set back, the later start is ignored until the
earlier one expires: MAX_HEARTBEAT_AGE_SECONDS after a crash, GONE_KEPT_SECONDS after a leave.

Does no I/O; the caller passes in the time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace

from daleroad.defaults import LATE_HEARTBEATS
from daleroad.instances import Instance, InstanceState, Sighting, make_instance_id
from daleroad.ratelimits import KnownLimit, RateLimit

GONE_KEPT_SECONDS = 60.0
"""How long an instance that is gone is kept; heartbeats are delayed by seconds, not minutes."""

BRITTLE_KEPT_SECONDS = 5.0
"""How long an instance counts as brittle after it said so; it says so in each answer."""

_MAX_LAG_HEARTBEATS = 2.6
"""How far an instance's last heartbeat may lag, in heartbeat intervals, behind the newest one from
the same address before the instance is regarded as dead. Allows for one lost heartbeat, one late
heartbeat and the propagation delay."""

MAX_HEARTBEAT_AGE_SECONDS = 20.0
"""An instance whose last heartbeat is older is removed."""

_STATE_ORDER = list(InstanceState)


@dataclass
class _KnownInstance:
    instance: Instance
    first_heartbeat_at: float
    heartbeat_at: float
    cold_until: float
    started_at: float
    revision: int
    limit: KnownLimit = field(default_factory=KnownLimit)
    brittle_until: float = float("-inf")

    def make_report(self, now: float) -> Sighting:
        """Return the report on the instance for other processes."""
        cold = max(0.0, self.cold_until - now)
        return Sighting(self.instance, now - self.heartbeat_at, cold, self.limit.make_report(now))


@dataclass
class Fleet:
    """All instances known to one process.

    :param heartbeat: interval of the instances' heartbeats in seconds; only used to decide which of
        several instances at one address is ready.
    :param revision: grows with each change that has to be sent to other processes.
    """

    heartbeat: float = 1.0
    revision: int = 1
    _known: dict[str, _KnownInstance] = field(default_factory=dict)
    _latest_ids: dict[str, str] = field(default_factory=dict)
    _shared_addresses: set[str] = field(default_factory=set)

    def note(self, sighting: Sighting, now: float) -> list[Instance]:
        """Apply a report on an instance; return the instances whose change others need to know.

        :param sighting: the report.
        :param now: the current time.
        """
        changed = self._apply_to_latest_start(sighting, now)
        if sighting.limit is not None:
            self.note_limit(sighting.instance.id, sighting.limit, now)
        return changed

    def _apply_to_latest_start(self, sighting: Sighting, now: float) -> list[Instance]:
        """Apply a report to the latest start of an upstream, or replace that start by a later one.

        Reports on earlier starts are ignored, except a leave that names no start.
        """
        reported = sighting.instance
        latest = self._find_latest_start(reported.get_name())
        if latest is None or reported.born == latest.instance.born:
            return [reported] if self._apply_to_start(sighting, now) else []
        if reported.born > latest.instance.born:
            replaced = self._mark_gone(latest)
            self._apply_to_start(sighting, now)
            return [*replaced, reported]
        was_known = latest.first_heartbeat_at <= now - sighting.age
        if reported.state is InstanceState.GONE and not reported.born and was_known:
            # The report names no start, and the latest start was already known when it was made.
            return self._mark_gone(latest)
        return []

    def _find_latest_start(self, name: str) -> _KnownInstance | None:
        """Return the latest known start of an upstream."""
        return self._known.get(self._latest_ids.get(name, ""))

    def _find_start(self, name: str, born: int) -> _KnownInstance | None:
        """Return a start of an upstream if it is known; with ``born`` 0, the latest one."""
        if not born:
            return self._find_latest_start(name)
        return self._known.get(make_instance_id(name, born))

    def _mark_gone(self, known: _KnownInstance) -> list[Instance]:
        """Mark an instance as gone; return it if that changed its state."""
        return self._advance_state(known, InstanceState.GONE)

    def _advance_state(self, known: _KnownInstance, state: InstanceState) -> list[Instance]:
        """Move an instance to a later state; return it if that changed its state."""
        if _STATE_ORDER.index(known.instance.state) >= _STATE_ORDER.index(state):
            return []
        known.instance = replace(known.instance, state=state)
        self._mark_changed(known)
        return [known.instance]

    def _mark_changed(self, known: _KnownInstance) -> None:
        """Give an instance a new revision, so that the change is sent to other processes."""
        self.revision += 1
        known.revision = self.revision

    def _apply_to_start(self, sighting: Sighting, now: float) -> bool:
        """Apply a report on the latest start of an upstream; return whether others need to know."""
        reported = sighting.instance
        heartbeat_at = now - sighting.age
        known = self._known.get(reported.id)
        if known is None:
            if any(k.instance.address == reported.address for k in self._known.values()):
                self._shared_addresses.add(reported.address)
            started_at = self._estimate_start(reported, heartbeat_at)
            self.revision += 1
            cold_until = now + sighting.cold
            self._known[reported.id] = _KnownInstance(
                reported, heartbeat_at, heartbeat_at, cold_until, started_at, self.revision
            )
            self._latest_ids[reported.get_name()] = reported.id
            return True
        old = known.instance
        known.first_heartbeat_at = min(known.first_heartbeat_at, heartbeat_at)
        known.heartbeat_at = max(known.heartbeat_at, heartbeat_at)
        known.started_at = min(known.started_at, self._estimate_start(reported, heartbeat_at))
        advances = _STATE_ORDER.index(reported.state) > _STATE_ORDER.index(old.state)
        if reported.sequence < old.sequence and not advances:
            return False
        if not advances and reported.state is not old.state:
            return False
        known.instance = reported
        self._set_cold_until(known, now + sighting.cold, now)
        changed = (reported.state, reported.address, reported.service) != (
            old.state,
            old.address,
            old.service,
        )
        if changed:
            self._mark_changed(known)
        return changed

    def _set_cold_until(self, known: _KnownInstance, cold_until: float, now: float) -> None:
        """Set until when an instance is cold; others are told if it was warm before."""
        if cold_until > now >= known.cold_until:
            self._mark_changed(known)
        known.cold_until = cold_until

    def note_cold(self, instance_id: str, seconds: float, now: float) -> None:
        """Record that an instance is cold, until it reports otherwise.

        :param instance_id: the instance.
        :param seconds: the remaining time in which it is cold.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        if known is not None:
            self._set_cold_until(known, now + seconds, now)

    def note_limit(self, instance_id: str, limit: RateLimit, now: float) -> bool:
        """Update the rate limit that an instance advertises; return whether it changed.

        :param instance_id: the instance.
        :param limit: the reported limit and its age; reports older than the known one are ignored.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        if known is None or not known.limit.apply_report(limit, now):
            return False
        self._mark_changed(known)
        return True

    def note_brittle(self, instance_id: str, brittle: bool, now: float) -> None:
        """Record whether an instance says that many rejections make it crash.

        :param instance_id: the instance.
        :param brittle: whether it does.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        if known is not None:
            known.brittle_until = now + BRITTLE_KEPT_SECONDS if brittle else now

    def is_brittle(self, instance_id: str, now: float) -> bool:
        """Return whether an instance crashes if it has to reject many requests.

        :param instance_id: the instance.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        return known is not None and now < known.brittle_until

    def note_leaving(self, instance_id: str) -> list[Instance]:
        """Mark an instance as leaving; return it if that changed its state.

        :param instance_id: the instance.
        """
        known = self._known.get(instance_id)
        return self._advance_state(known, InstanceState.LEAVING) if known is not None else []

    def get_rate_limit(self, instance_id: str) -> float | None:
        """Return the requests per second that an instance accepts from all gateways, if limited.

        :param instance_id: its id.
        """
        known = self._known.get(instance_id)
        return known.limit.rate if known is not None else None

    def count_limited(self) -> int:
        """Return how many instances that are not gone advertise a rate limit."""
        alive = (k for k in self._known.values() if k.instance.state is not InstanceState.GONE)
        return sum(known.limit.rate is not None for known in alive)

    def make_limit_report(self, instance_id: str, now: float) -> RateLimit | None:
        """Return the newest report on an instance's rate limit, or None if it never had one.

        :param instance_id: its id.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        return known.limit.make_report(now) if known is not None else None

    def note_cold_zone(self, zone: str, seconds: float, now: float) -> None:
        """Record that all instances of an availability zone are cold, until they report otherwise.

        :param zone: the zone.
        :param seconds: the least remaining time in which they are cold.
        :param now: the current time.
        """
        for known in self._known.values():
            if known.instance.zone == zone:
                self._set_cold_until(known, max(known.cold_until, now + seconds), now)

    def leave(self, name: str, now: float, born: int = 0) -> list[Instance]:
        """Mark a start of an upstream as gone; return the instance if that changed its state.

        An unknown start is recorded as gone, so that a delayed heartbeat does not add it.

        :param name: the upstream's name.
        :param now: the current time.
        :param born: start time that identifies the start; 0 for the latest known one.
        """
        known = self._find_start(name, born) or self._known.get(make_instance_id(name, born))
        if known is None:
            gone = InstanceState.GONE
            instance = Instance(make_instance_id(name, born), "", "", "", 0, gone, 0, name, born)
        else:
            instance = replace(known.instance, state=InstanceState.GONE)
        return self.note(Sighting(instance, 0.0), now)

    def has_restarted_since(self, name: str, since: float) -> bool:
        """Return whether the latest start of an upstream was first heard of after a given time.

        False for upstreams whose heartbeats don't report their start: their names are not reused.

        :param name: the upstream's name.
        :param since: the time.
        """
        latest = self._find_latest_start(name)
        return latest is not None and latest.instance.born > 0 and latest.first_heartbeat_at > since

    def is_replaced(self, instance: Instance) -> bool:
        """Return whether the latest known start of the same upstream is another instance.

        :param instance: the instance.
        """
        return self._latest_ids.get(instance.get_name(), instance.id) != instance.id

    def find(self, name: str, born: int = 0) -> Instance | None:
        """Return a start of an upstream, if it is known.

        :param name: the upstream's name.
        :param born: start time that identifies the start; 0 for the latest one.
        """
        known = self._find_start(name, born)
        return known.instance if known is not None else None

    def count(self) -> int:
        """Return how many instances are known."""
        return len(self._known)

    def get(self, instance_id: str) -> Instance | None:
        """Return an instance if it is known.

        :param instance_id: its id.
        """
        known = self._known.get(instance_id)
        return known.instance if known else None

    def get_live(self, instance_id: str) -> Instance | None:
        """Return an instance if it is known and not gone.

        :param instance_id: its id.
        """
        instance = self.get(instance_id)
        return None if instance is None or instance.state is InstanceState.GONE else instance

    def get_age(self, instance_id: str, now: float) -> float:
        """Return the seconds since an instance's last heartbeat; infinity if it is unknown.

        :param instance_id: its id.
        :param now: the current time.
        """
        known = self._known.get(instance_id)
        return now - known.heartbeat_at if known else float("inf")

    def is_late(self, instance_id: str) -> bool:
        """Return whether others were heard LATE_HEARTBEATS intervals or more after an instance.

        Unlike an age, this doesn't grow when no news of any instance arrives.

        :param instance_id: its id.
        """
        known = self._known.get(instance_id)
        if known is None:
            return True
        newest = max(other.heartbeat_at for other in self._known.values())
        return newest - known.heartbeat_at > LATE_HEARTBEATS * self.heartbeat

    def is_cold(self, instance_id: str, now: float) -> bool:
        """Return whether an instance is still cold after its start."""
        known = self._known.get(instance_id)
        return known is not None and now < known.cold_until

    def list_ready(self, service: str) -> list[Instance]:
        """Return the instances of a service that accept new requests.

        :param service: the service's name.
        """
        return [
            known.instance
            for known in self._known.values()
            if known.instance.service == service
            and known.instance.state is InstanceState.READY
            and self._holds_address(known)
        ]

    def list_at(self, address: str) -> list[Instance]:
        """Return the instances at an address that are not gone.

        :param address: IP:PORT.
        """
        found = (known.instance for known in self._known.values())
        return [i for i in found if i.address == address and i.state is not InstanceState.GONE]

    def list_leaving(self, service: str) -> list[Instance]:
        """Return the instances of a service that are shutting down.

        :param service: the service's name.
        """
        return [
            known.instance
            for known in self._known.values()
            if known.instance.service == service and known.instance.state is InstanceState.LEAVING
        ]

    def _estimate_start(self, instance: Instance, heartbeat_at: float) -> float:
        """Return an upper bound of an instance's start time, from the number of its heartbeats.

        A delayed heartbeat gives an estimate that is too late; callers keep the smallest one.
        """
        return heartbeat_at - max(0, instance.sequence - 1) * self.heartbeat

    def _holds_address(self, known: _KnownInstance) -> bool:
        """Return whether an instance is the last started of those alive at its address.

        A crashed instance sends no leave and its address may be reused at once, so its last
        heartbeats may arrive long after the first of its successor.
        """
        address = known.instance.address
        if address not in self._shared_addresses:
            return True
        rivals = [
            other
            for other in self._known.values()
            if other.instance.address == address and other.instance.state is not InstanceState.GONE
        ]
        newest = max(rival.heartbeat_at for rival in rivals)
        oldest = newest - _MAX_LAG_HEARTBEATS * self.heartbeat
        alive = [rival for rival in rivals if rival.heartbeat_at >= oldest]
        all_report_start = all(rival.instance.born for rival in alive)
        holder = max(
            alive,
            key=lambda rival: (
                rival.instance.born if all_report_start else rival.started_at,
                rival.instance.id,
            ),
        )
        return holder is known

    def list_sightings(self, now: float, since: float = float("-inf")) -> Iterator[Sighting]:
        """Yield reports on all instances for other processes.

        :param now: the current time.
        :param since: leave out instances whose last heartbeat was before this time.
        """
        for known in self._known.values():
            if known.heartbeat_at >= since:
                yield known.make_report(now)

    def list_changed(self, now: float, revision: int) -> Iterator[Sighting]:
        """Yield reports on the instances that changed after a revision, for other processes.

        :param now: the current time.
        :param revision: the revision that the receiver has.
        """
        for known in self._known.values():
            if known.revision > revision:
                yield known.make_report(now)

    def list_ages(self, now: float, since: float = float("-inf")) -> dict[str, float]:
        """Return the seconds since the last heartbeat, by id of each instance that is not gone.

        :param now: the current time.
        :param since: leave out instances whose last heartbeat was before this time.
        """
        return {
            instance_id: round(now - known.heartbeat_at, 2)
            for instance_id, known in self._known.items()
            if known.instance.state is not InstanceState.GONE and known.heartbeat_at >= since
        }

    def note_all(self, sightings: Iterable[Sighting], now: float) -> list[Instance]:
        """Apply several reports; return the instances whose change others need to know.

        :param sightings: the reports.
        :param now: the current time.
        """
        return [instance for sighting in sightings for instance in self.note(sighting, now)]

    def note_ages(self, ages: dict[str, float], now: float) -> bool:
        """Update the times of last heartbeats; return whether all given instances are known.

        :param ages: seconds since the last heartbeat, by instance id.
        :param now: the current time.
        """
        for instance_id, age in ages.items():
            known = self._known.get(instance_id)
            if known is not None:
                known.heartbeat_at = max(known.heartbeat_at, now - age)
        return all(instance_id in self._known for instance_id in ages)

    def prune(self, now: float) -> list[Instance]:
        """Remove expired instances; return those that were not marked as gone.

        :param now: the current time.
        """
        lost = []
        for instance_id, known in list(self._known.items()):
            gone = known.instance.state is InstanceState.GONE
            limit = GONE_KEPT_SECONDS if gone else MAX_HEARTBEAT_AGE_SECONDS
            if now - known.heartbeat_at <= limit:
                continue
            del self._known[instance_id]
            if self._latest_ids.get(known.instance.get_name()) == instance_id:
                del self._latest_ids[known.instance.get_name()]
            if not gone:
                self.revision += 1
                lost.append(known.instance)
        self._shared_addresses &= {known.instance.address for known in self._known.values()}
        return lost
