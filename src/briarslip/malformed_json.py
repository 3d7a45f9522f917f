"""What reading a JSON document of unexpected content raises."""

from __future__ import annotations


# ``json.loads`` raises RecursionError for deep nesting, and reads 1e999 as an
# infinity, which ``int`` refuses with OverflowError.
MALFORMED_JSON_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


__all__ = ["MALFORMED_JSON_ERRORS"]
