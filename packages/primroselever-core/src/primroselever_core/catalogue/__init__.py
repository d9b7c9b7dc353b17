"""The copy that each process keeps of what operators and back ends publish."""
