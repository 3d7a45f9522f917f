"""Quarantine of requests that crash backend servers, agreed on by all daemons."""
