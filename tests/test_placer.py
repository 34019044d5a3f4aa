"""Tests of the central placer and of its client in the gateways."""

import unittest
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.choosing import UpstreamQuery
from daleroad.codec import decode
from daleroad.defaults import PLACER_RETRY_SECONDS, PLACER_TIMEOUT_SECONDS
from daleroad.dispatch import Prompt
from daleroad.errors import Failure, FailureKind
from daleroad.fleet import Fleet
from daleroad.gateway import Gateway
from daleroad.instances import InstanceState, Sighting
from daleroad.loads import LoadTotals
from daleroad.notices import Load, LoadsRequest, PlaceAnswer, PlaceRequest
from daleroad.placer import Placer
from daleroad.placerclient import PlacerClient
from daleroad.routing import Repeat, ServiceRule
from tests.fakes import ENGINE, FakeDispatcher, make_config, make_gateway, make_instance

SERVICE = ServiceRule("s", "/", 100, ENGINE)
PROMPT = Prompt((("p", 3000),), 3000, 2000)


def make_request(
    gateway: str = "g1", excluded: tuple[str, ...] = (), failing: tuple[str, ...] = ()
) -> PlaceRequest:
    return PlaceRequest(gateway, "z", "s", 4000, 3000, excluded, failing)


class PlacerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet, self.loads = Fleet(), LoadTotals(1.3)
        self.placer = Placer(self.fleet, self.loads, 1.0, Random(1))
        for number in (1, 2, 3):
            self.fleet.note(Sighting(make_instance(number), 0.0), 0.0)

    def place(self, request: PlaceRequest) -> str:
        return self.placer.place(request, SERVICE, 0.1).instance

    def test_simultaneous_prompts_of_many_gateways_are_spread_evenly(self) -> None:
        chosen = Counter(self.place(make_request(f"g{number}")) for number in range(12))
        self.assertEqual(set(chosen.values()), {4})

    def test_load_report_replaces_the_load_recorded_at_placement(self) -> None:
        name = self.place(make_request())
        self.assertEqual(self.loads.get_total(name), Load(name, 1, 4000, 3000))
        self.loads.set_report("g1", (Load(name, 1, 4000, 0),), 0.2)
        self.assertEqual(self.loads.get_total(name), Load(name, 1, 4000, 0))
        self.loads.set_report("g1", (), 0.3)
        self.assertEqual(self.loads.get_total(name), Load(name))

    def test_excluded_leaving_and_failing_engines_are_not_chosen(self) -> None:
        for _ in range(5):
            self.assertEqual(self.place(make_request(excluded=("i1", "i2"))), "i3")
            self.assertEqual(self.place(make_request(failing=("i1", "i3"))), "i2")
        self.fleet.note(Sighting(make_instance(3, InstanceState.LEAVING), 0.0), 0.1)
        self.assertEqual(self.place(make_request(excluded=("i1", "i2"))), "")


class FakeCalls:
    """Answers every call with a given function, and records the calls."""

    token = "t"

    def __init__(self, answer: Callable[[], Awaitable[Any]]) -> None:
        self.answer = answer
        self.sent: list[tuple[str, bytes]] = []

    async def call(
        self, url: str, body: bytes, answer_type: Any, read_seconds: float | None = None
    ) -> Any:
        self.sent.append((url, body))
        return await self.answer()


class PlaceClientTest(unittest.TestCase):
    def run_with_gateway(self, body: Callable[[Gateway], Awaitable[None]]) -> None:
        async def main() -> None:
            config = make_config(Repeat.STREAM, engine=True)
            gateway = make_gateway(FakeDispatcher(), config, anyio.current_time())
            gateway.selector.gateways = 40
            await body(gateway)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def connect(self, gateway: Gateway, answer: Any, leader: str | None = "l:1") -> FakeCalls:
        async def respond() -> Any:
            return await answer() if callable(answer) else answer

        calls = FakeCalls(respond)
        gateway.selector.request_placement = PlacerClient(
            gateway, calls, lambda: leader
        ).request_placement
        return calls

    def test_prompt_goes_to_the_engine_that_the_placer_chose(self) -> None:
        async def body(gateway: Gateway) -> None:
            calls = self.connect(gateway, PlaceAnswer("i3"))
            for _ in range(5):
                found = await gateway.selector.place(UpstreamQuery(SERVICE, 4000, ("i1",), PROMPT))
                assert found is not None
                self.assertEqual(found.id, "i3")
            request = decode(PlaceRequest, calls.sent[0][1])
            self.assertEqual((request.excluded, request.unread), (("i1",), 3000))

        self.run_with_gateway(body)

    def test_gateway_chooses_itself_after_a_failure_and_pauses_before_asking_again(self) -> None:
        async def body(gateway: Gateway) -> None:
            for answer in (
                Failure(FailureKind.NOT_LEADER, "another"),
                lambda: anyio.sleep(60),
            ):
                calls = self.connect(gateway, answer)
                for _ in range(3):
                    asked_at = anyio.current_time()
                    self.assertIsNotNone(
                        await gateway.selector.place(UpstreamQuery(SERVICE, 4000, (), PROMPT))
                    )
                    self.assertLess(anyio.current_time() - asked_at, PLACER_TIMEOUT_SECONDS + 0.001)
                self.assertEqual(len(calls.sent), 1)
                await anyio.sleep(PLACER_RETRY_SECONDS)
                await gateway.selector.place(UpstreamQuery(SERVICE, 4000, (), PROMPT))
                self.assertEqual(len(calls.sent), 2)

        self.run_with_gateway(body)

    def test_leaving_tried_or_unknown_engine_in_an_answer_is_not_used(self) -> None:
        async def body(gateway: Gateway) -> None:
            leaving = Sighting(make_instance(3, InstanceState.LEAVING), 0.0)
            gateway.fleet.note(leaving, anyio.current_time())
            for chosen in ("i3", "i1", "i9", ""):
                self.connect(gateway, PlaceAnswer(chosen))
                found = await gateway.selector.place(UpstreamQuery(SERVICE, 4000, ("i1",), PROMPT))
                assert found is not None
                self.assertEqual(found.id, "i2")

        self.run_with_gateway(body)

    def test_plain_services_and_single_gateways_do_not_ask_the_placer(self) -> None:
        async def body(gateway: Gateway) -> None:
            calls = self.connect(gateway, PlaceAnswer("i3"))
            plain = ServiceRule("s", "/", 100, None)
            await gateway.selector.place(UpstreamQuery(plain))
            gateway.selector.gateways = 1
            await gateway.selector.place(UpstreamQuery(SERVICE, 4000, (), PROMPT))
            self.assertEqual(calls.sent, [])

        self.run_with_gateway(body)

    def test_load_changes_are_reported_promptly_and_in_batches(self) -> None:
        async def body(gateway: Gateway) -> None:
            async def respond() -> None:
                return None

            calls = FakeCalls(respond)
            client = PlacerClient(gateway, calls, lambda: "l:1")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(client.report_loads)
                await anyio.sleep(1.0)
                self.assertEqual(calls.sent, [])
                instance = make_instance(1)
                gateway.loads.add_load(instance, 1, 4000, 3000)
                gateway.loads.add_load(instance, 1, 4000, 3000)
                await anyio.sleep(0.1)
                gateway.loads.add_load(instance, 0, 0, -3000)
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            reported = [decode(LoadsRequest, body).loads for _, body in calls.sent]
            self.assertEqual(reported, [(Load("i1", 2, 8000, 6000),), (Load("i1", 2, 8000, 3000),)])

        self.run_with_gateway(body)
