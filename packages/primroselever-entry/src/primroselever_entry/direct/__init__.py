"""Requests that an entry passes on to back ends itself."""
