"""Typed messages to JSON and back, by cattrs and orjson."""

from typing import Any, TypeVar

import orjson
from cattrs import BaseValidationError
from cattrs.preconf.orjson import make_converter
from cattrs.strategies import configure_tagged_union

from daleroad.errors import Failure, FailureKind

T = TypeVar("T")

_converter = make_converter(forbid_extra_keys=True)


def _register_exact(shape: type, accepted: tuple[type, ...]) -> None:
    """Accept only JSON values of the right type; the library would convert others."""

    def check(value: Any, target: Any) -> Any:
        # Enumerations of texts derive from str and keep their own conversion.
        if target is not shape:
            return target(value)
        if type(value) not in accepted:
            raise TypeError(f"expected {shape.__name__}, found {type(value).__name__}")
        return shape(value)

    _converter.register_structure_hook(shape, check)


_register_exact(str, (str,))
_register_exact(int, (int,))
_register_exact(float, (float, int))
_register_exact(bool, (bool,))


def register_union(union: Any) -> None:
    """Let values of a union of data classes travel under a ``kind`` tag.

    :param union: the union type.
    """
    configure_tagged_union(union, _converter, tag_name="kind")


def encode(value: Any, union: Any = None) -> bytes:
    """Return a data class as JSON.

    :param value: the data class instance.
    :param union: the registered union that the value belongs to, if any.
    """
    return orjson.dumps(_converter.unstructure(value, unstructure_as=union))


def decode(shape: Any, body: bytes | str) -> Any:
    """Return the value of a type that a JSON document holds, or a failure.

    :param shape: a data class, a registered union, or a container of these.
    :param body: the document.
    """
    try:
        return _converter.structure(orjson.loads(body), shape)
    except orjson.JSONDecodeError as error:
        return Failure(FailureKind.BAD_REQUEST, f"not JSON: {error}")
    except BaseValidationError as error:
        return Failure(FailureKind.BAD_REQUEST, _describe(error))
    except (TypeError, ValueError, KeyError, AttributeError) as error:
        return Failure(FailureKind.BAD_REQUEST, f"wrong shape: {error!r}")


def _describe(error: BaseValidationError) -> str:
    """Return the first fault of a validation error, with the place it was found."""
    fault: BaseException = error
    while isinstance(fault, BaseValidationError) and fault.exceptions:
        fault = fault.exceptions[0]
    notes = getattr(fault, "__notes__", None) or [""]
    return f"wrong shape: {fault} {notes[0]}".strip()
