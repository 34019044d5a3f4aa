"""Tests of the ordered queue of prompts that wait for room."""

import unittest
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from unittest.mock import patch

from daleroad import promptqueue
from daleroad.defaults import MAX_MEMORY_WAIT_OBJECTIVES
from daleroad.notices import Demand, PlaceAnswer, PlaceRequest
from daleroad.promptqueue import (
    HOLD_SECONDS,
    KEPT_ANSWER_SECONDS,
    LAST_OFFER_INTERVAL_SECONDS,
    LAST_OFFER_SECONDS,
    LAST_OFFER_STARTS,
    MAX_WAITING,
    OVERTAKING_SECONDS,
    POLL_SLACK_SECONDS,
    SILENT_SECONDS,
    PromptQueue,
)
from daleroad.refusals import find_patience
from daleroad.reserves import Reserve

CROWDED = PlaceAnswer("", crowded=True)
OBJECTIVE = 2.0
PATIENCE = MAX_MEMORY_WAIT_OBJECTIVES * OBJECTIVE


def make_request(
    name: str,
    rank: int = 0,
    organisation: str = "o",
    age: float = 0.0,
    tokens: int = 1000,
    gateway: str = "g1",
) -> PlaceRequest:
    demand = Demand(organisation, rank, OBJECTIVE, 0.2, age, 30.0 - age, True, name)
    return PlaceRequest(gateway, "z", "s", tokens, 500, (), (), demand=demand, ticket=name)


@dataclass(frozen=True)
class FakeRefusal:
    retry_after: float


@dataclass
class FakeRefusals:
    """Refuses what has as many prompts ahead, and expects some callers."""

    most_ahead: int = 1000
    expected: Sequence[str] = ()
    starts: int = 0
    done: list[str] = field(default_factory=list)

    def note_start(self, service: str, now: float) -> None:
        self.starts += 1

    def note_done(self, service: str, fingerprint: str) -> None:
        self.done.append(fingerprint)

    def is_expected(self, service: str, fingerprint: str, now: float) -> bool:
        return fingerprint in self.expected

    def decide(self, service: str, demand: Demand, ahead: int, now: float) -> FakeRefusal | None:
        return FakeRefusal(3.0) if ahead >= self.most_ahead else None


class QueueCase(unittest.TestCase):
    """A queue over engines with room in tokens."""

    def setUp(self) -> None:
        self.room: dict[str, int] = {"e1": 0}
        self.placed: list[str] = []
        self.reserves: dict[str, Reserve | None] = {}
        self.queue = PromptQueue("s", self.try_place)

    def try_place(self, request: PlaceRequest, reserve: Reserve | None, now: float) -> PlaceAnswer:
        self.reserves[request.ticket] = reserve
        free = {name: room for name, room in self.room.items() if name not in request.excluded}
        if not free:
            return PlaceAnswer("")
        best = max(free, key=lambda name: free[name])
        if free[best] < request.tokens and request.patient:
            return PlaceAnswer(best, crowded=True)
        self.room[best] -= request.tokens
        self.placed.append(request.ticket)
        return PlaceAnswer(best)

    def wait(self, *requests: PlaceRequest, now: float = 0.0) -> None:
        for request in requests:
            self.assertEqual(self.queue.submit(request, now), CROWDED)
            self.queue.begin_poll(request, now)

    def free(self, tokens: int, now: float = 0.01) -> list[str]:
        """Free memory; return the prompts that got it."""
        before = len(self.placed)
        self.room["e1"] += tokens
        self.queue.drain(now)
        return self.placed[before:]


