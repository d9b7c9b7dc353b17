"""Routing in an entry: decisions of the core, logged and counted."""
