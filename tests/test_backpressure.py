"""Tests of what an upstream says of itself in its answers, whatever becomes of the request."""

import unittest
from collections.abc import Callable

import anyio

from daleroad.backpressure import Backpressure
from daleroad.dispatch import Attempt
from daleroad.errors import Failure
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.ratelimits import LIFT_SECONDS, RateLimit
from tests.fakes import make_instance, make_job
from tests.test_platform import SIGNED, EngineClient, Upstream, answer, wire

LIMITED = "Server-Limit: 2.5"
ECHO = ("X-Daleroad-Attempt-Id: id1", SIGNED[1])
NOT_RUN = "X-Daleroad-Not-Executed: 1"


class DecodeTest(unittest.TestCase):
    def decode(self, status: int, **headers: str) -> Backpressure | Failure:
        pairs = {name.replace("_", "-").encode(): v.encode() for name, v in headers.items()}
        return wire.decode_backpressure(status, pairs)

    def test_each_word_is_read(self) -> None:
        self.assertEqual(self.decode(200), Backpressure())
        self.assertEqual(self.decode(200, server_limit="2.4"), Backpressure(limit=2.4))
        self.assertEqual(self.decode(500, server_limit="0"), Backpressure(limit=0.0))
        self.assertEqual(self.decode(200, server_leaving="1"), Backpressure(leaving=True))
        self.assertEqual(self.decode(200, server_leaving="0"), Backpressure())
        self.assertEqual(self.decode(503, retry_after="3"), Backpressure(rest=3.0))
        self.assertEqual(self.decode(200, **{"x-daleroad-cold-ms": "1500"}), Backpressure(cold=1.5))

    def test_only_one_that_turns_away_asks_for_rest(self) -> None:
        for status in (200, 429, 500):
            self.assertEqual(self.decode(status, retry_after="3"), Backpressure())

    def test_a_rest_ends(self) -> None:
        told = self.decode(503, retry_after="1e15")
        assert isinstance(told, Backpressure)
        self.assertEqual(told.rest, 3600.0)

    def test_what_is_no_number_of_requests_is_refused(self) -> None:
        for text in ("", "many", "-1", "nan", "inf", "1e300"):
            self.assertIsInstance(self.decode(200, server_limit=text), Failure)
            self.assertIsInstance(self.decode(503, retry_after=text), Failure)


class AnswerTest(unittest.TestCase):
    """The client of upstreams passes on what any answer says of its upstream."""

    def ask(self, *answers: bytes, call: Callable | None = None) -> list[Backpressure]:
        async def main() -> list[Backpressure]:
            found: list[Backpressure] = []
            upstream = Upstream(*answers)
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, upstream.handle)
                client = EngineClient()
                client.on_backpressure = lambda instance, told: found.append(told)
                address = f"127.0.0.1:{port}"
                instance = Instance("i-1", "s", address, "z", 4, InstanceState.READY, 1)
                job = make_job(anyio.current_time())
                if call is not None:
                    await call(client, job, instance)
                else:
                    await client.send(Attempt(job, instance, "", 1.5))
                await client.close()
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(main)

    def test_answers_that_ran_failed_or_turned_away_are_heard(self) -> None:
        limited = [Backpressure(limit=2.5)]
        self.assertEqual(self.ask(answer("200 OK", *ECHO, LIMITED)), limited)
        self.assertEqual(self.ask(answer("500 Failed", *ECHO, LIMITED)), limited)
        self.assertEqual(self.ask(answer("503 Full", *ECHO, NOT_RUN, LIMITED)), limited)
        self.assertEqual(self.ask(answer("200 OK", LIMITED)), limited)
        rest = answer("503 Full", *ECHO, NOT_RUN, "Retry-After: 3")
        self.assertEqual(self.ask(rest), [Backpressure(rest=3.0)])

    def test_the_head_of_a_stream_is_heard(self) -> None:
        head = (*ECHO, "Content-Type: text/event-stream", LIMITED, "Server-Leaving: 1")
        self.assertEqual(self.ask(answer("200 OK", *head)), [Backpressure(2.5, leaving=True)])

    def test_answers_to_orders_and_reports_are_heard(self) -> None:
        async def report(client: EngineClient, job: object, instance: Instance) -> None:
            await client.report(instance)

        told = self.ask(answer("200 OK", LIMITED, body=b"{}"), call=report)
        self.assertEqual(told, [Backpressure(limit=2.5)])

    def test_another_one_at_its_address_says_nothing_of_it(self) -> None:
        self.assertEqual(self.ask(answer("421 Other", LIMITED, "Server-Leaving: 1")), [])


class LimitNewsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 10.0)

    def test_the_newest_word_counts_and_a_change_is_news(self) -> None:
        known = self.fleet.revision
        self.assertFalse(self.fleet.note_limit("i1", RateLimit(None), 10.0))
        self.assertEqual(self.fleet.revision, known)
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(2.0), 11.0))
        self.assertFalse(self.fleet.note_limit("i1", RateLimit(None, age=3.0), 12.0))
        self.assertEqual(self.fleet.get_rate_limit("i1"), 2.0)
        (told,) = self.fleet.list_changed(12.0, known)
        self.assertEqual(told.limit, RateLimit(2.0, 1.0))
        self.assertFalse(self.fleet.note_limit("i1", RateLimit(None), 11.0 + LIFT_SECONDS - 0.01))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(None), 13.0))
        self.assertIsNone(self.fleet.get_rate_limit("i1"))

    def test_one_that_says_it_in_some_answers_only_keeps_its_limit_and_is_no_news(self) -> None:
        self.fleet.note_limit("i1", RateLimit(2.0), 11.0)
        known = self.fleet.revision
        for step in range(100):
            rate = 2.1 if step % 2 else None
            self.assertFalse(self.fleet.note_limit("i1", RateLimit(rate), 11.0 + step / 10))
        self.assertEqual((self.fleet.get_rate_limit("i1"), self.fleet.revision), (2.0, known))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(2.3), 30.0))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(0.0), 31.0))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(0.1), 32.0))

    def test_others_hear_it_with_the_instance_whatever_its_heartbeats_number(self) -> None:
        other = Fleet()
        other.note(Sighting(make_instance(1), 0.0), 10.0)
        self.fleet.note_limit("i1", RateLimit(2.0), 11.0)
        other.note_all(self.fleet.list_changed(11.0, 0), 11.0)
        self.assertEqual(other.get_rate_limit("i1"), 2.0)
        other.note(Sighting(make_instance(1), 0.0), 12.0)
        self.assertEqual(other.get_rate_limit("i1"), 2.0)

    def test_of_an_unknown_instance_nothing_is_kept(self) -> None:
        self.assertFalse(self.fleet.note_limit("other", RateLimit(2.0), 11.0))
        self.assertIsNone(self.fleet.get_rate_limit("other"))
        self.assertIsNone(self.fleet.tell_limit("other", 11.0))


if __name__ == "__main__":
    unittest.main()
