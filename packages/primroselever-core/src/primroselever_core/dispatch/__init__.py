"""Choosing among back ends that are called directly, and refusing in time."""
