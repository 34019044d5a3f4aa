"""Tests of the backpressure that upstreams report in answers, and of the limits known from it."""

import unittest
from collections.abc import Callable

import anyio

from daleroad.backpressure import MAX_BRITTLE_BACKOFF_SECONDS, Backpressure
from daleroad.dispatch import Attempt
from daleroad.errors import Failure
from daleroad.fleet import Fleet
from daleroad.instances import Instance, InstanceState, Sighting
from daleroad.ratelimits import MIN_LIFT_DELAY_SECONDS, RateLimit
from tests.fakes import make_instance, make_job
from tests.test_platform import SIGNED, EngineClient, Upstream, answer, wire

LIMIT_HEADER = "Server-Limit: 2.5"
ATTEMPT_HEADERS = ("X-Daleroad-Attempt-Id: id1", SIGNED[1])
NOT_RUN_HEADER = "X-Daleroad-Not-Executed: 1"


class DecodeTest(unittest.TestCase):
    def decode(self, status: int, **headers: str) -> Backpressure | Failure:
        pairs = {name.replace("_", "-").encode(): v.encode() for name, v in headers.items()}
        return wire.decode_backpressure(status, pairs)

    def test_each_header_is_decoded(self) -> None:
        self.assertEqual(self.decode(200), Backpressure())
        self.assertEqual(
            self.decode(200, server_limit="2.4"), Backpressure(max_requests_per_second=2.4)
        )
        self.assertEqual(
            self.decode(500, server_limit="0"), Backpressure(max_requests_per_second=0.0)
        )
        self.assertEqual(self.decode(200, server_leaving="1"), Backpressure(leaving=True))
        self.assertEqual(self.decode(200, server_leaving="0"), Backpressure())
        self.assertEqual(self.decode(503, retry_after="3"), Backpressure(backoff_seconds=3.0))
        self.assertEqual(
            self.decode(200, **{"x-daleroad-cold-ms": "1500"}), Backpressure(cold_seconds=1.5)
        )

    def test_retry_after_counts_only_with_status_503(self) -> None:
        for status in (200, 429, 500):
            self.assertEqual(self.decode(status, retry_after="3"), Backpressure())

    def test_backoff_is_bounded(self) -> None:
        decoded = self.decode(503, retry_after="1e15")
        assert isinstance(decoded, Backpressure)
        self.assertEqual(decoded.backoff_seconds, 3600.0)

    def test_brittle_upstream_counts_its_rejections_for_want_of_room(self) -> None:
        headers = {b"server-brittle": b"4", b"x-daleroad-not-executed": b"1"}
        found = [wire.decode_backpressure(status, headers) for status in (503, 429)]
        self.assertEqual(found[0], Backpressure(max_rejections_per_second=4.0, rejected=True))
        self.assertEqual(found[1], Backpressure(max_rejections_per_second=4.0))

    def test_backoff_from_brittle_upstream_grows_with_the_gateways(self) -> None:
        rejected = Backpressure(max_rejections_per_second=4.0, rejected=True)
        self.assertEqual(rejected.find_backoff_seconds(2), 1.0)
        self.assertEqual(rejected.find_backoff_seconds(12), 6.0)
        self.assertEqual(rejected.find_backoff_seconds(350), MAX_BRITTLE_BACKOFF_SECONDS)
        self.assertEqual(Backpressure(max_rejections_per_second=4.0).find_backoff_seconds(12), 0.0)
        none = Backpressure(max_rejections_per_second=0.0, rejected=True)
        self.assertEqual(none.find_backoff_seconds(1), MAX_BRITTLE_BACKOFF_SECONDS)

    def test_invalid_numbers_are_refused(self) -> None:
        for text in ("", "many", "-1", "nan", "inf", "1e300"):
            self.assertIsInstance(self.decode(200, server_limit=text), Failure)
            self.assertIsInstance(self.decode(503, retry_after=text), Failure)


