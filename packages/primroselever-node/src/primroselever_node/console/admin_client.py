"""Client of the admin port of a running process."""

from __future__ import annotations

import argparse
import json
from typing import Any
from urllib.parse import urlencode

from ..exceptions import AdminError

TIMEOUT_S = 3.0
MAX_PORT = 65535


def admin_address(text: str) -> tuple[str, int]:
    """
    Return the host and port in a command-line argument.

        >>> admin_address("10.0.0.7:9101")
        ('10.0.0.7', 9101)
    """
    host, _, port = text.removeprefix("http://").rstrip("/").rpartition(":")
    if not host or not port.isdecimal() or not 0 < int(port) <= MAX_PORT:
        raise argparse.ArgumentTypeError(f"{text!r} is not of the form HOST:PORT")
    return host, int(port)


def fetch_json(address: tuple[str, int], path: str, query: dict[str, str]) -> Any:
    """Return the JSON document at a path, or raise ``AdminError``."""
    # Imported here because a process that serves shares this module.
    import urllib3

    host, port = address
    url = f"http://{host}:{port}{path}"
    if query:
        url += f"?{urlencode(query)}"
    try:
        reply = urllib3.request("GET", url, timeout=TIMEOUT_S, retries=False)
    except urllib3.exceptions.HTTPError as exc:
        message = f"no response from {host}:{port}; is it the admin port, and open?"
        raise AdminError(message) from exc
    if reply.status != 200:
        text = reply.data.decode("utf-8", "replace").strip()
        raise AdminError(f"{host}:{port} returned status {reply.status}: {text}")
    try:
        return json.loads(reply.data)
    except ValueError as exc:
        message = f"{host}:{port} did not return JSON; is it the admin port?"
        raise AdminError(message) from exc
