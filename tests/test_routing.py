"""Tests of routing configurations: what is refused, and what a request is matched with."""

import unittest
from dataclasses import replace

from daleroad.errors import Failure, FailureKind
from daleroad.routing import (
    OrganisationRule,
    Repeat,
    RouteRule,
    RoutingConfig,
    RoutingTable,
    ServiceRule,
    Target,
    find_fault,
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


class FaultTest(unittest.TestCase):
    def test_a_sound_configuration_has_no_fault(self) -> None:
        self.assertIsNone(find_fault(make_config()))

    def test_each_fault_is_found_and_names_its_place(self) -> None:
        route = make_route()
        faulty = {
            "unknown service": replace(route, targets=(Target("x", 1.0),)),
            "add up to 0": replace(route, targets=(Target("s", 0.0), Target("t", 0.0))),
            "weight below 0": replace(route, targets=(Target("s", -1.0), Target("t", 3.0))),
            "timeout of 0": replace(route, timeout=0.0),
            "slash at both ends": replace(route, prefix="/a"),
        }
        for reason, changed in faulty.items():
            with self.subTest(reason):
                found = find_fault(make_config(changed))
                assert found is not None
                self.assertIs(found.kind, FailureKind.INVALID)
                self.assertIn(reason, found.reason)
                self.assertIn("route r", found.reason)

    def test_two_routes_at_one_place_are_refused(self) -> None:
        found = find_fault(make_config(make_route("a"), make_route("b")))
        assert found is not None
        self.assertIn("another route", found.reason)

    def test_a_key_of_two_organisations_is_refused(self) -> None:
        config = make_config()
        other = OrganisationRule("p", ("k2",), None)
        found = find_fault(replace(config, organisations=(*config.organisations, other)))
        assert found is not None
        self.assertIn("one of its keys", found.reason)

    def test_a_key_that_one_organisation_lists_twice_is_no_fault(self) -> None:
        config = make_config()
        twice = OrganisationRule("o", ("k1", "k1"), None)
        self.assertIsNone(find_fault(replace(config, organisations=(twice,))))


class MatchTest(unittest.TestCase):
    def setUp(self) -> None:
        routes = (make_route("short", prefix="/a/"), make_route("long", prefix="/a/b/"))
        self.table = RoutingTable(make_config(*routes))

    def match(self, host: str, path: str) -> str:
        found = self.table.match(host, path)
        return found.kind if isinstance(found, Failure) else found.name

    def test_the_longest_prefix_wins(self) -> None:
        self.assertEqual(self.match("h.example", "/a/x"), "short")
        self.assertEqual(self.match("h.example", "/a/b/x"), "long")
        self.assertEqual(self.match("h.example", "/a/b/"), "long")

    def test_a_prefix_ends_at_a_slash(self) -> None:
        self.assertEqual(self.match("h.example", "/a/bx"), "short")
        self.assertEqual(self.match("h.example", "/ab"), FailureKind.UNKNOWN_ROUTE)
        self.assertEqual(self.match("h.example", "/a"), FailureKind.UNKNOWN_ROUTE)

    def test_hosts_are_told_apart_without_port_and_case(self) -> None:
        self.assertEqual(self.match("H.Example:8740", "/a/"), "short")
        self.assertEqual(self.match("other.example", "/a/"), FailureKind.UNKNOWN_ROUTE)

    def test_keys_name_their_organisation(self) -> None:
        found = self.table.identify("k2")
        assert not isinstance(found, Failure)
        self.assertEqual(found.name, "o")
        unknown = self.table.identify("k3")
        assert isinstance(unknown, Failure)
        self.assertIs(unknown.kind, FailureKind.UNAUTHENTICATED)

    def test_weights_split_a_route(self) -> None:
        route = replace(make_route(), targets=(Target("s", 90), Target("t", 10), Target("s", 0)))
        picked = [self.table.pick_service(route, draw / 100) for draw in range(100)]
        self.assertEqual(picked.count("s"), 90)
        self.assertEqual(picked.count("t"), 10)
