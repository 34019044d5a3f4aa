"""Settings: INI text to checked, frozen data classes."""

from collections.abc import Iterator, Mapping
from configparser import ConfigParser, Error
from dataclasses import dataclass, field
from enum import StrEnum
from pathlib import Path

from daleroad import defaults
from daleroad.errors import Failure, FailureKind, SettingsError
from daleroad.security import is_token_hash


class NodeRole(StrEnum):
    """What a process does."""

    CONTROL = "control"
    ENTRY = "entry"


class OnLostControl(StrEnum):
    """What an entry without a configuration lease does with new work."""

    REFUSE = "refuse"
    SERVE = "serve"


@dataclass(frozen=True)
class Fault:
    """One fault of the settings: where it is, what stands there and what should."""

    section: str
    key: str
    value: str
    expected: str

    def __str__(self) -> str:
        return f"[{self.section}] {self.key} = {self.value!r}: expected {self.expected}"


@dataclass(frozen=True)
class OperatorSeed:
    """An operator who exists from the founding on."""

    name: str
    partner: str
    token_hash: str


@dataclass(frozen=True)
class Tls:
    """Paths of the key files in PEM; empty paths switch TLS off."""

    certificate: str = ""
    key: str = ""
    authority: str = ""


@dataclass(frozen=True)
class Settings:
    """The checked settings of one process. Times are in seconds."""

    role: NodeRole
    name: str
    zone: str
    region: str
    address: str
    control: Mapping[str, str]
    bind: str = ""
    data: str = ""
    claim_shards: int = defaults.CLAIM_SHARDS
    cluster_secret: str = ""
    upstream_token: str = ""
    entry_lease: float = defaults.ENTRY_LEASE_SECONDS
    follow: float = defaults.FOLLOW_SECONDS
    report: float = defaults.REPORT_SECONDS
    upstream_lease: float = defaults.UPSTREAM_LEASE_SECONDS
    locate_keep: float = defaults.LOCATE_KEEP_SECONDS
    on_lost_control: OnLostControl = OnLostControl.REFUSE
    body_bytes: int = defaults.BODY_BYTES
    requests_most: int = defaults.REQUESTS_MOST
    queue_most: int = defaults.MAX_QUEUED_REQUESTS
    connections_most: int = defaults.CONNECTIONS_MOST
    connection_bytes: int = defaults.CONNECTION_HELD_BYTES
    load_rate: float = defaults.LOAD_RATE
    load_burst: float = defaults.LOAD_BURST
    stall: float = defaults.STALL_SECONDS
    stop: float = defaults.STOP_SECONDS
    tls: Tls = Tls()
    operators: tuple[OperatorSeed, ...] = ()

    @property
    def scheme(self) -> str:
        """The URL scheme of our own addresses."""
        return "https" if self.tls.certificate else "http"

    @property
    def url(self) -> str:
        """The base URL of this process."""
        return f"{self.scheme}://{self.address}"

    def get_control_url(self, name: str) -> str:
        """Return the base URL of a control process.

        :param name: its name.
        """
        return f"{self.scheme}://{self.control[name]}"


_SECONDS = "a number of seconds above 0"
_COUNT = "a whole number above 0"

_KEYS: dict[str, dict[str, str]] = {
    "node": {
        "role": "control or entry",
        "name": "a unique name",
        "zone": "an availability zone",
        "region": "a region",
        "address": "IP:PORT that others use",
        "bind": "IP:PORT to listen on, if not the address",
        "data": "a folder on a disk (control only)",
    },
    "secrets": {
        "cluster_secret": "at least 16 characters, the same on every process",
        "upstream_token": "at least 8 characters, known to upstreams",
    },
    "leases": {
        "entry_lease": _SECONDS,
        "follow": _SECONDS,
        "report": _SECONDS,
        "upstream_lease": _SECONDS,
        "locate_keep": _SECONDS,
    },
    "limits": {
        "claim_shards": _COUNT,
        "body_bytes": _COUNT,
        "requests_most": _COUNT,
        "queue_most": _COUNT,
        "connections_most": "connections of clients, above 0; fewer where descriptors are scarce",
        "connection_bytes": "bytes that connections of clients may hold in buffers, above 0",
        "load_rate": "loads from the weight store a second, above 0",
        "load_burst": "loads from the weight store at once, above 0",
        "stall": _SECONDS,
        "stop": "seconds from SIGTERM to the supervisor's kill, above 0",
        "on_lost_control": "refuse or serve",
    },
    "tls": {
        "certificate": "path of a PEM file",
        "key": "path of a PEM file",
        "authority": "path of a PEM file",
    },
}

