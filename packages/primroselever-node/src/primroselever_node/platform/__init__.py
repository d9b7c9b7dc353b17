"""Clients of the platform: configuration service, VM list, weight sources."""