class OrderTest(QueueCase):
    def test_prompt_with_room_and_nobody_ahead_is_placed_at_once(self) -> None:
        self.room["e1"] = 1000
        self.assertEqual(self.queue.submit(make_request("a"), 0.0), PlaceAnswer("e1"))
        self.assertEqual(len(self.queue), 0)

    def test_urgent_then_earliest_received_prompts_go_first(self) -> None:
        self.wait(
            make_request("low", rank=2),
            make_request("young"),
            make_request("old", age=0.3),
            make_request("next", rank=1),
        )
        self.assertEqual(self.free(4000), ["old", "young", "next", "low"])

    def test_newcomer_does_not_pass_those_that_wait_for_the_same_room(self) -> None:
        self.wait(make_request("first"))
        self.room["e1"] = 1000
        self.assertEqual(self.queue.submit(make_request("second"), 0.01), CROWDED)
        self.assertEqual(self.placed, ["first"])

    def test_prompt_that_can_start_in_time_goes_before_one_that_can_not(self) -> None:
        self.queue.refusals = FakeRefusals()
        self.wait(make_request("late", age=OBJECTIVE), make_request("early"))
        self.assertEqual(self.free(2000), ["early", "late"])

    def test_caller_that_returns_when_told_goes_before_newcomers_of_its_rank(self) -> None:
        self.queue.refusals = FakeRefusals(expected=["back"])
        self.wait(make_request("new", age=0.3), make_request("back"), make_request("low", rank=1))
        self.assertEqual(self.free(3000), ["back", "new", "low"])

    def test_organisation_with_ten_times_its_share_does_not_hold_back_others(self) -> None:
        greedy = [make_request(f"a{n}", organisation="a", tokens=8000) for n in range(20)]
        modest = [make_request(f"b{n}", organisation="b", tokens=8000) for n in range(2)]
        self.wait(*greedy, *modest)
        self.assertEqual(self.free(4 * 8000), ["a0", "b0", "a1", "b1"])

    def test_service_of_long_ago_is_not_held_against_an_organisation(self) -> None:
        self.room["e1"] = 80_000
        for number in range(10):
            self.queue.submit(make_request(f"a{number}", organisation="a", tokens=8000), 0.0)
        now = 100.0
        self.wait(make_request("a", organisation="a"), now=now)
        self.wait(make_request("b", organisation="b"), now=now)
        self.assertEqual(self.free(1000, now), ["a"])

    def test_prompt_that_waited_for_part_of_its_patience_moves_up_by_a_rank(self) -> None:
        self.wait(make_request("aged", rank=1, age=0.5 * PATIENCE), make_request("young"))
        self.wait(make_request("low", rank=2, age=0.5 * PATIENCE))
        self.assertEqual(self.free(3000), ["aged", "young", "low"])

    def test_prompt_that_nobody_refuses_goes_to_the_best_engine_when_its_patience_ends(
        self,
    ) -> None:
        self.wait(make_request("a"))
        poll = make_request("a", age=PATIENCE)
        self.queue.begin_poll(poll, PATIENCE)
        self.queue.drain(PATIENCE)
        self.assertEqual(self.queue.end_poll(poll, PATIENCE), PlaceAnswer("e1"))
        self.assertEqual(self.queue.counts, {"without room": 1})

    def test_less_urgent_prompt_leaves_a_reserve_for_a_more_urgent_one(self) -> None:
        self.wait(make_request("urgent", tokens=4000), make_request("low", rank=2))
        reserve, own = self.reserves["low"], self.reserves["urgent"]
        assert reserve is not None and own is not None
        self.assertEqual((reserve.tokens, own.tokens), (4000, 0))
        self.assertLess(reserve.max_unread, own.max_unread)


class OvertakingTest(QueueCase):
    def test_smaller_prompt_fills_in_at_first(self) -> None:
        self.wait(make_request("large", age=0.1, tokens=5000), make_request("small"))
        self.assertEqual(self.free(1000), ["small"])

    def test_prompt_that_was_passed_claims_an_engine_but_leaves_the_others(self) -> None:
        self.room = {"e1": 900, "e2": 800}
        large = make_request("large", age=0.1, tokens=5000)
        self.wait(large)
        now = 2 * OVERTAKING_SECONDS
        self.queue.begin_poll(replace(large), now)
        self.queue.drain(now)
        small = make_request("small")
        self.room = {"e1": 1000, "e2": 900}
        self.assertEqual(self.queue.submit(small, now), CROWDED)
        self.room["e2"] = 1000
        self.queue.begin_poll(small, now)
        self.assertEqual(self.free(0, now), ["small"])
        self.assertEqual(self.room, {"e1": 1000, "e2": 0})
        self.assertEqual(self.free(4000, now), ["large"])

    def test_prompt_with_a_longer_objective_is_tried_after_one_that_can_not_start_in_time(
        self,
    ) -> None:
        short = make_request("short", tokens=1000)
        assert short.demand is not None
        patient = replace(short, ticket="patient", demand=replace(short.demand, objective=9.0))
        self.wait(short, patient)
        self.assertEqual(set(self.reserves), {"short", "patient"})


