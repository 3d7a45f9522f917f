"""Reports of service-level burn rates and error budgets."""

from __future__ import annotations
