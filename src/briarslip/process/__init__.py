"""The daemon process: settings, events, and the tasks that run until it stops."""

from __future__ import annotations
