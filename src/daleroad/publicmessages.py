"""Reading of JSON messages of the public interface.

The protobuf library reads nested JSON by recursion without a limit: 20 KB of brackets end the
process. Documents are read by a parser with a limit first.
"""

from typing import TypeVar

import orjson
from protobuf import Message

from daleroad.errors import Failure, FailureKind, Ran

M = TypeVar("M", bound=Message)


def read_message(shape: type[M], body: bytes) -> M | Failure:
    """Return a message from JSON, or a failure.

    :param shape: the message's type.
    :param body: the message as JSON.
    """
    try:
        orjson.loads(body)
        return shape.from_json(body)
    except (TypeError, ValueError) as error:
        reason = f"not a {shape.__name__}: {error}"
        return Failure(FailureKind.BAD_REQUEST, reason, Ran.UNKNOWN)
