"""
A randomized soak of the real programs under faults that come from outside.

Entries and agents run as separate processes on addresses of the loopback range. The
driver plays the platform: its store, the back ends, the origin of weights, the
operator and the callers. A seed decides which faults come when; the ledger checks what
callers were told against what back ends ran.
"""
