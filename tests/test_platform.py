"""Tests of the platform folder: wire decoding, upstream client, HTTP applications, startup."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import unittest
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import anyio
import orjson
import trio
from anyio.abc import SocketStream
from hypothesis import given, settings
from hypothesis import strategies as st

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "platform"))

import coordinatorprocess  # noqa: E402
import gatewayprocess  # noqa: E402
import wire  # noqa: E402
from clientface import make_job  # noqa: E402
from controlface import ControlApp  # noqa: E402
from engines import EngineClient, EventStream, make_socket_options  # noqa: E402
from faces import read_body, send_failure  # noqa: E402
from nodefile import read_node  # noqa: E402
from ports import prepare_gateway, wait_until_open  # noqa: E402

from daleroad.callers import Caller  # noqa: E402
from daleroad.channels import ChannelCalls  # noqa: E402
from daleroad.codec import encode  # noqa: E402
from daleroad.copyschedule import RunSize  # noqa: E402
from daleroad.defaults import FIRST_CONFIG_SECONDS  # noqa: E402
from daleroad.dispatch import (  # noqa: E402
    Attempt,
    ClientRequest,
    Copied,
    CopyFault,
    EngineReport,
    Lost,
    NotCopied,
    NotRun,
    Reply,
    StreamEvent,
    Whole,
)
from daleroad.errors import Failure, FailureKind, Ran  # noqa: E402
from daleroad.evacuations import EvacuatedZones, ZoneOutcome  # noqa: E402
from daleroad.fingerprints import fingerprint_job  # noqa: E402
from daleroad.instances import Instance, InstanceState  # noqa: E402
from daleroad.routing import Repeat, RoutingConfig  # noqa: E402
from daleroad.sitestate import Document  # noqa: E402
from daleroad.stalls import StallDetector  # noqa: E402
from daleroad.validation import validate_config  # noqa: E402
from tests.fakes import FakeDispatcher, make_gateway  # noqa: E402

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "path_prefix": "/a/",
            "route_kind": "streaming",
            "timeout_ms": 39000,
            "target_latency_ms": 1800,
            "priority": 1,
            "traffic_split": [
                {"service": "s1", "weight": 90},
                {"service": "s2", "weight": 10},
            ],
            "max_attempts": 1,
            "public": False,
            "sticky": True,
            "resumable": True,
            "target_itl_ms": 180,
        },
        {
            "name": "r2",
            "host": "h.example",
            "path_prefix": "/b/",
            "route_kind": "idempotent",
            "timeout_ms": 800,
            "service": "s2",
            "max_attempts": 2,
        },
    ],
    "services": [
        {
            "name": "s1",
            "health_path": "/healthz",
            "max_conns": 252,
            "engine": {
                "slots": 24,
                "kv_capacity_tokens": 34305,
                "kv_token_bytes": 327680,
                "link_mbps": 47000.0,
                "moves": True,
                "backups": True,
                "stride": 4,
            },
        },
        {"name": "s2", "health_path": "/healthz", "max_conns": 110},
    ],
    "limits": {"max_body_bytes": 100, "idle_timeout_ms": 15000},
    "tenants": [{"name": "t", "api_keys": ["k1", "k2"], "priority": 1}],
}


EMPTY_VALUES = (None, False, 0, "", {})
"""Empty values of all types that aren't a list."""


NODE = {
    "node_name": "n",
    "ip": "10.0.0.1",
    "zone": "z",
    "region": "r",
    "listen": {"frontend": "10.0.0.1:8740"},
    "internal_ports": [7200, 7215],
    "seeds": ["10.0.0.1:8748", "10.0.0.2:8748"],
    "bootstrap": True,
    "in_tolerance": True,
    "data_dir": "/data/x",
    "heartbeat_ms": 1200,
    "bounds": {"budget_slack": 64, "strict_revocation": True, "revoke_ms": 4000},
    "something_new": 1,
}


def list_places(value: Any) -> Iterator[tuple[Any, Any]]:
    """Yield each place in a JSON document, as its container and its key there."""
    match value:
        case dict():
            items = list(value.items())
        case list():
            items = list(enumerate(value))
        case _:
            return
    for key, inner in items:
        yield value, key
        yield from list_places(inner)


def decode(**changes: object) -> RoutingConfig | Failure:
    return wire.decode_config(orjson.dumps({**CONFIG, **changes}))


def decode_without(field: str) -> RoutingConfig | Failure:
    rest = {name: value for name, value in CONFIG.items() if name != field}
    return wire.decode_config(orjson.dumps(rest))


