"""Tests of bodies that are compressed between our own processes."""

import unittest
from collections.abc import Mapping
from typing import Any

import anyio

from daleroad.codec import encode
from daleroad.compression import WORTH_BYTES, pack, unpack
from daleroad.errors import Failure, FailureKind
from daleroad.serving import Request, Response, Router

LONG = encode({f"name-{number}": 1.25 for number in range(400)})


class PackTest(unittest.TestCase):
    def test_a_long_body_shrinks_and_comes_back_whole(self) -> None:
        packed = pack(LONG)
        assert packed is not None
        self.assertLess(len(packed), len(LONG) / 2)
        self.assertEqual(unpack(packed, len(LONG)), LONG)

    def test_what_would_not_shrink_is_sent_as_it_is(self) -> None:
        self.assertIsNone(pack(b"x" * (WORTH_BYTES - 1)))

    def test_bad_bodies_are_refused(self) -> None:
        packed = pack(LONG)
        assert packed is not None
        for name, body, limit, kind in (
            ("not compressed", LONG, 10_000, FailureKind.BAD_REQUEST),
            ("cut", packed[:-20], 10_000, FailureKind.BAD_REQUEST),
            ("too large", packed, len(LONG) - 1, FailureKind.TOO_LARGE),
        ):
            with self.subTest(name):
                found = unpack(body, limit)
                assert isinstance(found, Failure)
                self.assertIs(found.kind, kind)


class RouterTest(unittest.TestCase):
    def ask(
        self, body: bytes, headers: Mapping[str, str], compress: bool = True
    ) -> tuple[dict[str, Any], bytes]:
        async def echo(request: Request) -> Response:
            return Response(200, request.body)

        sent: list[dict[str, Any]] = []

        async def main() -> None:
            router = Router(len(LONG), compress)
            router.add("POST", "/echo", echo)
            raw = [(k.encode(), v.encode()) for k, v in headers.items()]
            scope = {"type": "http", "method": "POST", "path": "/echo", "headers": raw}

            async def receive() -> dict[str, Any]:
                if asked:
                    await anyio.sleep_forever()
                asked.append(True)
                return {"type": "http.request", "body": body}

            async def send(event: dict[str, Any]) -> None:
                sent.append(event)

            asked: list[bool] = []
            await router(scope, receive, send)

        anyio.run(main)
        return sent[0], b"".join(event.get("body", b"") for event in sent[1:])

    def test_a_compressed_request_is_read_and_its_answer_compressed_where_wanted(self) -> None:
        packed = pack(LONG)
        assert packed is not None
        headers = {"content-encoding": "deflate", "accept-encoding": "gzip, deflate"}
        start, body = self.ask(packed, headers)
        self.assertEqual(start["status"], 200)
        self.assertIn((b"content-encoding", b"deflate"), start["headers"])
        self.assertEqual(unpack(body, len(LONG)), LONG)

    def test_a_caller_that_does_not_ask_gets_a_plain_answer(self) -> None:
        start, body = self.ask(LONG, {})
        self.assertEqual((start["status"], body), (200, LONG))

    def test_a_body_larger_than_allowed_is_refused_also_when_compressed(self) -> None:
        packed = pack(LONG + LONG)
        assert packed is not None
        start, _ = self.ask(packed, {"content-encoding": "deflate"})
        self.assertEqual(start["status"], 413)

    def test_where_bodies_pass_through_they_stay_as_they_are(self) -> None:
        packed = pack(LONG)
        assert packed is not None
        headers = {"content-encoding": "deflate", "accept-encoding": "deflate"}
        start, body = self.ask(packed, headers, compress=False)
        self.assertEqual((start["status"], body), (200, packed))
