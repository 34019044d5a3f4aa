"""Tests of refusing prompts that can't start in time, and of their callers' returns."""

import unittest
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random
from typing import Any
from unittest.mock import patch

import anyio
import trio
import trio.testing

from daleroad import returnbook
from daleroad.dispatch import Lost
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.forwarding import Outcome
from daleroad.notices import Demand, PlaceAnswer, PlaceRequest
from daleroad.refusals import RefusalCause, RefusalPolicy, find_patience
from daleroad.routing import Repeat
from daleroad.startrates import MIN_STARTS, StartRate
from tests.fakes import PROMPT, FakeDispatcher, make_config, make_forwarder, make_gateway, make_job

URGENT = Demand("o", 0, 0.5, 0.1, 0.0, 6.0, True, "f")
PATIENT = replace(URGENT, rank=1, objective=1.5, pause=0.18, time_left=30.0)
CAPACITY = 10.0
"""Prompts that start a second."""


@dataclass
class Caller:
    """A caller, what it did and what became of it."""

    demand: Demand
    size: int
    repeats: int
    deadline: float
    came_at: float = 0.0
    tries: int = 0
    attempt: int = 0
    obeyed: bool = False
    expected: bool = False
    held: float = 0.0
    end: str = ""


class Play:
    """A queue in virtual time, at three times the room for 20 seconds, and its drain."""

    def __init__(self, seed: int, refuses: bool, repeats: int = 3, load: float = 3.0) -> None:
        self.policy = RefusalPolicy()
        self.refuses = refuses
        self.random = Random(seed)
        self.numbers = count()
        self.events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self.waiting: list[Caller] = []
        self.callers: list[Caller] = []
        self.busy = False
        at = 0.0
        while (at := at + self.random.expovariate(load * CAPACITY)) < 20.0:
            self.callers.append(self.make_caller(at, repeats))
            self.add(at, self.arrive, self.callers[-1])
        while self.events:
            at, _, handle, arguments = heappop(self.events)
            handle(at, *arguments)

    def make_caller(self, at: float, repeats: int) -> Caller:
        random = self.random
        demand = URGENT if random.random() < 0.5 else PATIENT
        organisation = random.choice("aaaabbc")
        demand = replace(demand, organisation=organisation, fingerprint=str(len(self.callers)))
        tries = repeats if random.random() < 0.1 else 0
        return Caller(demand, random.choice((500, 3000, 9000)), tries, at + demand.time_left)

    def add(self, at: float, handle: Callable[..., None], *arguments: object) -> None:
        heappush(self.events, (at, next(self.numbers), handle, arguments))

    def get_demand(self, caller: Caller, now: float) -> Demand:
        return replace(caller.demand, age=now - caller.came_at, time_left=caller.deadline - now)

    def make_key(self, caller: Caller, now: float) -> tuple[int, bool, float]:
        aged = now - caller.came_at > find_patience(caller.demand) / 2
        return max(0, caller.demand.rank - aged), not caller.expected, caller.came_at

    def arrive(self, now: float, caller: Caller) -> None:
        caller.came_at = now
        caller.attempt += 1
        caller.expected = self.policy.is_expected("s", caller.demand.fingerprint, now)
        self.waiting.append(caller)
        patience = find_patience(self.get_demand(caller, now))
        self.add(now + patience, self.give_up, caller, caller.attempt)
        if not self.busy:
            self.start(now)
        if self.refuses:
            self.ask(now, caller, caller.attempt)

    def ask(self, now: float, caller: Caller, attempt: int) -> None:
        if caller not in self.waiting or caller.attempt != attempt:
            return
        key = self.make_key(caller, now)
        ahead = sum(self.make_key(other, now) < key for other in self.waiting)
        refusal = self.policy.decide("s", self.get_demand(caller, now), ahead, now)
        if refusal is None:
            self.add(now + 0.25, self.ask, caller, attempt)
            return
        self.leave(now, caller)
        can_wait = (caller.deadline - now) / 3
        if caller.repeats:
            caller.repeats -= 1
            self.add(now + 0.1, self.arrive, caller)
        elif caller.tries == 0:
            caller.tries = 1
            caller.obeyed = refusal.retry_after <= can_wait
            self.add(now + min(refusal.retry_after, can_wait), self.arrive, caller)
        else:
            caller.end = "refused again" if caller.obeyed else "refused"

    def leave(self, now: float, caller: Caller) -> None:
        self.waiting.remove(caller)
        caller.held += now - caller.came_at
        self.policy.note_done("s", caller.demand.fingerprint)

    def give_up(self, now: float, caller: Caller, attempt: int) -> None:
        if caller in self.waiting and caller.attempt == attempt:
            self.leave(now, caller)
            caller.end = "gave up"

    def start(self, now: float) -> None:
        self.busy = bool(self.waiting)
        if self.busy:
            caller = min(self.waiting, key=lambda caller: self.make_key(caller, now))
            self.policy.note_start("s", now)
            self.leave(now, caller)
            caller.end = "served"
            self.add(now + self.random.uniform(0.5, 1.5) / CAPACITY, self.start)


