"""Decisions on the quotas of organisations, without sockets."""
