"""Reading of JSON messages of the public interface.

The protobuf library reads nested JSON by recursion without a limit: 20 KB of brackets end the
process. Documents are read by a parser with a limit first.
"""

from typing import Any, TypeVar

import orjson
from connectrpc.codec import Codec, proto_binary_codec, proto_json_codec
from protobuf import Message

from daleroad.errors import Failure, FailureKind, Ran

M = TypeVar("M", bound=Message)


class _JsonCodec(Codec[Any, Any]):
    """The library's codec, but for documents that are nested too deep."""

    def __init__(self) -> None:
        self._codec: Codec[Any, Any] = proto_json_codec()

    def name(self) -> str:
        return self._codec.name()

    def encode(self, message: Any) -> bytes:
        return self._codec.encode(message)

    def decode(self, data: bytes | bytearray, message_class: type[Any]) -> Any:
        orjson.loads(data)
        return self._codec.decode(data, message_class)


CODECS: tuple[Codec[Any, Any], ...] = (proto_binary_codec(), _JsonCodec())
"""How our servers read and write messages of the public interface."""


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
