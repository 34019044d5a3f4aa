"""Tests, through the processes, that what a configuration says is applied or refused."""

import sys
import tempfile
import unittest
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import anyio
import httpx
import orjson

from daleroad.daleroad_pb import ChangeAnswer
from daleroad.errors import Failure
from daleroad.routing import RouteRule, RoutingConfig, RoutingTable
from daleroad.security import hash_token
from tests.crowds import ROOT, AnsweringUpstream, CrowdSite
from tests.harness import SiteTest
from tools.soakstutter import StutteringStream
from tools.soakupstreams import UpstreamRequest

sys.path.insert(0, str(ROOT / "platform"))

import wire  # noqa: E402

IN_FORCE_SECONDS = 5.0

ROUTE: dict[str, Any] = {
    "name": "r",
    "host": "site.example",
    "path_prefix": "/a/",
    "route_kind": "idempotent",
    "service": "s",
    "timeout_ms": 20_000,
    "max_attempts": 2,
}
ENGINE: dict[str, Any] = {"slots": 24, "kv_capacity_tokens": 34_305, "stride": 4}
CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [ROUTE],
    "services": [
        {"name": "s", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": False},
        {"name": "e", "max_conns": 110, "engine": ENGINE},
    ],
    "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304},
    "tenants": [{"name": "org", "api_keys": ["key"]}],
}

REFUSED: dict[str, tuple[Any, ...]] = {
    "tenants.0.name": ("a\r\nb: c", "a\0", "a\t", " a", "a ", ""),
    "tenants.0.api_keys.0": ("", " key", "key ", "a key", "ключ", "k\r\n", "k\0"),
    "routes.0.host": (" site.example", "site.example ", "sité.example", "a b", "a\r\nb", "a\0"),
    "routes.0.path_prefix": ("/é/", "/a b/", "/a?b/", "/a#b/", "/a\r\n/", "a/", "/a", ""),
    "routes.0.timeout_ms": (0, -1, 1e-7, 0.999, None, "20", True),
    "routes.0.max_attempts": (0, -1, 1.5, None, "2", True),
    "routes.0.target_latency_ms": (-1,),
    "routes.0.target_itl_ms": (-1,),
    "routes.0.priority": (1.5,),
    "services.0.name": ("", "s" * 257),
    "services.0.health_path": ("", "healthz", "/a\r\nb: c", "/ä"),
    "services.0.max_conns": (-1, 1.5),
    "services.0.cold_per_s": (-1, "", [], False),
    "services.0.protocol": ("h2", "", 1),
    "services.0.tls": (True, "no"),
    "services.1.name": ("s",),
    "services.1.engine.slots": (0, -1, 24.5),
    "services.1.engine.kv_capacity_tokens": (0, -1),
    "services.1.engine.stride": (0, -1, 1.5),
    "services.1.engine.kv_token_bytes": (-1,),
    "limits.max_header_bytes": (0, -1, 1.5),
    "limits.max_body_bytes": (-1, 0.5),
    "limits.header_timeout_ms": (0, -1, 0.5),
    "limits.idle_timeout_ms": (0, -1, 0.5),
    "version": (0, -1, "1", True, 2**60),
}
"""Values that can't be applied as they stand."""

ACCEPTED: dict[str, tuple[Any, ...]] = {
    "tenants.0.name": ("an org", "Übersee", "組織", "a" * 1000),
    "tenants.0.api_keys.0": ("a:b/c+d=", "k" * 200),
    "routes.0.host": ("Site.Example", "site.example:8740", "[::1]", "site.example."),
    "routes.0.path_prefix": ("/", "/a%20b/", "/a/b/", "//"),
    "routes.0.timeout_ms": (20_000.5,),
    "routes.0.max_attempts": (1, 2.0),
    "routes.0.priority": (0, None.__class__),
    "services.0.cold_per_s": (0, None, 100.5),
    "services.0.tls": (None,),
    "services.0.protocol": (None,),
    "limits.max_body_bytes": (0, 1),
}
"""Values that are applied; a class stands for a field that is left out."""


def change_config(place: str, value: object) -> dict[str, Any]:
    """Return the configuration with another value in one place, or without that place."""
    config = deepcopy(CONFIG)
    *path, last = (int(part) if part.isdigit() else part for part in place.split("."))
    holder: Any = config
    for part in path:
        holder = holder[part]
    if isinstance(value, type):
        holder.pop(last, None)
    else:
        holder[last] = value
    return config


def list_cases(values: dict[str, tuple[Any, ...]]) -> list[tuple[str, Any]]:
    return [(place, value) for place, found in values.items() for value in found]


class RecordingUpstream(AnsweringUpstream):
    """Keeps the headers of the last request that it answered."""

    last: dict[str, str]

    async def _answer(self, stream: StutteringStream, asked: UpstreamRequest) -> None:
        self.last = asked.headers
        await super()._answer(stream, asked)


