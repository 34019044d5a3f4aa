"""Parts of prompts on which an engine got far with an answer, and when it last did.

Does no I/O; the caller passes in the time.
"""

from collections import OrderedDict
from dataclasses import dataclass

MAX_ANSWERED_PARTS = 4096
"""Parts remembered. When there is no room for a new one, the organisation with the most of them
loses the one whose last answer is the oldest."""


@dataclass
class _Answer:
    owner: str
    at: float


class AnsweredParts:
    """The parts that had answers at one process.

    A part belongs to the organisation whose request had the first answer on it.
    """

    def __init__(self) -> None:
        self._answers: dict[str, _Answer] = {}
        self._owned: dict[str, OrderedDict[str, None]] = {}

    def add(self, fingerprint: str, caller: str, now: float) -> None:
        """Record an answer that got far.

        :param fingerprint: the part.
        :param caller: the organisation that sent the request, or empty.
        :param now: the time.
        """
        answer = self._answers.get(fingerprint)
        if answer is None:
            self._make_room()
            answer = self._answers[fingerprint] = _Answer(caller, now)
            self._owned.setdefault(caller, OrderedDict())[fingerprint] = None
        answer.at = now
        self._owned[answer.owner].move_to_end(fingerprint)

    def get(self, fingerprint: str) -> float | None:
        """Return when a part last had an answer, or None if it is not known to have had one.

        :param fingerprint: the part.
        """
        answer = self._answers.get(fingerprint)
        return answer.at if answer is not None else None

    def _make_room(self) -> None:
        if len(self._answers) < MAX_ANSWERED_PARTS:
            return
        owner = max(self._owned, key=lambda name: len(self._owned[name]))
        oldest, _ = self._owned[owner].popitem(last=False)
        del self._answers[oldest]
        if not self._owned[owner]:
            del self._owned[owner]
