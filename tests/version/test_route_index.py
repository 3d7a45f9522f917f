"""Tests of route lookup."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

from briarslip.version.record import Route
from briarslip.version.route_index import find_overlaps
from briarslip.version.route_index import find_route
from briarslip.version.route_index import index_routes


def make_route(name: str, path: str, *methods: str) -> Route:
    """Build a route."""
    return Route(
        name, "a", path, "bulk", timedelta(1), False, "none", frozenset(methods)
    )


def scan_for_route(routes: list[Route], path: str, method: str) -> Route | None:
    """Find a route by a linear scan."""
    matching = [
        r
        for r in routes
        if (method in r.methods or not r.methods)
        and (r.path_prefix == "/" or f"{path}/".startswith(f"{r.path_prefix}/"))
    ]
    return max(
        matching, key=lambda r: (len(r.path_prefix), bool(r.methods)), default=None
    )


class RouteIndexTest(unittest.TestCase):
    """The route with the longest path of whole segments is found."""

    def test_prefix_matches_whole_segments(self) -> None:
        index = index_routes(
            [make_route("hold", "/hold"), make_route("lot", "/hold/lot")]
        )
        found = {
            path: getattr(find_route(index.root, path, "GET"), "name", "")
            for path in (
                "/hold",
                "/hold/",
                "/hold/1?x=/lot",
                "/holdings",
                "/hold/lot/2",
            )
        }
        self.assertEqual(list(found.values()), ["hold", "hold", "hold", "", "lot"])

    def test_query_is_ignored(self) -> None:
        index = index_routes([make_route("r", "/x/y")])
        self.assertIsNone(find_route(index.root, "/x?/y", "GET"))
        self.assertIsNotNone(find_route(index.root, "/x/y?q", "GET"))

    def test_other_method_falls_back_to_a_shorter_path(self) -> None:
        index = index_routes(
            [make_route("any", "/x"), make_route("put", "/x/y", "PUT")]
        )
        for method, name in (("PUT", "put"), ("GET", "any")):
            found = find_route(index.root, "/x/y/z", method)
            self.assertEqual(found.name if found else "", name)

    def test_agrees_with_linear_scan(self) -> None:
        rng = random.Random(4)
        segments = ("a", "b", "ab", "c")
        paths = {
            "/" + "/".join(rng.choices(segments, k=rng.randrange(5))) for _ in range(60)
        }
        routes = [make_route(p, p, *rng.choice(((), ("GET",)))) for p in sorted(paths)]
        index = index_routes(routes)
        for _ in range(500):
            path = "/" + "/".join(rng.choices(segments, k=rng.randrange(1, 7)))
            for method in ("GET", "POST"):
                self.assertEqual(
                    find_route(index.root, path, method),
                    scan_for_route(routes, path, method),
                )

    def test_overlapping_routes_are_found(self) -> None:
        routes = [
            make_route("a", "/x", "GET"),
            make_route("b", "/x", "GET", "PUT"),
            make_route("c", "/x"),
        ]
        self.assertEqual([f.source for f in find_overlaps(routes)], ["route b"])
