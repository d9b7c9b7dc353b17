"""How entries find each other, starting from a few seeds."""