def count_share(callers: Iterable[Caller], end: str = "served") -> float:
    """Return the part of some callers that came to an end."""
    ends = [caller.end for caller in callers]
    return ends.count(end) / len(ends)


class OverloadTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls) -> None:
        cls.before = [c for seed in range(5) for c in Play(seed, False).callers]
        cls.after = [c for seed in range(5) for c in Play(seed, True).callers]

    def test_more_callers_are_served_and_the_others_are_told_at_once(self) -> None:
        self.assertGreater(count_share(self.after), 1.15 * count_share(self.before))
        held = [
            sum(c.held for c in callers if c.end != "served") / len(callers)
            for callers in (self.before, self.after)
        ]
        self.assertLess(held[1], held[0] / 4)
        self.assertLess(count_share(self.after, "gave up"), 0.05)

    def test_callers_that_return_when_told_find_room(self) -> None:
        obeyed = [caller for caller in self.after if caller.obeyed]
        self.assertGreater(len(obeyed), 300)
        self.assertGreater(count_share(obeyed), 0.99)

    def test_no_rank_organisation_or_size_bears_it_alone(self) -> None:
        shares = [count_share(c for c in self.after if c.demand.rank == rank) for rank in (0, 1)]
        self.assertGreater(min(shares), 0.5 * max(shares))
        for group in (lambda c: c.demand.organisation, lambda c: c.size):
            for name in {group(caller) for caller in self.after}:
                share = count_share(c for c in self.after if group(c) == name)
                self.assertAlmostEqual(share, count_share(self.after), delta=0.05)

    def test_callers_that_repeat_gain_nothing_and_cost_others_nothing(self) -> None:
        polite = [c for seed in range(5) for c in Play(seed, True, repeats=0).callers]
        repeating = [caller for caller in self.after if caller.attempt > 2]
        others = [caller for caller in self.after if caller.attempt <= 2]
        self.assertLess(count_share(repeating), count_share(others) + 0.05)
        self.assertGreater(count_share(others), count_share(polite) - 0.03)

    def test_nobody_is_refused_below_the_rate_that_engines_serve(self) -> None:
        for seed in range(5):
            play = Play(seed, True, load=0.8)
            self.assertEqual(count_share(play.callers), 1.0)
            self.assertEqual(play.policy.refused.read().values, ())


class StartRateTest(unittest.TestCase):
    def test_starts_count_only_while_prompts_wait(self) -> None:
        rate = StartRate()
        for number in range(100):
            rate.note_start(number / 10)
        self.assertEqual(rate.foresee_wait(50, 10.0), 0.0)

    def test_few_starts_tell_nothing(self) -> None:
        rate = StartRate()
        rate.note_waiting(9, 0.0)
        rate.note_start(0.3)
        self.assertEqual(rate.foresee_wait(50, 0.3), 0.0)

    def test_rate_is_learnt_and_falls_with_the_time_without_a_start(self) -> None:
        rate = StartRate()
        for number in range(100):
            rate.note_waiting(20, 100 + number / 10)
            rate.note_start(100 + number / 10)
        self.assertAlmostEqual(rate.get_rate(110.0), 10, delta=1)
        for number in range(50):
            rate.note_waiting(20, 110 + number / 10)
        self.assertLess(rate.get_rate(115.0), 5)


