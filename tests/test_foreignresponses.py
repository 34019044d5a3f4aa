"""Tests of bytes from an upstream that belong to no request, or to another one."""

import unittest
from collections import Counter

from daleroad.dispatch import Reply, Whole
from tests import test_platform
from tests.test_platform import Upstream, answer

SIGNATURE = "X-Daleroad-Engine-Signature: s"
KEEP_ALIVE = "Keep-Alive: timeout=10"
TYPE = "Content-Type: application/octet-stream"


def make_response(request: str, status: str, body: bytes) -> bytes:
    return answer(
        status, SIGNATURE, TYPE, f"X-Daleroad-Attempt-Id: {request}", KEEP_ALIVE, body=body
    )


FIRST = make_response("abc", "200 OK", b"the first body")
SECOND = make_response("def", "200 OK", b"the second body")
FAILURE = make_response("def", "500 Internal Server Error", b"what went wrong")


class ClientTest(unittest.TestCase):
    exchange = test_platform.EngineClientTest.send_requests

    def exchange_two(self, *responses: bytes) -> tuple[Reply, Reply]:
        """Return the replies to the requests abc and def."""
        self.upstream = Upstream(*responses)
        first, second = self.exchange(self.upstream, 2, ids=("abc", "def"))
        return first, second


class MergedHeadTest(ClientTest):
    def test_a_copy_cut_in_its_head_does_not_give_its_status_to_the_next_response(self) -> None:
        found: Counter[int] = Counter()
        for cut in range(1, FIRST.index(b"\r\n\r\n")):
            copy = FIRST[:cut]
            for responses in ((FIRST + copy, FAILURE), (FIRST, copy + FAILURE)):
                first, second = self.exchange_two(*responses)
                assert isinstance(first, Whole), first
                self.assertEqual((first.status, first.body), (200, b"the first body"))
                if isinstance(second, Whole):
                    found[second.status] += 1
        self.assertLessEqual(set(found), {500}, found)
