"""Clients of the key-value store, behind one interface."""
