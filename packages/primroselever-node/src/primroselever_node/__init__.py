"""Code that the entry and the agent share: settings, logs, metrics and RPC."""
