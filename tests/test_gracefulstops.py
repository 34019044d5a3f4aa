"""Tests, through the processes, of requests that come while a gateway stops."""

import signal
import tempfile
import unittest
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import anyio
import httpx
from anyio.abc import TaskGroup

from tests.crowds import PATIENCE_SECONDS, AnsweringUpstream, CrowdSite, ask
from tools.soakstutter import StutteringStream

GRACE_SECONDS = 8.0
WARM_SECONDS = 7.0
"""Time in which requests come before the signal."""

NEW_CONNECTIONS_PER_SECOND = 10
KEPT_CONNECTIONS = 25
KEPT_PAUSE_SECONDS = 0.3
DEADLINE_SECONDS = 12.0
OBJECTIVE_SECONDS = 0.2
BODY_SECONDS = 0.6
"""Time that the bodies of some requests take to arrive."""

SPARE_SECONDS = 0.8
"""From the end of the last answer that is sure to fit to the end of the grace: part of it is kept
for the server's own end, and processes on a busy machine are late."""

OK, BROKEN_OFF, NOT_RUN, TOO_LATE = 200, 502, 503, 504


@dataclass
class Sent:
    """A request as its client saw it; times are the event loop's.

    :ivar body_seconds: how long its body takes to arrive.
    :ivar status: the answer's status; 0 without an answer.
    :ivar error: why it has none.
    """

    id: str
    at: float
    body_seconds: float = 0.0
    status: int = 0
    error: str = ""


class SlowUpstream(AnsweringUpstream):
    """An upstream whose answers take the time that a test says."""

    slots = 2000

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self.find_seconds: Callable[[], float] = lambda: 0.0
        self.took: dict[str, float] = {}

    async def _run(self, stream: StutteringStream, request: str, head: dict[str, str]) -> None:
        self.took[request] = seconds = self.find_seconds()
        await anyio.sleep(seconds)
        await super()._run(stream, request, head)


@dataclass
class StoppingSite(CrowdSite):
    """Two gateways, one of which is stopped while clients go on with it."""

    kind: str = "non_idempotent"
    grace_seconds: float = GRACE_SECONDS
    slow: SlowUpstream = field(init=False)
    sent: list[Sent] = field(default_factory=list)
    numbers: Any = field(default_factory=count)

    def __post_init__(self) -> None:
        super().__post_init__()
        control = self.list_listeners()["control"].address
        self.upstream = self.slow = SlowUpstream(
            0, self.ledger, Random(0), [control], self.network, linked=False
        )

    def make_route(self) -> dict[str, object]:
        """Return the route of the requests."""
        return super().make_route() | {
            "route_kind": self.kind,
            "target_latency_ms": 1000 * OBJECTIVE_SECONDS,
        }

    async def send(self, client: httpx.AsyncClient, body_seconds: float = 0.0) -> None:
        """Send a request and note its answer."""
        sent = Sent(f"q{next(self.numbers)}", anyio.current_time(), body_seconds)
        self.sent.append(sent)
        headers = {
            "host": "h",
            "x-daleroad-attempt-id": sent.id,
            "x-daleroad-deadline-ms": str(int(1000 * DEADLINE_SECONDS)),
        }

        async def make_body() -> Any:
            yield b"first"
            await anyio.sleep(body_seconds)
            yield b"last"

        url = f"http://{self.list_listeners()['clients'].address}/again/x"
        content = make_body() if body_seconds else b""
        try:
            sent.status = (await client.post(url, headers=headers, content=content)).status_code
        except (httpx.ConnectError, httpx.ConnectTimeout):
            # The gateway has gone.
            self.sent.remove(sent)
        except httpx.HTTPError as error:
            sent.error = repr(error)

    async def keep_sending(self) -> None:
        """Send requests one after the other, each on the connection of the one before."""
        async with make_client() as client:
            while self.running["gateway"].poll() is None:
                await self.send(client)
                await anyio.sleep(KEPT_PAUSE_SECONDS)

    async def send_on_new_connection(self, body_seconds: float) -> None:
        """Send a request on a connection of its own."""
        async with make_client() as client:
            await self.send(client, body_seconds)

    async def send_until_stopped(self) -> None:
        """Let clients come until the first gateway has gone."""
        async with anyio.create_task_group() as tasks:
            for _ in range(KEPT_CONNECTIONS):
                tasks.start_soon(self.keep_sending)
            await self._open_connections(tasks)

    async def _open_connections(self, tasks: TaskGroup) -> None:
        for number in count():
            if self.running["gateway"].poll() is not None:
                return
            tasks.start_soon(self.send_on_new_connection, BODY_SECONDS * (number % 3 == 0))
            await anyio.sleep(1 / NEW_CONNECTIONS_PER_SECOND)

    async def wait_for_other_gateway(self) -> None:
        """Wait until the second gateway serves, and the first knows it."""
        ip = f"{self.network}.0.2"
        listener = self.list_listeners()["clients"]
        other = type(listener)("gateway-2", f"{ip}:18740", listener.path, listener.post)
        with anyio.fail_after(PATIENCE_SECONDS):
            while await ask(other) != OK:
                await anyio.sleep(0.1)
            metrics = f"http://{self.list_listeners()['gateway-metrics'].address}/metrics"
            async with httpx.AsyncClient(trust_env=False) as client:
                while "daleroad_gateways 2" not in (await client.get(metrics)).text:
                    await anyio.sleep(0.1)


