"""The key-value store: one client interface and what speaks it."""
