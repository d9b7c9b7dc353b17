"""An agent that loads weights into its engine and reports the engine's state."""
