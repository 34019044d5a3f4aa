"""Operator command on the prompts that wait for room in an engine."""

import json

from daleroad.commandcalls import ask_coordinator
from daleroad.notices import QueueAnswer


class QueueCommands:
    """Prompts that wait. Set DALEROAD_SECRET to the processes' secret."""

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
