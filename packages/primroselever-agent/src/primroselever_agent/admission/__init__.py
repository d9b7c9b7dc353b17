"""Admission in an agent: carries out and counts the decisions of the core."""
