"""The last few routing configurations, so that followers are told what differs. Pure."""

from dataclasses import dataclass, field

from daleroad.patches import Patch, make_patch
from daleroad.siterecord import Document

DOCUMENTS_KEPT = 6
"""Configurations that followers may still serve by; when changes come one after the other a gateway
is one or two behind."""


@dataclass(frozen=True)
class DocumentNews:
    """A newer configuration for a follower: whole, or as what differs from its own.

    :param document: its text, if it is told whole.
    :param patch: what differs, if the follower's is known here.
    """

    document: str | None = None
    patch: Patch | None = None


@dataclass
class DocumentHistory:
    """The configurations that came into force here."""

    _kept: dict[int, str] = field(default_factory=dict)
    _patches: dict[int, Patch] = field(default_factory=dict)

    def note(self, document: Document) -> None:
        """Take in the newest configuration.

        :param document: the configuration.
        """
        self._kept[document.version] = document.text
        for version in sorted(self._kept)[:-DOCUMENTS_KEPT]:
            del self._kept[version]
        self._patches.clear()

    def tell(self, document: Document, version: int, whole: bool) -> DocumentNews:
        """Return what a follower should be told.

        :param document: the newest configuration.
        :param version: the one that the follower has.
        :param whole: whether it can use nothing but the whole text.
        """
        if document.version <= version:
            return DocumentNews()
        before = self._kept.get(version)
        if whole or before is None:
            return DocumentNews(document.text)
        if version not in self._patches:
            self._patches[version] = make_patch(version, before, document.text)
        return DocumentNews(patch=self._patches[version])
