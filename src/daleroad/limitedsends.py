"""A gateway's grants and fallback shares for limited upstreams, and notices of their limits."""

from collections.abc import Iterable, Iterator

import anyio

from daleroad.fleet import Fleet
from daleroad.guarding import Guard
from daleroad.instances import Instance, InstanceState
from daleroad.notices import PlaceAnswer, UpstreamNotice
from daleroad.sendlimits import GRANT_LIFETIME_SECONDS, FallbackShare


class GrantClient:
    """Obtains the grants that one gateway needs to send to limited upstreams.

    :param gateway_id: the gateway.
    :param fleet: the upstreams that are alive.
    :param guard: stores the grants and requires one for each send to a limited upstream.
    """

    def __init__(self, gateway_id: str, fleet: Fleet, guard: Guard) -> None:
        self._fleet = fleet
        self._guard = guard
        self._fallback_share = FallbackShare(gateway_id)

    def has_limited_upstreams(self, service: str) -> bool:
        """Return whether a service has upstreams that need a grant for each request.

        :param service: its name.
        """
        return any(map(self._guard.needs_grant, self._fleet.list_ready(service)))

    def store_grant(self, answer: PlaceAnswer, asked_at: float) -> None:
        """Store the grant in an answer of the leading coordinator, if there is one.

        :param answer: the answer.
        :param asked_at: when the gateway asked for it.
        """
        if answer.granted:
            self._store_grant(answer.instance, asked_at)

    def _store_grant(self, instance_id: str, valid_from: float) -> None:
        now = anyio.current_time()
        self._guard.grants.add(instance_id, valid_from + GRANT_LIFETIME_SECONDS, now)

    def try_acquire_fallback(self, instance: Instance, gateways: int) -> bool:
        """Use this gateway's fallback share of an upstream's limit; return whether it has one now.

        :param instance: the upstream.
        :param gateways: the number of gateways.
        """
        rate = self._fleet.get_rate_limit(instance.id)
        if rate is None or self._guard.is_cold_limited(instance):
            return False
        return self._fallback_share.try_acquire(instance.id, rate, gateways, anyio.current_time())

    def try_store_fallback_grant(self, instance: Instance, gateways: int) -> bool:
        """Store a grant from this gateway's fallback share; return whether it has one now.

        :param instance: the upstream.
        :param gateways: the number of gateways.
        """
        if not self.try_acquire_fallback(instance, gateways):
            return False
        self._store_grant(instance.id, anyio.current_time())
        return True

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self._fallback_share.forget(instance_id)


def list_limit_notices(fleet: Fleet, names: Iterable[str], now: float) -> Iterator[UpstreamNotice]:
    """Yield notices of the limits that instances advertised, and of those that are brittle.

    These are part of each place request, so the others are left out.

    :param fleet: what is known of the instances.
    :param names: their ids.
    :param now: the time.
    """
    for name in names:
        limit = fleet.make_limit_report(name, now)
        brittle = fleet.is_brittle(name, now)
        if limit is not None or brittle:
            yield UpstreamNotice(name, limit, brittle=brittle)


def list_upstream_notices(
    fleet: Fleet, names: Iterable[str], now: float
) -> Iterator[UpstreamNotice]:
    """Yield notices of the limit and the leaving state of instances.

    :param fleet: what is known of the instances.
    :param names: their ids.
    :param now: the time.
    """
    for name in names:
        known = fleet.get(name)
        leaving = known is not None and known.state is InstanceState.LEAVING
        yield UpstreamNotice(name, fleet.make_limit_report(name, now), leaving)