_FREE_SECTIONS = ("control", "operators")


@dataclass
class _Reader:
    """Reads values and collects the faults found on the way."""

    parser: ConfigParser
    faults: list[Fault] = field(default_factory=list)

    def get_text(self, section: str, key: str, default: str = "", needed: bool = False) -> str:
        value = self.parser.get(section, key, fallback=default).strip()
        if needed and not value:
            self.add_fault(section, key, value)
        return value

    def get_number(self, section: str, key: str, default: float) -> float:
        text = self.get_text(section, key, str(default))
        try:
            value = float(text)
        except ValueError:
            value = 0.0
        if not 0 < value < 1e12:
            self.add_fault(section, key, text)
            return default
        return value

    def get_count(self, section: str, key: str, default: int) -> int:
        value = self.get_number(section, key, default)
        if value != int(value):
            self.add_fault(section, key, str(value))
        return int(value)

    def get_choice(self, section: str, key: str, choices: type[StrEnum], default: str) -> str:
        text = self.get_text(section, key, default)
        if text not in [choice.value for choice in choices]:
            self.add_fault(section, key, text)
            return next(iter(choices)).value
        return text

    def add_fault(self, section: str, key: str, value: str) -> None:
        self.faults.append(Fault(section, key, value, _KEYS[section][key]))


def list_keys() -> Iterator[tuple[str, str, str]]:
    """Yield section, key and expected value of all fixed settings."""
    for section, keys in _KEYS.items():
        for key, expected in keys.items():
            yield section, key, expected


