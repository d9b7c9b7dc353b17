"""
The entry: one process on each entry VM, behind the platform balancer.

It accepts requests over HTTP, chooses a backend server, forwards the whole answer
and reports to each caller the true outcome of its request.
"""
