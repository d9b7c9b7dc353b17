"""Routes that no request can match."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .finding import error, name_place, warning

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ..catalogue.model import Configuration, Route
    from .finding import RatedFinding


def check_routes(configuration: Configuration) -> Iterator[RatedFinding]:
    """
    Yield the routes that no request can match, and names that two routes share.

    The longest prefix of a path wins, and the first of equal ones. So a route hides
    only another with the same host and prefix, and ``/`` hides the empty prefix.
    """
    patterns = {(each.host.lower(), each.path_prefix) for each in configuration.routes}
    first: dict[tuple[str, str], Route] = {}
    names: set[str] = set()
    for route in configuration.routes:
        place = name_place(route)
        pattern = route.host.lower(), route.path_prefix
        if pattern in first:
            yield error(
                place,
                f"it can never match: route {first[pattern].name} comes first and has "
                "the same host and prefix",
                "remove one of them, or give it another prefix",
            )
        elif not route.path_prefix and (pattern[0], "/") in patterns:
            yield error(
                place,
                "it can never match: a route of the same host has the prefix '/', "
                "with which each path begins",
                "remove one of them",
            )
        first.setdefault(pattern, route)
        if route.name in names:
            yield warning(
                place,
                "another route has the same name, so logs do not tell them apart",
                "give each route its own name",
            )
        names.add(route.name)
        yield from check_pattern(route)


def check_pattern(route: Route) -> Iterator[RatedFinding]:
    """Yield why the host or prefix of a route matches no request."""
    host, prefix = route.host, route.path_prefix
    if not host or ":" in host or not is_latin(host):
        yield error(
            name_place(route, "host"),
            f"it can never match: {host!r} is not the name of a host without a port",
            "give the host as callers send it, without its port",
        )
    if prefix and not prefix.startswith("/"):
        yield error(
            name_place(route, "prefix"),
            f"it can never match: {prefix!r} does not begin with a slash",
            "begin it with a slash",
        )
    elif "?" in prefix or not is_latin(prefix):
        yield error(
            name_place(route, "prefix"),
            f"it can never match: {prefix!r} is not a path as callers send it",
            "leave out the query, and encode other letters than Latin ones",
        )


def is_latin(text: str) -> bool:
    """Return whether all characters are those that entries decode in a head."""
    return all(ord(character) < 256 for character in text)
