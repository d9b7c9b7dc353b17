"""Routing: which backend server runs a request, or why none does."""
