"""Wire messages to and between coordinators of a site. Ages and waits are in seconds."""

from dataclasses import dataclass, field

from daleroad.evacuations import EvacuatedZones
from daleroad.instances import Sighting
from daleroad.patches import Patch
from daleroad.paths import Reach
from daleroad.ratelimits import RateLimit
from daleroad.suspicions import Suspicion


@dataclass(frozen=True)
class GatewayNotice:
    """The state of a gateway.

    :param address: IP:PORT for clients.
    :param zone: its availability zone.
    :param region: its region.
    :param serving: whether it accepts new clients.
    :param age: seconds since it was heard.
    :param tunnel: IP:PORT of its tunnels for other gateways; empty if it offers none.
    :param reach: which upstreams it reaches itself.
    """

    address: str
    zone: str
    region: str
    serving: bool
    age: float = 0.0
    tunnel: str = ""
    reach: Reach = Reach.FULL


@dataclass(frozen=True)
class Load:
    """Load of gateways' running requests on one instance.

    :param instance: its id.
    :param runs: number of requests.
    :param tokens: tokens of engine memory that they may need by their end.
    :param unread: prompt tokens of the requests without output yet.
    :param guarded: number of running streams whose pauses are guarded against other prompts.
    """

    instance: str
    runs: int = 0
    tokens: int = 0
    unread: int = 0
    guarded: int = 0

    def add(self, other: "Load") -> "Load":
        """Return the sum with another load on the same instance.

        :param other: the other load.
        """
        return Load(
            self.instance,
            self.runs + other.runs,
            self.tokens + other.tokens,
            self.unread + other.unread,
            self.guarded + other.guarded,
        )

    def subtract(self, other: "Load") -> "Load":
        """Return the difference from another load on the same instance.

        :param other: the load to subtract.
        """
        return Load(
            self.instance,
            self.runs - other.runs,
            self.tokens - other.tokens,
            self.unread - other.unread,
            self.guarded - other.guarded,
        )

    def is_empty(self) -> bool:
        """Return whether all counts are zero."""
        return not (self.runs or self.tokens or self.unread or self.guarded)


@dataclass(frozen=True)
class Pace:
    """How fast an engine generates, as seen in its streams.

    :param instance: its id.
    :param event_seconds: median time between two events of a stream.
    :param slow_event_seconds: 95th percentile of that time.
    :param samples: number of events behind the estimate; old ones count less.
    """

    instance: str
    event_seconds: float
    slow_event_seconds: float
    samples: float


@dataclass(frozen=True)
class Demand:
    """What a client request demands of the engine that serves it. Times are in seconds.

    :param organisation: name of its organisation, or empty.
    :param rank: priority; 0 is the highest.
    :param objective: latency objective of the first output.
    :param pause: longest pause between outputs that meets its objective; 0 for no limit.
    :param age: time since the gateway received the request.
    :param time_left: time until its client or its route gives up.
    :param long: whether its output takes long, so that pauses in it matter.
    :param fingerprint: identifies the request across the retries of its client.
    :param guarded: whether its stream is to be guarded against pauses for other prompts.
    """

    organisation: str
    rank: int
    objective: float
    pause: float
    age: float
    time_left: float
    long: bool
    fingerprint: str
    guarded: bool = False


@dataclass(frozen=True)
class UpstreamNotice:
    """State that an instance announced to a gateway in its responses.

    :param instance: its id.
    :param limit: its newest rate limit, or None if it never announced one.
    :param leaving: whether it is leaving.
    :param brittle: whether many rejections make it crash.
    """

    instance: str
    limit: RateLimit | None = None
    leaving: bool = False
    brittle: bool = False


@dataclass(frozen=True)
class JoinRequest:
    """Request of a coordinator without a vote to receive the log.

    :param name: its address for the other coordinators.
    :param disk: whether it has a persistent disk, so that it can become a voter.
    """

    name: str
    disk: bool


@dataclass(frozen=True)
class IdentifyAnswer:
    """Identity of a coordinator, requested while a group is founded.

    :param name: its address for the other coordinators.
    :param disk: whether it has a persistent disk.
    """

    name: str
    disk: bool


