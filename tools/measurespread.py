"""Measures how soon all gateways hold a part on which upstreams end that run fifty others.

    python tools/measurespread.py [GATEWAYS...]

Coordinators and gateways run in this one process and talk over loopback, so the time at many
gateways is mostly that of one core doing the work of all.
"""

import logging
import sys
from collections.abc import Iterator
from dataclasses import replace
from functools import partial
from pathlib import Path
from statistics import median

import anyio

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from daleroad.blame import JOINT_CRASH_SECONDS, MIN_CRASHES_HELD  # noqa: E402
from daleroad.codec import encode  # noqa: E402
from daleroad.dispatch import Attempt, ClientRequest  # noqa: E402
from daleroad.onsets import Progress  # noqa: E402
from daleroad.suspicions import Suspicion# noqa: E402
from tests.fakes import make_instance, make_job  # noqa: E402
from tests.test_coordinator import Site, make_document, run_site  # noqa: E402
from tests.test_heldrequests import WatchedSite, all_hold  # noqa: E402

ROUNDS = 10
RUNS_BESIDE, PARTS_EACH = 8, 6
"""Other requests on an upstream that crashes, each at a gateway of its own, and their parts."""

LIMIT_SECONDS = 60.0
TURN_SECONDS = 0.002


async def wait_until(holds: partial[bool]) -> None:
    """Wait until something holds."""
    with anyio.fail_after(LIMIT_SECONDS):
        while not holds():
            await anyio.sleep(TURN_SECONDS)


def make_beside(job: ClientRequest, number: int, crash: int) -> Iterator[ClientRequest]:
    """Yield the requests that an upstream runs as it crashes: one with the part, others beside.

    Together they have fifty parts.
    """
    yield replace(job, body=f"{number} {crash}".encode())
    for run in range(RUNS_BESIDE):
        name = f"{number} {crash} {run}"
        parts = (*(f"{name} {part}" for part in range(PARTS_EACH)), "last")
        yield replace(job, body=name.encode(), parts=parts)


async def measure(count: int, site: Site, names: list[str]) -> None:
    """Print how long all of some gateways take."""
    await site.get(names[0]).log.save(make_document(1))
    sites = WatchedSite(site)
    gateways = sites.add(count)
    await wait_until(partial(lambda: all(g.get_version() for g in gateways)))
    taken: list[float] = []
    for number in range(ROUNDS):
        await anyio.sleep(1.0)
        began = anyio.current_time()
        job = replace(make_job(began), parts=("first", f"part {number}", "last"))
        for crash in range(MIN_CRASHES_HELD):
            await anyio.sleep(JOINT_CRASH_SECONDS)
            began = anyio.current_time()
            instance = make_instance(100 * number + crash)
            for seen_by, unlike in enumerate(make_beside(job, number, crash)):
                caller = f"org{seen_by}" if seen_by else ""
                attempt = Attempt(unlike, instance, caller, 1.0)
                gateway = gateways[(crash + seen_by) % count]
                gateway.guard.evidence.record_lost(attempt, Progress.BEGUN)
        await wait_until(partial(all_hold, gateways, job))
        taken.append(anyio.current_time() - began)
    ends = tuple(f"i-{number:010x}@1768712629029" for number in range(MIN_CRASHES_HELD))
    told = Suspicion("f" * 32, "organisation", "host.example/path/x", ends)
    told = replace(told, part="service/model/part", begun=ends, callers=("organisation",))
    size = len(encode(replace(told, ages=(1.25, 0.51, 0.0))))
    print(
        f"{count} gateways: all hold it after {median(taken):.3f} s in the median, "
        f"{max(taken):.3f} s at most of {ROUNDS}; {size} bytes a gateway before compression",
        flush=True,
    )


def main() -> None:
    """Measure with the numbers of gateways that the command line names."""
    logging.disable(logging.CRITICAL)
    for count in [int(word) for word in sys.argv[1:]] or [12, 70, 200]:
        run_site(partial(measure, count))


if __name__ == "__main__":
    main()
