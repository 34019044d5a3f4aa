"""Tests of polls for prompts that wait, at the leader and at gateways, and of a site under load."""

import unittest
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

import anyio
import trio
import trio.testing

from daleroad.channels import ChannelCalls
from daleroad.codec import decode, encode
from daleroad.contention import Contention
from daleroad.coordinator import Coordinator, CoordinatorOptions
from daleroad.defaults import MEMORY_WAIT_PAUSE_SECONDS, PLACER_RETRY_SECONDS
from daleroad.dispatch import Prompt, Whole
from daleroad.errors import Failure, FailureKind
from daleroad.fleet import Fleet
from daleroad.forwarding import Outcome
from daleroad.gateway import Gateway
from daleroad.instances import Sighting
from daleroad.loads import LoadTotals
from daleroad.metrics import Metrics
from daleroad.notices import (
    Load,
    LoadsRequest,
    PlaceAnswer,
    PlaceRequest,
    QueueAnswer,
    WithdrawRequest,
)
from daleroad.placer import Placer
from daleroad.placerclient import MAX_HOLDS, PlacerClient
from daleroad.promptqueue import HOLD_SECONDS, POLL_SLACK_SECONDS
from daleroad.promptwaits import GATHER_SECONDS, TURN_SECONDS, PromptWaits
from daleroad.queuemodel import CASES, Waiting, find_share, is_small_organisation, simulate
from daleroad.reserves import Reserve
from daleroad.routing import Repeat, RoutingConfig, ServiceRule
from daleroad.serving import Request, serve_app
from daleroad.settings import Tls
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
from tests.test_coordinator import pick_addresses
from tests.test_placer import FakeCalls
from tests.test_promptqueue import CROWDED, make_request

SERVICE = ServiceRule("s", "/", 100, ENGINE)
ORDERED = Contention(yields=True)
FULL = Load("i1", 6, ENGINE.memory_tokens)
DRAINED_SECONDS = 29.0
"""Time by which a simulated site is over a burst that ended five seconds before."""


def run(body: Callable[[], Awaitable[None]]) -> None:
    trio.run(body, clock=trio.testing.MockClock(autojump_threshold=0))


def make_competing_config() -> RoutingConfig:
    """Return a configuration with a route that can yield to a more urgent one."""
    config = make_config(Repeat.STREAM, engine=True)
    route = replace(config.routes[0], objective=1.5)
    patient = replace(route, name="p", prefix="/p/", rank=2, objective=4.0)
    return replace(config, routes=(route, patient))


