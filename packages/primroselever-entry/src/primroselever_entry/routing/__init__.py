"""Routing in an entry: logs and counts the routing decisions of the core."""
