"""Tests of delivery: tokens of one generation, each once and in order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.delivery import Delivery, Frame, Verdict, parse_frames, split_events
from daleroad.engine import make_end, make_frame


class DeliveryTest(unittest.TestCase):
    def test_each_index_is_delivered_once(self) -> None:
        delivery = Delivery("g")
        verdicts = [delivery.judge(Frame("g", i, b"")) for i in (0, 0, 1, 0, 1, 2)]
        delivered = [v for v in verdicts if v is Verdict.DELIVER]
        self.assertEqual((len(delivered), delivery.next_index), (3, 3))

    def test_frames_of_other_generations_are_dropped(self) -> None:
        delivery = Delivery("g", 4)
        self.assertIs(delivery.judge(Frame("h", 4, b"")), Verdict.DROP)
        self.assertEqual(delivery.next_index, 4)

    def test_skipped_index_is_a_gap(self) -> None:
        delivery = Delivery("g")
        self.assertIs(delivery.judge(Frame("g", 1, b"")), Verdict.GAP)
        self.assertEqual(delivery.next_index, 0)

    def test_end_frame_with_missing_tokens_is_a_gap(self) -> None:
        delivery = Delivery("g", 2)
        self.assertIs(delivery.judge(Frame("g", 3, b"", end=True)), Verdict.GAP)
        self.assertIs(delivery.judge(Frame("g", 2, b"", end=True)), Verdict.END)

    @given(st.lists(st.tuples(st.sampled_from("gh"), st.integers(0, 8)), max_size=60))
    def test_frames_in_any_order_are_delivered_without_gaps(self, frames: list) -> None:
        delivery = Delivery("g")
        delivered = [i for g, i in frames if delivery.judge(Frame(g, i, b"")) is Verdict.DELIVER]
        self.assertEqual(delivered, list(range(len(delivered))))


class FrameParsingTest(unittest.TestCase):
    @given(st.integers(1, 40), st.integers(0, 12))
    def test_frames_do_not_depend_on_chunk_size(self, size: int, count: int) -> None:
        raw = b"".join(make_frame("u.g", i, f"t{i} ") for i in range(count))
        raw += b": keepalive\n\n" + make_end("u.g", count)
        buffer = bytearray()
        frames = []
        for start in range(0, len(raw), size):
            chunk = raw[start : start + size]
            frames.extend(parse_frames(split_events(buffer, chunk)))
        self.assertEqual([f.index for f in frames if f.generation], [*range(count), count])
        self.assertTrue(frames[-1].end)
        self.assertEqual(bytes(buffer), b"")
