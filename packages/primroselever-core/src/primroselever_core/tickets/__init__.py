"""Operation tickets, which ensure that non-idempotent calls run at most once."""
