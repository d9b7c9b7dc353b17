"""Settings: one JSON file with comments for each process, checked as a whole."""
