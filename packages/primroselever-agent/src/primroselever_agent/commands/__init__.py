"""The commands of the agent binary."""