def make_client() -> httpx.AsyncClient:
    """Return a client with one connection."""
    limits = httpx.Limits(max_connections=1)
    return httpx.AsyncClient(trust_env=False, timeout=3 * DEADLINE_SECONDS, limits=limits)


class GracefulStopTest(unittest.TestCase):
    """A gateway stops while requests that may not be repeated come to it."""

    def stop(self, kind: str, draw_seconds: Callable[[float], float]) -> None:
        """Stop a gateway.

        :param draw_seconds: returns how long an answer takes, by the seconds since the signal.
        """
        folder = tempfile.TemporaryDirectory(prefix="daleroad-stop-")
        self.addCleanup(folder.cleanup)
        self.site = StoppingSite(Path(folder.name), kind=kind)
        self.addCleanup(self.site.end_all)
        self.signalled_at = float("inf")

        def find_seconds() -> float:
            return draw_seconds(anyio.current_time() - self.signalled_at)

        async def main() -> None:
            site = self.site
            site.start_all()
            site.start_other_gateway()
            async with site.serve():
                await site.wait_for_other_gateway()
                site.slow.find_seconds = find_seconds
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(site.send_until_stopped)
                    await anyio.sleep(WARM_SECONDS)
                    site.running["gateway"].send_signal(signal.SIGTERM)
                    self.signalled_at = anyio.current_time()
                    with anyio.fail_after(GRACE_SECONDS + 1.0), suppress(ProcessLookupError):
                        while site.running["gateway"].poll() is None:
                            await anyio.sleep(0.01)
                    self.seconds = anyio.current_time() - self.signalled_at

        anyio.run(main)
        self.late = [sent for sent in self.site.sent if sent.at > self.signalled_at]

    def describe(self) -> str:
        """Return what became of the requests that came after the signal."""
        ran = [sent for sent in self.late if sent.id in self.site.slow.took]
        found = {
            "came": len(self.late),
            "ran": len(ran),
            "broken off": sum(sent.status == BROKEN_OFF for sent in self.late),
            "unanswered": sum(sent.status == 0 for sent in self.late),
            "refused": sum(sent.status == NOT_RUN for sent in self.late),
            "unanswered at": [
                (round(sent.at - self.signalled_at, 3), sent.error)
                for sent in self.late
                if sent.status == 0
            ],
            "exit": round(self.seconds, 2),
        }
        return f"{found}"

    def check_answers(self) -> None:
        """Check that each request is answered, and that no refused one ran."""
        self.assertGreater(len(self.late), 0)
        for sent in self.site.sent:
            self.assertIn(sent.status, (0, OK, BROKEN_OFF, NOT_RUN, TOO_LATE), sent)
            if sent.status == TOO_LATE:
                self.assertLess(sent.at, self.signalled_at)
            if sent.status in (0, NOT_RUN):
                self.assertNotIn(sent.id, self.site.slow.took)
            if sent.status == 0:
                # Its body was still arriving, and its client reads nothing until it is sent.
                self.assertGreater(self.find_end(sent, 0.0), 0.0, sent)

    def count_broken_off(self) -> int:
        return sum(sent.status == BROKEN_OFF for sent in self.late)

    def count_refused_in_vain(self, seconds: float) -> int:
        """Return how many requests were refused that had time for an answer of some seconds."""
        return sum(
            sent.status == NOT_RUN and self.find_end(sent, seconds) < 0.0 for sent in self.late
        )

    def find_end(self, sent: Sent, seconds: float) -> float:
        """Return when an answer would have come, from the last moment that is sure to fit."""
        last = self.signalled_at + GRACE_SECONDS - SPARE_SECONDS
        return sent.at + sent.body_seconds + seconds - last

    def test_answers_that_take_long_fit_or_are_refused(self) -> None:
        """Guards against requests that run half and are broken off, as their service is slow."""
        for kind in ("non_idempotent", "idempotent"):
            with self.subTest(kind):
                self.stop(kind, lambda _: 4.0)
                self.check_answers()
                self.assertEqual(self.count_broken_off(), 0, self.describe())
                self.assertEqual(self.count_refused_in_vain(4.0), 0, self.describe())

    def test_quick_answers_are_served_to_the_end(self) -> None:
        self.stop("non_idempotent", lambda _: 0.05)
        self.check_answers()
        self.assertEqual(self.count_broken_off(), 0, self.describe())
        self.assertEqual(self.count_refused_in_vain(0.05), 0, self.describe())

    def test_answers_of_all_lengths_fit_or_are_refused(self) -> None:
        """Guards against requests that run half, as their service is slow at times."""
        random = Random(5)
        self.stop("non_idempotent", lambda _: random.uniform(0.05, 5.0))
        self.check_answers()
        self.assertLessEqual(self.count_broken_off(), 1, self.describe())
        self.assertEqual(self.count_refused_in_vain(5.0), 0, self.describe())

    def test_answers_that_become_slow_after_the_signal_fit_or_are_refused(self) -> None:
        """Guards against requests that run half, as their service became slow in the grace."""
        self.stop("non_idempotent", lambda since: 5.0 if since > 0 else 0.05)
        self.check_answers()
        self.assertEqual(self.count_broken_off(), 0, self.describe())

    def test_few_answers_that_hang_let_others_be_served(self) -> None:
        """Guards against refusals of all that come, as one upstream hangs."""
        numbers = count()
        self.stop("non_idempotent", lambda _: 20.0 if next(numbers) % 100 == 0 else 0.05)
        self.check_answers()
        self.assertEqual(self.count_refused_in_vain(0.05), 0, self.describe())


if __name__ == "__main__":
    unittest.main()