class PolicyTest(unittest.TestCase):
    def setUp(self) -> None:
        self.policy = RefusalPolicy()
        for number in range(100):
            self.decide("w", 99, now=number / 10, demand=replace(URGENT, time_left=99, pause=0.0))
            self.policy.note_start("s", number / 10)

    def decide(self, name: str, ahead: int, now: float = 10.0, demand: Demand = URGENT) -> Any:
        return self.policy.decide("s", replace(demand, fingerprint=name), ahead, now)

    def test_a_prompt_is_refused_only_if_its_caller_gives_up_before_it_starts(self) -> None:
        self.assertIsNone(self.decide("a", 15))
        refusal = self.decide("b", 40)
        self.assertIs(refusal.cause, RefusalCause.LATE)
        self.assertAlmostEqual(refusal.wait, 4.1, delta=0.5)
        self.assertIsNone(self.decide("c", 40, demand=PATIENT))

    def test_fewer_are_let_in_after_some_were_refused_while_they_waited(self) -> None:
        self.assertIsNone(self.decide("x", 15))
        for number in range(10):
            self.assertIsNone(self.decide(str(number), 1))
            self.assertIsNotNone(self.decide(str(number), 99))
        self.assertIsNotNone(self.decide("y", 15))

    def test_returns_are_spread_and_never_later_than_callers_wait(self) -> None:
        answers = sorted(self.decide(str(n), 30).retry_after for n in range(40))
        told = [seconds for seconds in answers if seconds <= URGENT.time_left / 3]
        self.assertGreater(len(told), 3)
        self.assertTrue(all(b - a > 0.15 for a, b in pairwise(told)))

    def test_a_caller_that_returns_early_is_told_the_same_time(self) -> None:
        told = self.decide("a", 40).retry_after
        for number in range(1, 4):
            again = self.decide("a", 40, now=10 + number / 10)
            self.assertIs(again.cause, RefusalCause.EARLY)
            self.assertAlmostEqual(again.retry_after, told - number / 10)
        self.assertFalse(self.policy.is_expected("s", "a", 10.3))
        self.assertTrue(self.policy.is_expected("s", "a", 10 + told))

    def test_an_early_caller_is_let_in_if_nobody_is_before_it(self) -> None:
        self.decide("a", 40)
        self.assertIsNone(self.decide("a", 0, now=10.2))

    def test_a_late_or_missing_return_ends_the_promise(self) -> None:
        told = 10 + self.decide("a", 40).retry_after
        self.assertTrue(self.policy.is_expected("s", "a", told + 1.4))
        self.assertFalse(self.policy.is_expected("s", "a", told + 1.6))
        self.decide("b", 0, now=told + 1.6)
        self.assertIn((("missed",), 1), self.policy.returns.read().values)

    def test_a_kept_promise_holds_while_the_prompt_waits_and_ends_with_it(self) -> None:
        told = 10 + self.decide("a", 40).retry_after
        self.assertIsNone(self.decide("a", 3, now=told))
        self.assertTrue(self.policy.is_expected("s", "a", told + 1.9))
        self.policy.note_done("s", "a")
        self.assertFalse(self.policy.is_expected("s", "a", told + 0.1))

    def test_the_table_is_bounded_and_a_full_one_still_names_a_time(self) -> None:
        with patch.object(returnbook, "MAX_PROMISES", 3):
            answers = [self.decide(str(number), 25).retry_after for number in range(20)]
        self.assertTrue(all(seconds > 0 for seconds in answers))
        expected = [self.policy.is_expected("s", str(n), 10 + a) for n, a in enumerate(answers)]
        self.assertEqual(sum(expected), 3)

    def test_a_new_leader_knows_no_promise_and_refuses_nobody(self) -> None:
        told = 10 + self.decide("a", 40).retry_after
        self.policy = RefusalPolicy()
        self.assertFalse(self.policy.is_expected("s", "a", told))
        for number in range(int(MIN_STARTS)):
            self.assertIsNone(self.decide(str(number), 400, now=told))


class GatewayTest(unittest.TestCase):
    def serve(self, *replies: Lost, answers: int = 1) -> Outcome:
        """Serve a request; the leader places it, then refuses it."""
        found = [PlaceAnswer("i1")] * (answers - 1)
        found.append(PlaceAnswer("", refused=True, retry_after=1.25))

        async def place(request: PlaceRequest) -> PlaceAnswer:
            return found.pop(0)

        async def main() -> Outcome:
            now = anyio.current_time()
            config = make_config(Repeat.STREAM, 3, engine=True, resumable=True)
            gateway = make_gateway(FakeDispatcher(*replies), config, now)
            gateway.selector.gateways = 2
            gateway.selector.request_placement = place
            prompt = make_job(now, prompt=PROMPT)
            outcome = await make_forwarder(gateway).serve(prompt)
            self.assertEqual(anyio.current_time(), now)
            return outcome

        return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_a_refusal_is_passed_on_at_once_and_says_that_nothing_ran(self) -> None:
        outcome = self.serve()
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.OVERLOADED, Ran.NO))
        self.assertEqual(outcome.retry_after, 1.25)

    def test_a_request_that_may_have_run_is_not_said_not_to_have_run(self) -> None:
        outcome = self.serve(Lost("reset"), answers=2)
        assert isinstance(outcome, Failure)
        self.assertEqual((outcome.kind, outcome.ran), (FailureKind.UPSTREAM_LOST, Ran.UNKNOWN))
        self.assertIsNone(outcome.retry_after)


if __name__ == "__main__":
    unittest.main()
