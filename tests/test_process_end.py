"""What a request that a process has read gets when the process is told to stop."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager, suppress
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
CLIENTS, READINESS, OURS, CONTROL, DIRECTORY, COORDINATOR_METRICS, GATEWAY_METRICS, ENGINE = range(
    18750, 18758
)
COORDINATOR_IP = "127.0.4.31"
"""Not that of another class's coordinators: classes run beside each other."""

START_SECONDS = 10.0
GRACE_SECONDS = 2.5
KEPT_SECONDS = 0.1
"""How long clients keep a lookup's answer; some three times as long."""

DRAIN_SECONDS = 3 * KEPT_SECONDS + 0.3
"""A gateway with nothing open drains until no lookup names it and the kept ones are over."""

CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "plain",
            "host": "h",
            "path_prefix": "/plain/",
            "route_kind": "non_idempotent",
            "timeout_ms": 9000,
            "service": "s",
            "max_attempts": 1,
        }
    ],
    "services": [{"name": "s", "health_path": "/healthz", "max_conns": 100}],
    "limits": {},
}
BEAT = {"service": "s", "zone": "z", "slots": 50, "state": "ready", "sequence": 1}
REQUEST = (
    b"POST /plain/x HTTP/1.1\r\nHost: h\r\nX-Daleroad-Attempt-Id: %b\r\nContent-Length: 0\r\n\r\n"
)