@dataclass(frozen=True)
class ShareRequest:
    """Liveness state that a coordinator sends to another.

    :param sender: address of the coordinator.
    :param gateways: gateways that changed since the receiver's last acknowledgement.
    :param sightings: instances that changed since then.
    :param gateway_ages: seconds since each recently heard gateway was heard, by address.
    :param ages: seconds since each recently heard instance was heard, by id.
    :param suspicions: suspected requests that changed since the last acknowledgement.
    """

    sender: str
    gateways: tuple[GatewayNotice, ...] = ()
    sightings: tuple[Sighting, ...] = ()
    gateway_ages: dict[str, float] = field(default_factory=dict)
    ages: dict[str, float] = field(default_factory=dict)
    suspicions: tuple[Suspicion, ...] = ()


@dataclass(frozen=True)
class ShareAnswer:
    """Acknowledgement of a share or a join request.

    :param coordinators: addresses of the known coordinators.
    :param epoch: identifies the process run of the answering coordinator; its liveness state of
        earlier runs may be lost.
    :param complete: whether it knows all gateways and instances that the share gives ages for.
    """

    coordinators: tuple[str, ...]
    epoch: str = ""
    complete: bool = True


@dataclass(frozen=True)
class WatchRequest:
    """Long-poll request of a gateway, which also reports its own state.

    :param gateway: its state.
    :param epoch: process run of the coordinator that ``revision`` and ``suspects`` belong to.
    :param revision: newest revision of the fleet that it has from that run.
    :param version: version of the routing configuration that it serves.
    :param loads: its own loads.
    :param wait: how long the answer may wait for changes.
    :param gather: how long the answer may be delayed to batch fleet changes.
    :param wants_loads: whether the answer should have the loads of the other gateways.
    :param whole: whether a newer configuration must be sent in full and not as a patch.
    :param suspicions: changes of suspected requests not yet sent to this coordinator.
    :param suspects: newest revision of the suspected requests that it has from that run.
    :param zones: version of the evacuated zones that it applies.
    :param upstreams: changed announcements of instances not yet sent to this coordinator.
    :param paces: paces of engines as this gateway sees them, if they changed noticeably or were not
        sent to this coordinator for some time.
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
    paces: tuple[Pace, ...] = ()


@dataclass(frozen=True)
class LoadsRequest:
    """Report of a gateway's changed loads to the leading coordinator.

    :param gateway: its address.
    :param loads: its own loads.
    """

    gateway: str
    loads: tuple[Load, ...]


@dataclass(frozen=True)
class PlaceRequest:
    """Request of a gateway to the leading coordinator to choose an upstream for a client request.

    :param gateway: its address.
    :param zone: its availability zone.
    :param service: the service that the client request is for.
    :param tokens: tokens of engine memory that the client request may need.
    :param unread: tokens of its prompt.
    :param excluded: instances that must not be chosen.
    :param failing: instances whose responses to this gateway failed recently.
    :param unreached: instances that the gateway could not reach since they were last heard.
    :param patient: whether the client request should wait if no instance has enough free memory.
    :param limits: rate limits of the service's instances that the gateway knows. A new leader may
        not have received them.
    :param only: the only instance that may be chosen; empty for any.
    :param demand: what the client request demands, if requests to the service compete.
    :param ticket: identifies the client request at its gateway, to withdraw it from a queue.
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
    demand: Demand | None = None
    ticket: str = ""


@dataclass(frozen=True)
class PlaceAnswer:
    """The upstream that was chosen for a request.

    :param instance: its id; empty if none was chosen.
    :param granted: whether the leader counted the request against a rate limit of the instance, so
        that the gateway may send it.
    :param crowded: whether the request should wait because it fits into no available instance.
    :param refused: whether the request should be refused because it can't start in time.
    :param retry_after: seconds after which a refused request will find room.
    """

    instance: str
    granted: bool = False
    crowded: bool = False
    refused: bool = False
    retry_after: float = 0.0


@dataclass(frozen=True)
class WithdrawRequest:
    """Notice of a gateway that a client request needs no upstream any more.

    :param gateway: its address.
    :param service: the service that the client request is for.
    :param ticket: identifies the client request.
    """

    gateway: str
    service: str
    ticket: str


