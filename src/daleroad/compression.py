"""Bodies between our own processes, compressed where that saves bytes between zones. Pure.

Watches and shares repeat the same names many times and shrink to a quarter; traffic between
availability zones is paid for by the byte.
"""

import zlib

from daleroad.errors import Failure, FailureKind

ENCODING = "deflate"
"""The name of this coding in HTTP headers (RFC 9110)."""

WORTH_BYTES = 512
"""Smaller bodies are sent as they are; headers are most of them."""

_WINDOW_BITS = {ENCODING: zlib.MAX_WBITS, "gzip": zlib.MAX_WBITS | 16}
"""What the library calls the encodings that can be read."""

_LEVEL = 1
"""The fastest: a body of 3 KB takes about 40 us, and higher levels save little on such bodies."""


def pack(body: bytes) -> bytes | None:
    """Return a body in compressed form, or nothing where it is better sent as it is.

    :param body: the body.
    """
    if len(body) < WORTH_BYTES:
        return None
    packed = zlib.compress(body, _LEVEL)
    return packed if len(packed) < len(body) else None


def unpack(body: bytes, limit: int, encoding: str = ENCODING) -> bytes | Failure:
    """Return a compressed body in its plain form.

    :param body: the compressed body.
    :param limit: bytes that the plain form may have.
    :param encoding: how it is compressed, as in HTTP headers.
    """
    if encoding not in _WINDOW_BITS:
        return Failure(FailureKind.BAD_REQUEST, f"a body in the unknown encoding {encoding}")
    reader = zlib.decompressobj(_WINDOW_BITS[encoding])
    try:
        plain = reader.decompress(body, limit)
    except zlib.error as error:
        return Failure(FailureKind.BAD_REQUEST, f"a body that can't be unpacked: {error}")
    if reader.unconsumed_tail:
        return Failure(FailureKind.TOO_LARGE, f"the plain body is larger than {limit} bytes")
    if not reader.eof:
        return Failure(FailureKind.BAD_REQUEST, "a compressed body that was cut")
    return plain
