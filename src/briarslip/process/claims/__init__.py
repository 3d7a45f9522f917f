"""Claims on idempotency keys, kept in the store."""
