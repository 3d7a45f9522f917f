"""Quotas of organisations over all daemons."""
