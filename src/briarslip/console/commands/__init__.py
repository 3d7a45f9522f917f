"""One module for each operator command."""

from __future__ import annotations
