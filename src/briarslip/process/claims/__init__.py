"""Claims on idempotency keys: a request with a key is forwarded at most once."""
