"""Admission: what an agent runs now, what waits and what it refuses."""
