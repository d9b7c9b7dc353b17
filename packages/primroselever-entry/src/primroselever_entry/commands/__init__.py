"""The command line commands of the entry."""
