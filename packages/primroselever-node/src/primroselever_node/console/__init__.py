"""The command-line interface that both binaries share."""
