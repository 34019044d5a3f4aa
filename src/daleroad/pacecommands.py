"""Operator command that lists how fast engines generate."""

import json

from daleroad.commandcalls import ask_coordinator
from daleroad.notices import PacesAnswer


class PaceCommands:
    """How fast engines generate. Set DALEROAD_SECRET to the processes' secret."""

    def list(self, coordinator: str) -> None:
        """Print the pace of each engine as JSON lines, by service, the quickest first.

        Each coordinator knows what the gateways report that watch it; the leader hears all.

        Args:
            coordinator: IP:PORT of its internal API.
        """
        answer = ask_coordinator(coordinator, "paces", b"{}", PacesAnswer)
        for known in answer.paces:
            row = {
                "service": known.service,
                "engine": known.pace.instance,
                "event_ms": round(1000 * known.pace.event_seconds, 1),
                "slow_event_ms": round(1000 * known.pace.slow_event_seconds, 1),
                "samples": known.pace.samples,
                "gateways": known.gateways,
                "seconds_ago": known.age,
                "slow": known.slow,
            }
            print(json.dumps(row))
