"""Tests of long generations that wait for room in an engine instead of being preempted there."""

import unittest
from random import Random

import anyio
import trio
import trio.testing

from daleroad.defaults import CROWDED_OBJECTIVES, CROWDED_PAUSE_SECONDS
from daleroad.dispatch import Prompt, Whole
from daleroad.fleet import Fleet
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Load, PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.routing import Repeat, ServiceRule
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
SHORT = Prompt((("p", 2000),), 2000, 36)


class RoomTest(unittest.TestCase):
    def setUp(self) -> None:
        fleet = Fleet()
        self.loads = LoadTotals(9.0)
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0), 0.0)
        self.placer = Placer(fleet, self.loads, 1.0, Random(1))

    def place(self, tokens: int, patient: bool = False) -> PlaceAnswer:
        asked = PlaceRequest("g9", "z", "s", tokens, 0, (), (), patient=patient)
        return self.placer.place(asked, SERVICE, 0.1)

    def test_an_engine_where_it_fits_goes_before_one_with_less_to_read(self) -> None:
        self.loads.note("g1", (Load("i1", 1, ENGINE.memory_tokens - 1000),), 0.0)
        self.loads.note("g2", (Load("i2", 5, 20_000, 12_000),), 0.0)
        self.assertEqual(self.place(4000).instance, "i2")
        self.assertEqual(self.place(900).instance, "i1")

    def test_where_it_fits_nowhere_the_patient_wait_and_others_go_all_the_same(self) -> None:
        full = ENGINE.memory_tokens - 1000
        self.loads.note("g1", (Load("i1", 6, full), Load("i2", 6, full)), 0.0)
        self.assertEqual(self.place(4000, patient=True), PlaceAnswer("", crowded=True))
        self.assertTrue(self.place(4000).instance)
        self.assertEqual(self.place(900, patient=True).crowded, False)


class WaitTest(unittest.TestCase):
    def serve(self, room_after: float, prompt: Prompt) -> tuple[float, list[bool]]:
        """Return when a request was sent, and for each question whether it was patient."""

        async def main() -> tuple[float, list[bool]]:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(
                dispatcher, make_config(Repeat.STREAM, engine=True), anyio.current_time()
            )
            gateway.chooser.gateways = 2
            began = anyio.current_time()
            asked: list[bool] = []

            async def name(request: PlaceRequest) -> PlaceAnswer:
                asked.append(request.patient)
                if request.patient and anyio.current_time() - began < room_after:
                    return PlaceAnswer("", crowded=True)
                return PlaceAnswer("i1")

            gateway.chooser.ask_place = name
            answer = await make_forwarder(gateway).serve(make_job(began, prompt=prompt))
            assert isinstance(answer, Whole)
            return anyio.current_time() - began, asked

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_long_one_goes_when_there_is_room(self) -> None:
        sent, asked = self.serve(CROWDED_PAUSE_SECONDS, PROMPT)
        self.assertAlmostEqual(sent, CROWDED_PAUSE_SECONDS)
        self.assertEqual(asked, [True, True])

    def test_it_waits_for_a_part_of_its_objective_and_no_longer(self) -> None:
        objective = make_config(Repeat.STREAM).routes[0].objective
        sent, asked = self.serve(100.0, PROMPT)
        self.assertLessEqual(sent, CROWDED_OBJECTIVES * objective + CROWDED_PAUSE_SECONDS)
        self.assertFalse(asked[-1])

    def test_a_short_one_waits_for_nothing(self) -> None:
        sent, asked = self.serve(100.0, SHORT)
        self.assertEqual((sent, asked), (0.0, [False]))


if __name__ == "__main__":
    unittest.main()
