"""Case 7: a route whose host differs in the case of letters takes over another route's requests."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rig2 import (  # noqa: E402
    LIMITS,
    SIGNATURE,
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
    wait_served,
    wants_other,
)

APPLY_SECONDS = 2.0
"""``config_apply_ms``."""

HOST = "site.example"
OTHER_HOST = "Site.Example"
DIFFERENT_HOST = "site2.example"
REQUESTS = 30


async def play(site: Site, record: Record) -> list[str]:
    """Add a route to another service, and ask for both routes."""
    ran: dict[str, str] = {}

    async def answer(server: Server, channel: Channel, request: Request) -> None:
        if wants_other(server, request):
            await channel.send(make_answer("421 Misdirected Request", {}))
            return
        ran[request.id] = server.service
        record.note(f"{server.id} of {server.service} runs {request.id}")
        headers = {
            "X-Daleroad-Attempt-Id": request.id,
            "X-Daleroad-Engine-Signature": SIGNATURE,
        }
        await channel.send(make_answer("200 OK", headers, server.service.encode()))

    servers = []
    for number, name in enumerate(("meteo-api", "ledger-api")):
        servers.append(Server(site, record, f"i-{number}", name, "hall-a", 6, answer))
        await servers[-1].start(site.ip(number))
    services = [
        {"name": server.service, "health_path": "/healthz", "max_conns": 130, "protocol": "h1"}
        for server in servers
    ]
    first = make_route("fetch", "/fetch/", "non_idempotent", "meteo-api", host=HOST)
    config = {"version": 1, "routes": [first], "services": services, "limits": LIMITS}
    await operate(site, "PUT", "/-/config", config)
    for number in range(site.machines):
        await wait_served(site, number, "/fetch/x", "warm")

    added_host = DIFFERENT_HOST if is_calm() else OTHER_HOST
    second = make_route("post", "/fetch/", "non_idempotent", "ledger-api", host=added_host)
    record.note(f"operator adds a route of {added_host} to ledger-api as version 2")
    saved = await operate(site, "PUT", "/-/config", config | {"version": 2, "routes": [first, second]})
    record.note(f"operator got {saved.status if saved else 'no answer'} for version 2")
    if saved is not None and 400 <= saved.status < 500:
        # Refused as invalid, as two routes that share the host and the prefix must be.
        return []
    await asyncio.sleep(APPLY_SECONDS + 1.0)
    wrong: Counter[str] = Counter()
    for host, wanted in ((HOST, "meteo-api"), (added_host, "ledger-api")):
        for number in range(REQUESTS):
            request_id = f"{host}-{number}"
            headers = make_ask_headers(request_id, 1.5) | {"Host": host}
            place = site.gateway(number % site.machines)
            record.note(f"client sends {request_id} to gateway {number % site.machines}")
            found = await ask(place, "POST", "/fetch/x", headers, b"{}", seconds=1.5)
            record.note(f"client got {found.status if found else 'no answer'} for {request_id}")
            if ran.get(request_id, wanted) != wanted:
                wrong[f"requests of {host} ran at {ran[request_id]}, not at {wanted}"] += 1
    for server in servers:
        await server.stop()
    return [
        f"ROUTE: {count} of {REQUESTS} {text}, under a version that got 200"
        for text, count in wrong.items()
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play))
