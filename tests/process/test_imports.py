"""Tests of the modules that the daemon process imports."""

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
# Twisted itself imports asyncio, ssl, http.cookiejar and email, so they are not here.
HEAVY_MODULES = frozenset(
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
    """The imports of the daemon, in a process of their own."""

    def test_daemon_imports_no_heavy_module(self) -> None:
        result = subprocess.run(
            [sys.executable, "-c", PROGRAM], capture_output=True, check=True
        )
        self.assertEqual(HEAVY_MODULES & set(json.loads(result.stdout)), frozenset())
