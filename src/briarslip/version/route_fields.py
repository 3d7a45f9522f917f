"""Parsers for the fields of route records."""

from __future__ import annotations

import re

from result import Err
from result import Ok
from result import Result

from briarslip import fields
from briarslip.version.typed_record import WeightedService


MAX_WEIGHT = 1_000_000
NOT_IN_PATH = re.compile(r"[?#\s]")
NOT_IN_HOST = re.compile(r"[/?#@\s]")


def path(value: str) -> Result[str, str]:
    """Parse an absolute path without a query; a trailing slash is removed."""
    text = value.strip()
    if not text.startswith("/") or NOT_IN_PATH.search(text):
        return Err(f"{value!r} is not a path that begins with '/'")
    text = text.rstrip("/")
    if "//" in text or any(part in {".", ".."} for part in text.split("/")):
        return Err(f"{value!r} has an empty or a relative segment")
    return Ok(text or "/")


def method(value: str) -> Result[str, str]:
    """Parse the name of an HTTP method."""
    text = value.strip()
    if text.isascii() and text.isalpha() and text.isupper():
        return Ok(text)
    return Err(f"{value!r} is not a method in capitals")


def path_prefix(value: str) -> Result[str, str]:
    """Parse a path prefix, which has to begin and end with a slash."""
    prefix = value.strip()
    if not prefix.startswith("/") or not prefix.endswith("/"):
        return Err(f"{value!r} does not begin and end with '/'")
    if NOT_IN_PATH.search(prefix):
        return Err(f"{value!r} is not a path")
    return Ok(prefix)


def host(value: str) -> Result[str, str]:
    """Parse a host name without a port, and convert it to lower case."""
    text = value.strip().lower()
    if not text or NOT_IN_HOST.search(text):
        return Err(f"{value!r} is not a host")
    return Ok(text)


def weighted_service(value: str) -> Result[WeightedService, str]:
    """Parse a service name and its integer weight, separated by a space."""
    service, _, weight_text = value.strip().partition(" ")
    name = fields.name(service)
    if isinstance(name, Err):
        return name
    weight = fields.integer(0, MAX_WEIGHT)(weight_text)
    return weight.map(lambda parsed: WeightedService(name.ok_value, parsed))


__all__ = [
    "MAX_WEIGHT",
    "host",
    "method",
    "path",
    "path_prefix",
    "weighted_service",
]
