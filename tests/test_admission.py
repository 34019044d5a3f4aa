"""Tests of admission control: peak memory, urgent reserve, fairness, deadlines and recovery."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.admission import (
    AdmissionController,
    Admitted,
    FixedLimitPolicy,
    PeakMemoryPolicy,
    Queued,
    Refused,
    UnlimitedPolicy,
    UpstreamReport,
    compute_peak_memory,
)
from daleroad.defaults import STARVATION_SECONDS
from daleroad.errors import FailureKind
from daleroad.lengths import OutputLengths
from daleroad.messages import Work


def make_work(
    name: str,
    urgent: bool = False,
    prompt: int = 100,
    partner: str = "p",
    organisation: str = "o",
    deadline: float = 1000.0,
) -> Work:
    return Work(name, organisation, partner, "r", "m", urgent, prompt, 1000, deadline)


def make_admission(capacity: int = 1000, slots: int = 16, length: int = 100) -> AdmissionController:
    lengths = OutputLengths()
    for _ in range(20):
        lengths.add("r", "m", length)
    return AdmissionController(capacity, slots, lengths, PeakMemoryPolicy())


class PeakMemoryTest(unittest.TestCase):
    def test_single_sequence_peaks_at_its_end(self) -> None:
        self.assertEqual(compute_peak_memory([(100, 50)]), 150)

    def test_short_sequence_frees_its_memory_before_the_long_one_peaks(self) -> None:
        self.assertEqual(compute_peak_memory([(100, 100), (100, 10)]), 220)

    @given(st.lists(st.tuples(st.integers(1, 50), st.integers(1, 30)), max_size=8))
    def test_peak_matches_a_step_by_step_simulation(self, sequences: list) -> None:
        steps = range(1, max((rest for _, rest in sequences), default=0) + 1)
        simulated = [sum(m + t for m, rest in sequences if t <= rest) for t in steps]
        self.assertEqual(
            compute_peak_memory([(float(m), float(r)) for m, r in sequences]),
            max(simulated, default=0),
        )


class AdmitTest(unittest.TestCase):
    def test_requests_are_admitted_until_the_expected_peak_fills_memory(self) -> None:
        admission = make_admission()
        kinds = [type(admission.ask(make_work(str(i)), 0.0)) for i in range(6)]
        self.assertEqual(kinds, [Admitted] * 4 + [Queued] * 2)

    def test_urgent_requests_are_admitted_to_the_reserve(self) -> None:
        admission = make_admission(capacity=1000)
        for i in range(5):
            admission.ask(make_work(str(i)), 0.0)
        self.assertIsInstance(admission.ask(make_work("u", urgent=True, prompt=10), 0.0), Admitted)

    def test_finished_request_makes_room_for_the_next_one(self) -> None:
        admission = make_admission()
        for i in range(5):
            admission.ask(make_work(str(i)), 0.0)
        self.assertEqual(admission.process_queues(1.0), [])
        admission.finish("0", 100)
        self.assertEqual([d.work.generation for d in admission.process_queues(1.0)], ["4"])

    def test_prompt_larger_than_memory_is_refused(self) -> None:
        decision = make_admission().ask(make_work("x", prompt=5000), 0.0)
        self.assertIs(decision.failure.kind, FailureKind.TOO_LARGE)

    def test_queued_request_past_its_deadline_is_refused_with_retry_after(self) -> None:
        admission = make_admission()
        for i in range(4):
            admission.ask(make_work(str(i)), 0.0)
        admission.ask(make_work("late", deadline=2.0), 0.0)
        self.assertEqual(admission.process_queues(1.9), [])
        (refused,) = admission.process_queues(2.0)
        self.assertIsInstance(refused, Refused)
        self.assertIs(refused.failure.kind, FailureKind.DEADLINE)
        self.assertGreater(refused.failure.retry_after, 0)

    def test_request_whose_expected_wait_exceeds_its_deadline_is_refused_at_once(self) -> None:
        admission = make_admission()
        for i in range(12):
            admission.ask(make_work(str(i)), 0.0)
        running = {str(i): 10 for i in range(4)}
        admission.report(UpstreamReport(440, 0, dict.fromkeys(running, 0)), 0.0)
        admission.report(UpstreamReport(440, 0, running), 1.0)
        decision = admission.ask(make_work("x", deadline=1.0), 1.0)
        self.assertIs(decision.failure.kind, FailureKind.OVERLOADED)
        self.assertGreater(decision.failure.retry_after, 0)

    def test_aged_request_goes_before_urgent_requests_beyond_the_reserve(self) -> None:
        admission = make_admission(capacity=2000)
        for i in range(9):
            admission.ask(make_work(str(i)), 0.0)
        admission.ask(make_work("long", prompt=900), 0.0)
        now = STARVATION_SECONDS + 1
        for i in range(5):
            admission.finish(str(i), 100)
        self.assertIsInstance(admission.ask(make_work("u", urgent=True, prompt=500), now), Admitted)
        admission = make_admission(capacity=2000)
        for i in range(9):
            admission.ask(make_work(str(i)), 0.0)
        admission.ask(make_work("long", prompt=900), 0.0)
        admission.ask(make_work("u", urgent=True, prompt=900), 0.0)
        for i in range(7):
            admission.finish(str(i), 100)
        granted = [d.work.generation for d in admission.process_queues(now)]
        self.assertEqual(granted[0], "long")

    def test_baseline_policies(self) -> None:
        for policy, count in ((UnlimitedPolicy(), 50), (FixedLimitPolicy(3), 3)):
            admission = AdmissionController(1000, 16, OutputLengths(), policy)
            kinds = [type(admission.ask(make_work(str(i)), 0.0)) for i in range(50)]
            self.assertEqual(kinds.count(Admitted), count)


class QuantileTest(unittest.TestCase):
    def test_preemptions_raise_the_quantile_and_finished_requests_lower_it(self) -> None:
        admission = make_admission()
        before = admission.quantile
        admission.report(UpstreamReport(0, 5, {}), 0.0)
        self.assertEqual(admission.quantile, before)
        admission.report(UpstreamReport(0, 8, {}), 1.0)
        raised = admission.quantile
        self.assertGreater(raised, before)
        for i in range(50):
            admission.ask(make_work(f"w{i}"), 1.0)
            admission.finish(f"w{i}", 100)
        self.assertLess(admission.quantile, raised)


class FairnessTest(unittest.TestCase):
    def test_flood_from_one_partner_does_not_get_another_refused(self) -> None:
        admission = AdmissionController(
            1000, 16, make_admission().lengths, PeakMemoryPolicy(), max_queued=20
        )
        admission.set_shares({"p": 0.5, "q": 0.5})
        for i in range(100):
            admission.ask(make_work(f"p{i}"), 0.0)
        self.assertIsInstance(admission.ask(make_work("p-more"), 0.0), Refused)
        self.assertIsInstance(admission.ask(make_work("q", partner="q"), 0.0), Queued)
        admission.finish("p0", 100)
        self.assertEqual([d.work.generation for d in admission.process_queues(1.0)], ["q"])


class ReconciliationTest(unittest.TestCase):
    def test_reported_requests_of_a_former_steward_occupy_memory(self) -> None:
        admission = make_admission()
        admission.report(UpstreamReport(900, 0, {"g1": 100, "g2": 100}), 0.0)
        self.assertEqual(len(admission), 2)
        self.assertIsInstance(admission.ask(make_work("x"), 0.0), Queued)

    def test_stale_report_does_not_restore_a_finished_request(self) -> None:
        admission = make_admission()
        admission.ask(make_work("x"), 0.0)
        admission.finish("x", 10)
        admission.report(UpstreamReport(110, 0, {"x": 9}), 0.5)
        self.assertEqual(len(admission), 0)

    def test_request_missing_from_later_reports_is_dropped(self) -> None:
        admission = make_admission()
        admission.ask(make_work("x"), 0.0)
        admission.report(UpstreamReport(110, 0, {}), 0.5)
        self.assertEqual(len(admission), 1)
        admission.report(UpstreamReport(110, 0, {"x": 5}), 1.0)
        admission.report(UpstreamReport(0, 0, {}), 1.5)
        self.assertEqual(len(admission), 0)

    def test_only_urgent_requests_within_the_reserve_are_admitted_while_rebuilding(self) -> None:
        admission = make_admission(capacity=10_000, slots=40)
        admission.rebuilding = True
        self.assertIsInstance(admission.ask(make_work("long"), 0.0), Queued)
        kinds = [
            type(admission.ask(make_work(f"u{i}", urgent=True), 0.0, may_wait=False))
            for i in range(10)
        ]
        self.assertEqual(kinds, [Admitted] * 4 + [Refused] * 6)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 12)), max_size=80))
    def test_no_request_leaks_under_any_order_of_events(self, events: list) -> None:
        admission = make_admission(capacity=1000)
        unfinished: set[str] = set()
        for step, (action, number) in enumerate(events):
            name = f"{number}"
            if action < 2 and name not in unfinished:
                work = make_work(name, urgent=action == 1, partner=f"p{number % 2}")
                if not isinstance(admission.ask(work, float(step)), Refused):
                    unfinished.add(name)
            elif action == 2:
                admission.finish(name, 50)
                unfinished.discard(name)
            elif action == 3:
                admission.withdraw(name)
            admission.process_queues(float(step))
            self.assertLessEqual(admission.count_queued() + len(admission), 13)
            self.assertGreaterEqual(admission.get_load(), 0.0)
        for name in unfinished:
            admission.finish(name, 1)
        self.assertEqual((len(admission), admission.count_queued()), (0, 0))