class ConfigTest(unittest.TestCase):
    def test_complete_config_is_decoded(self) -> None:
        config = decode()
        assert isinstance(config, RoutingConfig)
        stream, plain = config.routes
        self.assertIs(stream.repeat, Repeat.STREAM)
        self.assertEqual((stream.timeout, stream.objective, stream.pause), (39.0, 1.8, 0.18))
        self.assertEqual([t.weight for t in stream.targets], [90, 10])
        self.assertEqual((plain.attempts, plain.public), (2, False))
        self.assertEqual((stream.resumable, plain.resumable), (True, False))
        engine = config.services[0].engine
        assert engine is not None
        # A token of 327,680 bytes on 47 Gbit/s.
        self.assertAlmostEqual(engine.token_seconds, 55.8e-6, places=7)
        self.assertEqual(engine.event_tokens, 4)
        self.assertEqual(config.limits.body_bytes, 100)
        self.assertEqual(config.organisations[0].rank, 1)
        self.assertIsNone(validate_config(config))

    def test_malformed_config_is_rejected(self) -> None:
        whole = orjson.dumps(CONFIG)
        for cut in (0, 1, len(whole) // 2, len(whole) - 1):
            self.assertIsInstance(wire.decode_config(whole[:cut]), Failure)
        for changes in (
            {"version": "7"},
            {"version": True},
            {"routes": None},
            {"routes": [{"name": "r"}]},
            {"services": [1]},
            {"tenants": [{"name": "t"}]},
        ):
            with self.subTest(changes):
                self.assertIsInstance(decode(**changes), Failure)

    def test_route_whose_host_is_no_text_is_refused(self) -> None:
        """Guards against review/3: such a route was acknowledged and ended all gateways."""
        for field in ("host", "path_prefix", "name"):
            for value in (None, 5, ["h.example"], {}):
                with self.subTest(f"{field} {value!r}"):
                    route = {**CONFIG["routes"][1], field: value}
                    self.assertIsInstance(decode(routes=[route]), Failure)

    def test_keys_that_are_no_list_of_texts_are_refused(self) -> None:
        for keys in ("k1", [1], None, {"k1": 1}):
            organisation = {"name": "t", "api_keys": keys}
            self.assertIsInstance(decode(tenants=[organisation]), Failure, keys)

    def test_empty_list_of_organisations_is_not_a_missing_one(self) -> None:
        """Guards against review/6: removing the last organisation let all keys in."""
        empty, missing = decode(tenants=[]), decode_without("tenants")
        assert isinstance(empty, RoutingConfig) and isinstance(missing, RoutingConfig)
        self.assertEqual(empty.organisations, ())
        self.assertIsNone(missing.organisations)
        self.assertIsNone(validate_config(empty))

    def test_field_that_is_no_list_is_not_read_as_a_missing_one(self) -> None:
        """Guards against the class of review/6: empty values opened the site."""
        for field in ("tenants", "routes", "services"):
            for value in EMPTY_VALUES:
                with self.subTest(f"{field} {value!r}"):
                    self.assertIsInstance(decode(**{field: value}), Failure)

    def test_empty_value_of_another_type_is_not_read_as_a_missing_part(self) -> None:
        """Guards against the class of review/6, in the fields of routes and services."""
        route, service = CONFIG["routes"][1], CONFIG["services"][1]
        for value in (False, 0, "", [], {}):
            with self.subTest(value):
                if value != []:
                    split = decode(routes=[{**route, "traffic_split": value}])
                    self.assertIsInstance(split, Failure)
                if value != {}:
                    services = [CONFIG["services"][0], {**service, "engine": value}]
                    self.assertIsInstance(decode(services=services), Failure)
                    self.assertIsInstance(decode(limits=value), Failure)

    def test_optional_part_that_is_null_or_empty_is_a_missing_one(self) -> None:
        route, service = CONFIG["routes"][1], CONFIG["services"][1]
        for split, engine in ((None, None), ([], {})):
            routes = [CONFIG["routes"][0], {**route, "traffic_split": split}]
            services = [CONFIG["services"][0], {**service, "engine": engine}]
            found = decode(routes=routes, services=services, limits=engine)
            self.assertEqual(found, decode_without("limits"))

    def test_stored_config_is_applied_although_it_would_be_refused_now(self) -> None:
        """Guards against gateways that forget what earlier versions had acknowledged."""
        plain = [{**CONFIG["routes"][1], "traffic_split": []}]
        services = [CONFIG["services"][0], {**CONFIG["services"][1], "engine": {}}]
        for value in EMPTY_VALUES:
            with self.subTest(value):
                changes = {"tenants": value, "limits": value, "routes": plain, "services": services}
                config = wire.decode_stored_config(dump({**CONFIG, **changes}))
                assert isinstance(config, RoutingConfig)
                self.assertIsNone(config.organisations)
                self.assertEqual([t.service for t in config.routes[0].targets], ["s2"])
                gateway = make_gateway(FakeDispatcher(), config, 0.0)
                self.assertEqual(gateway.get_version(), CONFIG["version"])
        emptied = wire.decode_stored_config(dump({**CONFIG, "routes": {}, "services": ""}))
        assert isinstance(emptied, RoutingConfig)
        self.assertEqual((emptied.routes, emptied.services), ((), ()))

    def test_coordinator_reads_a_stored_config_that_would_be_refused_now(self) -> None:
        """Guards against coordinators that forget what earlier versions had acknowledged."""

        async def main() -> None:
            node = replace(read_node(NODE), data_dir="")
            process = coordinatorprocess.CoordinatorProcess(node, ChannelCalls("secret"), 0)
            coordinator = process.coordinator
            text = dump({**CONFIG, "tenants": None}).decode()
            coordinator.record.apply_payload(1, encode(Document(7, text)).decode())
            self.assertEqual(coordinator.record.document.version, 7)

        with self.assertLogs() as logs:
            trio.run(main)
        self.assertEqual([line for line in logs.output if "DOCUMENT_UNREADABLE" in line], [])

    def test_stored_config_that_is_valid_is_read_as_when_it_was_saved(self) -> None:
        documents = (CONFIG, {**CONFIG, "tenants": []}, {**CONFIG, "limits": {}})
        for document in documents:
            body = dump(document)
            self.assertEqual(wire.decode_stored_config(body), wire.decode_config(body))

    def test_only_a_boolean_makes_a_route_public(self) -> None:
        for value in ("false", 1, []):
            route = {**CONFIG["routes"][1], "public": value}
            self.assertIsInstance(decode(routes=[route]), Failure, value)

    @settings(max_examples=300, deadline=None)
    @given(st.data())
    def test_config_with_an_arbitrary_value_is_refused_or_can_be_applied(
        self, data: st.DataObject
    ) -> None:
        changed = orjson.loads(orjson.dumps(CONFIG))
        places = list(list_places(changed))
        holder, key = data.draw(st.sampled_from(places))
        holder[key] = data.draw(json_values)
        config = wire.decode_config(dump(changed))
        if isinstance(config, Failure) or validate_config(config) is not None:
            return
        gateway = make_gateway(FakeDispatcher(), config, 0.0)
        assert gateway.table is not None
        gateway.table.match("h.example", "/a/b")
        gateway.table.find_organisation("k1")

    def test_unknown_fields_are_ignored(self) -> None:
        self.assertIsInstance(decode(something_new={"a": 1}), RoutingConfig)


HEARTBEAT = {
    "service": "s",
    "address": "1.2.3.4:5",
    "zone": "z",
    "version": "v1",
    "slots": 24,
    "state": "draining",
    "cold_remaining_ms": 500,
    "sequence": 4,
}

json_values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


def dump(value: object) -> bytes:
    # The standard library also writes integers of more than 64 bits.
    return json.dumps(value).encode()


class HeartbeatTest(unittest.TestCase):
    def test_heartbeat_is_decoded_and_a_malformed_one_rejected(self) -> None:
        found = wire.decode_heartbeat("i-1", orjson.dumps(HEARTBEAT))
        assert not isinstance(found, Failure)
        self.assertIs(found.instance.state, InstanceState.LEAVING)
        self.assertEqual((found.instance.id, found.cold), ("i-1", 0.5))
        for broken in (b"", b"[]", orjson.dumps(HEARTBEAT | {"state": "odd"}), b'{"service":"s"}'):
            self.assertIsInstance(wire.decode_heartbeat("i-1", broken), Failure)

    def test_each_start_of_an_upstream_is_a_separate_instance(self) -> None:
        starts = [wire.decode_heartbeat("i-1", dump(HEARTBEAT | {"born": born})) for born in (7, 8)]
        self.assertEqual([s.instance.get_name() for s in starts], ["i-1", "i-1"])
        self.assertEqual([s.instance.born for s in starts], [7, 8])
        self.assertEqual(len({s.instance.id for s in starts}), 2)

    def test_heartbeat_with_an_invalid_field_is_rejected(self) -> None:
        wrong: dict[str, tuple[object, ...]] = {
            "service": (1, None, "", ["s"], {"s": 1}, "s" * 300),
            "address": (5, "x", "1.2.3.4", "1.2.3.4:", "1.2.3.4:x", "1.2.3.4:0", "h:80", "1.2.3:4"),
            "zone": ({}, None, "", 3),
            "slots": (True, -1, 1.5, "24", None, 2**60),
            "state": ("odd", 1, None, ["ready"], {}),
            "sequence": (True, -4, 1.0, "4", None),
            "born": (True, -1, 1.5, "7", None, [], 2**60),
            "cold_remaining_ms": ("5", True, [], None, 2**60),
        }
        for field, values in wrong.items():
            for value in values:
                with self.subTest(field=field, value=value):
                    found = wire.decode_heartbeat("i-1", dump(HEARTBEAT | {field: value}))
                    assert isinstance(found, Failure), found
                    self.assertLess(len(found.reason), 300)
        for field in ("service", "address", "zone", "slots", "state", "sequence"):
            rest = {name: value for name, value in HEARTBEAT.items() if name != field}
            self.assertIsInstance(wire.decode_heartbeat("i-1", dump(rest)), Failure, field)
        for name in ("", "i" * 300):
            self.assertIsInstance(wire.decode_heartbeat(name, dump(HEARTBEAT)), Failure)

    def test_leave_may_name_the_start_of_the_upstream(self) -> None:
        self.assertEqual(wire.decode_leave("i-1", b""), wire.Leave("i-1", 0))
        self.assertEqual(wire.decode_leave("i-1", b'{"born":7}'), wire.Leave("i-1", 7))
        for broken in (b"{", b"[]", b'{"born":"7"}', b'{"born":true}'):
            self.assertIsInstance(wire.decode_leave("i-1", broken), Failure)

    def test_report_names_the_start_of_the_engine(self) -> None:
        report = {"leaves_ms": 1500, "runs": [["r", 3000, 4, 1]], "born": 7}
        found = wire.decode_report(dump(report))
        self.assertEqual(found, EngineReport(1.5, (RunSize("r", 3000),), 7))
        for changed in ({"runs": [["r"]]}, {"runs": [[1, 2]]}, {"leaves_ms": "1"}, {"runs": 3}):
            self.assertIsInstance(wire.decode_report(dump(report | changed)), Failure)

    @given(st.binary(max_size=60) | json_values.map(dump))
    @settings(max_examples=300, deadline=None)
    def test_arbitrary_bodies_are_decoded_or_rejected(self, body: bytes) -> None:
        for decode_body in (wire.decode_report, wire.decode_config):
            decode_body(body)
        self.assertIsInstance(wire.decode_heartbeat("i", body), Failure)
        wire.decode_leave("i", body)

    @given(st.sampled_from([*HEARTBEAT, "born"]), json_values)
    @settings(max_examples=300, deadline=None)
    def test_heartbeat_with_an_arbitrary_field_is_valid_or_rejected(
        self, field: str, value: object
    ) -> None:
        found = wire.decode_heartbeat("i", dump(HEARTBEAT | {field: value}))
        if isinstance(found, Failure):
            return
        self.assertIs(type(found.instance.service), str)
        self.assertGreaterEqual(found.instance.sequence, 0)
        self.assertGreaterEqual(found.cold, 0.0)
        self.assertRegex(found.instance.address, r"^[0-9.]+:[0-9]+$")


class JobTest(unittest.TestCase):
    def make(
        self, *headers: tuple[bytes, bytes], path: bytes = b"/a/%41b"
    ) -> ClientRequest | Failure:
        scope = {
            "method": "POST",
            "raw_path": path,
            "query_string": b"q=%20",
            "headers": [(b"host", b"h.example"), *headers],
        }
        return make_job(scope, b"body", 100.0)

    def test_job_keeps_the_target_and_end_to_end_headers(self) -> None:
        job = self.make(
            (b"x-daleroad-attempt-id", b"abc"),
            (b"x-daleroad-deadline-ms", b"1500"),
            (b"authorization", b"Bearer k1"),
            (b"connection", b"keep-alive, x-mine"),
            (b"x-mine", b"1"),
            (b"x-other", b"2"),
            (b"transfer-encoding", b"chunked"),
            (b"x-daleroad-token-usage", b"1460,80"),
            (b"x-daleroad-prefix-hash", b"5c:800,91:660"),
        )
        assert isinstance(job, ClientRequest)
        self.assertEqual(job.target, b"/a/%41b?q=%20")
        self.assertEqual((job.key, job.deadline), ("k1", 101.5))
        names = [name for name, _ in job.headers]
        self.assertIn(b"x-other", names)
        for dropped in (b"connection", b"x-mine", b"transfer-encoding", b"host"):
            self.assertNotIn(dropped, names)
        assert job.prompt is not None
        self.assertEqual((job.prompt.tokens, job.prompt.max_output_tokens), (1460, 80))

    def test_parts_of_a_prompt_are_read_also_where_sizes_are_missing_or_malformed(self) -> None:
        for lists, tokens, parts in (
            ((b"5C:800,91:660,e4:20",), b"1480,80", ("5c", "91", "e4")),
            ((b"5c:800", b"91:660"), b"1460,80", ("5c", "91")),
            ((b"5c:800, 91:x,e4",), b"many", ("5c", "91", "e4")),
            ((b",,",), None, ()),
            ((), b"1460,80", ()),
        ):
            headers = [(b"x-daleroad-prefix-hash", value) for value in lists]
            headers += [(b"x-daleroad-token-usage", tokens)] if tokens is not None else []
            job = self.make(
                (b"x-daleroad-attempt-id", b"abc"), (b"X-Daleroad-Model", b"m"), *headers
            )
            assert isinstance(job, ClientRequest)
            self.assertEqual((job.parts, job.model), (parts, "m"))
            self.assertEqual(job.list_shared_parts(), parts[:-1])

    def test_fingerprint_does_not_depend_on_body_chunks(self) -> None:
        async def read(*parts: bytes) -> bytes | Failure | None:
            events = [
                {"type": "http.request", "body": part, "more_body": number + 1 < len(parts)}
                for number, part in enumerate(parts)
            ]

            async def receive() -> dict:
                return events.pop(0)

            return await read_body(receive, 100)

        job = self.make((b"x-daleroad-attempt-id", b"abc"))
        assert isinstance(job, ClientRequest)
        found = set()
        for parts in ((b"a long body",), (b"a lo", b"", b"ng body"), (b"a long body", b"")):
            body = anyio.run(read, *parts)
            assert isinstance(body, bytes)
            found.add(fingerprint_job(replace(job, body=body), "org"))
        self.assertEqual(len(found), 1)

    def test_request_without_an_id_is_rejected(self) -> None:
        self.assertIsInstance(self.make(), Failure)


class FailureResponseTest(unittest.TestCase):
    def send(self, failure: Failure) -> tuple[int, dict[bytes, bytes]]:
        sent: list[dict] = []

        async def keep(message: dict) -> None:
            sent.append(message)

        anyio.run(send_failure, keep, failure, False)
        return sent[0]["status"], dict(sent[0]["headers"])

    def test_status_that_means_not_run_is_sent_only_if_certain(self) -> None:
        for kind in FailureKind:
            for ran in (Ran.UNKNOWN, Ran.PARTIAL, Ran.YES):
                status, _ = self.send(Failure(kind, "x", ran, 1.0))
                self.assertNotIn(status, (408, 421, 429, 503), (kind, ran))

    def test_failure_response_has_retry_after(self) -> None:
        status, headers = self.send(Failure(FailureKind.NO_UPSTREAM, "x", Ran.NO, 0.4))
        self.assertEqual((status, headers[b"retry-after"]), (503, b"0.4"))


class FakeZoneLog:
    """Fake of a coordinator's log: records zone orders, and returns a failure if given one."""

    def __init__(self, refusal: Failure | None = None) -> None:
        self.orders: list[tuple[str, bool]] = []
        self.refusal = refusal

    async def set_zone_evacuated(
        self, zone: str, evacuated: bool, caller: Caller, base: int | None
    ) -> ZoneOutcome | Failure:
        self.orders.append((zone, evacuated))
        return self.refusal or ZoneOutcome(EvacuatedZones(1, (zone,) if evacuated else ()))


class EvacuationCallTest(unittest.TestCase):
    def call(self, log: FakeZoneLog, method: str, path: str, body: bytes = b"") -> int:
        sent: list[dict] = []

        async def receive() -> dict:
            return {"type": "http.request", "body": body, "more_body": False}

        async def send(event: dict) -> None:
            sent.append(event)

        coordinator = SimpleNamespace(log=log, presence=SimpleNamespace(stalls=StallDetector()))
        app = ControlApp(coordinator)  # type: ignore[arg-type]
        scope = {"type": "http", "method": method, "path": path}
        anyio.run(app.handle, scope, receive, send)
        return sent[0]["status"]

    def test_zone_evacuation_is_started_and_ended(self) -> None:
        log = FakeZoneLog()
        self.assertEqual(self.call(log, "POST", "/-/evacuations/hall-a"), 200)
        self.assertEqual(self.call(log, "DELETE", "/-/evacuations/hall-a"), 200)
        self.assertEqual(log.orders, [("hall-a", True), ("hall-a", False)])

    def test_request_body_is_ignored(self) -> None:
        log = FakeZoneLog()
        for body in (b"{", b"\xff" * 100, b'{"zone":"hall-b"}'):
            self.assertEqual(self.call(log, "POST", "/-/evacuations/hall-a", body), 200)
        self.assertEqual(set(log.orders), {("hall-a", True)})

    def test_unknown_zone_and_missing_leader_get_different_statuses(self) -> None:
        unknown = FakeZoneLog(Failure(FailureKind.INVALID, "no such zone"))
        self.assertEqual(self.call(unknown, "POST", "/-/evacuations/nowhere"), 400)
        late = FakeZoneLog(Failure(FailureKind.NO_MAJORITY, "no leader", Ran.UNKNOWN))
        self.assertGreaterEqual(self.call(late, "POST", "/-/evacuations/hall-a"), 500)

    def test_other_paths_get_404(self) -> None:
        log = FakeZoneLog()
        for method, path in (
            ("PUT", "/-/evacuations/hall-a"),
            ("POST", "/-/evacuations"),
            ("POST", "/-/evacuations/hall-a/more"),
        ):
            self.assertEqual(self.call(log, method, path), 404)
        self.assertEqual(log.orders, [])


class Upstream:
    """Fake upstream that answers each request with prepared bytes."""

    def __init__(self, *answers: bytes) -> None:
        self.answers = list(answers)
        self.heads: list[bytes] = []
        self.connections = 0

    async def handle(self, stream: SocketStream) -> None:
        self.connections += 1
        async with stream:
            while self.answers:
                head = b""
                while b"\r\n\r\n" not in head:
                    try:
                        head += await stream.receive()
                    except (anyio.EndOfStream, anyio.BrokenResourceError):
                        return
                self.heads.append(head)
                answer = self.answers.pop(0)
                await stream.send(answer)
                if b"close-after" in answer:
                    return


def answer(status: str, *headers: str, body: bytes = b"ok", length: int | None = None) -> bytes:
    size = len(body) if length is None else length
    lines = [f"HTTP/1.1 {status}", *headers, f"Content-Length: {size}", "", ""]
    return "\r\n".join(lines).encode() + body


ID = "X-Daleroad-Attempt-Id: abc"
SIGNED = (ID, "X-Daleroad-Engine-Signature: s")


class EngineClientTest(unittest.TestCase):
    def send_requests(
        self,
        upstream: Upstream,
        count: int = 1,
        on_reply: Callable | None = None,
        ids: tuple[str, ...] = (),
        own: bool = False,
        last_event: str = "",
    ) -> list[Reply]:
        async def main() -> list[Reply]:
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            found: list[Reply] = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, upstream.handle)
                client = self.client = EngineClient()
                address = f"127.0.0.1:{port}"
                instance = Instance("i-1", "s", address, "z", 4, InstanceState.READY, 1)
                headers = ((b"x-other", b"2"), (b"authorization", b"Bearer k"))
                job = ClientRequest(
                    "abc", "POST", b"/a?q", "h", "/a", headers, b"body", "k", 0.0, 9.0
                )
                for number in range(count):
                    job = replace(job, id=ids[number] if ids else job.id)
                    attempt = Attempt(
                        job,
                        instance,
                        "org",
                        1.5,
                        rank=1,
                        new_connection=own,
                        last_event=last_event,
                    )
                    reply = await client.send(attempt)
                    if on_reply is not None:
                        await on_reply(reply)
                    found.append(reply)
                if on_reply is None and not count:
                    found.append(await client.copy(job, instance, instance, True))
                await client.close()
                tasks.cancel_scope.cancel()
            return found

        return anyio.run(main)

    def test_signed_response_is_accepted_and_its_connection_reused(self) -> None:
        other = "X-Daleroad-Attempt-Id: def"
        upstream = Upstream(answer("200 OK", *SIGNED), answer("500 Oops", other, SIGNED[1]))
        first, second = self.send_requests(upstream, 2, ids=("abc", "def"))
        assert isinstance(first, Whole)
        assert isinstance(second, Whole)
        self.assertEqual((first.status, first.body, second.status), (200, b"ok", 500))
        self.assertEqual(upstream.connections, 1)
        head = upstream.heads[0].lower()
        self.assertTrue(head.startswith(b"post /a?q http/1.1\r\nhost: h\r\n"))
        for line in (b"expect-instance: i-1", b"tenant: org", b"deadline-ms: 1500"):
            self.assertIn(line, head)
        self.assertNotIn(b"bearer", head)

    def test_idle_connections_are_not_reused_after_a_suspension(self) -> None:
        upstream = Upstream(*[answer("200 OK", *SIGNED)] * 2)

        async def suspend(reply: Reply) -> None:
            self.client.forget_all()

        found = self.send_requests(upstream, 2, on_reply=suspend)
        self.assertTrue(all(isinstance(reply, Whole) for reply in found))
        self.assertEqual(upstream.connections, 2)

    def test_restarted_stream_sends_the_last_event_id(self) -> None:
        upstream = Upstream(*[answer("200 OK", *SIGNED)] * 2)
        self.send_requests(upstream, last_event="41")
        self.send_requests(upstream)
        self.assertIn(b"last-event-id: 41", upstream.heads[0].lower())
        self.assertNotIn(b"last-event-id", upstream.heads[1].lower())

    def test_own_connection_is_not_an_idle_one(self) -> None:
        upstream = Upstream(*[answer("200 OK", *SIGNED)] * 2)
        replies = self.send_requests(upstream, 2, own=True)
        self.assertEqual([type(reply) for reply in replies], [Whole, Whole])
        self.assertEqual(upstream.connections, 2)

    def test_longer_silence_allows_more_probes_and_later_acknowledgements(self) -> None:
        short, long = ({o[:2]: o[2] for o in make_socket_options(s)} for s in (3.0, 7.2))
        count = (socket.IPPROTO_TCP, socket.TCP_KEEPCNT)
        unsent = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
        self.assertEqual((short[count], short[unsent]), (2, 2500))
        self.assertEqual((long[count], long[unsent]), (6, 6700))

    def test_response_without_proof_of_origin_is_lost(self) -> None:
        for name, data in {
            "no signature": answer("200 OK", ID),
            "another request's": answer("200 OK", "X-Daleroad-Attempt-Id: xyz", SIGNED[1]),
            "cut": answer("200 OK", *SIGNED, "X: close-after", length=50),
            "no protocol": b"close-after what is this\r\n\r\n",
            "nothing": b"",
        }.items():
            with self.subTest(name):
                upstream = Upstream(data or b"close-after")
                (reply,) = self.send_requests(upstream)
                self.assertIsInstance(reply, Lost)

    def test_request_counts_as_not_run_only_if_the_upstream_says_so(self) -> None:
        full = answer("503 Full", ID, "X-Daleroad-Not-Executed: 1")
        (reply,) = self.send_requests(Upstream(full))
        self.assertEqual(reply, NotRun("status 503"))
        (reply,) = self.send_requests(Upstream(answer("421 Other", ID)))
        assert isinstance(reply, NotRun)
        self.assertTrue(reply.address_reused)
        (reply,) = self.send_requests(Upstream(answer("503 Full", ID)))
        self.assertIsInstance(reply, Whole)

    def test_reason_of_a_failed_connection_names_the_system_error(self) -> None:
        async def main() -> Reply:
            client = EngineClient()
            instance = Instance("i-1", "s", "127.0.0.1:1", "z", 4, InstanceState.READY, 1)
            job = ClientRequest("abc", "GET", b"/", "h", "/", (), b"", "", 0.0, 9.0)
            return await client.send(Attempt(job, instance, "", 1.5))

        reply = anyio.run(main)
        assert isinstance(reply, NotRun)
        self.assertIn("ECONNREFUSED", reply.reason)

    def test_surplus_bytes_after_a_response_are_not_the_next_response(self) -> None:
        surplus = answer("200 OK", *SIGNED) + answer("200 OK", *SIGNED, body=b"more")
        own = answer("200 OK", "X-Daleroad-Attempt-Id: def", SIGNED[1], body=b"own")
        first, second = self.send_requests(Upstream(surplus, own), 2, ids=("abc", "def"))
        assert isinstance(first, Whole)
        self.assertEqual(first.body, b"ok")
        if isinstance(second, Whole):
            self.assertEqual(second.body, b"own")

    def test_stream_yields_complete_events_and_reports_interruption(self) -> None:
        head = answer("200 OK", *SIGNED, "Content-Type: text/event-stream", "X: close-after")
        whole, cut = b"id: 1\ndata: a\n\nid: 2\n\n", b"id: 1\ndata: a\n\nid: 2\nda"
        for body, length, ids in ((whole, len(whole), ["1", "2"]), (cut, 900, ["1"])):
            data = head.replace(b"Content-Length: 2", f"Content-Length: {length}".encode())
            pieces: list[StreamEvent | Lost] = []

            async def on_reply(reply: Reply, kept: list[StreamEvent | Lost] = pieces) -> None:
                assert isinstance(reply, EventStream)
                kept += [piece async for piece in reply.events()]

            self.send_requests(Upstream(data[:-2] + body), on_reply=on_reply)
            self.assertEqual([p.event for p in pieces if isinstance(p, StreamEvent)], ids)
            self.assertEqual(isinstance(pieces[-1], Lost), length == 900)

    def test_copy_results_are_distinguished(self) -> None:
        made = answer("200 OK", body=b'{"handle":"x","made":4}')
        self.assertEqual(self.send_requests(Upstream(made), 0), [Copied("x", 4)])
        for status, fault in ((404, CopyFault.ABSENT), (409, CopyFault.BUSY)):
            (reply,) = self.send_requests(Upstream(answer(f"{status} No", body=b"{}")), 0)
            assert isinstance(reply, NotCopied)
            self.assertIs(reply.fault, fault)


