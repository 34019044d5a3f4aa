"""Tests of the events between the server's protocol and an application."""

import unittest
from typing import Any

import anyio

from daleroad.http1protocol import BODY_AHEAD_BYTES, RequestEvents

SECONDS = 0.2
MANY = 5_000_000


class RequestEventsTest(unittest.TestCase):
    def test_deadline_ends_reading_a_body_that_keeps_coming(self) -> None:
        events = RequestEvents()
        taken = 0

        async def send_all() -> None:
            for _ in range(MANY):
                await events.put({"type": "http.request", "body": b"x", "more_body": True})
            events.close()

        async def main() -> bool:
            nonlocal taken
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all)
                with anyio.move_on_after(SECONDS) as scope:
                    while (await events.get())["type"] != "http.disconnect":
                        taken += 1
                tasks.cancel_scope.cancel()
            return scope.cancelled_caught

        self.assertTrue(anyio.run(main), taken)
        self.assertLess(taken, MANY)

    def test_body_is_joined_in_order_and_a_disconnect_follows_its_end(self) -> None:
        events = RequestEvents()
        found: list[dict[str, Any]] = []

        async def main() -> None:
            for number in range(5):
                body = b"%d" % number
                await events.put({"type": "http.request", "body": body, "more_body": number < 4})
            self.assertTrue(events.is_complete)
            await events.put({"type": "http.disconnect"})
            found.extend([await events.get() for _ in range(3)])

        anyio.run(main)
        whole = {"type": "http.request", "body": b"01234", "more_body": False}
        self.assertEqual(found, [whole] + 2 * [{"type": "http.disconnect"}])

    def test_disconnect_inside_a_body_is_no_end_of_it(self) -> None:
        events = RequestEvents()

        async def main() -> list[dict[str, Any]]:
            await events.put({"type": "http.request", "body": b"part", "more_body": True})
            await events.put({"type": "http.disconnect"})
            return [await events.get() for _ in range(2)]

        part, end = anyio.run(main)
        self.assertEqual((part["body"], part["more_body"]), (b"part", True))
        self.assertEqual(end, {"type": "http.disconnect"})

    def test_what_waits_is_bounded(self) -> None:
        events = RequestEvents()

        async def main() -> None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(send_all)
                await anyio.sleep(0.1)
                self.assertLessEqual(events.waiting_bytes, 2 * BODY_AHEAD_BYTES)
                taken = 0
                while (event := await events.get())["type"] != "http.disconnect":
                    taken += len(event["body"])
                self.assertEqual(taken, 10 * BODY_AHEAD_BYTES)

        async def send_all() -> None:
            for number in range(10):
                body = bytes(BODY_AHEAD_BYTES)
                await events.put({"type": "http.request", "body": body, "more_body": number < 9})
            events.close()

        anyio.run(main)

    def test_events_for_an_application_that_has_ended_are_dropped(self) -> None:
        events = RequestEvents()

        async def main() -> None:
            with anyio.fail_after(5):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send_all)
                    await anyio.sleep(0.05)
                    events.close()

        async def send_all() -> None:
            for _ in range(5):
                body = bytes(BODY_AHEAD_BYTES)
                await events.put({"type": "http.request", "body": body, "more_body": True})

        anyio.run(main)
        self.assertEqual(events.waiting_bytes, BODY_AHEAD_BYTES)


if __name__ == "__main__":
    unittest.main()
