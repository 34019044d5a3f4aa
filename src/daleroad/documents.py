"""Recent versions of the routing configuration, from which followers are sent patches.

Does no I/O.
"""

from dataclasses import dataclass, field

from daleroad.patches import Patch, make_patch
from daleroad.sitestate import Document

MAX_KEPT_VERSIONS = 6
"""Versions kept as bases of patches. During a series of changes, a gateway is one or two versions
behind."""


@dataclass(frozen=True)
class DocumentUpdate:
    """A newer configuration for a follower, as full text or as a patch.

    Both are ``None`` if the follower is up to date.

    :param document: the full text.
    :param patch: the patch to the follower's version.
    """

    document: str | None = None
    patch: Patch | None = None


@dataclass
class DocumentHistory:
    """The last configurations that took effect, with patches from older ones to the newest."""

    _texts: dict[int, str] = field(default_factory=dict)
    _patches: dict[int, Patch] = field(default_factory=dict)

    def add(self, document: Document) -> None:
        """Add the newest configuration; evicts the oldest versions and all cached patches.

        :param document: the configuration.
        """
        self._texts[document.version] = document.text
        for version in sorted(self._texts)[:-MAX_KEPT_VERSIONS]:
            del self._texts[version]
        self._patches.clear()

    def make_update(self, document: Document, version: int, whole: bool) -> DocumentUpdate:
        """Return the update that a follower needs.

        The text is sent in full if the follower's version is no longer kept.

        :param document: the newest configuration.
        :param version: the version that the follower has.
        :param whole: whether the follower requires the full text.
        """
        if document.version <= version:
            return DocumentUpdate()
        base = self._texts.get(version)
        if whole or base is None:
            return DocumentUpdate(document.text)
        if version not in self._patches:
            self._patches[version] = make_patch(version, base, document.text)
        return DocumentUpdate(patch=self._patches[version])
