"""Handling of callers' HTTP requests, from parsing to the outcome."""
