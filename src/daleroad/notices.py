"""Messages between gateways and coordinators. Ages and waits are in seconds."""

from dataclasses import dataclass, field

from daleroad.evacuations import EvacuatedZones
from daleroad.instances import Sighting
from daleroad.patches import Patch
from daleroad.ratelimits import RateLimit
from daleroad.suspects import Suspicion


@dataclass(frozen=True)
class GatewayNotice:
    """A gateway as others are told of it.

    :param address: IP:PORT for clients.
    :param serving: whether new clients should be sent there.
    :param age: seconds since it was heard.
    """

    address: str
    zone: str
    region: str
    serving: bool
    age: float = 0.0


@dataclass(frozen=True)
class Load:
    """Work that gateways have under way at one instance.

    :param runs: requests.
    :param tokens: tokens of memory that they may take in the end.
    :param unread: prompt tokens of those that have not begun to answer.
    """

    instance: str
    runs: int = 0
    tokens: int = 0
    unread: int = 0

    def add(self, other: "Load") -> "Load":
        """Return the sum with other work at the same instance.

        :param other: the other work.
        """
        return Load(
            self.instance,
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.unread + other.unread,
        )

    def subtract(self, other: "Load") -> "Load":
        """Return what is left without other work at the same instance.

        :param other: the other work.
        """
        return Load(
            self.instance,
            self.runs - other.runs,
            self.tokens - other.tokens,
            self.unread - other.unread,
        )

    def is_empty(self) -> bool:
        """Return whether there is no work."""
        return not (self.runs or self.tokens or self.unread)


@dataclass(frozen=True)
class UpstreamNotice:
    """What a gateway heard an instance say of itself in its answers.

    :param instance: its id.
    :param limit: the newest of the requests that it takes, if it ever named a limit.
    :param leaving: whether it leaves.
    """

    instance: str
    limit: RateLimit | None = None
    leaving: bool = False


@dataclass(frozen=True)
class JoinRequest:
    """A coordinator asks to be sent the log.

    :param name: its address for the other coordinators.
    :param disk: whether it has a disk and so may vote.
    """

    name: str
    disk: bool


@dataclass(frozen=True)
class IdentifyAnswer:
    """What a coordinator says of itself while a group is founded."""

    name: str
    disk: bool


@dataclass(frozen=True)
class ShareRequest:
    """A coordinator tells another what it heard.

    :param gateways: those that are news to the other.
    :param sightings: instances that are news to the other.
    :param gateway_ages: seconds since gateways were heard, by address, where that was of late.
    :param ages: the same of instances, by id.
    :param suspicions: requests of which the other does not know all that is held against them.
    """

    sender: str
    gateways: tuple[GatewayNotice, ...] = ()
    sightings: tuple[Sighting, ...] = ()
    gateway_ages: dict[str, float] = field(default_factory=dict)
    ages: dict[str, float] = field(default_factory=dict)
    suspicions: tuple[Suspicion, ...] = ()


@dataclass(frozen=True)
class ShareAnswer:
    """Acknowledges a share; names all coordinators that are known.

    :param epoch: the run of the coordinator that answers; another one knows nothing of before.
    :param complete: whether it knows all gateways and instances that the share names.
    """

    coordinators: tuple[str, ...]
    epoch: str = ""
    complete: bool = True


@dataclass(frozen=True)
class WatchRequest:
    """A gateway asks for news and tells of itself.

    :param epoch: the run of the coordinator that ``revision`` counts in.
    :param revision: the newest revision of the fleet that it has from that run.
    :param version: the version of the routing configuration that it serves.
    :param loads: its own work.
    :param wait: how long the answer may wait for news.
    :param gather: how long news of the fleet may wait for more.
    :param wants_loads: whether the others' work should be told.
    :param whole: whether a newer configuration must be told whole, not as what differs.
    :param suspicions: what it holds against requests and has not told this coordinator yet.
    :param suspects: the newest revision of the suspects that it has from that run.
    :param zones: the version of the evacuated zones that it goes by.
    :param upstreams: what instances said of themselves, where that changed and was not told this
        coordinator yet.
    """

    gateway: GatewayNotice
    epoch: str
    revision: int
    version: int
    loads: tuple[Load, ...]
    wait: float
    gather: float
    wants_loads: bool
    whole: bool = True
    suspicions: tuple[Suspicion, ...] = ()
    suspects: int = 0
    zones: int = 0
    upstreams: tuple[UpstreamNotice, ...] = ()


