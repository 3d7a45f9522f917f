"""Makes a process import all modules from the build that it started with.

``build.sh`` installs this module in ``target/deps``, a symbolic link that the next
build replaces. A process that starts meanwhile would import modules of both builds.
"""

from __future__ import annotations

import os
import sys


_LINK = os.path.dirname(__file__)  # noqa: PTH120 # pathlib is not needed otherwise
sys.path[:] = [os.path.realpath(p) if p == _LINK else p for p in sys.path]