class LeaderTest(unittest.TestCase):
    """Polls at a leader with one engine, which is full at first."""

    def serve(self, body: Callable[[], Awaitable[None]]) -> None:
        async def main() -> None:
            fleet = Fleet()
            fleet.note(Sighting(make_instance(1), 0.0), anyio.current_time())
            self.loads = LoadTotals(9.0)
            self.loads.set_report("g9", (FULL,), anyio.current_time())
            placer = Placer(fleet, self.loads, 1e9, Random(1))

            def place(request: PlaceRequest, reserve: Reserve | None, now: float) -> PlaceAnswer:
                return placer.place(request, SERVICE, now, (), ORDERED, reserve)

            self.waits = PromptWaits(place)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.waits.run)
                await body()
                tasks.cancel_scope.cancel()

        run(main)

    def report(self, gateway: str, loads: Iterable[Load]) -> None:
        self.loads.set_report(gateway, tuple(loads), anyio.current_time())
        self.waits.wake()

    def test_held_poll_is_answered_soon_after_room_is_reported(self) -> None:
        async def body() -> None:
            request = make_request("a")
            self.assertEqual(self.waits.submit(request), CROWDED)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self.free_later)
                answer = await self.waits.hold(request)
            self.assertEqual(answer, PlaceAnswer("i1"))
            self.assertLessEqual(anyio.current_time() - self.freed_at, 2 * GATHER_SECONDS)

        self.serve(body)

    async def free_later(self) -> None:
        await anyio.sleep(0.1)
        self.freed_at = anyio.current_time()
        self.report("g9", ())

    def test_turns_that_try_many_prompts_in_vain_are_rarer(self) -> None:
        async def count_turns(polls: int) -> int:
            turns = 0

            def place(request: PlaceRequest, reserve: Reserve | None, now: float) -> PlaceAnswer:
                nonlocal turns
                turns += request.ticket == "0"
                return CROWDED

            waits = PromptWaits(place)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(waits.run)
                for number in range(polls):
                    request = make_request(f"{number}", tokens=1000 - number)
                    tasks.start_soon(waits.hold, request)
                for _ in range(200):
                    await anyio.sleep(0.001)
                    waits.wake()
                tasks.cancel_scope.cancel()
            return turns

        async def body() -> None:
            self.assertGreater(await count_turns(1), 3 * await count_turns(50))

        run(body)

    def test_poll_is_answered_when_a_newcomer_finds_room_for_it(self) -> None:
        async def body() -> None:
            request = make_request("a", age=0.1)
            waits = PromptWaits(lambda *_: self.answer)
            waits.submit(request)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(waits.hold, request)
                await anyio.sleep(0.01)
                self.answer = PlaceAnswer("i1")
                waits.submit(make_request("b"))
                answered_at = anyio.current_time()
            self.assertEqual(anyio.current_time(), answered_at)

        self.answer = CROWDED
        run(body)

    def test_poll_without_room_ends_after_a_hold(self) -> None:
        async def body() -> None:
            began = anyio.current_time()
            self.assertEqual(await self.waits.hold(make_request("a")), CROWDED)
            self.assertAlmostEqual(anyio.current_time() - began, HOLD_SECONDS)

        self.serve(body)

    def test_room_whose_answer_was_lost_is_free_after_the_next_load_report(self) -> None:
        async def body() -> None:
            self.report("g9", ())
            lost = self.waits.submit(make_request("lost", tokens=ENGINE.memory_tokens))
            self.assertEqual(lost, PlaceAnswer("i1"))
            next_one = make_request("next", gateway="g2")
            self.assertEqual(self.waits.submit(next_one), CROWDED)
            self.report("g1", ())
            self.assertEqual(await self.waits.hold(next_one), PlaceAnswer("i1"))
            self.assertLessEqual(self.waits.count(), 0)

        self.serve(body)

    def test_cancelled_poll_gets_no_room(self) -> None:
        async def body() -> None:
            with anyio.move_on_after(0.1):
                await self.waits.hold(make_request("gone"))
            self.report("g9", ())
            await anyio.sleep(2 * TURN_SECONDS)
            self.assertEqual(self.loads.get_total("i1"), Load("i1"))

        self.serve(body)

    def test_metrics_show_length_and_age_by_rank_and_ends(self) -> None:
        async def body() -> None:
            metrics = Metrics()
            self.waits.show(metrics)
            self.waits.submit(make_request("a", rank=1, age=0.2))
            self.waits.submit(make_request("b", gateway="g2"))
            self.waits.withdraw("s", "g2", "b")
            shown = {sample.name: sample for sample in metrics.read()}
            values = [shown[f"daleroad_queue_{name}"].values for name in ("length", "ends")]
            self.assertEqual(values, [((("1",), 1.0),), ((("withdrawn",), 1.0),)])

        self.serve(body)


async def wait_until_listening(name: str) -> None:
    """Wait until a server accepts connections; on a busy machine its start takes a while."""
    host, _, port = name.partition(":")
    with anyio.fail_after(10.0):
        while True:
            try:
                await (await anyio.connect_tcp(host, int(port))).aclose()
                return
            except OSError:
                await anyio.sleep(0.02)


async def report_room(calls: ChannelCalls, name: str) -> None:
    """Report that a gateway's requests have ended."""
    await anyio.sleep(0.05)
    body = encode(LoadsRequest("g9", ()))
    await calls.call(f"http://{name}/site/loads", body, type(None))


