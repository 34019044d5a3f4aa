"""Leave of one gateway to send to upstreams that bear only so much."""

from collections.abc import Iterable, Iterator

import anyio

from daleroad.fleet import Fleet
from daleroad.guarding import Guard
from daleroad.instances import Instance, InstanceState
from daleroad.notices import PlaceAnswer, UpstreamNotice
from daleroad.sendlimits import GRANT_SECONDS, OwnShare


class LimitedSends:
    """Leave of one gateway to send to upstreams that bear only so much.

    :param owner: the gateway.
    :param fleet: the upstreams that are alive.
    :param guard: keeps the grants and looks for one before each send.
    """

    def __init__(self, owner: str, fleet: Fleet, guard: Guard) -> None:
        self._fleet = fleet
        self._guard = guard
        self._share = OwnShare(owner)

    def are_among(self, service: str) -> bool:
        """Return whether a service has upstreams that get only what is granted.

        :param service: its name.
        """
        return any(map(self._guard.is_limited, self._fleet.list_ready(service)))

    def keep_grant(self, answer: PlaceAnswer, asked_at: float) -> None:
        """Keep the grant that an answer of the process that places for all gateways holds, if any.

        :param answer: the answer.
        :param asked_at: when it was asked for.
        """
        if answer.granted:
            self._keep(answer.instance, asked_at)

    def _keep(self, instance_id: str, since: float) -> None:
        now = anyio.current_time()
        self._guard.grants.add(instance_id, since + GRANT_SECONDS, now)

    def take_share(self, instance: Instance, gateways: int) -> bool:
        """Use this gateway's own share of what an upstream takes; return whether there is some now.

        :param instance: the upstream.
        :param gateways: how many gateways there are.
        """
        rate = self._fleet.get_rate_limit(instance.id)
        if rate is None or self._guard.is_fragile(instance):
            return False
        return self._share.take(instance.id, rate, gateways, anyio.current_time())

    def grant_share(self, instance: Instance, gateways: int) -> bool:
        """Keep a grant out of this gateway's own share; return whether there is some now.

        :param instance: the upstream.
        :param gateways: how many gateways there are.
        """
        if not self.take_share(instance, gateways):
            return False
        self._keep(instance.id, anyio.current_time())
        return True

    def forget(self, instance_id: str) -> None:
        """Forget an upstream that left.

        :param instance_id: the upstream.
        """
        self._share.forget(instance_id)


def list_limits(fleet: Fleet, names: Iterable[str], now: float) -> Iterator[UpstreamNotice]:
    """Yield what instances that take new work said of the requests that they take.

    Each question for a place has them, so nothing is made for the many that never named a limit.

    :param fleet: what is known of them.
    :param names: their ids.
    :param now: the time.
    """
    for name in names:
        limit = fleet.tell_limit(name, now)
        if limit is not None:
            yield UpstreamNotice(name, limit)


def list_notices(fleet: Fleet, names: Iterable[str], now: float) -> Iterator[UpstreamNotice]:
    """Yield what instances said of themselves in their answers, as others are told of it.

    :param fleet: what is known of them.
    :param names: their ids.
    :param now: the time.
    """
    for name in names:
        known = fleet.get(name)
        leaving = known is not None and known.state is InstanceState.LEAVING
        yield UpstreamNotice(name, fleet.tell_limit(name, now), leaving)
