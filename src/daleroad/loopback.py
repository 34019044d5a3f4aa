"""A small site on loopback: settings and stand-ins for the demo, measurements and tests."""

import socket
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import islice
from random import Random

from daleroad.engine import EngineOptions
from daleroad.enginemodel import EngineParameters
from daleroad.plain import PlainOptions
from daleroad.records import (
    ModelVersion,
    Organisation,
    Record,
    Route,
    Service,
    ServiceType,
    Share,
    Split,
)
from daleroad.security import hash_token
from daleroad.settings import NodeRole, OperatorSeed, Settings

STOYANOV = "stoyanov"
TAMARACK = "tamarack"
SECRET = "loopback-cluster-secret"
UPSTREAM_TOKEN = "loopback-upstream"
OPERATOR_TOKENS = {STOYANOV: "operator-stoyanov-token", TAMARACK: "operator-tamarack-token"}
_SHAPE = EngineParameters()
ZONES = ("hall-a", "hall-b", "hall-c")


@dataclass(frozen=True)
class Kind:
    """A kind of work in the demo's day. Lengths in tokens."""

    route: str
    organisation: str
    prompt: str
    median: int
    urgent: bool


KINDS = (
    Kind("bulletin", "danube-barges", "Narrate the Danube forecast", 260, False),
    Kind("frost-alert", "thracian-orchards", "Summarise frost for the orchards", 24, True),
    Kind("station-lookup", "pass-depots", "Which depot salts the pass", 6, True),
    Kind("ledger-draft", "pasture-cooperative", "Draft the season ledger", 220, False),
    Kind("classification", "inspectors", "Classify the brand mark", 8, False),
    Kind("tag-lookup", "herders", "Whose tag is this", 5, True),
    Kind("gate-check-in", "herders", "Check in at the gate", 4, True),
)

_PARTNERS = {
    "danube-barges": STOYANOV,
    "thracian-orchards": STOYANOV,
    "pass-depots": STOYANOV,
    "pasture-cooperative": TAMARACK,
    "inspectors": TAMARACK,
    "herders": TAMARACK,
}

_REPEATABLE = ("bulletin", "frost-alert", "classification", "tag-lookup")


def get_token(organisation: str) -> str:
    """Return an organisation's token on the loopback site.

    :param organisation: its name.
    """
    return f"token-of-{organisation}"


def get_partner(organisation: str) -> str:
    """Return the partner that an organisation belongs to.

    :param organisation: its name.
    """
    return _PARTNERS[organisation]


def list_records() -> Iterator[Record]:
    """Yield the records of the demo, in an order in which each is valid."""
    yield Share("stoyanov-share", STOYANOV, 0.5)
    yield Share("tamarack-share", TAMARACK, 0.5)
    yield Service("narrator", STOYANOV, ServiceType.MODEL)
    yield Service("meteo-api", STOYANOV, ServiceType.PLAIN)
    yield Service("drafting-models", TAMARACK, ServiceType.MODEL)
    yield Service("herder-app", TAMARACK, ServiceType.PLAIN)
    yield ModelVersion("narrator-1", STOYANOV, "narrator")
    yield ModelVersion("drafting-1", TAMARACK, "drafting-models")
    for organisation, partner in _PARTNERS.items():
        yield Organisation(organisation, partner, hash_token(get_token(organisation)))
    for kind in KINDS:
        partner = _PARTNERS[kind.organisation]
        stoyanov = partner == STOYANOV
        service = "narrator" if stoyanov else "drafting-models"
        model = "narrator-1" if stoyanov else "drafting-1"
        repeatable = kind.route in _REPEATABLE
        split = (Split(model, 1.0),)
        yield Route(kind.route, partner, service, split, kind.urgent, repeatable)
    yield Route("weather", STOYANOV, "meteo-api", (), True, True)
    yield Route("check-in", TAMARACK, "herder-app", (), True, False)


def find_ports(count: int) -> list[int]:
    """Return free ports of the loopback address that no other process gets from here.

    Asking the system for any free port and closing it again is not enough: two processes that do so
    within a second or two now and then get the same one.

    :param count: how many.
    """
    found = list(islice(_PORTS, count))
    if len(found) < count:
        raise OSError(f"no {count} ports are free from {_PORTS_FROM} to {_PORTS_TO}")
    return found


def _reserve_ports() -> Iterator[int]:
    """Yield free ports from blocks of which each has one process as its owner."""
    blocks = list(range(_PORTS_FROM, _PORTS_TO, _BLOCK_PORTS))
    Random().shuffle(blocks)
    for block in blocks:
        owner = _bind(block)
        if owner is None:
            continue
        # The first port stays bound and marks the block as taken until this process ends.
        _OWNERS.append(owner)
        for port in range(block + 1, block + _BLOCK_PORTS):
            found = _bind(port)
            if found is not None:
                found.close()
                yield port


