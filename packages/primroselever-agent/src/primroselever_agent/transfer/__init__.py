"""Fetching, serving and switching weights."""
