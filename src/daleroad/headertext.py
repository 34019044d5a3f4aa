"""Which texts can be sent in HTTP headers and arrive as they were."""


def is_visible_ascii(text: str) -> bool:
    """Return whether a text has characters, and all are visible ones of ASCII.

    :param text: the text.
    """
    return text.isascii() and text.isprintable() and " " not in text and bool(text)


def is_field_value(text: str) -> bool:
    """Return whether a text can be the value of a header, sent as UTF-8.

    Empty values, outer white space and control characters do not (RFC 9110, 5.5).

    :param text: the text.
    """
    controls = any(ord(character) < ord(" ") or character == "\x7f" for character in text)
    return bool(text) and not controls and text.strip(" ") == text