@contextmanager
def start(
    role: str, ip: str, seeds: tuple[str, ...], folder: str, kept: float = KEPT_SECONDS
) -> Iterator[subprocess.Popen]:
    """Run one process of ours."""
    listen = {"control_plane": f"{ip}:{CONTROL}", "registry": f"{ip}:{DIRECTORY}"}
    port = COORDINATOR_METRICS
    if role == "gateway":
        listen = {"frontend": f"{ip}:{CLIENTS}", "readiness": f"{ip}:{READINESS}"}
        port = GATEWAY_METRICS
    node = {"node_name": ip, "ip": ip, "zone": "z", "region": "r", "listen": listen}
    node |= {"internal_ports": [OURS], "seeds": [f"{seed}:{OURS}" for seed in seeds]}
    node |= {"bootstrap": True, "data_dir": f"{folder}/{ip}"}
    node |= {"bounds": {"grace_s": GRACE_SECONDS, "ttl_max_s": kept}}
    Path(node["data_dir"]).mkdir(exist_ok=True)
    path = Path(folder) / f"{ip}-{role}.yaml"
    path.write_text(json.dumps(node))
    with (Path(folder) / f"{ip}-{role}.log").open("wb") as log:
        process = subprocess.Popen(
            [sys.executable, str(ROOT / "platform" / "node.py"), role, str(port)],
            env={"PATH": os.environ["PATH"], "DALEROAD_NODE_FILE": str(path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


def connect(ip: str, port: int, source: str = "127.0.0.1") -> socket.socket:
    """Connect as soon as somebody listens."""
    began = time.monotonic()
    while True:
        try:
            return socket.create_connection((ip, port), timeout=5, source_address=(source, 0))
        except OSError:
            if time.monotonic() - began > START_SECONDS:
                raise
            time.sleep(0.02)


def read_answer(client: socket.socket) -> bytes:
    """Return what comes until the answer is whole or the connection ends; nothing for a close."""
    data = b""
    try:
        while b"\r\n\r\n" not in data:
            part = client.recv(65536)
            if not part:
                return data
            data += part
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.lower().split(b"\r\n")
        size = next(int(x.partition(b":")[2]) for x in lines if x.startswith(b"content-length"))
        while len(body) < size:
            part = client.recv(65536)
            if not part:
                return b"cut " + data
            body += part
            data += part
    except OSError as error:
        return data and b"cut " + data + repr(error).encode()
    return data


def call(ip: str, port: int, method: str, path: str, value: object = None) -> bytes:
    """Call once and return the answer."""
    with connect(ip, port) as client:
        client.sendall(make_call(method, path, value))
        return read_answer(client)


def make_call(method: str, path: str, value: object = None) -> bytes:
    body = json.dumps(value).encode() if value is not None else b""
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {len(body)}\r\n\r\n".encode()
        + body
    )


def call_until_done(ip: str, port: int, method: str, path: str, value: object = None) -> None:
    """Call until it is acknowledged."""
    began = time.monotonic()
    while not (answer := call(ip, port, method, path, value)).startswith(b"HTTP/1.1 200"):
        if time.monotonic() - began > START_SECONDS:
            raise TimeoutError(answer)
        time.sleep(0.05)


class Engine:
    """An upstream that answers each request after a pause and remembers which came."""

    def __init__(self, ip: str, pause: float) -> None:
        self.address = f"{ip}:{ENGINE}"
        self.pause = pause
        self.ids: list[str] = []
        self._listener = socket.create_server((ip, ENGINE), backlog=500)
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(client,), daemon=True).start()

    def _serve(self, client: socket.socket) -> None:
        with client, suppress(OSError):
            while True:
                head = b""
                while b"\r\n\r\n" not in head:
                    part = client.recv(65536)
                    if not part:
                        return
                    head += part
                lines = head.decode().split("\r\n")
                found = [x for x in lines if x.lower().startswith("x-daleroad-attempt-id")]
                number = found[0].partition(":")[2].strip()
                self.ids.append(number)
                time.sleep(self.pause)
                client.sendall(
                    b"HTTP/1.1 200 OK\r\nX-Daleroad-Attempt-Id: %b\r\n"
                    b"X-Daleroad-Engine-Signature: s\r\nContent-Length: 2\r\n\r\nok"
                    % number.encode()
                )


def is_whole_or_reasoned(answer: bytes) -> bool:
    """Return whether an answer is a success or a failure that says why."""
    return answer.startswith(b"HTTP/1.1 200") or b'"reason"' in answer


class GatewayEndTest(unittest.TestCase):
    """A gateway that has nothing open ends its drain; what is read at that moment."""

    def start_site(self, stack: ExitStack, pause: float) -> tuple[subprocess.Popen, Engine]:
        """Start a coordinator, an upstream and a gateway that serves it."""
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="daleroad-test-"))
        stack.enter_context(start("coordinator", COORDINATOR_IP, (COORDINATOR_IP,), folder))
        engine = Engine("127.0.4.21", pause)
        stack.callback(engine.close)
        call_until_done(COORDINATOR_IP, CONTROL, "PUT", "/-/config", CONFIG)
        gateway = stack.enter_context(start("gateway", "127.0.4.11", (COORDINATOR_IP,), folder))
        call_until_done("127.0.4.11", READINESS, "GET", "/-/readyz")
        beat = BEAT | {"address": engine.address}
        call_until_done(COORDINATOR_IP, CONTROL, "PUT", "/-/instances/i-1", beat)
        return gateway, engine

    def ask_until_served(self, client: socket.socket) -> None:
        began = time.monotonic()
        while True:
            client.sendall(REQUEST % b"before")
            if read_answer(client).startswith(b"HTTP/1.1 200"):
                return
            self.assertLess(time.monotonic() - began, START_SECONDS)

    def test_what_is_read_in_the_turn_in_which_the_drain_ends_is_answered(self) -> None:
        # The gateway is held for a moment, as on a busy processor, so that the request and the
        # drain's last look at what is open fall into one turn of its loop.
        with ExitStack() as stack:
            gateway, engine = self.start_site(stack, 0.6)
            client = stack.enter_context(connect("127.0.4.11", CLIENTS))
            self.ask_until_served(client)
            gateway.send_signal(signal.SIGTERM)
            time.sleep(DRAIN_SECONDS - 0.06)
            gateway.send_signal(signal.SIGSTOP)
            time.sleep(0.15)
            client.sendall(REQUEST % b"last")
            gateway.send_signal(signal.SIGCONT)
            answer = read_answer(client)
            if "last" in engine.ids:
                self.assertEqual(answer[:12], b"HTTP/1.1 200", answer)
            else:
                self.assertIn(answer[:12], (b"", b"HTTP/1.1 503"))

    def test_what_is_still_open_when_the_time_is_over_is_refused_with_a_reason(self) -> None:
        with ExitStack() as stack:
            gateway, engine = self.start_site(stack, 0.0)
            sent, unsent = (stack.enter_context(connect("127.0.4.11", CLIENTS)) for _ in range(2))
            self.ask_until_served(sent)
            engine.pause = 2 * GRACE_SECONDS
            sent.sendall(REQUEST % b"sent")
            whole = REQUEST.replace(b"Content-Length: 0", b"Content-Length: 9") % b"unsent"
            unsent.sendall(whole + b"half")
            while "sent" not in engine.ids:
                time.sleep(0.01)
            gateway.send_signal(signal.SIGTERM)
            # An engine may have run the one; the other was never passed on, and may come again.
            answers = {"sent": read_answer(sent), "unsent": read_answer(unsent)}
            self.assertNotIn("unsent", engine.ids)
            for name, status in (("sent", b"502"), ("unsent", b"503")):
                with self.subTest(name):
                    answer = answers[name]
                    self.assertEqual(answer[9:12], status, answer)
                    self.assertTrue(is_whole_or_reasoned(answer), answer)


