"""How much service each organisation got lately, so that the one that got least goes first.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, field

SERVICE_HALF_LIFE_SECONDS = 10.0
"""Service counts half after so long: a few of the prompts that wait together, so that neither a
burst of long ago is held against an organisation nor an idle one saves up claims."""

SHARE_STEP_TOKENS = 8000.0
"""Differences in service below this, about two prompts, decide nothing: deadlines do."""

_FORGET_TOKENS = 100.0
"""Service below this is forgotten, so that only organisations served lately are kept."""

_PRUNE_LENGTH = 256
"""Number of organisations from which those without service lately are looked for."""


@dataclass
class FairShare:
    """The tokens served for each organisation, decayed."""

    _served: dict[str, tuple[float, float]] = field(default_factory=dict)

    def add(self, organisation: str, tokens: int, now: float) -> None:
        """Record service.

        :param organisation: its name.
        :param tokens: tokens of prompt and expected output.
        :param now: the time.
        """
        self._served[organisation] = (self.get_tokens(organisation, now) + tokens, now)
        if len(self._served) > _PRUNE_LENGTH:
            self._prune(now)

    def get_tokens(self, organisation: str, now: float) -> float:
        """Return the decayed tokens that an organisation got.

        :param organisation: its name.
        :param now: the time.
        """
        tokens, at = self._served.get(organisation, (0.0, now))
        return tokens * float(0.5 ** ((now - at) / SERVICE_HALF_LIFE_SECONDS))

    def get_level(self, organisation: str, now: float) -> int:
        """Return an organisation's service in steps that are worth a difference in order.

        :param organisation: its name.
        :param now: the time.
        """
        return int(self.get_tokens(organisation, now) / SHARE_STEP_TOKENS)

    def _prune(self, now: float) -> None:
        names = list(self._served)
        for name in names:
            if self.get_tokens(name, now) < _FORGET_TOKENS:
                del self._served[name]
