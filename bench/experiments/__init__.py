"""The experiments, a module each."""
