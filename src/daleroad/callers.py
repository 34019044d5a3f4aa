"""Callers of orders, who may have given up before their order is carried out.

An order that a process reads late may have been sent again to another one in the meantime, and
later orders may have followed it.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass

from daleroad.defaults import MAX_ORDER_AGE_SECONDS


@dataclass
class Caller:
    """The caller of one order, as the process that read the order sees it.

    :param read_at: when the order was read.
    :param waited: longest time that it may have waited before that, in seconds.
    :param connected: whether the caller's connection is open as far as is known.
    """

    read_at: float
    waited: float = 0.0
    connected: bool = True

    def is_waiting(self, now: float) -> bool:
        """Return whether the caller surely still waits for the answer.

        :param now: the current time.
        """
        return self.connected and self.waited + now - self.read_at < MAX_ORDER_AGE_SECONDS
