"""Tests of long generations that wait for free engine memory instead of being preempted."""

import unittest
from random import Random

import anyio
import trio
import trio.testing

from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES, MEMORY_WAIT_PAUSE_SECONDS
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


class PlacerMemoryTest(unittest.TestCase):
    def setUp(self) -> None:
        fleet = Fleet()
        self.loads = LoadTotals(9.0)
        for number in (1, 2):
            fleet.note(Sighting(make_instance(number), 0.0), 0.0)
        self.placer = Placer(fleet, self.loads, 1.0, Random(1))

    def place(self, tokens: int, patient: bool = False) -> PlaceAnswer:
        request = PlaceRequest("g9", "z", "s", tokens, 0, (), (), patient=patient)
        return self.placer.place(request, SERVICE, 0.1)

    def test_engine_with_enough_memory_is_preferred_to_one_with_less_prefill(self) -> None:
        self.loads.set_report("g1", (Load("i1", 1, ENGINE.memory_tokens - 1000),), 0.0)
        self.loads.set_report("g2", (Load("i2", 5, 20_000, 12_000),), 0.0)
        self.assertEqual(self.place(4000).instance, "i2")
        self.assertEqual(self.place(900).instance, "i1")

    def test_without_free_memory_only_patient_requests_wait(self) -> None:
        full = ENGINE.memory_tokens - 1000
        self.loads.set_report("g1", (Load("i1", 6, full), Load("i2", 6, full)), 0.0)
        self.assertEqual(self.place(4000, patient=True), PlaceAnswer("", crowded=True))
        self.assertTrue(self.place(4000).instance)
        self.assertEqual(self.place(900, patient=True).crowded, False)


class MemoryWaitTest(unittest.TestCase):
    def serve(self, free_after: float, prompt: Prompt) -> tuple[float, list[bool]]:
        """Return the delay of a request, and whether each of its place requests was patient.

        :param free_after: seconds until an engine has enough free memory.
        :param prompt: the request's prompt.
        """

        async def main() -> tuple[float, list[bool]]:
            dispatcher = FakeDispatcher(WHOLE)
            gateway = make_gateway(
                dispatcher, make_config(Repeat.STREAM, engine=True), anyio.current_time()
            )
            gateway.selector.gateways = 2
            began = anyio.current_time()
            patient: list[bool] = []

            async def place(request: PlaceRequest) -> PlaceAnswer:
                patient.append(request.patient)
                if request.patient and anyio.current_time() - began < free_after:
                    return PlaceAnswer("", crowded=True)
                return PlaceAnswer("i1")

            gateway.selector.request_placement = place
            answer = await make_forwarder(gateway).serve(make_job(began, prompt=prompt))
            assert isinstance(answer, Whole)
            return anyio.current_time() - began, patient

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_long_generation_is_sent_once_memory_is_free(self) -> None:
        delay, patient = self.serve(MEMORY_WAIT_PAUSE_SECONDS, PROMPT)
        self.assertAlmostEqual(delay, MEMORY_WAIT_PAUSE_SECONDS)
        self.assertEqual(patient, [True, True])

    def test_wait_is_limited_to_a_part_of_the_objective(self) -> None:
        objective = make_config(Repeat.STREAM).routes[0].objective
        delay, patient = self.serve(100.0, PROMPT)
        self.assertLessEqual(
            delay, MAX_MEMORY_WAIT_OBJECTIVES * objective + MEMORY_WAIT_PAUSE_SECONDS
        )
        self.assertFalse(patient[-1])

    def test_short_generation_does_not_wait(self) -> None:
        delay, patient = self.serve(100.0, SHORT)
        self.assertEqual((delay, patient), (0.0, [False]))


if __name__ == "__main__":
    unittest.main()
