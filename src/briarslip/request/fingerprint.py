"""Fingerprint of a request, the same for every repetition by the same caller."""

from __future__ import annotations

import hashlib
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import NamedTuple

from briarslip.request.body import Body
from briarslip.request.header_lines import HeaderLines


if TYPE_CHECKING:
    from briarslip.request.call import Call


# Long enough that nobody finds a second request with the digest of another one's.
DIGEST_BYTES = 16
CREDENTIALS = HeaderLines(b"Authorization")


class Fingerprint(NamedTuple):
    """Digests of a request's head and of its body.

    The head is the service, the route, the method, the target, and the organisation
    or else the credentials of the caller. The host counts as far as the route depends
    on it: callers may use the address of any daemon. Request ids, deadlines and other
    headers differ between repetitions. Most requests can be told apart without reading
    their bodies.
    """

    head: bytes
    body: bytes

    @classmethod
    def from_call(cls, call: Call) -> Fingerprint:
        """Return the fingerprint of a call."""
        return cls(head_digest(call), body_digest(call))

    @property
    def text(self) -> str:
        """The form in logs and on the command line, 32 hexadecimal digits."""
        return self.head.hex()[:DIGEST_BYTES] + self.body.hex()[:DIGEST_BYTES]


def head_digest(call: Call) -> bytes:
    """Return the digest of a call's head."""
    # The first daemon removes the credentials of a caller with an organisation.
    caller = call.organisation.encode() or CREDENTIALS.first_value(call.headers)
    fields = (
        call.service.encode(),
        call.route.encode(),
        call.method.encode("latin-1"),
        call.target.encode("latin-1"),
        caller,
    )
    # No field can hold a line feed.
    return _digest(b"\n".join(fields))


def body_digest(call: Call) -> bytes:
    """Return the digest of a call's body."""
    return call.body.digest or _digest(*call.body.parts)


def without_body(call: Call) -> Call:
    """Return a call that has the same fingerprint and takes no memory for its body."""
    if not call.body.size_bytes:
        return call
    body = Body(size_bytes=call.body.size_bytes, digest=body_digest(call))
    return replace(call, body=body)


def _digest(*parts: bytes) -> bytes:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(part)
    return digest.digest()


__all__ = ["DIGEST_BYTES", "Fingerprint", "body_digest", "head_digest", "without_body"]
