"""Members of JSON objects that have the same name.

Which of them counts differs between parsers (RFC 8259, 4), so a document with them can't be read
for certain.
"""

import json
from typing import Any


class _RepeatedNameError(ValueError):
    """An object has two members of a name."""


def find_repeated_name(document: bytes | str) -> str | None:
    """Return a name that an object in a JSON document has twice, or None.

    :param document: the document.
    :raises ValueError: if it is no JSON, or nested too deep for the parser.
    """
    try:
        json.loads(document, object_pairs_hook=_check_names)
    except _RepeatedNameError as error:
        return str(error)
    except RecursionError as error:
        raise ValueError("nested too deep") from error
    return None


def _check_names(members: list[tuple[str, Any]]) -> None:
    seen: set[str] = set()
    for name, _ in members:
        if name in seen:
            raise _RepeatedNameError(name)
        seen.add(name)