class PlatformFolderTest(unittest.TestCase):
    def test_folder_does_not_shadow_the_standard_module(self) -> None:
        code = "import platform; print(platform.python_version())"
        for folder in (ROOT, ROOT / "platform"):
            done = subprocess.run(
                [sys.executable, "-c", code], cwd=folder, capture_output=True, text=True, check=True
            )
            self.assertTrue(done.stdout.startswith("3."))

    @contextmanager
    def start_gateway(self, ip: str) -> Iterator[subprocess.Popen]:
        """Start a gateway without seeds."""
        with tempfile.TemporaryDirectory(prefix="daleroad-test-") as folder:
            path = Path(folder) / "node.yaml"
            listen = {"frontend": f"{ip}:18740", "readiness": f"{ip}:18749"}
            node = {"node_name": "n", "ip": ip, "zone": "z", "region": "r"}
            node |= {"listen": listen, "internal_ports": [17200, 17215], "seeds": []}
            path.write_text(json.dumps(node))
            process = subprocess.Popen(
                [sys.executable, str(ROOT / "platform" / "node.py"), "gateway", "19464"],
                env={"PATH": os.environ["PATH"], "DALEROAD_NODE_FILE": str(path)},
                stdout=subprocess.PIPE,
                stderr=subprocess.DEVNULL,
            )
            try:
                yield process
            finally:
                process.kill()
                process.communicate()

    def test_sighup_during_startup_does_not_end_the_process(self) -> None:
        # Before the script's first line the interpreter's default action for the signal applies.
        with self.start_gateway("127.0.3.1") as process:
            status, maps = (Path(f"/proc/{process.pid}/{name}") for name in ("status", "maps"))
            ignored = False
            while not ignored:
                loading = "orjson" in maps.read_text()
                masks = dict(line.split(":", 1) for line in status.read_text().splitlines())
                ignored = bool(int(masks["SigIgn"], 16) & 1 << (signal.SIGHUP - 1))
                self.assertTrue(
                    ignored or not loading, "SIGHUP is not ignored while libraries are loaded"
                )
                self.assertIsNone(process.poll())
            process.send_signal(signal.SIGHUP)
            assert process.stdout is not None
            self.assertIn(b"D100 STARTED", process.stdout.readline())
            self.assertIsNone(process.poll())

    def test_sighup_during_shutdown_does_not_end_the_process(self) -> None:
        with self.start_gateway("127.0.3.3") as process:
            assert process.stdout is not None
            self.assertIn(b"D100 STARTED", process.stdout.readline())
            wait_until_open("127.0.3.3:18749", 10.0)
            process.send_signal(signal.SIGTERM)
            while process.poll() is None:
                process.send_signal(signal.SIGHUP)
                time.sleep(0.001)
            self.assertEqual(process.returncode, 0)

    def test_clients_wait_for_the_first_configuration_and_then_get_503(self) -> None:
        with self.start_gateway("127.0.3.2") as process:
            assert process.stdout is not None
            self.assertIn(b"D100 STARTED", process.stdout.readline())
            began = time.monotonic()
            while True:
                try:
                    client = socket.create_connection(("127.0.3.2", 18740), timeout=10)
                    break
                except ConnectionRefusedError:
                    self.assertLess(time.monotonic() - began, 10)
            connected = time.monotonic()
            with client:
                client.sendall(b"GET /x HTTP/1.1\r\nHost: h\r\nX-Daleroad-Attempt-Id: a\r\n\r\n")
                answer = client.recv(4096).lower()
            self.assertTrue(answer.startswith(b"http/1.1 503"), answer)
            self.assertIn(b"retry-after", answer)
            self.assertGreater(time.monotonic() - connected, FIRST_CONFIG_SECONDS / 2)

    def test_client_port_opens_early_only_if_no_coordinator_answers(self) -> None:
        node = read_node(NODE)
        node = replace(node, client_address="127.0.3.5:18741", internal_address="127.0.3.5:17201")
        node = replace(node, seeds=("127.0.3.6:17201",))
        with socket.create_server(("127.0.3.6", 17201)):
            self.assertEqual(prepare_gateway(node), {})
        opened = prepare_gateway(node)
        self.assertEqual(list(opened), [node.client_address])
        with socket.socket(fileno=opened[node.client_address]):
            socket.create_connection(("127.0.3.5", 18741), timeout=1).close()

    def test_requirements_match_the_lock_file(self) -> None:
        locked = (ROOT / "requirements-lock.txt").read_text().splitlines()
        for line in (ROOT / "requirements.txt").read_text().splitlines():
            self.assertIn(line, locked)

    def test_imported_packages_are_declared(self) -> None:
        declared = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]["dependencies"]
        for name in ("sniffio", "httpcore", "PyYAML"):
            self.assertIn(name, declared)

    def test_wire_names_are_used_only_in_the_platform_folder(self) -> None:
        for path in (ROOT / "src" / "daleroad").glob("*.py"):
            text = path.read_text().lower()
            for word in ("x-daleroad", "/-/", "kv-move", "tenant", "daleroad_node_file"):
                self.assertNotIn(word, text, path.name)

    def test_settings_file_is_decoded(self) -> None:
        node = read_node(NODE)
        self.assertEqual(node.seeds, ("10.0.0.1:7200", "10.0.0.2:7200"))
        self.assertEqual((node.heartbeat, node.retry_slack, node.revoke), (1.2, 64.0, 4.0))
        self.assertTrue(coordinatorprocess.make_options(node).is_new_site)
        self.assertEqual(gatewayprocess.make_options(node).coordinator_timeout, 4.0)

    def test_vm_outside_the_tolerance_does_not_vote(self) -> None:
        self.assertEqual(coordinatorprocess.make_options(read_node(NODE)).data_dir, "/data/x")
        spare = read_node({**NODE, "in_tolerance": False})
        self.assertEqual(coordinatorprocess.make_options(spare).data_dir, "")

    def test_role_imports_only_what_it_needs(self) -> None:
        for module, others in (
            ("gatewayprocess", ("daleroad.coordinator", "daleroad.consensus", "sqlite3")),
            ("coordinatorprocess", ("daleroad.forwarding", "daleroad.gateway")),
            # Libraries that neither role needs to serve; importing each takes 30 to 60 ms.
            ("gatewayprocess", ("yaml", "httpx", "prometheus_client")),
            ("coordinatorprocess", ("yaml", "httpx", "httpcore", "prometheus_client")),
        ):
            code = f"import sys, {module}; print(*sys.modules)"
            path = f"{ROOT / 'platform'}:{ROOT / 'src'}"
            done = subprocess.run(
                [sys.executable, "-c", code],
                env={"PATH": os.environ["PATH"], "PYTHONPATH": path},
                capture_output=True,
                text=True,
                check=True,
            )
            self.assertEqual(set(others) & set(done.stdout.split()), set(), module)
