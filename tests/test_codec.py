"""Tests of the codec."""

import unittest
from dataclasses import dataclass

from daleroad.catalog import Change, Put
from daleroad.codec import decode, encode
from daleroad.errors import Failure
from daleroad.logtypes import (
    AppendRequest,
    EntryKind,
    LogEntry,
    Member,
)
from daleroad.raftnode import decode_messages, encode_messages
from daleroad.records import Share


@dataclass(frozen=True)
class Shape:
    text: str
    number: int
    share: float = 0.0
    flag: bool = False


class CodecTest(unittest.TestCase):
    def test_accepts_exact_types_only(self) -> None:
        self.assertEqual(
            decode(Shape, '{"text": "a", "number": 1, "share": 2}'), Shape("a", 1, 2.0)
        )
        for body in (
            '{"text": 1, "number": 1}',
            '{"text": "a", "number": "1"}',
            '{"text": "a", "number": true}',
            '{"text": "a", "number": 1, "flag": 1}',
            '{"text": "a", "number": 1, "more": 1}',
            '{"text": "a"}',
            "[]",
            "{",
        ):
            self.assertIsInstance(decode(Shape, body), Failure, body)

    def test_unions_and_enumerations_keep_their_types(self) -> None:
        change = Put(Share("s", "p", 0.5))
        self.assertEqual(decode(Change, encode(change, Change)), change)
        entry = LogEntry(1, 1, EntryKind.EMPTY, "", (Member("a", "x"),))
        messages = [AppendRequest(1, "a", 0, 0, (entry,), 0, 1.5)]
        found = decode_messages(encode_messages(messages))
        self.assertEqual(found, messages)
        self.assertIs(found[0].entries[0].kind, EntryKind.EMPTY)
