"""
The decision logic of the system, without input or output.

Nothing in this package opens a socket or a file, starts a thread or reads a clock. The
time is passed in as ``now``, in seconds of a monotonic clock, and so is the source of
random numbers. The same events therefore always lead to the same decisions, which the
golden files and the models rely on.
"""
