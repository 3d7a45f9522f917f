"""Tests of stored records that cannot be decoded."""

from __future__ import annotations

import json
import unittest

from briarslip.version.stored_record import decode_stored_record


MAX_ERROR_LENGTH = 200


class StoredRecordTest(unittest.TestCase):
    """Tests of the errors of ``decode_stored_record``."""

    def test_error_names_the_field_without_its_value(self) -> None:
        """A value may take up a megabyte, and the error is logged."""
        body = {
            "fields": {"service": ["x" * 1_000_000]},
            "change": "c1",
            "change_size": 1,
            "nonce": "n1",
            "history": [],
        }
        error = decode_stored_record(json.dumps(body).encode(), 1).unwrap_err()
        self.assertIn("field 'service' is not a string", error)
        self.assertLess(len(error), MAX_ERROR_LENGTH)
