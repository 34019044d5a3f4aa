"""An order that waited at a frozen coordinator undoes a later, acknowledged evacuation."""

import asyncio
import json
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from site_standins import (  # noqa: E402
    SAENGDAO_BOUNDS,
    CannotRunError,
    Deployment,
    Operator,
    Record,
    Server,
    exchange,
    run_case,
)

FREEZE_SECONDS = 3.5
"""The largest dose of node_freeze for machines drawn from all on this site; its share is 0.11."""

OBSERVED_SECONDS = 5.0

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "rate-look",
            "host": "saengdao.example",
            "path_prefix": "/rate/",
            "route_kind": "idempotent",
            "timeout_ms": 1531,
            "target_latency_ms": 306,
            "priority": 2,
            "service": "booking-app",
            "max_attempts": 2,
            "public": True,
            "sticky": False,
            "resumable": False,
        }
    ],
    "services": [
        {
            "name": "booking-app",
            "health_path": "/healthz",
            "max_conns": 470,
            "protocol": "h1",
            "tls": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 4194304,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "tenants": [],
}


async def ask(deployment: Deployment, record: Record) -> None:
    """Ask all gateways in turn, some 40 requests a second."""
    number = 0
    async with asyncio.TaskGroup() as tasks:
        while True:
            gateway = deployment.list_gateways()[number % len(deployment.list_gateways())]
            number += 1
            tasks.create_task(ask_once(deployment, record, gateway, f"{number:016x}"))
            await asyncio.sleep(0.025)


async def ask_once(deployment: Deployment, record: Record, gateway: str, request: str) -> None:
    """Send one request and record its answer."""
    headers = {
        "Host": "saengdao.example",
        "X-Daleroad-Attempt-Id": request,
        "X-Daleroad-Deadline-Ms": "1531",
    }
    record.note("consumer", f"sends {request} to {gateway}")
    address = f"{gateway}:{deployment.frontend}"
    found = await exchange(address, "GET", "/rate/x", headers, b"", 1.6)
    record.note("consumer", f"{request}: {found[0] if found else 'nothing'}")


async def play(record: Record, trouble: bool) -> list[str]:
    """Play the case; return the requests that reached the evacuated zone."""
    deployment = Deployment(record, SAENGDAO_BOUNDS, machines_per_zone=3)
    zone = deployment.zones[0]
    servers = [Server(deployment, n, "booking-app", z) for n, z in enumerate(deployment.zones)]
    operator = Operator(deployment)
    # The second machine of the last zone, one of nine: it serves control, but has no disk, so it
    # isn't of the core.
    frozen = next(m["ip"] for m in reversed(deployment.machines) if m["place"] == 1)
    other = deployment.machines[0]["ip"]
    deployment.start_all()
    tasks: list[asyncio.Task] = []
    try:
        for server in servers:
            await server.start()
            tasks.append(asyncio.create_task(server.beat()))
        await operator.order("PUT", "/-/config", other, json.dumps(CONFIG).encode(), 40.0)
        await asyncio.sleep(4.0)
        tasks.append(asyncio.create_task(ask(deployment, record)))
        await asyncio.sleep(6.0)
        if not all(server.arrivals for server in servers):
            raise CannotRunError("some server got no request before the evacuation")

        await operator.order("POST", f"/-/evacuations/{zone}", other)
        await asyncio.sleep(SAENGDAO_BOUNDS["evacuation_ms"] / 1000 + 1.0)

        thawed = record.now()
        if trouble:
            for role in ("gateway", "coordinator"):
                thawed = deployment.send_signal(role, frozen, signal.SIGSTOP) + FREEZE_SECONDS
        # The zone is taken back, and soon evacuated again. Each order is acknowledged before the
        # next one is sent.
        _, taken_back = await operator.order("DELETE", f"/-/evacuations/{zone}", frozen)
        await asyncio.sleep(0.5)
        ordered, evacuated = await operator.order("POST", f"/-/evacuations/{zone}", other)
        if not (200 <= taken_back < 300 and 200 <= evacuated < 300):
            raise CannotRunError(f"orders refused: {taken_back}, {evacuated}")
        if trouble:
            if record.now() > thawed:
                raise CannotRunError("the orders took longer than the freeze")
            await asyncio.sleep(thawed - record.now())
            for role in ("gateway", "coordinator"):
                deployment.send_signal(role, frozen, signal.SIGCONT)

        # All excuses of the rule together: the bound, its stretch for an unstable core, and the
        # time until the machine that was frozen is in touch again.
        bound = (SAENGDAO_BOUNDS["evacuation_ms"] + SAENGDAO_BOUNDS["partition_slack_ms"]) / 1000
        since = max(ordered + bound, thawed + SAENGDAO_BOUNDS["contact_ms"] / 1000)
        await asyncio.sleep(max(0.0, since + OBSERVED_SECONDS - record.now()))
        late = [
            f"EVAC: {request} reached {server.id} in {zone} {at - ordered:.2f} s after the "
            f"acknowledgement of its evacuation, which was not taken back"
            for server in servers
            if server.zone == zone
            for at, request in server.arrivals
            if at > since
        ]
        served = [at for s in servers if s.zone != zone for at, _ in s.arrivals if at > since]
        if not served:
            raise CannotRunError("nothing was served at the end")
        return late
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in servers:
            server.stop()
        deployment.end_all()


if __name__ == "__main__":
    sys.exit(run_case(HERE, play))