class CoordinatorQueueTest(unittest.TestCase):
    """The calls of a leading coordinator that concern its queue."""

    def setUp(self) -> None:
        options = CoordinatorOptions("10.0.0.1:1", (), "", False)
        calls = FakeCalls(lambda: anyio.sleep(0))
        self.coordinator = Coordinator(options, calls, lambda body: body, Random(1))
        self.router = self.coordinator.make_router()

    def become_leader(self, ordered: bool = True) -> None:
        coordinator = self.coordinator
        now = anyio.current_time()
        coordinator._ready = True
        coordinator.group.is_leading = lambda: True
        coordinator.group.replica = SimpleNamespace(term=1, leader="")
        coordinator.presence.has_enough_load_reports = lambda now: True
        coordinator._services = {"s": SERVICE}
        coordinator._contentions = {"s": ORDERED} if ordered else {}
        coordinator.presence.fleet.note(Sighting(make_instance(1), 0.0), now)
        coordinator.presence.loads.set_report("g9", (FULL,), now)

    async def call(self, name: str, message: Any, shape: Any) -> Any:
        serve = getattr(self.coordinator, f"_serve_{name}")
        headers = {"authorization": "Bearer t"}
        body = encode(message) if message is not None else b"{}"
        answer = await serve(Request("POST", f"/site/{name}", "", "", headers, body))
        if isinstance(answer, Failure):
            return answer
        return decode(shape, answer.body) if answer.body else None

    def test_prompt_waits_is_listed_withdrawn_and_gone(self) -> None:
        async def body() -> None:
            self.become_leader()
            request = make_request("a")
            self.assertEqual(await self.call("place", request, PlaceAnswer), CROWDED)
            self.assertEqual(await self.call("await_place", request, PlaceAnswer), CROWDED)
            listed = await self.call("queue", None, QueueAnswer)
            self.assertEqual([w.gateway for w in listed.waiting], ["g1"])
            await self.call("withdraw", WithdrawRequest("g1", "s", "a"), None)
            self.assertEqual(await self.call("queue", None, QueueAnswer), QueueAnswer(()))

        run(body)

    def test_without_contention_or_ticket_nothing_is_queued(self) -> None:
        async def body() -> None:
            self.become_leader(ordered=False)
            patient = replace(make_request("a"), patient=True)
            self.assertEqual(await self.call("place", patient, PlaceAnswer), CROWDED)
            impatient = make_request("b")
            self.assertEqual((await self.call("place", impatient, PlaceAnswer)).instance, "i1")
            self.become_leader()
            unnamed = replace(patient, ticket="", demand=None)
            self.assertTrue((await self.call("place", unnamed, PlaceAnswer)).crowded)
            self.assertEqual(self.coordinator.waits.count(), 0)

        run(body)

    def test_poll_on_a_channel_is_answered_when_a_load_report_shows_room(self) -> None:
        async def main() -> None:
            self.become_leader()
            name, calls = pick_addresses(1)[0], ChannelCalls("t")
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(serve_app, self.router, name, Tls(), anyio.sleep_forever, 0.1)
                tasks.start_soon(self.coordinator.waits.run)
                await wait_until_listening(name)
                body = encode(make_request("a"))
                answer = await calls.call(f"http://{name}/site/place", body, PlaceAnswer)
                self.assertEqual(answer, CROWDED)
                began = anyio.current_time()
                async with anyio.create_task_group() as askers:
                    askers.start_soon(report_room, calls, name)
                    answer = await calls.call(f"http://{name}/site/await-place", body, PlaceAnswer)
                self.assertEqual(answer, PlaceAnswer("i1"))
                self.assertLess(anyio.current_time() - began, HOLD_SECONDS)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    def test_coordinator_that_does_not_lead_queues_and_lists_nothing(self) -> None:
        async def body() -> None:
            self.become_leader()
            self.coordinator.group.is_leading = lambda: False
            for name in ("place", "await_place"):
                failure = await self.call(name, make_request("a"), PlaceAnswer)
                self.assertEqual(failure.kind, FailureKind.NOT_LEADER)
            self.assertIsInstance(await self.call("queue", None, QueueAnswer), Failure)
            self.assertEqual(self.coordinator.waits.count(), 0)

        run(body)


