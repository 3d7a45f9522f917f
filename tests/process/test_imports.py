"""The daemon's process imports no more than it needs."""

from __future__ import annotations

import json
import subprocess
import sys
import unittest


PROGRAM = """\
import json
import sys
from twisted.internet import reactor
import briarslip.console.daemon
import briarslip.process.daemon
json.dump(sorted(sys.modules), sys.stdout)
"""
# Twisted itself imports asyncio, ssl, http.cookiejar and email.
HEAVY = frozenset(
    (
        "hypothesis",
        "multiprocessing",
        "pydantic",
        "requests",
        "rich",
        "twisted.internet.ssl",
        "twisted.trial",
        "twisted.web._newclient",
        "twisted.web.client",
        "twisted.web.server",
        "typer",
        "unittest",
        "xml",
    )
)


class ImportsTest(unittest.TestCase):
    """What a process of its own imports for the daemon."""

    def test_no_heavy_module(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=True
        )
        self.assertEqual(HEAVY & set(json.loads(result.stdout)), frozenset())
