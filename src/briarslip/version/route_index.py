"""The index that finds a request's route by path and method."""

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
    """The routes by path, and those of single hosts by host and prefix."""

    root: RouteNode = field(default_factory=lambda: RouteNode())
    hosts: dict[str, dict[str, Route]] = field(default_factory=dict)

    def find(self, host: str, target: str, method: str) -> Route | None:
        """Return the route of a request, one of its host before others."""
        prefixes = self.hosts.get(host) or self.hosts.get(host.partition(":")[0])
        if prefixes is not None:
            route = _longest_prefix(prefixes, target.partition("?")[0])
            if route is not None:
                return route
        return find_route(self.root, target, method)


@dataclass(slots=True)
class RouteNode:
    """A path segment: the routes that end here, by method, and what follows."""

    routes: dict[str, Route] = field(default_factory=dict)
    children: dict[str, RouteNode] = field(default_factory=dict)


def index_routes(routes: Iterable[Route]) -> RouteIndex:
    """Return the index of routes that do not overlap."""
    index = RouteIndex()
    for route in routes:
        if route.host:
            index.hosts.setdefault(route.host, {})[route.path_prefix] = route
            continue
        node = index.root
        for segment in _segments(route.path_prefix):
            node = node.children.setdefault(segment, RouteNode())
        for method in route.methods or (ANY_METHOD,):
            node.routes[method] = route
    return index


def _longest_prefix(prefixes: Mapping[str, Route], path: str) -> Route | None:
    """Return the route whose prefix, which ends with a slash, begins the path."""
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None


def find_route(root: RouteNode, target: str, method: str) -> Route | None:
    """Return the route with the longest path that admits the request.

    ``target`` is a path, with or without a query, which is not looked at. On
    one path a route that names the method goes before one for any method.
    """
    best = root.routes.get(method) or root.routes.get(ANY_METHOD)
    node = root
    for segment in _segments(target.partition("?")[0]):
        child = node.children.get(segment)
        if child is None:
            return best
        node = child
        best = node.routes.get(method) or node.routes.get(ANY_METHOD) or best
    return best


def find_overlaps(routes: Iterable[Route]) -> Iterable[Finding]:
    """Yield a finding for each route that another one of its path shadows."""
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
