"""Admission in an agent: decisions of the core, carried out and counted."""
