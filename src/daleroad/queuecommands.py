"""Operator commands on the prompts that wait for room: list them, and compare ways to wait."""

import json
from dataclasses import replace

from daleroad.commandcalls import ask_coordinator
from daleroad.notices import QueueAnswer
from daleroad.queuemodel import CASES, format_cases


class QueueCommands:
    """Prompts that wait for room. Set DALEROAD_SECRET to the processes' secret."""

    def list(self, coordinator: str) -> None:
        """Print the prompts that wait as JSON lines, in order; only the leader knows them.

        Args:
            coordinator: IP:PORT of the leading coordinator's internal API.
        """
        for waiting in ask_coordinator(coordinator, "queue", b"{}", QueueAnswer).waiting:
            row = {
                "service": waiting.service,
                "rank": waiting.rank,
                "organisation": waiting.organisation,
                "gateway": waiting.gateway,
                "age": round(waiting.age, 3),
                "tokens": waiting.tokens,
            }
            print(json.dumps(row))

    def weigh(self, seeds: int = 5, factor: float = 3.0) -> None:
        """Simulate and compare how prompts wait when too many come.

        Args:
            seeds: simulations of each case.
            factor: multiple of the usual rate that comes for 20 s.
        """
        cases = (replace(case, factor=factor) for case in CASES)
        print("\n".join(format_cases(cases, seeds)))
