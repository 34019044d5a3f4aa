"""Tests of the process that names engines for the prompts of all gateways, and of its clients."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.codec import decode
from daleroad.defaults import PLACE_PAUSE_SECONDS, PLACE_SECONDS
from daleroad.dispatch import Prompt
from daleroad.errors import Failure, FailureKind
from daleroad.fleet import Fleet
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Load, LoadsRequest, PlaceAnswer, PlaceRequest
from daleroad.placeclient import PlaceClient
from daleroad.placer import Placer
from daleroad.routing import Repeat, ServiceRule
from tests.fakes import ENGINE, FakeDispatcher, make_config, make_gateway, make_instance

SERVICE = ServiceRule("s", "/", 100, ENGINE)
PROMPT = Prompt((("p", 3000),), 3000, 2000)


def make_question(
    gateway: str = "g1", excluded: tuple[str, ...] = (), failing: tuple[str, ...] = ()
) -> PlaceRequest:
    return PlaceRequest(gateway, "z", "s", 4000, 3000, excluded, failing)


class PlacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet, self.loads = Fleet(), LoadTotals(1.3)
        self.placer = Placer(self.fleet, self.loads, 1.0, Random(1))
        for number in (1, 2, 3):
            self.fleet.note(Sighting(make_instance(number), 0.0), 0.0)

    def place(self, question: PlaceRequest) -> str:
        return self.placer.place(question, SERVICE, 0.1).instance

    def test_prompts_of_many_gateways_at_once_are_spread_evenly(self) -> None:
        # Each gateway alone would have chosen without knowing of any other.
        chosen = Counter(self.place(make_question(f"g{number}")) for number in range(12))
        self.assertEqual(set(chosen.values()), {4})

    def test_what_was_booked_gives_way_to_the_gateways_own_word(self) -> None:
        name = self.place(make_question())
        self.assertEqual(self.loads.get_total(name), Load(name, 1, 4000, 3000))
        self.loads.note("g1", (Load(name, 1, 4000, 0),), 0.2)
        self.assertEqual(self.loads.get_total(name), Load(name, 1, 4000, 0))
        self.loads.note("g1", (), 0.3)
        self.assertEqual(self.loads.get_total(name), Load(name))

    def test_engines_that_are_excluded_leaving_or_failing_are_not_named(self) -> None:
        for _ in range(5):
            self.assertEqual(self.place(make_question(excluded=("i1", "i2"))), "i3")
            self.assertEqual(self.place(make_question(failing=("i1", "i3"))), "i2")
        self.fleet.note(Sighting(make_instance(3, InstanceState.LEAVING), 0.0), 0.1)
        self.assertEqual(self.place(make_question(excluded=("i1", "i2"))), "")


class FakeCalls:
    """Answers calls as a test says, and notes what was asked."""

    token = "t"

    def __init__(self, answer: Callable[[], Awaitable[Any]]) -> None:
        self.answer = answer
        self.asked: list[tuple[str, bytes]] = []

    async def call(
        self, url: str, body: bytes, shape: Any, read_seconds: float | None = None
    ) -> Any:
        self.asked.append((url, body))
        return await self.answer()


class PlaceClientTest(unittest.TestCase):
    def play(self, body: Callable[[Gateway], Awaitable[None]]) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            gateway.chooser.gateways = 40
            await body(gateway)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def connect(self, gateway: Gateway, answer: Any, leader: str | None = "l:1") -> FakeCalls:
        async def give() -> Any:
            return await answer() if callable(answer) else answer

        calls = FakeCalls(give)
        gateway.chooser.ask_place = PlaceClient(gateway, calls, lambda: leader).ask
        return calls

    def test_the_engine_that_is_named_gets_the_prompt(self) -> None:
        async def body(gateway: Gateway) -> None:
            calls = self.connect(gateway, PlaceAnswer("i3"))
            for _ in range(5):
                found = await gateway.chooser.place(SERVICE, 4000, ("i1",), PROMPT)
                assert found is not None
                self.assertEqual(found.id, "i3")
            asked = decode(PlaceRequest, calls.asked[0][1])
            self.assertEqual((asked.excluded, asked.unread), (("i1",), 3000))

        self.play(body)

    def test_without_an_answer_in_time_the_gateway_chooses_and_does_not_ask_for_a_while(
        self,
    ) -> None:
        async def body(gateway: Gateway) -> None:
            for answer in (
                Failure(FailureKind.NOT_LEADER, "another"),
                lambda: anyio.sleep(60),
            ):
                calls = self.connect(gateway, answer)
                for _ in range(3):
                    began = anyio.current_time()
                    self.assertIsNotNone(await gateway.chooser.place(SERVICE, 4000, (), PROMPT))
                    self.assertLess(anyio.current_time() - began, PLACE_SECONDS + 0.001)
                self.assertEqual(len(calls.asked), 1)
                await anyio.sleep(PLACE_PAUSE_SECONDS)
                await gateway.chooser.place(SERVICE, 4000, (), PROMPT)
                self.assertEqual(len(calls.asked), 2)

        self.play(body)

    def test_an_engine_that_left_or_was_tried_or_is_unknown_is_not_used(self) -> None:
        async def body(gateway: Gateway) -> None:
            leaving = Sighting(make_instance(3, InstanceState.LEAVING), 0.0)
            gateway.fleet.note(leaving, anyio.current_time())
            for named in ("i3", "i1", "i9", ""):
                self.connect(gateway, PlaceAnswer(named))
                found = await gateway.chooser.place(SERVICE, 4000, ("i1",), PROMPT)
                assert found is not None
                self.assertEqual(found.id, "i2")

        self.play(body)

    def test_plain_services_and_lone_gateways_ask_nobody(self) -> None:
        async def body(gateway: Gateway) -> None:
            calls = self.connect(gateway, PlaceAnswer("i3"))
            plain = ServiceRule("s", "/", 100, None)
            await gateway.chooser.place(plain, 0, (), None)
            gateway.chooser.gateways = 1
            await gateway.chooser.place(SERVICE, 4000, (), PROMPT)
            self.assertEqual(calls.asked, [])

        self.play(body)

    def test_work_that_begins_or_ends_is_told_at_once_and_together(self) -> None:
        async def body(gateway: Gateway) -> None:
            async def nothing() -> None:
                return None

            calls = FakeCalls(nothing)
            client = PlaceClient(gateway, calls, lambda: "l:1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.run)
                await anyio.sleep(1.0)
                self.assertEqual(calls.asked, [])
                instance = make_instance(1)
                gateway.loads.add(instance, 1, 4000, 3000)
                gateway.loads.add(instance, 1, 4000, 3000)
                await anyio.sleep(0.1)
                gateway.loads.add(instance, 0, 0, -3000)
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            told = [decode(LoadsRequest, body).loads for _, body in calls.asked]
            self.assertEqual(told, [(Load("i1", 2, 8000, 6000),), (Load("i1", 2, 8000, 3000),)])

        self.play(body)
