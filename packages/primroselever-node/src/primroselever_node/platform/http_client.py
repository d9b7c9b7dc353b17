"""The urllib3 pool that all HTTP clients of this package use."""

from __future__ import annotations

import urllib3

CONNECT_TIMEOUT_S = 1.0


def new_http_pool(connections: int = 16) -> urllib3.PoolManager:
    """Return a connection pool without retries, which are up to the caller."""
    return urllib3.PoolManager(
        num_pools=8, maxsize=connections, block=False, retries=False
    )


def new_timeout(read_s: float) -> urllib3.Timeout:
    """Return the timeouts of a call; ``read_s`` bounds the wait for more data."""
    return urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=read_s)
