"""Case 7: wrong bytes in one answer of an engine end a gateway with all its streams."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from engines2 import Engine  # noqa: E402
from rig2 import (  # noqa: E402
    LIMITS,
    Record,
    Site,
    ask,
    is_calm,
    make_ask_headers,
    make_route,
    operate,
    run_case,
)

SERVICE = "narrator"
ROUNDS = 6
ENDS_BORNE = 2
"""The rule names machines on which processes end by themselves three times."""

MACHINES_BORNE = 1
GATEWAYS = (0, 1)
STREAMS = 4
LONG_TOKENS = 1400
ANSWERS_PER_FAULT = 50
"""At most one answer in so many of a faulty engine is spoilt: 2 in 100."""

NOTICE_SECONDS = 2.0
ROUND_SECONDS = 5.0
RESTART_SECONDS = 0.5


class Watch:
    """The platform's watch: restarts gateways that end, and counts the ends."""

    def __init__(self, site: Site, record: Record) -> None:
        self._site = site
        self._record = record
        self.ends: Counter[int] = Counter()
        self.reasons: list[str] = []

    async def run(self) -> None:
        """Watch until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            for number in range(self._site.machines):
                code = self._site.get_exit_code("gateway", number)
                if code is None:
                    continue
                self.ends[number] += 1
                words = self._site.read_log("gateway", number).strip().splitlines()
                reason = next((word for word in reversed(words) if "Error:" in word), "unknown")
                self.reasons.append(reason.strip(" |"))
                self._record.note(f"gateway {number} ended by itself with {code}: {reason}")
                await asyncio.sleep(RESTART_SECONDS)
                self._site.start("gateway", number)


async def play(site: Site, record: Record) -> list[str]:
    """Let engines leave one after the other; each spoils one answer to each gateway."""
    engines: dict[str, Engine] = {}
    fleet = [Engine(engines) for _ in range(ROUNDS + 2)]
    for number, engine in enumerate(fleet):
        host = site.ip(number % site.machines)
        await engine.start(site, record, f"i-{number}", "hall-a", host, SERVICE)
    stream = {"sticky": True, "target_itl_ms": 180}
    bulletin = stream | {"priority": 1, "target_latency_ms": 1800, "timeout_ms": 39000}
    flag = stream | {"priority": 0, "target_latency_ms": 1500, "timeout_ms": 6000}
    routes = [
        make_route("bulletin", "/long/", "streaming", SERVICE, **bulletin),
        make_route("frost-flag", "/brief/", "streaming", SERVICE, **flag),
    ]
    rule = {"slots": 24, "kv_capacity_tokens": 34322, "kv_token_bytes": 327680}
    rule |= {"link_mbps": 47000.0, "moves": True, "backups": True, "stride": 4, "handle_s": 5.0}
    service = {"name": SERVICE, "health_path": "/healthz", "max_conns": 252, "protocol": "h1"}
    config = {"version": 1, "routes": routes, "limits": LIMITS}
    config["services"] = [service | {"tls": False, "engine": rule | {"models": [{"name": "m"}]}}]
    await operate(site, "PUT", "/-/config", config)
    watch = Watch(site, record)
    watching = asyncio.create_task(watch.run())
    answers: list[tuple[str, int, bool]] = []

    async def generate(request_id: str, number: int, path: str, tokens: int) -> bool:
        headers = make_ask_headers(request_id, 39.0)
        headers |= {"X-Daleroad-Model": "m", "X-Daleroad-Token-Usage": f"1200,{tokens}"}
        headers["X-Daleroad-Prefix-Hash"] = f"5c1e07a2:800,{request_id.encode().hex()}:400"
        answer = await ask(site.gateway(number), "POST", path, headers, b"{}", 39.0)
        complete = answer is not None and answer.complete
        answers.append((request_id, answer.status if answer else 0, complete))
        if path == "/long/x":
            record.note(f"client got {answers[-1][1]} for {request_id}, complete {complete}")
        return complete

    for number in GATEWAYS:
        for attempt in range(60):
            if await generate(f"warm-{number}-{attempt}", number, "/brief/x", 8):
                break
            await asyncio.sleep(0.2)
    tasks = []
    for turn in range(ROUNDS):
        if all(watch.ends[number] > ENDS_BORNE for number in GATEWAYS):
            break
        leaving = fleet[turn]
        for group in range(100):
            if leaving.answers >= ANSWERS_PER_FAULT * len(GATEWAYS):
                break
            waiting = (generate(f"brief-{turn}-{group}-{n}", n % 2, "/brief/x", 8) for n in range(24))
            await asyncio.gather(*waiting)
        # The streams must be at the engine that leaves, so more are sent than it needs.
        for number in range(STREAMS * 4):
            gateway = GATEWAYS[number % len(GATEWAYS)]
            name = f"gateway{gateway}-{turn}-{number}"
            record.note(f"client sends {name} to gateway {gateway}")
            tasks.append(asyncio.create_task(generate(name, gateway, "/long/x", LONG_TOKENS)))
            await asyncio.sleep(0.03)
        await asyncio.sleep(1.0)
        record.note(f"i-{turn} has sent {leaving.answers} answers and runs {sorted(leaving.runs)}")
        if not is_calm():
            due = [number for number in GATEWAYS if watch.ends[number] <= ENDS_BORNE]
            leaving.spoils_for = {f"gateway{number}" for number in due}
        leave = asyncio.create_task(leaving.leave(NOTICE_SECONDS))
        await asyncio.sleep(ROUND_SECONDS)
        await leave
    await asyncio.gather(*tasks)
    watching.cancel()
    for engine in fleet:
        await engine.server.stop()
    spoilt = sum(len(engine.spoilt) for engine in fleet)
    whole = sum(complete for request_id, _, complete in answers if request_id[:7] == "gateway")
    print(f"{whole} of {len(tasks)} streams whole, {spoilt} answers spoilt, ends {dict(watch.ends)}")
    hurt = [number for number, ends in watch.ends.items() if ends > ENDS_BORNE]
    if len(hurt) <= MACHINES_BORNE:
        return []
    return [
        f"Fault: on {len(hurt)} of {site.machines} machines the gateway ended by itself "
        f"{dict(watch.ends)} times: {sorted(set(watch.reasons))}"
    ]


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).resolve().parent, play, machines=3))
