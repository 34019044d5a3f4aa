"""Tests of messages that waited for a stalled coordinator: none takes back what was heard later."""

import unittest
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

import anyio

from daleroad.errors import Failure
from daleroad.instances import InstanceState, Sighting
from daleroad.notices import GatewayNotice, ShareRequest, WatchRequest
from daleroad.peers import Peers
from daleroad.presence import Presence
from tests.fakes import make_instance

STALL_SECONDS = 3.5
GATEWAY = GatewayNotice("10.0.0.1:80", "z", "r", serving=True)
OTHER = GatewayNotice("10.0.0.2:80", "z", "r", serving=True)


def make_presence() -> Presence:
    return Presence("c", None, Peers("c", set()), list, lambda: None)  # type: ignore[arg-type]


def stall(presence: Presence) -> None:
    """Let a coordinator look as if it had not run for some seconds until now."""
    presence.stalls.note_turn(anyio.current_time() - STALL_SECONDS)


def watch(presence: Presence, notice: GatewayNotice) -> None:
    presence.handle_watch(WatchRequest(notice, "", 0, 0, (), 1.0, 0.0, wants_loads=False))


def run(body: Callable[[Presence], Coroutine[Any, Any, None]]) -> None:
    async def main() -> None:
        await body(make_presence())

    anyio.run(main)


class GatewayTest(unittest.TestCase):
    def test_watch_that_waited_does_not_list_a_gateway_that_left(self) -> None:
        """Guards against naming a gateway by what it said before it began to drain."""

        async def main(presence: Presence) -> None:
            watch(presence, OTHER)
            stall(presence)
            left = replace(GATEWAY, serving=False, age=1.0)
            presence.merge_share(ShareRequest("d", (left,)))
            watch(presence, GATEWAY)
            self.assertNotIn(GATEWAY.address, presence.list_gateways("z"))

        run(main)

    def test_gateway_that_serves_again_is_listed(self) -> None:
        async def main(presence: Presence) -> None:
            left = replace(GATEWAY, serving=False, age=1.0)
            presence.merge_share(ShareRequest("d", (left,)))
            watch(presence, GATEWAY)
            self.assertEqual(presence.list_gateways("z"), [GATEWAY.address])

        run(main)

    def test_stall_does_not_hide_the_gateways_that_are_there(self) -> None:
        """Guards against gateways that take the shares of others, as none of these seems alive."""

        async def main(presence: Presence) -> None:
            stall(presence)
            watch(presence, GATEWAY)
            watch(presence, OTHER)
            self.assertEqual(presence.count_gateways(anyio.current_time()), 2)
            self.assertEqual(len(presence.list_gateways("z")), 2)

        run(main)


class DepartureTest(unittest.TestCase):
    def test_departure_that_waited_does_not_remove_a_later_start(self) -> None:
        """Guards against a leave without a start that removes the upstream's next start."""

        async def main(presence: Presence) -> None:
            first = replace(make_instance(1), id="i@1", name="i", born=1)
            second = replace(make_instance(1), id="i@2", name="i", born=2)
            presence.merge_share(ShareRequest("d", sightings=(Sighting(first, 10.0),)))
            stall(presence)
            presence.merge_share(ShareRequest("d", sightings=(Sighting(second, 0.5),)))
            self.assertIsInstance(await presence.handle_departure("i"), Failure)
            known = presence.fleet.find("i")
            assert known is not None
            self.assertEqual((known.born, known.state), (2, InstanceState.READY))

        run(main)

    def test_departure_without_a_stall_removes_the_upstream(self) -> None:
        async def main(presence: Presence) -> None:
            instance = replace(make_instance(1), id="i@1", name="i", born=1)
            await presence.handle_heartbeat(Sighting(instance, 0.0))
            self.assertIsNone(await presence.handle_departure("i"))
            known = presence.fleet.find("i")
            assert known is not None
            self.assertIs(known.state, InstanceState.GONE)

        run(main)
