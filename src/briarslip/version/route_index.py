"""Index of routes by host, path and method."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from briarslip.finding import Finding


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from briarslip.version.record import Route


ANY_METHOD = ""


@dataclass(slots=True)
class RouteIndex:
    """All routes of a routing table, indexed for lookup.

    ``root`` is a trie over path segments with the routes of any host.
    ``routes_by_host`` holds the routes of a single host by host and path prefix.
    """

    root: RouteNode = field(default_factory=lambda: RouteNode())
    routes_by_host: dict[str, dict[str, Route]] = field(default_factory=dict)

    def find(self, host: str, target: str, method: str) -> Route | None:
        """Return the matching route, or None; routes of the host take precedence."""
        prefixes = self.routes_by_host.get(host) or self.routes_by_host.get(
            host.partition(":")[0]
        )
        if prefixes is not None:
            route = _find_longest_prefix(prefixes, target.partition("?")[0])
            if route is not None:
                return route
        return find_route(self.root, target, method)


@dataclass(slots=True)
class RouteNode:
    """A trie node for one path segment.

    ``routes`` holds the routes whose path ends here by method, ``children`` the
    nodes of the following segments.
    """

    routes: dict[str, Route] = field(default_factory=dict)
    children: dict[str, RouteNode] = field(default_factory=dict)


def index_routes(routes: Iterable[Route]) -> RouteIndex:
    """Build the index of routes that do not overlap."""
    index = RouteIndex()
    for route in routes:
        if route.host:
            index.routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
            continue
        node = index.root
        for segment in _segments(route.path_prefix):
            node = node.children.setdefault(segment, RouteNode())
        for method in route.methods or (ANY_METHOD,):
            node.routes[method] = route
    return index


def _find_longest_prefix(prefixes: Mapping[str, Route], path: str) -> Route | None:
    """Return the route whose prefix of the path is longest; prefixes end with "/"."""
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def find_route(root: RouteNode, target: str, method: str) -> Route | None:
    """Return the route with the longest matching path, or None.

    ``target`` is a path; a query is ignored. Of two routes with the same path,
    one that names the method takes precedence over one for any method.
    """
    route = root.routes.get(method) or root.routes.get(ANY_METHOD)
    node = root
    for segment in _segments(target.partition("?")[0]):
        child = node.children.get(segment)
        if child is None:
            return route
        node = child
        route = node.routes.get(method) or node.routes.get(ANY_METHOD) or route
    return route


def find_overlaps(routes: Iterable[Route]) -> Iterable[Finding]:
    """Yield a finding for each route that matches the same requests as an earlier one.

    Routes are compared in the order of their names.
    """
    seen: dict[tuple[str, str, str], str] = {}
    for route in sorted(routes, key=lambda r: r.name):
        for method in sorted(route.methods) or (ANY_METHOD,):
            other = seen.setdefault((route.host, route.path_prefix, method), route.name)
            if other != route.name:
                reason = f"matches the same requests as route {other!r}"
                yield Finding(f"route {route.name}", 0, "", "path", reason)
                break


def _segments(path: str) -> list[str]:
    stripped = path.strip("/")
    return stripped.split("/") if stripped else []


__all__ = ["RouteIndex", "RouteNode", "find_overlaps", "find_route", "index_routes"]