class AnswerTest(unittest.TestCase):
    """The upstream client passes on the backpressure in any answer of the upstream."""

    def request(self, *answers: bytes, call: Callable | None = None) -> list[Backpressure]:
        async def main() -> list[Backpressure]:
            received: list[Backpressure] = []
            upstream = Upstream(*answers)
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, upstream.handle)
                client = EngineClient()
                client.on_backpressure = lambda instance, reported: received.append(reported)
                address = f"127.0.0.1:{port}"
                instance = Instance("i-1", "s", address, "z", 4, InstanceState.READY, 1)
                job = make_job(anyio.current_time())
                if call is not None:
                    await call(client, job, instance)
                else:
                    await client.send(Attempt(job, instance, "", 1.5))
                await client.close()
                tasks.cancel_scope.cancel()
            return received

        return anyio.run(main)

    def test_answers_of_any_status_are_read(self) -> None:
        limited = [Backpressure(max_requests_per_second=2.5)]
        self.assertEqual(self.request(answer("200 OK", *ATTEMPT_HEADERS, LIMIT_HEADER)), limited)
        self.assertEqual(
            self.request(answer("500 Failed", *ATTEMPT_HEADERS, LIMIT_HEADER)), limited
        )
        self.assertEqual(
            self.request(answer("503 Full", *ATTEMPT_HEADERS, NOT_RUN_HEADER, LIMIT_HEADER)),
            limited,
        )
        self.assertEqual(self.request(answer("200 OK", LIMIT_HEADER)), limited)
        rejection = answer("503 Full", *ATTEMPT_HEADERS, NOT_RUN_HEADER, "Retry-After: 3")
        self.assertEqual(self.request(rejection), [Backpressure(backoff_seconds=3.0)])

    def test_stream_head_is_read(self) -> None:
        head = (
            *ATTEMPT_HEADERS,
            "Content-Type: text/event-stream",
            LIMIT_HEADER,
            "Server-Leaving: 1",
        )
        self.assertEqual(self.request(answer("200 OK", *head)), [Backpressure(2.5, leaving=True)])

    def test_answer_to_report_is_read(self) -> None:
        async def report(client: EngineClient, job: object, instance: Instance) -> None:
            await client.report(instance)

        received = self.request(answer("200 OK", LIMIT_HEADER, body=b"{}"), call=report)
        self.assertEqual(received, [Backpressure(max_requests_per_second=2.5)])

    def test_answer_of_another_upstream_at_the_address_is_ignored(self) -> None:
        self.assertEqual(self.request(answer("421 Other", LIMIT_HEADER, "Server-Leaving: 1")), [])


class FleetLimitTest(unittest.TestCase):
    def setUp(self) -> None:
        self.fleet = Fleet()
        self.fleet.note(Sighting(make_instance(1), 0.0), 10.0)

    def test_newest_report_counts_and_change_raises_revision(self) -> None:
        revision = self.fleet.revision
        self.assertFalse(self.fleet.note_limit("i1", RateLimit(None), 10.0))
        self.assertEqual(self.fleet.revision, revision)
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(2.0), 11.0))
        self.assertFalse(self.fleet.note_limit("i1", RateLimit(None, age=3.0), 12.0))
        self.assertEqual(self.fleet.get_rate_limit("i1"), 2.0)
        (sighting,) = self.fleet.list_changed(12.0, revision)
        self.assertEqual(sighting.limit, RateLimit(2.0, 1.0))
        self.assertFalse(
            self.fleet.note_limit("i1", RateLimit(None), 11.0 + MIN_LIFT_DELAY_SECONDS - 0.01)
        )
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(None), 13.0))
        self.assertIsNone(self.fleet.get_rate_limit("i1"))

    def test_reports_in_some_answers_only_keep_limit_and_revision(self) -> None:
        self.fleet.note_limit("i1", RateLimit(2.0), 11.0)
        revision = self.fleet.revision
        for step in range(100):
            rate = 2.1 if step % 2 else None
            self.assertFalse(self.fleet.note_limit("i1", RateLimit(rate), 11.0 + step / 10))
        self.assertEqual((self.fleet.get_rate_limit("i1"), self.fleet.revision), (2.0, revision))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(2.3), 30.0))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(0.0), 31.0))
        self.assertTrue(self.fleet.note_limit("i1", RateLimit(0.1), 32.0))

    def test_limit_spreads_with_instance_of_equal_sequence(self) -> None:
        other = Fleet()
        other.note(Sighting(make_instance(1), 0.0), 10.0)
        self.fleet.note_limit("i1", RateLimit(2.0), 11.0)
        other.note_all(self.fleet.list_changed(11.0, 0), 11.0)
        self.assertEqual(other.get_rate_limit("i1"), 2.0)
        other.note(Sighting(make_instance(1), 0.0), 12.0)
        self.assertEqual(other.get_rate_limit("i1"), 2.0)

    def test_limit_of_unknown_instance_is_ignored(self) -> None:
        self.assertFalse(self.fleet.note_limit("other", RateLimit(2.0), 11.0))
        self.assertIsNone(self.fleet.get_rate_limit("other"))
        self.assertIsNone(self.fleet.make_limit_report("other", 11.0))


if __name__ == "__main__":
    unittest.main()
