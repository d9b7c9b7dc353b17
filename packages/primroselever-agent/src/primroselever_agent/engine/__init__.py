"""Clients of the back end on this VM: a model engine or a plain service."""