@dataclass(frozen=True)
class LoadsRequest:
    """A gateway tells the leading coordinator of its work, soon after that changed.

    :param gateway: its address.
    :param loads: its own work.
    """

    gateway: str
    loads: tuple[Load, ...]


@dataclass(frozen=True)
class PlaceRequest:
    """A gateway asks the leading coordinator for the upstream that a request should go to.

    :param gateway: its address.
    :param zone: its availability zone.
    :param service: the service that the prompt is for.
    :param tokens: tokens of memory that it may take.
    :param unread: tokens of the prompt.
    :param excluded: instances that it must not go to.
    :param failing: instances whose answers to this gateway failed of late.
    :param unreached: instances that it could not reach since they were heard.
    :param patient: whether it would rather wait a little than have it sent where it does not fit.
    :param limits: the limits of the service's instances, as the gateway knows them. A leader that
        lost its news learns them so.
    :param only: the one instance that it may go to; empty for any.
    """

    gateway: str
    zone: str
    service: str
    tokens: int
    unread: int
    excluded: tuple[str, ...]
    failing: tuple[str, ...]
    unreached: tuple[str, ...] = ()
    patient: bool = False
    limits: tuple[UpstreamNotice, ...] = ()
    only: str = ""


@dataclass(frozen=True)
class PlaceAnswer:
    """Names the engine for a prompt.

    :param instance: its id; empty where there is none.
    :param granted: whether the request was counted there, so that it may go though the instance
        bears only so many.
    :param crowded: whether there are engines, but the prompt fits into none and should wait.
    """

    instance: str
    granted: bool = False
    crowded: bool = False


@dataclass(frozen=True)
class WatchAnswer:
    """News for a gateway.

    :param leader: address of the leading coordinator, if known.
    :param document: the routing configuration, when the gateway's is older and not known here.
    :param patch: what makes the gateway's older configuration into this one.
    :param sightings: the instances that changed since the revision that was asked with, or all.
    :param ages: seconds since each instance was heard.
    :param loads: the work of all other gateways, where it was asked for.
    :param gateways: how many gateways are alive.
    :param others: how many other gateways take clients.
    :param suspicions: what changed of the suspected requests since the revision that was asked
        with, where it matters where they go.
    :param suspects: the revision of the suspects.
    :param held: seconds that the question waited for this answer.
    :param zones: the evacuated zones, when the gateway's state of them is older.
    """

    epoch: str
    revision: int
    coordinators: tuple[str, ...]
    leader: str
    version: int
    document: str | None
    sightings: tuple[Sighting, ...]
    ages: dict[str, float]
    loads: tuple[Load, ...] | None
    gateways: int
    others: int = 1
    patch: Patch | None = None
    suspicions: tuple[Suspicion, ...] = ()
    suspects: int = 0
    held: float = 0.0
    zones: EvacuatedZones | None = None


@dataclass(frozen=True)
class SuspectsAnswer:
    """The requests that are suspected.

    :param suspicions: all that is known of them.
    :param held: fingerprints of those that reach no upstream.
    """

    suspicions: tuple[Suspicion, ...]
    held: tuple[str, ...]


@dataclass(frozen=True)
class ReleaseRequest:
    """An operator takes back what is held against a request.

    :param fingerprint: the request.
    """

    fingerprint: str


@dataclass(frozen=True)
class TrialRequest:
    """A gateway asks the leading coordinator to try a request that was held for long.

    :param fingerprint: the request.
    """

    fingerprint: str


@dataclass(frozen=True)
class TrialAnswer:
    """Says whether this gateway may try it now; no other may then for a while."""

    granted: bool


@dataclass(frozen=True)
class EvacuateRequest:
    """Asks any coordinator for an order about an availability zone.

    :param evacuated: whether the zone's upstreams get nothing from now on.
    """

    zone: str
    evacuated: bool


@dataclass(frozen=True)
class SaveRequest:
    """Asks the leader to commit a routing configuration."""

    document: str


@dataclass(frozen=True)
class SaveAnswer:
    """The configuration is saved by a majority, or an equal or newer one already was.

    :param version: the newest version.
    """

    version: int


@dataclass(frozen=True)
class ReadAnswer:
    """The newest routing configuration, by the word of a leader that just heard a majority."""

    version: int
    document: str
