"""Shared parts of prompts, as candidates for what crashes upstreams.

Requests name the parts of their prompts. All but the last are shared with other requests. The same
name for another service or model stands for another part, as other weights read it.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from itertools import islice

from daleroad.dispatch import ClientRequest
from daleroad.fingerprints import make_digest

MAX_PARTS = 64
"""Shared parts of a request that are looked at; a long conversation has one for each turn."""

MAX_CACHED_PARTS = 1024
"""Parts whose digests are kept; the same parts come again and again."""

MAX_CACHED_CHARS = 256
"""Length of a part's id and model up to which its digest is kept. Clients choose both, and they may
be as long as a header."""

MAX_NAME_CHARS = 64
"""Length to which a part's name is cut for logs and operators."""


@dataclass(frozen=True)
class SharedPart:
    """A part of a prompt that other requests may have too.

    :param fingerprint: identifies it, with its service and model.
    :param name: its name for operators: service, model and the id that requests use.
    :param depth: its place in the prompt, from 0.
    """

    fingerprint: str
    name: str
    depth: int


def list_shared_parts(job: ClientRequest, service: str) -> Iterator[SharedPart]:
    """Yield the shared parts of a request's prompt, in order.

    :param job: the request.
    :param service: the service that runs it.
    """
    for depth, part in enumerate(islice(job.list_shared_parts(), MAX_PARTS)):
        yield make_shared_part(service, job.model, part, depth)


def make_shared_part(service: str, model: str, part: str, depth: int) -> SharedPart:
    """Return a part of prompts as a candidate.

    :param service: the service that reads it.
    :param model: the model that reads it, or empty.
    :param part: the id that requests use.
    :param depth: its place in the prompt, from 0.
    """
    if len(model) + len(part) > MAX_CACHED_CHARS:
        return _make_part(service, model, part, depth)
    return _make_cached_part(service, model, part, depth)


def _make_part(service: str, model: str, part: str, depth: int) -> SharedPart:
    digest = make_digest(b"part", service.encode(), model.encode(), part.encode())
    return SharedPart(digest, f"{service}/{model}/{part}"[:MAX_NAME_CHARS], depth)


_make_cached_part = lru_cache(maxsize=MAX_CACHED_PARTS)(_make_part)
