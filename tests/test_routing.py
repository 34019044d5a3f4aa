"""Tests of routing: validation of configurations, and matching of requests."""

import time
import unittest
from dataclasses import replace
from itertools import permutations

from daleroad.errors import Failure, FailureKind
from daleroad.routing import (
    OrganisationRule,
    Repeat,
    RouteRule,
    RoutingConfig,
    RoutingTable,
    ServiceRule,
    Target,
)
from daleroad.validation import validate_config

MAX_PATH_CHARACTERS = 16_000
"""About as long as the default limit of a request's header allows."""

MAX_MATCH_SECONDS = 0.02

HOSTS = (
    "site.example",
    "Site.Example",
    "site.example.",
    "site.example:",
    "site.example:80",
    "SITE.example:80",
    "site.example:8740",
    "site2.example",
    "kite.example",
    "\N{KELVIN SIGN}ite.example",
    "[::1]",
    "[::1]:80",
    "",
    ":80",
)


def make_route(name: str = "r", host: str = "h.example", prefix: str = "/a/") -> RouteRule:
    return RouteRule(
        name=name,
        host=host,
        prefix=prefix,
        repeat=Repeat.ONCE,
        timeout=1.0,
        objective=0.2,
        pause=0.0,
        rank=2,
        targets=(Target("s", 1.0),),
        attempts=1,
        public=False,
        prompts=False,
    )


def make_config(*routes: RouteRule, version: int = 1) -> RoutingConfig:
    services = (ServiceRule("s", "/healthz", 10, None), ServiceRule("t", "/healthz", 10, None))
    organisations = (OrganisationRule("o", ("k1", "k2"), None),)
    return RoutingConfig(version, routes or (make_route(),), services, organisations)


