"""How far an answer of an upstream had got when the upstream was lost.

A poison part of a prompt crashes an engine as it begins to write its answer, so an answer that goes
on for a while clears the parts of its prompt, and a crash later in an answer says nothing of them.

Does no I/O; the caller passes in the time.
"""

from enum import StrEnum

ONSET_SECONDS = 1.0
"""Time from the beginning of an answer after which its engine has got far with it; many times what
an engine takes from its first token to a crash on a poison part."""

MIN_WAIT_SECONDS = 0.001
"""An event that arrives sooner after the gateway is ready to read it was there before, and its time
says nothing: the client read slowly, or this process was busy or suspended."""


class Progress(StrEnum):
    """How far an answer had got."""

    UNBEGUN = "nothing had arrived"
    BEGUN = "it had just begun"
    FAR = "it had gone on for a while"


class Onset:
    """The beginning of one answer that arrives in events.

    :param began_at: when its head arrived.
    """

    def __init__(self, began_at: float) -> None:
        self._began_at = began_at
        self._late_events = 0

    def note_event(self, waited: float, now: float) -> bool:
        """Record an event; return whether it is the one that shows that the engine got far.

        The first late event may have come in time and have waited while this process was stopped,
        so it takes two.

        :param waited: seconds for which the gateway waited for it.
        :param now: when it arrived.
        """
        if waited < MIN_WAIT_SECONDS or now - self._began_at < ONSET_SECONDS:
            return False
        self._late_events += 1
        return self._late_events == 2

    def get_progress(self) -> Progress:
        """Return how far the answer has got."""
        return Progress.FAR if self._late_events > 1 else Progress.BEGUN
