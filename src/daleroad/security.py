"""Tokens and what they prove."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Mapping

from daleroad.errors import Failure, FailureKind

_MAC_HEX = 16
_TOKEN_HASH = re.compile(r"[0-9a-f]{64}")


def hash_token(token: str) -> str:
    """Return a token's SHA-256 in hex; tokens are random, so no salt is needed.

    :param token: the token.
    """
    return hashlib.sha256(token.encode()).hexdigest()


def is_token_hash(text: str) -> bool:
    """Return whether a text is a hash as :func:`hash_token` makes them.

    :param text: the text.
    """
    return _TOKEN_HASH.fullmatch(text) is not None


def is_token(token: str, token_hash: str) -> bool:
    """Return whether a token has a hash, in constant time.

    :param token: the token that was shown.
    :param token_hash: the hash that is known.
    """
    return hmac.compare_digest(hash_token(token).encode(), token_hash.encode())


def get_bearer(value: str) -> str:
    """Return the token of an ``Authorization`` header, or an empty text.

    :param value: the header's value.
    """
    scheme, _, token = value.partition(" ")
    return token.strip() if scheme.lower() == "bearer" else ""


def check_peer(headers: Mapping[str, str], secret: str) -> Failure | None:
    """Return why a request is not one of our own processes', or nothing if it is.

    :param headers: the request's headers, names in lower case.
    :param secret: the cluster's secret.
    """
    token = get_bearer(headers.get("authorization", ""))
    if is_token(token, hash_token(secret)):
        return None
    return Failure(FailureKind.UNAUTHENTICATED, "not one of our processes")


def make_generation(upstream: str, organisation: str, secret: str) -> str:
    """Return a new generation id: upstream, random part and authentication code.

    :param upstream: the upstream's name.
    :param organisation: the organisation it belongs to.
    :param secret: the cluster's secret.
    """
    body = f"{upstream}.{secrets.token_hex(8)}"
    return f"{body}.{_sign(body, organisation, secret)}"


def get_upstream(generation: str, organisation: str, secret: str) -> str | None:
    """Return the upstream named by a generation id, or nothing if it isn't the organisation's.

    :param generation: the id that was shown.
    :param organisation: who showed it.
    :param secret: the cluster's secret.
    """
    body, _, mac = generation.rpartition(".")
    upstream, _, rest = body.rpartition(".")
    if not upstream or not rest:
        return None
    if not hmac.compare_digest(mac, _sign(body, organisation, secret)):
        return None
    return upstream


def _sign(body: str, organisation: str, secret: str) -> str:
    text = f"{body}:{organisation}".encode()
    return hmac.new(secret.encode(), text, hashlib.sha256).hexdigest()[:_MAC_HEX]
