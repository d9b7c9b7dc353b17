"""The limit of the values in a JSON document, which is checked before it is decoded."""

from __future__ import annotations

# A value takes up to about 250 bytes, and an empty object of 2 bytes takes 72, so that
# documents of the same size differ 30-fold in the memory that they need. The largest
# page of the store in use has 5 values for each of some thousand servers.
MAX_JSON_VALUES = 200_000


def check_json_values(text: bytes) -> None:
    """
    Raise ``ValueError`` if a document may have more than ``MAX_JSON_VALUES`` values.

    Each value but the first follows a comma or the beginning of a list or an object;
    such characters in strings are counted as well.

        >>> check_json_values(b'{"items": [{}, {}]}')
    """
    count = sum(map(text.count, (b",", b"[", b"{")))
    if count > MAX_JSON_VALUES:
        raise ValueError(f"the document has more than {MAX_JSON_VALUES} values")
