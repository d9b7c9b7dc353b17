"""Profiles: the values that operators publish, and the revision in force."""
