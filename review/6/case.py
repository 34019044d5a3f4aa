"""Case 6: when the last tenant is taken away, every key is let in, and requests without one."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import (  # noqa: E402
    LIMITS,
    SIGNATURE,
    CannotRunError,
    Channel,
    Record,
    Request,
    Server,
    Site,
    ask,
    is_calm,
    make_answer,
    make_ask_headers,
    make_route,
    operate,
    run_case,
    wants_other,
)

APPLY_SECONDS = 2.0
"""``config_apply_ms``."""

HELD_KEY = "xd9dnn2ctnfzs989anu6"
OTHER_KEY = "wsjnbanfqasnmgkcuyj8"
NEVER_HELD_KEY = "zzzz0000zzzz0000zzzz"
REQUESTS = 10
UNAUTHENTICATED = 401


async def play(site: Site, record: Record) -> list[str]:
    """Take a key away with its tenant, and ask with it, with a key of nobody and without one."""
    ran: dict[str, str] = {}

    async def answer(server: Server, channel: Channel, request: Request) -> None:
        if wants_other(server, request):
            await channel.send(make_answer("421 Misdirected Request", {}))
            return
        ran[request.id] = request.headers.get("x-daleroad-tenant", "no tenant")
        record.note(f"{server.id} runs {request.id} for {ran[request.id]}")
        headers = {
            "X-Daleroad-Attempt-Id": request.id,
            "X-Daleroad-Engine-Signature": SIGNATURE,
        }
        await channel.send(make_answer("200 OK", headers, request.id.encode()))

    servers = []
    for number, zone in enumerate(("hall-a", "hall-b")):
        servers.append(Server(site, record, f"i-{number}", "meteo-api", zone, 6, answer))
        await servers[-1].start(site.ip(number))
    routes = [make_route("fetch", "/fetch/", "non_idempotent", "meteo-api", public=False)]
    service = {"name": "meteo-api", "health_path": "/healthz", "max_conns": 130, "protocol": "h1"}
    config = {"routes": routes, "services": [service], "limits": LIMITS}
    tenant = {"name": "huka270", "api_keys": [HELD_KEY], "priority": 1}

    async def save(version: int, tenants: list[dict]) -> None:
        record.note(f"operator sends version {version} with tenants {tenants}")
        body = config | {"version": version, "tenants": tenants}
        found = await operate(site, "PUT", "/-/config", body)
        if found is None or found.status != 200:
            raise CannotRunError(f"version {version} was answered with {found and found.status}")
        record.note(f"operator got 200 for version {version}")

    async def fetch(request_id: str, number: int, key: str) -> int:
        headers = make_ask_headers(request_id, 1.5)
        headers |= {"Authorization": f"Bearer {key}"} if key else {}
        place = site.gateway(number % site.machines)
        record.note(f"client sends {request_id} to gateway {number % site.machines}")
        found = await ask(place, "POST", "/fetch/x", headers, b"{}", seconds=1.5)
        record.note(f"client got {found.status if found else 'no answer'} for {request_id}")
        return found.status if found else 0

    await save(1, [tenant])
    for number in range(site.machines):
        for attempt in range(100):
            if await fetch(f"warm{number}-{attempt}", number, HELD_KEY) == 200:
                break
            await asyncio.sleep(0.1)
    before = [await fetch(f"before-{n}", n, NEVER_HELD_KEY) for n in range(REQUESTS)]
    # Without the disruption the tenant stays, with another key.
    await save(2, [tenant | {"api_keys": [OTHER_KEY]}] if is_calm() else [])
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    answered: dict[str, int] = {}
    for number in range(REQUESTS):
        for kind, key in (("dropped", HELD_KEY), ("never-held", NEVER_HELD_KEY), ("without", "")):
            request_id = f"{kind}-{number}"
            answered[request_id] = await fetch(request_id, number, key)
    for server in servers:
        await server.stop()
    if set(before) != {UNAUTHENTICATED}:
        raise CannotRunError(f"a key that no version held got {before} under version 1")
    return list(list_broken(ran))


def list_broken(ran: dict[str, str]):
    """Yield what breaks ROUTE or CONFIG."""
    kinds = {
        "never-held": "ROUTE: {} requests ran whose key no desired state ever held",
        "dropped": "CONFIG: {} requests ran with a key that was dropped over 2 s before",
        "without": "ROUTE: {} requests ran without a key on a route that isn't public",
    }
    for kind, text in kinds.items():
        found = [request_id for request_id in ran if request_id.startswith(kind)]
        if found:
            yield text.format(len(found)) + f", such as {found[0]} for {ran[found[0]]}"


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