@dataclass
class ConfiguredSite(CrowdSite):
    """A coordinator, a gateway and an upstream, with configurations that the test saves."""

    version: int = 0
    recording: RecordingUpstream = field(init=False)

    def __post_init__(self) -> None:
        super().__post_init__()
        control = self.list_listeners()["control"].address
        self.upstream = self.recording = RecordingUpstream(
            0, self.ledger, Random(0), [control], self.network, linked=False
        )

    async def _configure(self, client: httpx.AsyncClient) -> None:
        await super()._configure(client)
        self.version = 1

    async def save(self, config: dict[str, Any]) -> int:
        """Save a configuration under the next version, unless it has one; return the status."""
        if config["version"] is CONFIG["version"]:
            self.version += 1
            config = config | {"version": self.version}
        return await self.save_text(orjson.dumps(config))

    async def save_text(self, document: bytes) -> int:
        control = self.list_listeners()["control"].address
        async with httpx.AsyncClient(trust_env=False, timeout=10.0) as client:
            answer = await client.put(f"http://{control}/-/config", content=document)
        return answer.status_code

    async def wait_in_force(self, version: int) -> None:
        address = self.list_listeners()["gateway-metrics"].address
        with anyio.fail_after(IN_FORCE_SECONDS):
            async with httpx.AsyncClient(trust_env=False) as client:
                wanted = f"daleroad_config_version {version:g}\n"
                while wanted not in (await client.get(f"http://{address}/metrics")).text.replace(
                    ".0\n", "\n"
                ):
                    await anyio.sleep(0.02)

    async def fetch(self, config: dict[str, Any], target: str = "", host: str = "") -> int:
        """Send the request that a configuration's first route and key allow; return the status."""
        route = config["routes"][0]
        key = config["tenants"][0]["api_keys"][0]
        lines = [
            f"GET {target or route['path_prefix'] + 'x'} HTTP/1.1",
            f"Host: {host or route['host']}",
            "X-Daleroad-Attempt-Id: i1",
            f"Authorization: Bearer {key}",
            "Connection: close",
        ]
        address = self.list_listeners()["clients"].address.split(":")
        async with await anyio.connect_tcp(address[0], int(address[1])) as stream:
            await stream.send("\r\n".join([*lines, "", ""]).encode())
            with anyio.fail_after(10.0):
                return int((await stream.receive()).split(b" ")[1])