def load_settings(path: str) -> Settings:
    """Read and check a settings file; raises :class:`SettingsError` with the first fault.

    :param path: the INI file.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(Failure(FailureKind.INVALID, f"{path}: {error}")) from error
    found = parse_settings(text)
    if isinstance(found, Settings):
        return found
    reason = "; ".join(str(fault) for fault in found)
    raise SettingsError(Failure(FailureKind.INVALID, reason))


def parse_settings(text: str) -> Settings | list[Fault]:
    """Return the settings in an INI text, or all faults found.

    :param text: the text.
    """
    parser = ConfigParser(interpolation=None, delimiters=("=",))
    try:
        parser.read_string(text)
    except Error as error:
        return [Fault("", "", str(error).replace("\n", " "), "INI text")]
    reader = _Reader(parser)
    reader.faults.extend(_find_unknown(parser))
    settings = _read(reader)
    reader.faults.extend(_find_clashes(settings))
    return reader.faults or settings


def _find_unknown(parser: ConfigParser) -> Iterator[Fault]:
    for section in parser.sections():
        if section in _FREE_SECTIONS:
            continue
        if section not in _KEYS:
            yield Fault(section, "", "", f"one of {', '.join([*_KEYS, *_FREE_SECTIONS])}")
            continue
        for key in parser[section]:
            if key not in _KEYS[section]:
                value = parser[section][key]
                yield Fault(section, key, value, f"one of {', '.join(_KEYS[section])}")


def _read(reader: _Reader) -> Settings:
    parser = reader.parser
    control = dict(parser["control"]) if parser.has_section("control") else {}
    return Settings(
        role=NodeRole(reader.get_choice("node", "role", NodeRole, "")),
        name=reader.get_text("node", "name", needed=True),
        zone=reader.get_text("node", "zone", needed=True),
        region=reader.get_text("node", "region", needed=True),
        address=reader.get_text("node", "address", needed=True),
        bind=reader.get_text("node", "bind"),
        data=reader.get_text("node", "data"),
        control=control,
        claim_shards=reader.get_count("limits", "claim_shards", defaults.CLAIM_SHARDS),
        cluster_secret=reader.get_text("secrets", "cluster_secret", needed=True),
        upstream_token=reader.get_text("secrets", "upstream_token", needed=True),
        entry_lease=reader.get_number("leases", "entry_lease", defaults.ENTRY_LEASE_SECONDS),
        follow=reader.get_number("leases", "follow", defaults.FOLLOW_SECONDS),
        report=reader.get_number("leases", "report", defaults.REPORT_SECONDS),
        upstream_lease=reader.get_number(
            "leases", "upstream_lease", defaults.UPSTREAM_LEASE_SECONDS
        ),
        locate_keep=reader.get_number("leases", "locate_keep", defaults.LOCATE_KEEP_SECONDS),
        on_lost_control=OnLostControl(
            reader.get_choice("limits", "on_lost_control", OnLostControl, "refuse")
        ),
        body_bytes=reader.get_count("limits", "body_bytes", defaults.BODY_BYTES),
        requests_most=reader.get_count("limits", "requests_most", defaults.REQUESTS_MOST),
        load_rate=reader.get_number("limits", "load_rate", defaults.LOAD_RATE),
        load_burst=reader.get_number("limits", "load_burst", defaults.LOAD_BURST),
        queue_most=reader.get_count("limits", "queue_most", defaults.MAX_QUEUED_REQUESTS),
        connections_most=reader.get_count("limits", "connections_most", defaults.CONNECTIONS_MOST),
        connection_bytes=reader.get_count(
            "limits", "connection_bytes", defaults.CONNECTION_HELD_BYTES
        ),
        stall=reader.get_number("limits", "stall", defaults.STALL_SECONDS),
        stop=reader.get_number("limits", "stop", defaults.STOP_SECONDS),
        tls=Tls(
            reader.get_text("tls", "certificate"),
            reader.get_text("tls", "key"),
            reader.get_text("tls", "authority"),
        ),
        operators=tuple(_read_operators(reader)),
    )


def _read_operators(reader: _Reader) -> Iterator[OperatorSeed]:
    if not reader.parser.has_section("operators"):
        return
    for name, value in reader.parser["operators"].items():
        partner, _, token_hash = value.partition(" ")
        if not partner or not is_token_hash(token_hash.strip()):
            expected = "PARTNER and the token's SHA-256 in lower-case hex"
            reader.faults.append(Fault("operators", name, value, expected))
            continue
        yield OperatorSeed(name, partner, token_hash.strip())


def _find_clashes(settings: Settings) -> Iterator[Fault]:
    """Yield the faults that lie between values."""
    addresses = list(settings.control.values())
    for address in [settings.address, *addresses]:
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit() or not 0 < int(port) < 65_536:
            yield Fault("node", "address", address, "IP:PORT")
    if len(set(addresses)) != len(addresses):
        yield Fault("control", "", ", ".join(addresses), "different addresses")
    if not settings.control:
        yield Fault("control", "", "", "NAME = IP:PORT for each control process")
    if len(settings.control) > 7:
        yield Fault("control", "", str(len(settings.control)), "at most 7 control processes")
    if len(settings.cluster_secret) < 16:
        yield Fault("secrets", "cluster_secret", "...", _KEYS["secrets"]["cluster_secret"])
    if len(settings.upstream_token) < 8:
        yield Fault("secrets", "upstream_token", "...", _KEYS["secrets"]["upstream_token"])
    if bool(settings.tls.certificate) != bool(settings.tls.key):
        yield Fault("tls", "key", settings.tls.key, "certificate and key together")
    yield from _find_lease_clashes(settings)
    yield from _find_stop_clashes(settings)
    if settings.role is NodeRole.CONTROL:
        yield from _find_control_clashes(settings)
    elif settings.address in addresses:
        yield Fault("node", "address", settings.address, "an address no control process has")


def _find_lease_clashes(settings: Settings) -> Iterator[Fault]:
    if settings.entry_lease < 2 * settings.follow:
        expected = f"at least twice follow ({2 * settings.follow:g} s)"
        yield Fault("leases", "entry_lease", f"{settings.entry_lease:g}", expected)
    if settings.entry_lease > 8:
        expected = "at most 8 s, the time in which a configuration is in force"
        yield Fault("leases", "entry_lease", f"{settings.entry_lease:g}", expected)
    if settings.upstream_lease < 2 * settings.report:
        expected = f"at least twice report ({2 * settings.report:g} s)"
        yield Fault("leases", "upstream_lease", f"{settings.upstream_lease:g}", expected)


def _find_stop_clashes(settings: Settings) -> Iterator[Fault]:
    # So long callers may still come to an entry that was told to stop.
    coming = settings.locate_keep + settings.follow
    least = coming + defaults.STOP_KEPT_SECONDS
    if settings.stop < least:
        kept = f"locate_keep, follow and {defaults.STOP_KEPT_SECONDS:g} s to end"
        yield Fault("limits", "stop", f"{settings.stop:g}", f"at least {kept} ({least:g} s)")


def _find_control_clashes(settings: Settings) -> Iterator[Fault]:
    if settings.control.get(settings.name) != settings.address:
        expected = f"{settings.address} under the node's own name"
        yield Fault("control", settings.name, settings.control.get(settings.name, ""), expected)
    if not settings.data:
        yield Fault("node", "data", settings.data, _KEYS["node"]["data"])
