"""
Randomized soak tests that inject faults from outside into the real programs.

Entries and agents run as separate processes on loopback addresses. The driver process
simulates the rest of the platform: the store, the back ends, the origin of weights, the
operator and the callers. The seed determines the choice and timing of faults. The
ledger compares the answers that callers received with the requests that back ends ran.
"""