def _bind(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind((_HOST, port))
    except OSError:
        # Another process has it.
        sock.close()
        return None
    return sock


_HOST = "127.0.0.1"
_PORTS_FROM = 20_480
_PORTS_TO = 32_000
"""Range of the ports: below those that the system gives to outgoing connections."""

_BLOCK_PORTS = 32
"""Ports that a process owns at a time; enough for two sites."""

_OWNERS: list[socket.socket] = []
_PORTS = _reserve_ports()


@dataclass(frozen=True)
class Site:
    """The settings of all processes of a site, and its stand-ins."""

    control: tuple[Settings, ...]
    entries: tuple[Settings, ...]
    engines: tuple[EngineOptions, ...]
    plain: tuple[PlainOptions, ...]


def make_site(
    data: str, entries: int = 3, engines: int = 1, shape: EngineParameters = _SHAPE
) -> Site:
    """Return a site of 3 control processes and some entries, engines and plain services.

    :param data: folder below which the control processes keep their data.
    :param entries: number of entries, spread over three availability zones.
    :param engines: number of engines for each partner.
    :param shape: what each engine can do.
    """
    ports = iter(find_ports(3 + entries + 2 * engines + 2))
    control = {f"control-{i}": f"127.0.0.1:{next(ports)}" for i in range(3)}
    seeds = tuple(
        OperatorSeed(f"operator-{partner}", partner, hash_token(token))
        for partner, token in OPERATOR_TOKENS.items()
    )
    base = Settings(
        NodeRole.CONTROL,
        "",
        "",
        "region-1",
        "",
        control,
        cluster_secret=SECRET,
        upstream_token=UPSTREAM_TOKEN,
        operators=seeds,
    )
    controls = tuple(
        replace(base, name=name, zone=ZONES[i % 3], address=address, data=f"{data}/{name}")
        for i, (name, address) in enumerate(control.items())
    )
    entry_settings = tuple(
        replace(
            base,
            role=NodeRole.ENTRY,
            name=f"entry-{i}",
            zone=ZONES[i % 3],
            address=f"127.0.0.1:{next(ports)}",
        )
        for i in range(entries)
    )
    urls = tuple(settings.url for settings in entry_settings)
    models = {"narrator": ("narrator-1",), "drafting-models": ("drafting-1",)}
    engine_options = tuple(
        EngineOptions(
            f"{service}-{i}",
            service,
            ZONES[i % 3],
            f"127.0.0.1:{next(ports)}",
            urls,
            UPSTREAM_TOKEN,
            loaded,
            shape,
        )
        for service, loaded in models.items()
        for i in range(engines)
    )
    plain = tuple(
        PlainOptions(
            f"{service}-0", service, ZONES[0], f"127.0.0.1:{next(ports)}", urls, UPSTREAM_TOKEN
        )
        for service in ("meteo-api", "herder-app")
    )
    return Site(controls, entry_settings, engine_options, plain)


def format_settings(settings: Settings) -> str:
    """Return settings as INI text.

    :param settings: the settings.
    """
    lines = [
        "[node]",
        f"role = {settings.role.value}",
        f"name = {settings.name}",
        f"zone = {settings.zone}",
        f"region = {settings.region}",
        f"address = {settings.address}",
    ]
    if settings.bind:
        lines.append(f"bind = {settings.bind}")
    if settings.data:
        lines.append(f"data = {settings.data}")
    lines += ["", "[control]"]
    lines += [f"{name} = {address}" for name, address in settings.control.items()]
    lines += ["", "[secrets]"]
    lines.append(f"cluster_secret = {settings.cluster_secret}")
    lines.append(f"upstream_token = {settings.upstream_token}")
    lines += ["", "[leases]"]
    for key in ("entry_lease", "follow", "report", "upstream_lease", "locate_keep"):
        lines.append(f"{key} = {getattr(settings, key):g}")
    lines += ["", "[limits]", f"stall = {settings.stall:g}"]
    lines.append(f"stop = {settings.stop:g}")
    lines.append(f"requests_most = {settings.requests_most}")
    lines.append(f"queue_most = {settings.queue_most}")
    lines.append(f"load_rate = {settings.load_rate:g}")
    lines.append(f"load_burst = {settings.load_burst:g}")
    lines += ["", "[operators]"]
    for seed in settings.operators:
        lines.append(f"{seed.name} = {seed.partner} {seed.token_hash}")
    return "\n".join(lines) + "\n"
