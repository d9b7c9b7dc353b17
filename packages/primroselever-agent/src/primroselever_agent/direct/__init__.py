"""An agent that fills its engine and reports on it, outside the path of requests."""
