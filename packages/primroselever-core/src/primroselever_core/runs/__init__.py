"""Runs: the requests that an agent was sent, their answers and their endings."""