class CoordinatorEndTest(unittest.TestCase):
    """What a coordinator has read when it is told to stop."""

    names = ("127.0.4.1", "127.0.4.2", "127.0.4.3")

    def setUp(self) -> None:
        stack = ExitStack()
        self.addCleanup(stack.close)
        folder = stack.enter_context(tempfile.TemporaryDirectory(prefix="daleroad-test-"))
        self.processes = {
            name: stack.enter_context(start("coordinator", name, self.names, folder))
            for name in self.names
        }
        for name in self.names:
            call_until_done(name, CONTROL, "PUT", "/-/config", CONFIG)
            beat = BEAT | {"address": f"127.0.4.21:{ENGINE}"}
            call_until_done(name, CONTROL, "PUT", "/-/instances/i-1", beat)
        # Until each has heard the others, none tells them of a leave.
        time.sleep(0.7)
        self.leader = next(name for name in self.names if self.leads(name))
        self.others = [name for name in self.names if name != self.leader]

    def leads(self, name: str) -> bool:
        with connect(name, COORDINATOR_METRICS) as client:
            client.sendall(make_call("GET", "/metrics"))
            return b"\ndaleroad_leading 1" in read_answer(client)

    def send(self, name: str, method: str, path: str, value: object = None) -> socket.socket:
        client = connect(name, CONTROL)
        self.addCleanup(client.close)
        client.sendall(make_call(method, path, value))
        return client

    def signal_all(self, names: list[str], number: signal.Signals) -> None:
        for name in names:
            self.processes[name].send_signal(number)

    def test_a_change_that_the_leader_replicates_when_it_is_told_to_stop_is_answered(self) -> None:
        # The others are held for 60 ms, as if they were far away; then they acknowledge it.
        self.signal_all(self.others, signal.SIGSTOP)
        client = self.send(self.leader, "PUT", "/-/config", CONFIG | {"version": 8})
        time.sleep(0.03)
        self.signal_all([self.leader], signal.SIGTERM)
        time.sleep(0.03)
        self.signal_all(self.others, signal.SIGCONT)
        answer = read_answer(client)
        self.assertEqual(answer[:12], b"HTTP/1.1 200", answer)

    def test_calls_that_wait_for_the_others_when_a_coordinator_stops_are_answered(self) -> None:
        self.signal_all(self.others, signal.SIGSTOP)
        leaving = BEAT | {"address": f"127.0.4.21:{ENGINE}", "state": "draining", "sequence": 2}
        clients = {
            "change": self.send(self.leader, "PUT", "/-/config", CONFIG | {"version": 8}),
            "draining": self.send(self.leader, "PUT", "/-/instances/i-1", leaving),
            "leave": self.send(self.leader, "DELETE", "/-/instances/i-1"),
        }
        time.sleep(0.05)
        self.signal_all([self.leader], signal.SIGTERM)
        for name, client in clients.items():
            with self.subTest(name):
                answer = read_answer(client)
                self.assertTrue(is_whole_or_reasoned(answer), answer)

    def test_calls_that_wait_for_a_leader_when_a_coordinator_stops_are_answered(self) -> None:
        self.signal_all([self.leader], signal.SIGTERM)
        self.processes[self.leader].wait()
        clients = {
            "change": self.send(self.others[0], "PUT", "/-/config", CONFIG | {"version": 8}),
            "read": self.send(self.others[0], "GET", "/-/config"),
        }
        time.sleep(0.05)
        self.signal_all(self.others[:1], signal.SIGTERM)
        for name, client in clients.items():
            with self.subTest(name):
                answer = read_answer(client)
                self.assertTrue(is_whole_or_reasoned(answer), answer)