class LifecycleTest(QueueCase):
    def test_full_queue_sends_further_prompts_to_the_best_engine(self) -> None:
        for number in range(MAX_WAITING):
            self.queue.submit(make_request(f"w{number}"), 0.0)
        self.assertEqual(self.queue.submit(make_request("over"), 0.0), PlaceAnswer("e1"))
        self.assertEqual(len(self.queue), MAX_WAITING)

    def test_work_of_one_turn_is_bounded(self) -> None:
        self.wait(*(make_request(f"w{number}") for number in range(100)))
        self.assertEqual(len(self.free(100_000)), promptqueue.MAX_TRIES_PER_TURN)

    def test_withdrawn_prompt_gets_no_room(self) -> None:
        self.wait(make_request("gone"), make_request("stays"))
        self.queue.withdraw("g1", "gone")
        self.queue.withdraw("g1", "unknown")
        self.assertEqual(self.free(2000), ["stays"])
        self.assertEqual(self.queue.counts["withdrawn"], 1)

    def test_prompts_of_a_gateway_that_ended_are_dropped_and_hold_no_room(self) -> None:
        self.wait(make_request("gone", gateway="dead"))
        now = HOLD_SECONDS + POLL_SLACK_SECONDS + 0.01
        self.wait(make_request("stays"), now=now)
        self.assertEqual(self.free(2000, now), ["stays"])
        self.queue.prune(SILENT_SECONDS + 0.01)
        self.assertEqual((len(self.queue), self.queue.counts["expired"]), (0, 1))

    def test_poll_repeated_after_its_answer_was_lost_gets_the_same_place(self) -> None:
        request = make_request("a")
        self.wait(request)
        self.assertEqual(self.free(2000), ["a"])
        for _ in range(2):
            self.assertEqual(self.queue.begin_poll(request, 0.1), PlaceAnswer("e1"))
            self.assertEqual(self.queue.submit(request, 0.1), PlaceAnswer("e1"))
        self.assertEqual(self.placed, ["a"])
        self.queue.prune(0.1 + KEPT_ANSWER_SECONDS)
        self.assertIsNone(self.queue.begin_poll(request, 1.2))

    def test_new_leader_orders_by_the_ages_that_gateways_state(self) -> None:
        # Polls reach the new leader in another order than the prompts came in.
        self.wait(make_request("third", age=0.1), make_request("first", age=0.3))
        self.wait(make_request("second", age=0.2, gateway="g2"))
        self.assertEqual(self.free(3000), ["first", "second", "third"])

    def test_leader_that_was_frozen_places_nothing_for_the_polls_of_before(self) -> None:
        self.wait(make_request("a"))
        self.assertEqual(self.free(2000, now=5.0), [])

    def test_prompt_that_can_not_start_in_time_is_refused_with_those_ahead_counted(self) -> None:
        refusals = FakeRefusals(most_ahead=2)
        self.queue.refusals = refusals
        self.wait(make_request("a", age=0.2), make_request("b", age=0.1))
        answer = self.queue.submit(make_request("c"), 0.0)
        self.assertEqual(answer, PlaceAnswer("", refused=True, retry_after=3.0))
        self.assertEqual(self.queue.submit(make_request("d", age=0.3), 0.0), CROWDED)
        self.free(1000)
        self.assertEqual((refusals.starts, refusals.done), (1, ["a"]))

    def test_prompt_that_was_not_tried_yet_is_not_refused(self) -> None:
        self.queue.refusals = FakeRefusals(most_ahead=1)
        waiting = [make_request(f"w{number}", age=0.1) for number in range(100)]
        for request in waiting:
            self.queue.begin_poll(request, 0.0)
        self.room["e1"] = 200_000
        self.assertEqual(self.queue.submit(make_request("new"), 0.0), CROWDED)
        self.queue.begin_poll(make_request("new"), 0.0)
        self.assertIn("new", self.free(0))

    def test_caller_that_leaves_before_its_patience_ends_gets_an_engine_before(self) -> None:
        request = make_request("a")
        assert request.demand is not None
        request = replace(request, demand=replace(request.demand, time_left=LAST_OFFER_SECONDS))
        self.assertEqual(self.queue.submit(request, 0.0), PlaceAnswer("e1"))

    def test_prompt_whose_caller_gives_up_soon_is_placed_after_others_started(self) -> None:
        self.queue.refusals = FakeRefusals()
        last = find_patience(make_request("a").demand) - LAST_OFFER_SECONDS
        polls = [make_request(f"late{number}", age=last) for number in range(2)]
        for poll in polls:
            self.queue.begin_poll(poll, 0.0)
        self.assertEqual([len(self.queue.drain(0.0)) for _ in range(2)], [1, 0])
        self.wait(*(make_request(f"young{number}") for number in range(LAST_OFFER_STARTS)))
        self.room["e1"] = 0
        self.assertEqual(len(self.free(1000 * LAST_OFFER_STARTS, 0.0)), LAST_OFFER_STARTS)
        self.assertEqual(self.queue.drain(0.0), [("g1", "late1")])

    def test_last_offers_are_made_once_in_an_interval_without_starts(self) -> None:
        self.queue.refusals = FakeRefusals()
        for step in range(3):
            now = step * LAST_OFFER_INTERVAL_SECONDS
            for number in range(3):
                self.queue.begin_poll(make_request(f"{step}.{number}", age=7.9), now)
            self.assertEqual(len(self.queue.drain(now)), 1)

    def test_operators_see_what_waits_in_order(self) -> None:
        self.wait(make_request("b", rank=1, organisation="o2"), make_request("a", age=0.2))
        shown = [(w.rank, w.organisation, w.tokens) for w in self.queue.list_waiting(0.1)]
        self.assertEqual(shown, [(0, "o", 1000), (1, "o2", 1000)])
        self.assertAlmostEqual(next(self.queue.list_waiting(0.1)).age, 0.3)

    def test_long_queue_is_logged_once_until_it_is_empty(self) -> None:
        with patch("daleroad.promptqueue.log_event") as log:
            self.wait(*(make_request(f"w{number}") for number in range(40)))
            self.free(1_000_000)
        events = Counter(call.args[0].name for call in log.call_args_list)
        self.assertEqual(events, {"QUEUE_LONG": 1, "QUEUE_EMPTIED": 1})