class ValidationTest(unittest.TestCase):
    def test_valid_configuration_has_no_error(self) -> None:
        self.assertIsNone(validate_config(make_config()))

    def test_each_error_is_found_and_names_its_route(self) -> None:
        route = make_route()
        invalid = {
            "unknown service": replace(route, targets=(Target("x", 1.0),)),
            "sum of the target weights must be above 0": replace(
                route, targets=(Target("s", 0.0), Target("t", 0.0))
            ),
            "has a negative weight": replace(route, targets=(Target("s", -1.0), Target("t", 3.0))),
            "timeout must be above 0": replace(route, timeout=0.0),
            "must start and end with a slash": replace(route, prefix="/a"),
        }
        for reason, changed in invalid.items():
            with self.subTest(reason):
                found = validate_config(make_config(changed))
                assert found is not None
                self.assertIs(found.kind, FailureKind.INVALID)
                self.assertIn(reason, found.reason)
                self.assertIn("route r", found.reason)

    def test_routes_with_equal_host_and_prefix_are_rejected(self) -> None:
        found = validate_config(make_config(make_route("a"), make_route("b")))
        assert found is not None
        self.assertIn("another route has the same host and prefix", found.reason)

    def test_routes_whose_hosts_differ_in_case_are_rejected(self) -> None:
        """Guards against review/7: the later route took over all requests of the other."""
        first, second = make_route("a", "site.example"), make_route("b", "Site.Example")
        found = validate_config(make_config(first, second))
        assert found is not None
        self.assertIs(found.kind, FailureKind.INVALID)
        self.assertIn("another route has the same host and prefix", found.reason)
        other_prefix = replace(second, prefix="/b/")
        self.assertIsNone(validate_config(make_config(first, other_prefix)))

    def test_key_of_two_organisations_is_rejected(self) -> None:
        config = make_config()
        other = OrganisationRule("p", ("k2",), None)
        found = validate_config(replace(config, organisations=(*config.organisations, other)))
        assert found is not None
        self.assertIn("one of its keys", found.reason)

    def test_key_listed_twice_by_one_organisation_is_accepted(self) -> None:
        config = make_config()
        organisation = OrganisationRule("o", ("k1", "k1"), None)
        self.assertIsNone(validate_config(replace(config, organisations=(organisation,))))


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = (make_route("short", prefix="/a/"), make_route("long", prefix="/a/b/"))
        self.table = RoutingTable(make_config(*routes))

    def match(self, host: str, path: str) -> str:
        found = self.table.match(host, path)
        return found.kind if isinstance(found, Failure) else found.name

    def test_longest_prefix_wins(self) -> None:
        self.assertEqual(self.match("h.example", "/a/x"), "short")
        self.assertEqual(self.match("h.example", "/a/b/x"), "long")
        self.assertEqual(self.match("h.example", "/a/b/"), "long")

    def test_prefix_matches_whole_path_segments(self) -> None:
        self.assertEqual(self.match("h.example", "/a/bx"), "short")
        self.assertEqual(self.match("h.example", "/ab"), FailureKind.UNKNOWN_ROUTE)
        self.assertEqual(self.match("h.example", "/a"), FailureKind.UNKNOWN_ROUTE)

    def test_host_match_ignores_port_and_case(self) -> None:
        self.assertEqual(self.match("H.Example:8740", "/a/"), "short")
        self.assertEqual(self.match("other.example", "/a/"), FailureKind.UNKNOWN_ROUTE)

    def test_accepted_routes_get_the_requests_of_their_host(self) -> None:
        """Guards against the class of review/7: hosts that are checked and matched differently."""
        for first, second in permutations(HOSTS, 2):
            with self.subTest(f"{first!r} {second!r}"):
                config = make_config(make_route("a", first), make_route("b", second))
                if validate_config(config) is not None:
                    continue
                self.table = RoutingTable(config)
                self.assertEqual(self.match(first, "/a/"), "a")
                self.assertEqual(self.match(second, "/a/"), "b")
                self.assertEqual(self.table.list_overridden_routes(), ())

    def test_host_with_a_port_falls_back_to_the_routes_of_its_name(self) -> None:
        routes = (make_route("name", prefix="/a/"), make_route("port", "h.example:80", "/b/"))
        self.table = RoutingTable(make_config(*routes))
        self.assertEqual(self.match("h.example:80", "/a/"), "name")
        self.assertEqual(self.match("h.example:80", "/b/"), "port")
        self.assertEqual(self.match("h.example:81", "/b/"), FailureKind.UNKNOWN_ROUTE)
        self.assertEqual(self.match("h.example", "/b/"), FailureKind.UNKNOWN_ROUTE)

    def test_stored_config_whose_hosts_differ_in_case_is_applied_as_before(self) -> None:
        """Guards against gateways that forget what earlier versions had acknowledged."""
        routes = (make_route("a", "site.example"), make_route("b", "Site.Example"))
        self.table = RoutingTable(make_config(*routes))
        self.assertEqual(self.match("site.example", "/a/"), "b")
        self.assertEqual(self.table.list_overridden_routes(), routes[:1])

    def test_route_without_a_host_gets_no_requests_of_other_hosts(self) -> None:
        self.table = RoutingTable(make_config(make_route(host="")))
        for host in ("h.example", "h.example:80"):
            self.assertEqual(self.match(host, "/a/"), FailureKind.UNKNOWN_ROUTE)
        self.assertEqual(self.match("", "/a/"), "r")

    def test_long_path_is_matched_in_little_time(self) -> None:
        """Guards against a path of slashes that keeps all requests of a gateway waiting."""
        path = "/a/" + "/" * MAX_PATH_CHARACTERS
        began = time.process_time()
        self.assertEqual(self.match("h.example:80", path), "short")
        self.assertLess(time.process_time() - began, MAX_MATCH_SECONDS)

    def test_keys_identify_their_organisation(self) -> None:
        found = self.table.find_organisation("k2")
        assert not isinstance(found, Failure)
        self.assertEqual(found.name, "o")
        unknown = self.table.find_organisation("k3")
        assert isinstance(unknown, Failure)
        self.assertIs(unknown.kind, FailureKind.UNAUTHENTICATED)

    def test_requests_are_split_by_weight(self) -> None:
        route = replace(make_route(), targets=(Target("s", 90), Target("t", 10), Target("s", 0)))
        picked = [self.table.pick_service(route, draw / 100) for draw in range(100)]
        self.assertEqual(picked.count("s"), 90)
        self.assertEqual(picked.count("t"), 10)
