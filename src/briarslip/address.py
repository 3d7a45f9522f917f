"""IP addresses with a port."""

from __future__ import annotations

import ipaddress
from typing import NamedTuple

from result import Err
from result import Ok
from result import Result


MAX_PORT = 65535
MAX_PORT_DIGITS = 5


class Address(NamedTuple):
    """An IPv4 or IPv6 address and a TCP or UDP port."""

    host: str
    port: int

    def __str__(self) -> str:
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_address(text: str) -> Result[Address, str]:
    """Parse ``IP:PORT`` or ``[IPv6]:PORT``; the error says what is wrong with it."""
    host, separator, port = text.strip().rpartition(":")
    if not separator:
        return Err(f"{text!r} is not IP:PORT")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return Err(f"{host!r} is not an IP number")
    if (
        not port.isascii()
        or not port.isdigit()
        or len(port) > MAX_PORT_DIGITS
        or not 0 < int(port) <= MAX_PORT
    ):
        return Err(f"{port!r} is not a port from 1 to {MAX_PORT}")
    return Ok(Address(host, int(port)))


__all__ = ["Address", "parse_address"]
