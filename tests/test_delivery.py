"""Tests of delivery: tokens of one generation, each once and in order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from daleroad.delivery import Frame, FrameAction, TokenSequence, parse_frames, split_events
from daleroad.engine import make_end, make_frame


class DeliveryTest(unittest.TestCase):
    def test_each_index_is_delivered_once(self) -> None:
        delivery = TokenSequence("g")
        verdicts = [delivery.accept(Frame("g", i, b"")) for i in (0, 0, 1, 0, 1, 2)]
        delivered = [v for v in verdicts if v is FrameAction.DELIVER]
        self.assertEqual((len(delivered), delivery.next_index), (3, 3))

    def test_frames_of_other_generations_are_dropped(self) -> None:
        delivery = TokenSequence("g", 4)
        self.assertIs(delivery.accept(Frame("h", 4, b"")), FrameAction.DROP)
        self.assertEqual(delivery.next_index, 4)

    def test_skipped_index_is_a_gap(self) -> None:
        delivery = TokenSequence("g")
        self.assertIs(delivery.accept(Frame("g", 1, b"")), FrameAction.GAP)
        self.assertEqual(delivery.next_index, 0)

    def test_end_frame_with_missing_tokens_is_a_gap(self) -> None:
        delivery = TokenSequence("g", 2)
        self.assertIs(delivery.accept(Frame("g", 3, b"", end=True)), FrameAction.GAP)
        self.assertIs(delivery.accept(Frame("g", 2, b"", end=True)), FrameAction.END)

    @given(st.lists(st.tuples(st.sampled_from("gh"), st.integers(0, 8)), max_size=60))
    def test_frames_in_any_order_are_delivered_without_gaps(self, frames: list) -> None:
        delivery = TokenSequence("g")
        delivered = [
            i for g, i in frames if delivery.accept(Frame(g, i, b"")) is FrameAction.DELIVER
        ]
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
