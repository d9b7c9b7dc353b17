"""Requests that an entry forwards to back ends directly, without an agent."""
