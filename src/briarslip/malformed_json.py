"""Exceptions raised by decoding JSON with unexpected syntax or content."""

from __future__ import annotations


# ``json.loads`` raises RecursionError for deep nesting. It parses 1e999 as infinity,
# for which ``int`` raises OverflowError.
MALFORMED_JSON_ERRORS = (
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    OverflowError,
    RecursionError,
)


__all__ = ["MALFORMED_JSON_ERRORS"]
