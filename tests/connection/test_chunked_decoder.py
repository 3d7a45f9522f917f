"""Tests of the decoder of chunked bodies."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from result import Err
from twisted.web import http

from briarslip.connection.chunked_decoder import MAX_LINES_PER_STEP
from briarslip.connection.chunked_decoder import ChunkedDecoder


# Fragments of which chunked bodies consist, proper and improper ones.
FRAGMENTS = st.sampled_from(
    (
        b"1\r\nx\r\n",
        b"2\r\nxy\r\n",
        b"0a\r\n0123456789\r\n",
        b"2;name=value\r\nab\r\n",
        b"3 \r\nabc\r\n",
        b"0x1\r\nx\r\n",
        b"-1\r\n",
        b"\r\n",
        b"\n",
        b"1\nx\r\n",
        b"2\r\nabc\r\n",
        b"1;\x00\r\nx\r\n",
        b"0\r\n\r\n",
        b"0\r\n",
        b"Name: value\r\n",
        b"rest",
    )
)


class ReferenceDecoder:
    """The decoder of ``twisted.web``, which decodes all of its input at once."""

    def __init__(self) -> None:
        self.body = b""
        self.trailing_data: bytes | None = None
        self.is_malformed = False
        self.decoder = http._ChunkedTransferDecoder(self.add, self.end)

    def add(self, data: bytes) -> None:
        self.body += data

    def end(self, data: bytes) -> None:
        self.trailing_data = data

    def decode(self, data: bytes) -> None:
        """Decode received bytes."""
        if self.is_malformed:
            return
        if self.trailing_data is not None:
            self.trailing_data += data
            return
        try:
            self.decoder.dataReceived(data)
        except (http._MalformedChunkedDataError, ValueError):
            self.is_malformed = True


def decode_all(decoder: ChunkedDecoder, data: bytes) -> bytes | None:
    """Decode received bytes in as many steps as it takes; None if malformed."""
    part = decoder.decode(data)
    parts: list[bytes] = []
    while not isinstance(part, Err):
        parts.append(part.ok_value)
        if not decoder.has_backlog:
            return b"".join(parts)
        part = decoder.decode(b"")
    return None


class ChunkedDecoderTest(unittest.TestCase):
    """A decoder whose input arrives in pieces of any size."""

    @settings(max_examples=400, deadline=None)
    @given(st.lists(FRAGMENTS, max_size=12), st.integers(1, 9))
    def test_body_differs_from_that_of_another_parser(
        self, fragments: list[bytes], read_bytes: int
    ) -> None:
        """Guards against framing that two parsers on the path read differently."""
        data = b"".join(fragments)
        decoder, reference, body = ChunkedDecoder(), ReferenceDecoder(), b""
        for start in range(0, len(data), read_bytes):
            read = data[start : start + read_bytes]
            reference.decode(read)
            part = decode_all(decoder, read)
            self.assertEqual(reference.is_malformed, part is None)
            if part is None:
                return
            body += part
        self.assertEqual(reference.body, body)
        self.assertEqual(reference.trailing_data is not None, decoder.is_complete)
        if decoder.is_complete:
            self.assertEqual(reference.trailing_data, decoder.undecoded)

    def test_lines_of_one_read_are_decoded_in_one_step(self) -> None:
        """Guards against a read of many short lines that holds up the reactor."""
        chunks, trailers = b"1\r\nx\r\n" * 500, b"a: b\r\n" * 500
        decoder = ChunkedDecoder()
        decoder.decode(chunks + b"0\r\n" + trailers + b"\r\nrest")
        steps = 1
        while decoder.has_backlog:
            self.assertLessEqual(len(decoder.decode(b"").unwrap()), MAX_LINES_PER_STEP)
            steps += 1
        self.assertEqual(1002 // MAX_LINES_PER_STEP + 1, steps)
        self.assertEqual((True, b"rest"), (decoder.is_complete, decoder.undecoded))

    def test_endless_lines_are_kept(self) -> None:
        """Guards against a line without an end that fills the memory."""
        for start, part in ((b"1;x=", b"y" * 500), (b"0\r\nName: ", b"y" * 30_000)):
            with self.subTest(start):
                decoder = ChunkedDecoder()
                decoder.decode(start)
                self.assertIn(None, [decode_all(decoder, part) for _ in range(3)])


if __name__ == "__main__":
    unittest.main()