class GatewayQueueTest(unittest.TestCase):
    """A gateway with a request of a service whose routes compete."""

    def serve(
        self,
        place: Callable[[str, PlaceRequest], PlaceAnswer | Failure],
        config: RoutingConfig | None = None,
        seconds: float = 5.0,
        load: Load | None = None,
        prompt: Prompt = PROMPT,
    ) -> Outcome | None:
        """Return the outcome of a request, or nothing if its client leaves before.

        :param place: answers a call of the gateway by name and message.
        :param seconds: when its client leaves.
        :param load: load of other gateways on each engine.
        """
        outcomes: list[Outcome] = []
        self.asked: list[tuple[str, PlaceRequest]] = []
        self.withdrawn: list[str] = []

        async def main() -> None:
            self.began = anyio.current_time()
            gateway = make_gateway(
                FakeDispatcher(WHOLE), config or make_competing_config(), self.began
            )
            gateway.selector.gateways = 2
            if load is not None:
                loads = (replace(load, instance=f"i{number}") for number in (1, 2, 3))
                gateway.loads.set_other_loads(tuple(loads))
            self.connect(gateway, place)
            async with anyio.create_task_group() as tasks:
                gateway.start(tasks)
                tasks.start_soon(gateway.selector.waits.run)
                job = make_job(self.began, prompt=prompt)
                with anyio.move_on_after(seconds):
                    outcomes.append(await make_forwarder(gateway).serve(job))
                self.took = anyio.current_time() - self.began
                await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()

        run(main)
        return outcomes[0] if outcomes else None

    def connect(
        self, gateway: Gateway, place: Callable[[str, PlaceRequest], PlaceAnswer | Failure]
    ) -> None:
        test = self

        class Calls(FakeCalls):
            async def call(self, url: str, body: bytes, shape: Any, seconds: float = 0) -> Any:
                name = url.rsplit("/", 1)[1]
                if name == "withdraw":
                    test.withdrawn.append(decode(WithdrawRequest, body).ticket)
                    return None
                request = decode(PlaceRequest, body)
                test.asked.append((name, request))
                answer = place(name, request)
                if name == "await-place" and answer == CROWDED:
                    await anyio.sleep(HOLD_SECONDS)
                return answer

        client = PlacerClient(gateway, Calls(lambda: anyio.sleep(0)), lambda: "l:1")
        gateway.selector.request_placement = client.request_placement
        gateway.selector.await_placement = client.await_placement
        gateway.selector.send_withdrawal = client.withdraw

    def test_crowded_request_polls_with_its_ticket_and_age_until_it_has_a_place(self) -> None:
        answers = [CROWDED, CROWDED, PlaceAnswer("i2")]
        outcome = self.serve(lambda name, request: answers.pop(0))
        self.assertIsInstance(outcome, Whole)
        self.assertEqual([name for name, _ in self.asked], ["place", "await-place", "await-place"])
        self.assertEqual(len({request.ticket for _, request in self.asked}), 1)
        ages = [request.demand.age for _, request in self.asked if request.demand]
        self.assertEqual([round(age, 3) for age in ages], [0.0, 0.0, HOLD_SECONDS])
        self.assertEqual(self.withdrawn, [])

    def test_request_whose_client_left_is_withdrawn(self) -> None:
        self.assertIsNone(self.serve(lambda name, request: CROWDED, seconds=0.1))
        self.assertEqual(self.withdrawn, [self.asked[0][1].ticket])

    def test_refused_request_ends_with_the_time_to_return(self) -> None:
        refused = PlaceAnswer("", refused=True, retry_after=3.0)
        outcome = self.serve(lambda name, request: refused)
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.retry_after), (FailureKind.OVERLOADED, 3.0))

    def test_without_a_leader_a_gateway_queues_by_its_own_view(self) -> None:
        lost = Failure(FailureKind.NOT_LEADER, "another")
        outcome = self.serve(lambda name, request: lost)
        self.assertIsInstance(outcome, Whole)
        self.assertEqual((self.took, len(self.asked)), (0.0, 1))
        full = replace(FULL, runs=6)
        self.assertIsInstance(self.serve(lambda name, request: lost, load=full), Whole)
        self.assertAlmostEqual(self.took, 0.45 * 1.5, delta=TURN_SECONDS + GATHER_SECONDS)

    def test_request_that_waited_alone_asks_the_next_leader_with_its_age(self) -> None:
        def place(name: str, request: PlaceRequest) -> PlaceAnswer | Failure:
            if anyio.current_time() - self.began < 0.1:
                return Failure(FailureKind.NOT_LEADER, "another")
            return PlaceAnswer("i3")

        self.assertIsInstance(self.serve(place, load=replace(FULL, runs=6)), Whole)
        name, request = self.asked[-1]
        assert request.demand is not None
        self.assertEqual((name, self.took), ("await-place", request.demand.age))
        self.assertLessEqual(self.took, PLACER_RETRY_SECONDS + HOLD_SECONDS)

    def test_leader_that_froze_is_noticed_within_a_hold(self) -> None:
        def place(name: str, request: PlaceRequest) -> PlaceAnswer | Failure:
            if name == "place":
                return CROWDED
            return Failure(FailureKind.UNREACHABLE, "no answer")

        self.assertIsInstance(self.serve(place), Whole)
        self.assertLessEqual(self.took, HOLD_SECONDS + POLL_SLACK_SECONDS)

    def test_without_contention_a_request_asks_every_pause_as_before(self) -> None:
        answers = [CROWDED, CROWDED, PlaceAnswer("i2")]
        config = make_config(Repeat.STREAM, engine=True)
        config = replace(config, routes=(replace(config.routes[0], objective=1.5),))
        outcome = self.serve(lambda name, request: answers.pop(0), config)
        self.assertIsInstance(outcome, Whole)
        self.assertAlmostEqual(self.took, 2 * MEMORY_WAIT_PAUSE_SECONDS)
        sent = {(name, request.ticket, request.demand) for name, request in self.asked}
        self.assertEqual(sent, {("place", "", None)})

    def test_polls_of_one_gateway_are_bounded(self) -> None:
        async def main() -> None:
            gateway = make_gateway(FakeDispatcher(), make_competing_config(), 0.0)

            async def answer() -> PlaceAnswer:
                await anyio.sleep(0.05)
                return CROWDED

            calls = FakeCalls(answer)
            client = PlacerClient(gateway, calls, lambda: "l:1")
            async with anyio.create_task_group() as tasks:
                for number in range(MAX_HOLDS + 8):
                    tasks.start_soon(client.await_placement, make_request(f"w{number}"))
            names = [url.rsplit("/", 1)[1] for url, _ in calls.sent]
            self.assertEqual((names.count("await-place"), names.count("place")), (MAX_HOLDS, 8))

        run(main)


