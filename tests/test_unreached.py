"""Tests that upstreams with failed connections are avoided until their next heartbeat."""

import unittest
from dataclasses import replace
from random import Random

import anyio

from daleroad.choosing import UpstreamQuery
from daleroad.dispatch import NotRun
from daleroad.fleet import Fleet
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import GatewayNotice, PlaceAnswer, PlaceRequest, ShareRequest
from daleroad.paths import Reach
from daleroad.peers import Peers
from daleroad.placer import Placer
from daleroad.presence import Presence
from daleroad.ratelimits import RateLimit
from daleroad.routing import Repeat, ServiceRule
from daleroad.unreached import UnreachableUpstreams
from tests.fakes import (
    ENGINE,
    PROMPT,
    WHOLE,
    FakeDispatcher,
    make_config,
    make_forwarder,
    make_gateway,
    make_instance,
    make_job,
)

SERVICE = ServiceRule("s", "/", 100, ENGINE)


class ConnectionFailureTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 10.0)
        self.unreached = UnreachableUpstreams(self.fleet)

    def test_zone_with_failure_sends_nothing_until_heartbeat(self) -> None:
        self.unreached.record_failure("i1", "a", 10.5)
        self.assertTrue(self.unreached.is_unreachable("i1", "a", 11.0))
        self.fleet.note(Sighting(replace(make_instance(1), sequence=2), 0.0), 11.2)
        self.assertFalse(self.unreached.is_unreachable("i1", "a", 11.3))
        self.unreached.record_failure("i1", "a", 11.4)
        self.assertTrue(self.unreached.is_unreachable("i1", "a", 11.5))

    def test_failure_blocks_own_zone_and_two_failed_zones_block_all(self) -> None:
        self.unreached.record_failure("i1", "a", 10.5)
        self.assertFalse(self.unreached.is_unreachable("i1", "b", 11.0))
        self.unreached.record_failure("i1", "c", 10.6)
        self.assertTrue(self.unreached.is_unreachable("i1", "b", 11.0))

    def test_prune_forgets_unknown_upstreams(self) -> None:
        self.unreached.record_failure("unknown", "a", 10.5)
        self.unreached.prune()
        self.assertFalse(self.unreached.is_unreachable("unknown", "a", 10.5))


class LeaderTest(unittest.TestCase):
    def place(self, request: PlaceRequest) -> str:
        return self.placer.place(request, SERVICE, 10.5).instance

    def test_leader_applies_failure_to_other_gateways_of_zone(self) -> None:
        fleet = Fleet()
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0), 10.0)
        self.placer = Placer(fleet, LoadTotals(9.0), 1.0, Random(1))
        first = PlaceRequest("g1", "a", "s", 1000, 1000, ("i1",), (), ("i1",))
        self.assertEqual(self.place(first), "i2")
        second = PlaceRequest("g2", "a", "s", 1000, 1000, (), ())
        self.assertEqual({self.place(second) for _ in range(6)}, {"i2"})
        self.assertIn("i1", {self.place(replace(second, zone="b")) for _ in range(6)})


class GatewayTest(unittest.TestCase):
    def test_retry_reports_failed_upstream_and_avoids_it(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(NotRun("refused", sent=False), WHOLE, WHOLE)
            config = make_config(Repeat.ONCE, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time() - 0.01)
            gateway.selector.gateways = 2
            requests: list[PlaceRequest] = []

            async def answer_place(request: PlaceRequest) -> PlaceAnswer | None:
                requests.append(request)
                return PlaceAnswer("i1") if len(requests) == 1 else None

            gateway.selector.request_placement = answer_place
            forwarder = make_forwarder(gateway)
            for _ in range(2):
                await forwarder.serve(make_job(anyio.current_time(), prompt=PROMPT))
            self.assertEqual([request.unreached for request in requests], [(), ("i1",), ("i1",)])
            self.assertNotIn("i1", [a.instance.id for a in dispatcher.attempts[1:]])

        anyio.run(main)


class CutGatewayTest(unittest.TestCase):
    def test_gateway_that_reaches_no_upstream_reports_none_as_unreachable(self) -> None:
        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), make_config(Repeat.ONCE), 0.0)
            requests: list[PlaceRequest] = []

            async def answer_place(request: PlaceRequest) -> PlaceAnswer | None:
                requests.append(request)
                return None

            gateway.selector.request_placement = answer_place
            gateway.fleet.note_limit("i1", RateLimit(1.0), anyio.current_time())
            gateway.fleet.note(Sighting(make_instance(2), 0.0), anyio.current_time())
            gateway.selector.record_connect_failure(make_instance(2))
            for reach in (Reach.FULL, Reach.NONE):
                gateway.get_reach = lambda reach=reach: reach
                await gateway.selector.place(UpstreamQuery(SERVICE))
            self.assertEqual([request.unreached for request in requests], [("i2",), ()])

        anyio.run(main)

    def test_gateway_that_reaches_no_upstream_is_named_only_if_all_are_like_it(self) -> None:
        async def main() -> None:
            presence = Presence("c", None, Peers("c", set()), list, lambda: None)
            for number, reach in enumerate((Reach.NONE, Reach.PARTIAL, Reach.FULL)):
                notice = GatewayNotice(f"g{number}", "z", "r", True, reach=reach)
                presence.merge_share(ShareRequest("d", (notice,)))
            self.assertEqual(presence.list_gateways("z"), ["g1", "g2"])
            for number in (1, 2):
                notice = GatewayNotice(f"g{number}", "z", "r", True, reach=Reach.NONE)
                presence.merge_share(ShareRequest("d", (notice,)))
            self.assertEqual(presence.list_gateways("z"), ["g0", "g1", "g2"])

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
