"""Discovery of entries from a few seeds, and their roles as readers of the store."""
