"""Checks of a configuration before it is sent, and its differences from another."""
