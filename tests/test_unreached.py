"""Tests of what is believed of upstreams that could not be reached."""

import unittest
from dataclasses import replace
from random import Random

import anyio

from daleroad.dispatch import NotRun
from daleroad.fleet import Fleet
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.routing import Repeat, ServiceRule
from daleroad.unreached import Unreached
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


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 10.0)
        self.unreached = Unreached(self.fleet)

    def test_who_tried_in_vain_sends_nothing_until_it_is_heard(self) -> None:
        self.unreached.note("i1", "a", 10.5)
        self.assertTrue(self.unreached.is_out_of_reach("i1", "a", 11.0))
        self.fleet.note(Sighting(replace(make_instance(1), sequence=2), 0.0), 11.2)
        self.assertFalse(self.unreached.is_out_of_reach("i1", "a", 11.3))
        self.unreached.note("i1", "a", 11.4)
        self.assertTrue(self.unreached.is_out_of_reach("i1", "a", 11.5))

    def test_a_cut_between_two_zones_hides_it_from_one_only(self) -> None:
        self.unreached.note("i1", "a", 10.5)
        self.assertFalse(self.unreached.is_out_of_reach("i1", "b", 11.0))
        self.unreached.note("i1", "c", 10.6)
        self.assertTrue(self.unreached.is_out_of_reach("i1", "b", 11.0))

    def test_what_is_not_known_any_more_is_forgotten(self) -> None:
        self.unreached.note("unknown", "a", 10.5)
        self.unreached.prune()
        self.assertFalse(self.unreached.is_out_of_reach("unknown", "a", 10.5))


class LeaderTest(unittest.TestCase):
    def place(self, asked: PlaceRequest) -> str:
        return self.placer.place(asked, SERVICE, 10.5).instance

    def test_what_one_gateway_tried_in_vain_the_others_of_its_zone_do_not_try(self) -> None:
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
    def test_the_next_try_tells_what_was_tried_in_vain_and_avoids_it(self) -> None:
        async def main() -> None:
            dispatcher = FakeDispatcher(NotRun("refused", sent=False), WHOLE, WHOLE)
            config = make_config(Repeat.ONCE, engine=True)
            gateway = make_gateway(dispatcher, config, anyio.current_time() - 0.01)
            gateway.chooser.gateways = 2
            asked: list[PlaceRequest] = []

            async def name(request: PlaceRequest) -> PlaceAnswer | None:
                asked.append(request)
                return PlaceAnswer("i1") if len(asked) == 1 else None

            gateway.chooser.ask_place = name
            forwarder = make_forwarder(gateway)
            for _ in range(2):
                await forwarder.serve(make_job(anyio.current_time(), prompt=PROMPT))
            self.assertEqual([request.unreached for request in asked], [(), ("i1",), ("i1",)])
            self.assertNotIn("i1", [a.instance.id for a in dispatcher.attempts[1:]])

        anyio.run(main)


if __name__ == "__main__":
    unittest.main()
