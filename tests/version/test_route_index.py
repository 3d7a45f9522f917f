"""Tests of the finding of routes."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

from briarslip.version.record import Route
from briarslip.version.route_index import find_overlaps
from briarslip.version.route_index import find_route
from briarslip.version.route_index import index_routes


def made(name: str, path: str, *methods: str) -> Route:
    """Return a route."""
    return Route(
        name, "a", path, "bulk", timedelta(1), False, "none", frozenset(methods)
    )


def reference(routes: list[Route], path: str, method: str) -> Route | None:
    """Find a route by looking at all of them."""
    fitting = [
        r
        for r in routes
        if (method in r.methods or not r.methods)
        and (r.path_prefix == "/" or f"{path}/".startswith(f"{r.path_prefix}/"))
    ]
    return max(
        fitting, key=lambda r: (len(r.path_prefix), bool(r.methods)), default=None
    )


class RouteIndexTest(unittest.TestCase):
    """The longest path that ends at a segment's border wins."""

    def test_prefix_ends_at_a_segment(self) -> None:
        root = index_routes([made("hold", "/hold"), made("lot", "/hold/lot")])
        found = {
            path: getattr(find_route(root.root, path, "GET"), "name", "")
            for path in (
                "/hold",
                "/hold/",
                "/hold/1?x=/lot",
                "/holdings",
                "/hold/lot/2",
            )
        }
        self.assertEqual(list(found.values()), ["hold", "hold", "hold", "", "lot"])

    def test_query_is_no_part_of_the_path(self) -> None:
        root = index_routes([made("r", "/x/y")])
        self.assertIsNone(find_route(root.root, "/x?/y", "GET"))
        self.assertIsNotNone(find_route(root.root, "/x/y?q", "GET"))

    def test_methods_fall_back_to_a_shorter_path(self) -> None:
        root = index_routes([made("any", "/x"), made("put", "/x/y", "PUT")])
        for method, name in (("PUT", "put"), ("GET", "any")):
            found = find_route(root.root, "/x/y/z", method)
            self.assertEqual(found.name if found else "", name)

    def test_agrees_with_a_scan(self) -> None:
        rng = random.Random(4)
        segments = ("a", "b", "ab", "c")
        paths = {
            "/" + "/".join(rng.choices(segments, k=rng.randrange(5))) for _ in range(60)
        }
        routes = [made(p, p, *rng.choice(((), ("GET",)))) for p in sorted(paths)]
        root = index_routes(routes)
        for _ in range(500):
            path = "/" + "/".join(rng.choices(segments, k=rng.randrange(1, 7)))
            for method in ("GET", "POST"):
                self.assertEqual(
                    find_route(root.root, path, method), reference(routes, path, method)
                )

    def test_routes_that_match_the_same_are_found(self) -> None:
        routes = [
            made("a", "/x", "GET"),
            made("b", "/x", "GET", "PUT"),
            made("c", "/x"),
        ]
        self.assertEqual([f.source for f in find_overlaps(routes)], ["route b"])
