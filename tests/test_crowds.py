"""Tests that no crowd of clients ends a process, or keeps it from ordinary callers."""

import resource
import tempfile
import unittest
from pathlib import Path

import anyio
import httpx

from daleroad.logs import LINES_BURST, LINES_SECOND
from tests.crowds import (
    CROWDS,
    DESCRIPTORS,
    GONE_SECONDS,
    MEMORY_MB,
    RETURNING,
    CrowdSite,
    Listener,
    Sockets,
    Usage,
    ask,
    count_descriptors,
    format_address,
    gather,
    return_again,
    watch_process,
)
from tests.harness import SiteTest
from tools.soakupstreams import Upstream

TRIES = 5
"""Connections that an ordinary caller tries; callers come again after a failure."""

SPARE_DESCRIPTORS = Upstream.slots + 10
"""Descriptors beyond those before a crowd that may be open after it: idle connections to the
upstream, and a few more."""

OWN_CONNECTIONS = 10
"""Connections that the site's own processes, its upstream and this test may have to a process."""

OWN_BYTES = 10_000
"""What each of these may hold; their requests are small."""

RETURNING_SECONDS = 15.0
BACK_SECONDS = 60.0
"""Time in which the memory of a crowd comes back."""

KEPT_BYTES = 10_000_000
"""What a process may keep of it: caches and partly used pages."""

UNLIMITED_BYTES = 128_000_000
"""What clients may add to a process whose settings state no memory limit."""


async def ask_again(listener: Listener) -> int | None:
    """Return the status that an ordinary caller gets, who comes again after a failure."""
    status = None
    for _ in range(TRIES):
        status = await ask(listener)
        if status == listener.status:
            break
        await anyio.sleep(0.5)
    return status


