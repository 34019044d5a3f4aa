"""A long text told as what differs from one that the reader has. Pure.

A change of a routing configuration moves a weight or a limit in some ten kilobytes, and each of
hundreds of gateways is told of it by three coordinators. The text goes in blocks. Each is
compressed with the part of the other text around its place as the dictionary, so what stayed costs
a few bytes wherever it was not shifted far.
"""

import zlib
from base64 import b64decode, b64encode
from collections.abc import Iterator
from dataclasses import dataclass

from xxhash import xxh3_64_hexdigest

from daleroad.errors import Failure, FailureKind

_WINDOW_BYTES = 32_768
"""What the compression looks back over at most."""

_BLOCK_BYTES = 8_192
"""Text of one block; the rest of the window is for what a block may have been shifted by."""

_REACH_BYTES = (_WINDOW_BYTES - _BLOCK_BYTES) // 2

_LENGTH_BYTES = 2
"""Bytes of a block's length; a block that can't be compressed has some bytes more than its text."""


@dataclass(frozen=True)
class Patch:
    """What makes one text into another.

    :param base: version of the text that it changes.
    :param digest: of the text that it makes.
    :param data: the compressed blocks in base 64.
    """

    base: int
    digest: str
    data: str


def make_patch(base: int, before: str, after: str) -> Patch:
    """Return what makes one text into another.

    :param base: version of the first text.
    :param before: the first text.
    :param after: the other text.
    """
    old, new = before.encode(), after.encode()
    blocks = bytearray()
    for start in range(0, len(new), _BLOCK_BYTES):
        packer = zlib.compressobj(wbits=-zlib.MAX_WBITS, zdict=_cut_around(old, start))
        block = packer.compress(new[start : start + _BLOCK_BYTES]) + packer.flush()
        blocks += len(block).to_bytes(_LENGTH_BYTES) + block
    return Patch(base, xxh3_64_hexdigest(new), b64encode(blocks).decode())


def apply_patch(before: str, patch: Patch) -> str | Failure:
    """Return the text that a patch makes, or why it can't be made.

    :param before: the text that the patch changes.
    :param patch: the patch.
    """
    old, new = before.encode(), bytearray()
    try:
        for block in _list_blocks(b64decode(patch.data, validate=True)):
            unpacker = zlib.decompressobj(-zlib.MAX_WBITS, zdict=_cut_around(old, len(new)))
            new += unpacker.decompress(block, _BLOCK_BYTES)
    except (zlib.error, ValueError) as error:
        return Failure(FailureKind.BAD_REQUEST, f"a patch that can't be read: {error}")
    if xxh3_64_hexdigest(new) != patch.digest:
        return Failure(FailureKind.BAD_REQUEST, "a patch for another text")
    return new.decode()


def _cut_around(text: bytes, start: int) -> bytes:
    """Return the part of a text where a block that begins at a place should be found."""
    return text[max(0, start - _REACH_BYTES) : start + _BLOCK_BYTES + _REACH_BYTES]


def _list_blocks(data: bytes) -> Iterator[bytes]:
    at = 0
    while at < len(data):
        size = int.from_bytes(data[at : at + _LENGTH_BYTES])
        at += _LENGTH_BYTES + size
        if at > len(data):
            raise ValueError("a block that was cut")
        yield data[at - size : at]
