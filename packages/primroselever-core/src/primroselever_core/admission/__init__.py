"""Admission control: which runs an agent starts, queues or refuses."""