@dataclass(frozen=True)
class WaitingPrompt:
    """A prompt that waits for room in an engine, as operators see it.

    :param service: the service that it is for.
    :param rank: its rank.
    :param organisation: its organisation.
    :param gateway: the gateway that serves it.
    :param age: seconds since it was received.
    :param tokens: tokens of memory that it may need.
    """

    service: str
    rank: int
    organisation: str
    gateway: str
    age: float
    tokens: int


@dataclass(frozen=True)
class QueueAnswer:
    """The prompts that wait for room, in order.

    :param waiting: the prompts.
    """

    waiting: tuple[WaitingPrompt, ...]


@dataclass(frozen=True)
class WatchAnswer:
    """Answer to a watch.

    :param epoch: identifies the process run of the coordinator.
    :param revision: revision of the fleet.
    :param coordinators: addresses of the known coordinators.
    :param leader: address of the leading coordinator, or empty if unknown.
    :param version: newest committed version of the routing configuration.
    :param document: full text of the routing configuration, if the gateway's is older and no patch
        is sent.
    :param sightings: instances that changed since the revision in the request, or all.
    :param ages: seconds since each instance was heard, by id.
    :param loads: loads of all other gateways, if requested.
    :param gateways: number of gateways heard recently.
    :param others: number of other gateways that accept clients.
    :param patch: difference from the gateway's routing configuration to the newest.
    :param suspicions: suspected requests that changed since the revision in the request, only those
        whose placement is or was restricted.
    :param suspects: revision of the suspected requests.
    :param held: seconds that the request waited at the coordinator.
    :param zones: the evacuated zones, if the gateway's version of them is older.
    :param paces: paces of engines over all gateways, in some of the answers with loads.
    :param tunnels: IP:PORT of the tunnels of some gateways that reach upstreams themselves.
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
    paces: tuple[Pace, ...] = ()
    tunnels: tuple[str, ...] = ()


@dataclass(frozen=True)
class SuspectsAnswer:
    """The requests suspected of crashing engines.

    :param suspicions: what is known of each.
    :param held: fingerprints of the requests that are sent to no upstream.
    """

    suspicions: tuple[Suspicion, ...]
    held: tuple[str, ...]


@dataclass(frozen=True)
class KnownPace:
    """The pace of an engine as a coordinator knows it.

    :param pace: the pace over all gateways.
    :param service: the engine's service.
    :param age: seconds since a gateway last reported it.
    :param gateways: number of gateways whose reports count.
    :param slow: whether it is much slower than the quickest engine of its service.
    """

    pace: Pace
    service: str
    age: float
    gateways: int
    slow: bool


@dataclass(frozen=True)
class PacesAnswer:
    """The known paces of engines."""

    paces: tuple[KnownPace, ...]


@dataclass(frozen=True)
class ReleaseRequest:
    """An operator's order to retract crashes that are blamed on a request.

    :param fingerprint: identifies the request.
    :param crashes: ids of the instances whose crashes are retracted; an order that is read late
        retracts none that the operator has not seen.
    """

    fingerprint: str
    crashes: tuple[str, ...]


@dataclass(frozen=True)
class TrialRequest:
    """Request of a gateway to the leading coordinator for a trial of a request held for long.

    :param fingerprint: identifies the suspected request.
    """

    fingerprint: str


@dataclass(frozen=True)
class TrialAnswer:
    """Whether the gateway may try the request now; if so, no other may for some time."""

    granted: bool


@dataclass(frozen=True)
class EvacuateRequest:
    """Request to any coordinator to evacuate an availability zone or to end its evacuation.

    :param zone: the availability zone.
    :param evacuated: whether the zone's upstreams should get no requests.
    :param base: version of the evacuated zones that the request is based on; it is refused if they
        have changed since.
    """

    zone: str
    evacuated: bool
    base: int


@dataclass(frozen=True)
class SaveRequest:
    """Request to the leader to commit a routing configuration.

    :param document: its text.
    """

    document: str


@dataclass(frozen=True)
class SaveAnswer:
    """Confirmation that this or an equal or newer routing configuration is committed.

    :param version: the newest committed version.
    """

    version: int


@dataclass(frozen=True)
class ReadAnswer:
    """The newest routing configuration, read from a leader with a valid lease.

    :param version: its version.
    :param document: its text.
    """

    version: int
    document: str