class SiteCase(unittest.TestCase):
    """A site of real processes."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory(prefix="daleroad-config-")
        self.addCleanup(folder.cleanup)
        self.site = ConfiguredSite(Path(folder.name))
        self.addCleanup(self.site.end_all)

    def play(self, body: Any) -> None:
        async def main() -> None:
            self.site.start_all()
            async with self.site.serve():
                await body()
            self.assertEqual(self.site.describe_ended(), "")

        anyio.run(main)


class ConfigurationTest(SiteCase):
    def test_value_that_cannot_be_applied_is_refused(self) -> None:
        """Guards against the class of review/7: acknowledged, and all requests refused."""

        async def body() -> None:
            for place, value in list_cases(REFUSED):
                with self.subTest(f"{place} {value!r}"):
                    self.assertEqual(await self.site.save(change_config(place, value)), 400)

        self.play(body)

    def test_value_that_is_acknowledged_reaches_the_upstream(self) -> None:
        """Guards against the class of review/7: what is checked differs from what is applied."""

        async def body() -> None:
            for place, value in list_cases(ACCEPTED):
                with self.subTest(f"{place} {value!r}"):
                    config = change_config(place, value)
                    self.assertEqual(await self.site.save(config), 200)
                    await self.site.wait_in_force(self.site.version)
                    self.assertEqual(await self.site.fetch(config), 200)
                    sent = self.site.recording.last["x-daleroad-tenant"]
                    self.assertEqual(sent, config["tenants"][0]["name"])

        self.play(body)

    def test_document_that_names_a_field_twice_is_refused(self) -> None:
        """Guards against the class of review/6: the last of two lists of organisations counted."""

        async def body() -> None:
            for place in ('"version"', '"name":"r"', '"slots"', '"max_body_bytes"'):
                name = place.partition(":")[0]
                whole = orjson.dumps(CONFIG | {"version": 50}).decode()
                at = whole.index(place)
                text = f"{whole[:at]}{name}:7,{whole[at:]}"
                with self.subTest(place):
                    self.assertEqual(await self.site.save_text(text.encode()), 400)
            text = whole[:-1] + ',"tenants":[]}'
            self.assertEqual(await self.site.save_text(text.encode()), 400)

        self.play(body)

    def test_request_in_absolute_form_gets_its_route(self) -> None:
        async def body() -> None:
            self.assertEqual(await self.site.save(CONFIG), 200)
            await self.site.wait_in_force(self.site.version)
            for target in ("http://site.example/a/x", "HTTP://Site.Example/a/x?y=/z"):
                with self.subTest(target):
                    found = await self.site.fetch(CONFIG, target, "other.example")
                    self.assertEqual(found, 200)
                    host = self.site.recording.last["host"]
                    self.assertEqual(host.lower(), "site.example")
            self.assertEqual(await self.site.fetch(CONFIG, "http://other.example/a/x"), 404)
            self.assertEqual(await self.site.fetch(CONFIG, "http://site.example"), 404)

        self.play(body)


class StoredConfigurationTest(unittest.TestCase):
    def test_document_that_is_nested_too_deep_is_refused(self) -> None:
        for depth in (100, 1_000, 1_020, 2_000, 100_000):
            with self.subTest(depth):
                deep = f'{{"x":{"[" * depth}{"]" * depth},{orjson.dumps(CONFIG).decode()[1:]}'
                found = wire.decode_config(deep.encode())
                self.assertIsInstance(found, RoutingConfig if depth == 100 else Failure)

    def test_value_that_an_earlier_version_accepted_is_still_applied(self) -> None:
        """Guards against gateways that forget what earlier versions had acknowledged."""
        for place, value in list_cases(REFUSED):
            with self.subTest(f"{place} {value!r}"):
                document = orjson.dumps(change_config(place, value))
                config = wire.decode_stored_config(document)
                if isinstance(config, Failure):
                    # Earlier versions refused values of another type, too.
                    self.assertIsInstance(wire.decode_config(document), Failure)
                    continue
                table = RoutingTable(config)
                for route in config.routes:
                    self.assertIsInstance(
                        table.match(route.host, route.prefix), RouteRule | Failure
                    )
                for service in config.services:
                    if service.engine is not None:
                        self.assertGreater(service.engine.event_tokens, 0)

    def test_value_that_is_accepted_means_the_same_once_it_is_stored(self) -> None:
        for place, value in list_cases(ACCEPTED):
            with self.subTest(f"{place} {value!r}"):
                document = orjson.dumps(change_config(place, value))
                config = wire.decode_config(document)
                self.assertIsInstance(config, RoutingConfig)
                self.assertEqual(config, wire.decode_stored_config(document))


class OwnFaceTest(SiteTest):
    """Records of the product's own catalog."""

    ENTRIES = 1

    def change(self, kind: str, body: dict[str, Any] | str, partner: str = "stoyanov") -> Any:
        text = body if isinstance(body, str) else orjson.dumps(body).decode()
        return self.make_operator(partner).change(kind, text, 0)

    def refuse(self, kind: str, body: dict[str, Any] | str, partner: str = "stoyanov") -> None:
        answer = self.change(kind, body, partner)
        assert isinstance(answer, ChangeAnswer), answer
        self.assertFalse(answer.accepted, f"{kind} {body}")
        self.assertIn(answer.failure, ("invalid-change", "bad-request"))

    def test_record_that_cannot_be_used_is_refused(self) -> None:
        mine = {"partner": "stoyanov", "name": "n"}
        taken = hash_token("taken")
        organisation = mine | {"token_hash": taken}
        answer = self.change("PutOrganisation", organisation)
        self.assertTrue(answer.accepted, answer)
        with self.subTest("a token of two organisations"):
            self.refuse("PutOrganisation", organisation | {"name": "m"})
            other = organisation | {"partner": "tamarack", "name": "m"}
            self.refuse("PutOrganisation", other, "tamarack")
        hashes = ("", "é" * 64, taken.upper(), "x" * 64, taken[:-1], f" {taken[1:]}")
        for number, token_hash in enumerate(hashes):
            for kind in ("PutOrganisation", "PutOperator"):
                with self.subTest(f"{kind} {token_hash!r}"):
                    self.refuse(kind, mine | {"name": f"o{number}", "token_hash": token_hash})
        with self.subTest("a token of two operators"):
            shown = hash_token("operator-tamarack-token")
            self.refuse("PutOperator", mine | {"token_hash": shown})
        with self.subTest("a share beside the partner's share"):
            self.refuse("PutShare", mine | {"share": 0.01})
        with self.subTest("a member twice"):
            text = '{"name":"n2","partner":"stoyanov","partner":"stoyanov","token_hash":"%s"}'
            self.refuse("PutOrganisation", text % hash_token("n2"))
        with self.subTest("operators still work"):
            self.assertTrue(
                self.change(
                    "PutOrganisation", mine | {"name": "late", "token_hash": hash_token("late")}
                ).accepted
            )

    def test_route_that_cannot_be_used_is_refused(self) -> None:
        operator = self.make_operator("stoyanov")
        service = self.site.plain[0].service
        route = {"name": "p", "partner": "stoyanov", "service": service}
        self.refuse("PutRoute", route | {"name": "a/b"})
        model = {"name": "m-plain", "partner": "stoyanov", "service": service}
        self.assertTrue(self.change("PutModelVersion", model).accepted)
        split = {"models": [{"model": "m-plain", "weight": 1.0}]}
        self.refuse("PutRoute", route | split)
        answer = operator.change("PutRoute", orjson.dumps(route).decode(), 0)
        self.assertTrue(answer.accepted, answer)


if __name__ == "__main__":
    unittest.main()