class LoadTest(unittest.TestCase):
    """A site at three times the rate that it serves, for 20 s, and what follows."""

    def test_queue_serves_more_in_time_than_polling_without_holding_back_the_modest(self) -> None:
        for case in CASES:
            polling, queue = (simulate(case, w, 1) for w in (Waiting.POLLING, Waiting.QUEUE))
            urgent = min(kind.rank for kind in case.kinds)
            with self.subTest(case.name):
                for matches in (
                    lambda p, rank=urgent: p.kind.rank == rank,
                    lambda p, rank=urgent: p.kind.rank != rank,
                    is_small_organisation,
                ):
                    before, after = (
                        find_share(filter(matches, prompts)) for prompts in (polling, queue)
                    )
                    self.assertGreater(after, before)
                before, after = (
                    find_share(p for p in prompts if p.sent_at > DRAINED_SECONDS)
                    for prompts in (polling, queue)
                )
                self.assertGreater(after, before)

    def test_prompts_are_in_time_again_five_seconds_after_the_burst(self) -> None:
        for case in CASES:
            queue = simulate(case, Waiting.QUEUE, 1)
            with self.subTest(case.name):
                drained = (prompt for prompt in queue if prompt.sent_at > DRAINED_SECONDS)
                self.assertGreater(find_share(drained), 0.9)

    def test_largest_prompts_do_not_starve(self) -> None:
        for case in CASES:
            polling, queue = (simulate(case, w, 1) for w in (Waiting.POLLING, Waiting.QUEUE))
            large = sorted(p.prompt for p in queue)[int(0.9 * len(queue))]
            before, after = (
                find_share(p for p in prompts if p.prompt >= large) for prompts in (polling, queue)
            )
            self.assertGreaterEqual(after, before, case.name)


if __name__ == "__main__":
    unittest.main()
