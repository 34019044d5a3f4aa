"""What makes two requests the same one, sent again.

The same caller sends the same bytes to the same place: method, host, path with query, and the whole
body, however it came in. The id of an attempt and the headers say nothing, since each repeat may
have others. The caller is part of it, so that nobody's request is held against another caller.
"""

from hashlib import sha256

from daleroad.dispatch import Job

FINGERPRINT_LETTERS = 32
"""Length of a fingerprint: 128 bits, so that nobody can make up a request with a given one."""

_LENGTH_BYTES = 8


def find_fingerprint(job: Job, organisation: str) -> str:
    """Return the fingerprint of a gateway's request.

    :param job: the request.
    :param organisation: whose it is, or empty where that is not asked.
    """
    return make_fingerprint(organisation or job.key, job.method, job.host, job.target, job.body)


def make_fingerprint(caller: str, method: str, host: str, target: bytes, body: bytes) -> str:
    """Return what tells a request from all others, in hexadecimal digits.

    One with a body of 1 kB takes 4 us, of 4 MB 3.4 ms (timeit, one core).

    :param caller: the organisation, or the key where there is none.
    :param method: the method.
    :param host: the host asked for, with or without a port.
    :param target: path and query, untouched.
    :param body: the whole body.
    """
    digest = sha256()
    for part in (caller.encode(), method.encode(), host.lower().encode(), target):
        # With its length, or the end of one part could pass for the beginning of the next.
        digest.update(len(part).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()[:FINGERPRINT_LETTERS]
