"""Control: keeping profiles and members up to date, and saying how old they are."""
