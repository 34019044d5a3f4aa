"""Tells a stream that an engine cut off because its client did not read from a lost engine.

An engine cuts off a response that remains unread for some seconds. A client that does not read
pauses its gateway's reading, so the cut comes right after the gateway was blocked, behind what the
engine had sent before.
"""

from dataclasses import dataclass

MIN_STALL_SECONDS = 1.5
"""A gateway that was blocked on a client for less did not cause the cut: engines keep an
unread response for some seconds."""

FRESH_EVENT_SECONDS = 0.02
"""An event that was waited for that long was generated meanwhile, so the engine had not cut the
stream when the client read again. Events that wait in a buffer are read at once."""

MAX_CUT_WAIT_SECONDS = 0.25
"""A cut that was waited for any longer had not happened when the gateway read again; shorter ones
may be due to a busy process."""


@dataclass
class ClientStall:
    """The longest time that a stream's gateway was blocked on its client since a fresh event.

    :param longest: that time, in seconds.
    :param waited: seconds that the gateway waited at the engine since the last stall, in all.
        Once it exceeds ``MAX_CUT_WAIT_SECONDS``, the stall explains no cut, even if no single event
        was waited for as long as a fresh one.
    """

    longest: float = 0.0
    waited: float = 0.0

    def note_event(self, waited: float) -> None:
        """Note an event.

        :param waited: seconds that the gateway waited for it.
        """
        self.waited += waited
        if waited >= FRESH_EVENT_SECONDS:
            self.longest = 0.0

    def note_taken(self, blocked: float) -> None:
        """Note that the client took an event.

        :param blocked: seconds that the gateway was blocked on it.
        """
        if blocked >= MIN_STALL_SECONDS:
            self.waited = 0.0
        self.longest = max(self.longest, blocked)

    def explains_cut(self, waited: float) -> bool:
        """Return whether the client's reading explains a cut.

        :param waited: seconds that the gateway waited at the engine before the cut.
        """
        stalled = self.longest >= MIN_STALL_SECONDS
        return stalled and self.waited + waited <= MAX_CUT_WAIT_SECONDS
