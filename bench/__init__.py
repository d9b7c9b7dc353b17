"""Stand-ins, a fleet launcher, a load driver and experiments; not packaged."""
