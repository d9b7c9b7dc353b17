"""Filling a back end with the weights it should serve, and the time it switches."""