class CrowdCase(unittest.TestCase):
    """A site of real processes with small limits."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="daleroad-crowd-")
        self.addCleanup(folder.cleanup)
        self.site = CrowdSite(Path(folder.name))
        self.addCleanup(self.site.end_all)

    def play(self, name: str, *crowds: str) -> None:
        """Let crowds meet a listener at once, and check its process."""

        async def main() -> None:
            self.site.start_all()
            async with self.site.serve():
                await self._play(self.site.list_listeners()[name], crowds)

        anyio.run(main)

    async def _play(self, listener: Listener, crowds: tuple[str, ...]) -> None:
        process = self.site.running[listener.process]
        before = count_descriptors(process.pid)
        begun = anyio.current_time()
        async with self.site.watch(listener.process) as usage:
            async with gather([CROWDS[name] for name in crowds], listener):
                during = await ask_again(listener)
            await anyio.sleep(GONE_SECONDS)
            after = await ask_again(listener)
        self.assertEqual(self.site.describe_ended(), "")
        self.assertEqual((during, after), (listener.status, listener.status))
        self.assertLessEqual(usage.memory, MEMORY_MB * 1_000_000)
        self.assertLessEqual(usage.descriptors, DESCRIPTORS)
        self.assertLessEqual(count_descriptors(process.pid), before + SPARE_DESCRIPTORS)
        self.assertEqual(await self.read_gauge("gateway", "daleroad_open_requests"), 0)
        own = await self.read_gauge(listener.process, "daleroad_client_connections")
        self.assertLessEqual(own, OWN_CONNECTIONS)
        held = await self.read_gauge(listener.process, "daleroad_client_bytes")
        self.assertLessEqual(held, OWN_CONNECTIONS * OWN_BYTES)
        allowed = LINES_BURST + LINES_SECOND * (anyio.current_time() - begun + 1)
        for source, count in self.site.count_lines(listener.process).items():
            self.assertLessEqual(count, allowed, source)

    async def read_gauge(self, process: str, name: str) -> float:
        """Return the value of a metric of a process."""
        address = self.site.list_listeners()[f"{process}-metrics"].address
        async with httpx.AsyncClient(timeout=10.0, trust_env=False) as client:
            text = (await client.get(f"http://{address}/metrics")).text
        lines = (line for line in text.splitlines() if line.startswith(f"{name} "))
        return float(next(lines).split()[1])


class ClientListenerTest(CrowdCase):
    """Each crowd by itself at the listener for clients."""

    def test_requests_ahead(self) -> None:
        self.play("clients", "requests-ahead")

    def test_large_answers(self) -> None:
        self.play("clients", "large-answers")

    def test_silent(self) -> None:
        self.play("clients", "silent")

    def test_half_heads(self) -> None:
        self.play("clients", "half-heads")

    def test_short_fields(self) -> None:
        self.play("clients", "short-fields")

    def test_half_bodies(self) -> None:
        self.play("clients", "half-bodies")

    def test_http2(self) -> None:
        self.play("clients", "http2")

    def test_http2_upgrades(self) -> None:
        self.play("clients", "http2-upgrades")

    def test_websockets(self) -> None:
        self.play("clients", "websockets")

    def test_all_at_once(self) -> None:
        self.play("clients", *CROWDS)


class ReturningClientsTest(CrowdCase):
    """Clients that come again whenever they are cut."""

    def test_memory_of_connections_that_were_cut_comes_back(self) -> None:
        """Guards against connections that stay in memory, as their parts refer to each other."""

        async def main() -> None:
            self.site.start_all()
            async with self.site.serve():
                await self._play_returning(self.site.list_listeners()["clients"])

        anyio.run(main)

    async def _play_returning(self, listener: Listener) -> None:
        before = await self._read_memory()
        async with self.site.watch(listener.process) as usage:
            await return_again(RETURNING, listener, RETURNING_SECONDS)
        self.assertEqual(await ask_again(listener), listener.status)
        self.assertEqual(self.site.describe_ended(), "")
        self.assertLessEqual(usage.memory, MEMORY_MB * 1_000_000)
        with anyio.move_on_after(BACK_SECONDS):
            while await self._read_memory() > before + KEPT_BYTES:
                await anyio.sleep(1.0)
        self.assertLessEqual(await self._read_memory(), before + KEPT_BYTES)

    async def _read_memory(self) -> int:
        usage = Usage()
        usage.note(self.site.running["gateway"].pid, Sockets())
        return usage.memory


class OtherListenersTest(CrowdCase):
    """All crowds at once at each of the other listeners, which clients reach too."""

    def test_readiness(self) -> None:
        self.play("readiness", *CROWDS)

    def test_gateway_metrics(self) -> None:
        self.play("gateway-metrics", *CROWDS)

    def test_tunnels(self) -> None:
        self.play("tunnels", *CROWDS)

    def test_control(self) -> None:
        self.play("control", *CROWDS)

    def test_directory(self) -> None:
        self.play("directory", *CROWDS)

    def test_internal(self) -> None:
        self.play("internal", *CROWDS)

    def test_coordinator_metrics(self) -> None:
        self.play("coordinator-metrics", *CROWDS)


class OwnProcessesTest(SiteTest):
    """All crowds at once at the processes of the product's own path."""

    ENTRIES = 1

    def setUp(self) -> None:
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
        try:
            super().setUp()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    def test_entry(self) -> None:
        self.play(self.site.entries[0].name, self.site.entries[0].address, "/v1/completions")

    def test_control(self) -> None:
        self.play(self.site.control[0].name, self.site.control[0].address, "/follow")

    def play(self, name: str, address: str, post: str) -> None:
        """Let the crowds meet a process, and check it."""
        listener = Listener(name, address, "/status", post)
        process = self.processes.running[name]
        usage = anyio.run(self._play, listener)
        self.assertIsNone(process.poll(), self.processes.describe_ended())
        self.assertLessEqual(usage.memory, UNLIMITED_BYTES)
        self.assertLessEqual(usage.descriptors, DESCRIPTORS)

    async def _play(self, listener: Listener) -> Usage:
        process = self.processes.running[listener.process]
        before = Usage()
        before.note(process.pid, Sockets())
        sockets = Sockets(frozenset([format_address(listener.address)]))
        async with watch_process(process, sockets) as usage:
            async with gather(list(CROWDS.values()), listener):
                self.assertEqual(await ask_again(listener), 200)
            await anyio.sleep(GONE_SECONDS)
            self.assertEqual(await ask_again(listener), 200)
        left = count_descriptors(process.pid) - before.descriptors
        self.assertLessEqual(left, SPARE_DESCRIPTORS)
        return Usage(usage.memory - before.memory, usage.descriptors)


if __name__ == "__main__":
    unittest.main()
