"""Binary patches between versions of a text, by compression with a preset dictionary.

A change of the routing configuration usually alters a weight or a limit in tens of kilobytes, and
three coordinators each send it to hundreds of gateways. The new text is split into blocks. Each is
compressed with DEFLATE, with the old text around the same offset as the dictionary, so that
unchanged text takes a few bytes unless it has moved far.

Does no I/O.
"""

import zlib
from base64 import b64decode, b64encode
from collections.abc import Iterator
from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from daleroad.errors import Failure, FailureKind

_MAX_WINDOW_BYTES = 32_768
"""Largest window of DEFLATE."""

_MAX_BLOCK_BYTES = 8_192
"""Largest uncompressed size of a block. The rest of the window covers text that has moved."""

_MARGIN_BYTES = (_MAX_WINDOW_BYTES - _MAX_BLOCK_BYTES) // 2
"""Old text in the dictionary before and after the offsets of a block."""

_LENGTH_PREFIX_BYTES = 2
"""Size of the length before each block. An incompressible block is slightly longer than its
text."""


@dataclass(frozen=True)
class Patch:
    """A patch that turns one text into another.

    :param base: version of the text that it applies to.
    :param digest: XXH3 digest of the resulting text in hex.
    :param data: the length-prefixed compressed blocks in Base64.
    """

    base: int
    digest: str
    data: str


def make_patch(base: int, before: str, after: str) -> Patch:
    """Return the patch that turns one text into another.

    :param base: version of the old text.
    :param before: the old text.
    :param after: the new text.
    """
    old, new = before.encode(), after.encode()
    blocks = bytearray()
    for start in range(0, len(new), _MAX_BLOCK_BYTES):
        compressor = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=_get_dictionary(old, start))
        block = compressor.compress(new[start : start + _MAX_BLOCK_BYTES]) + compressor.flush()
        blocks += len(block).to_bytes(_LENGTH_PREFIX_BYTES) + block
    return Patch(base, xxh3_64_hexdigest(new), b64encode(blocks).decode())


def apply_patch(before: str, patch: Patch) -> str | Failure:
    """Return the patched text, or a failure if the patch is corrupt or for another text.

    :param before: the text that the patch applies to.
    :param patch: the patch.
    """
    old, new = before.encode(), bytearray()
    try:
        for block in _iterate_blocks(b64decode(patch.data, validate=True)):
            decompressor = zlib.decompressobj(-zlib.MAX_WBITS, zdict=_get_dictionary(old, len(new)))
            new += decompressor.decompress(block, _MAX_BLOCK_BYTES)
    except (zlib.error, ValueError) as error:
        return Failure(FailureKind.BAD_REQUEST, f"patch is corrupt: {error}")
    if xxh3_64_hexdigest(new) != patch.digest:
        return Failure(FailureKind.BAD_REQUEST, "digest mismatch: patch was made for another text")
    return new.decode()


def _get_dictionary(text: bytes, start: int) -> bytes:
    """Return the old text around a block, as the dictionary.

    :param text: the old text.
    :param start: offset of the block in the new text.
    """
    return text[max(0, start - _MARGIN_BYTES) : start + _MAX_BLOCK_BYTES + _MARGIN_BYTES]


def _iterate_blocks(data: bytes) -> Iterator[bytes]:
    end = 0
    while end < len(data):
        size = int.from_bytes(data[end : end + _LENGTH_PREFIX_BYTES])
        end += _LENGTH_PREFIX_BYTES + size
        if end > len(data):
            raise ValueError("block is truncated")
        yield data[end - size : end]
