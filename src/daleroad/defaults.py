"""Default values and limits, in one place. Times are in seconds, sizes in bytes or tokens."""

TICK_SECONDS = 0.05
"""Interval of the control loop's timer."""

CLOCK_TURN_SECONDS = 0.25
"""How late a timer may be after its machine was suspended; a process wakes as often anyway to
exchange loads. What must not be late by that reads the clock when it is used."""

SUSPENDED_LEAST_SECONDS = 0.05
"""Shortest time of suspension that is noted; reading two clocks one after the other takes less."""

LOOP_STALL_SECONDS = 0.5
"""A loop that comes so late to its turn was frozen, suspended or starved; what waited for it
meanwhile may be as old."""

MIN_ELECTION_TIMEOUT_SECONDS = 0.7
MAX_ELECTION_TIMEOUT_SECONDS = 1.4
"""Range from which each election timeout is drawn."""

HEARTBEAT_SECONDS = 0.18
"""Interval between a leader's heartbeats."""

LEADER_LEASE_SECONDS = 0.55
"""A leader serves for so long after it heard a majority; below MIN_ELECTION_TIMEOUT_SECONDS."""

ENTRY_LEASE_SECONDS = 4.0
"""An entry serves for so long after it asked a leader that answered."""

FOLLOW_SECONDS = 1.5
"""A follow request without news is answered after so long."""

GATHER_SECONDS = 0.003
"""For each entry, how long the leader gathers changes before it tells them."""

REPORT_SECONDS = 0.5
"""Interval between an upstream's reports to its steward."""

UPSTREAM_LEASE_SECONDS = 3.0
"""An upstream without a report for so long is taken as gone."""

LEASE_REMOVAL_DELAY_SECONDS = 1.5
"""Time beyond that lease after which an upstream that ended is no member any more: the steward's
turn, and a change of the membership on a majority of disks."""

LOCATE_KEEP_SECONDS = 5.0
"""How long a caller may keep a locate answer."""

LOCATE_MOST = 4
"""Addresses in a locate answer when the caller doesn't say."""

PEER_TIMEOUT_SECONDS = 1.0
"""Limit of one request between control processes."""

CALL_TIMEOUT_SECONDS = 4.0
"""Limit of a short request between our processes or to an upstream."""

STALL_SECONDS = 5.0
"""A stream without progress for so long is taken as stalled and resumed."""

STOP_SECONDS = 90.0
"""From SIGTERM to the supervisor's kill: a common supervisor's default; a site sets its own."""

STOP_KEPT_SECONDS = 1.0
"""Kept of that for telling callers what is cut off, and the leader that an entry is gone."""

FIRST_TOKEN_ALLOWANCE_SECONDS = 0.5
"""From its permit to a generation's first token; a prompt's reading (0.4 s) and its way."""

MAX_RESUME_TRIES = 6
"""Tries to resume one generation before it ends as partial."""

DEADLINE_SECONDS = 120.0
"""Deadline to the first token of a request that names none."""

URGENT_DEADLINE_SECONDS = 10.0
"""The same for urgent routes."""

MAX_LOG_ENTRIES = 1000
"""Applied log entries after which a snapshot is taken."""

MAX_LOG_BYTES = 1_000_000
"""Applied bytes after which a snapshot is taken; a hundred large changes fit a disk of 64 MB."""

STORAGE_RETRY_SECONDS = 0.3
"""Pause before a disk that refused a write is tried again; well below an election timeout."""

MAX_APPEND_ENTRIES = 256
"""Log entries in one append message."""

MARK_ENTRIES = 64
"""Log entries after which a disk's mark grows; a disk that goes back by more is found out."""

MAX_REMEMBERED_RUNS = 8
"""Runs that a disk remembers, to show that it has not gone back."""

MAX_KEPT_OPERATIONS = 20_000
"""Outcomes kept to answer resent operations."""

MAX_AUDIT_ROWS = 20_000
"""Rows of the audit trail kept in the replicated state."""

CLAIM_SHARDS = 2
"""Logs over which claims are spread."""

CLAIM_RETENTION_SECONDS = 86_400.0
"""How long a settled claim is remembered."""

MAX_CLAIMS = 50_000
"""Claims one shard remembers; beyond it new claims are refused."""

MAX_CLAIM_ANSWER_BYTES = 4096
"""Largest answer recorded with a claim."""

BODY_BYTES = 1_000_000
"""Largest request body."""

CONNECTIONS_MOST = 2_000
"""Connections of clients to one process; beyond it idle ones are closed for new ones."""

CONNECTION_HELD_BYTES = 32_000_000
"""Bytes that connections of clients may hold in buffers; beyond it those that hold most are cut."""

REQUESTS_MOST = 2_000
"""Requests one entry serves at a time."""

RETRY_SHARE = 0.1
"""Retries allowed as a share of first tries."""

RETRY_BURST = 10.0
"""Retries allowed beyond the share, to start with."""

BACKOFF_SECONDS = 0.05
MAX_BACKOFF_SECONDS = 2.0
"""First and largest delay between retries, before jitter."""

URGENT_RESERVE = 0.1
"""Share of an engine's memory and slots kept for urgent routes."""

MAX_QUEUED_REQUESTS = 512
"""Requests that wait at one upstream."""

STARVATION_SECONDS = 20.0
"""Long work that waited for so long goes before younger urgent work once in a while."""

LENGTH_WINDOW_SIZE = 512
"""Output lengths remembered for each route and model version."""

DEFAULT_OUTPUT_TOKENS = 256
"""Output length assumed with no history, in tokens."""

PERMIT_TIMEOUT_SECONDS = 10.0
"""A permit not seen running by the upstream's reports for so long is dropped."""

EJECT_SHARE = 0.34
"""Largest share of a service's upstreams that may be ejected at a time."""

EJECT_SECONDS = 5.0
"""First time an upstream stays ejected before it gets a trial request."""

LOAD_RATE = 0.2
"""Loads from the weight store a second."""

LOAD_BURST = 2.0
"""Loads from the weight store at once after quiet."""

BUDGET_SAFETY = 0.7
"""Part of a shared retry budget that is used; others' views of who shares it may be late."""

COORDINATOR_CALL_SECONDS = 0.5
"""Limit of a call between coordinators; some round trips and a disk's sync."""

COORDINATOR_TURN_SECONDS = 0.1
"""Interval of a coordinator's housekeeping, and pause before another leader is looked for."""

FOUNDING_CALL_SECONDS = 1.0
FOUNDING_PAUSE_SECONDS = 0.1
"""Limit of a call to another founder, and pause before the next."""

JOIN_SECONDS = 0.4
"""Interval at which a coordinator without a vote asks for the log."""

STANDBY_SILENT_SECONDS = 3.0
"""A coordinator not heard for so long is not named to others any more; several shares."""

GATEWAY_TIMEOUT_SECONDS = 1.3
"""A gateway not heard for so long gets no new clients; its slowest question and a share."""

GATEWAY_DOUBTFUL_SECONDS = 6.0
"""A gateway heard within this time is named to clients where no other was heard lately."""

START_SECONDS = 1.6
"""After so long a gateway that just started has a configuration, when all start at once: an
election and a watch; 1.1 s was measured."""

FIRST_CONFIG_SECONDS = 0.9
"""How long a gateway that just started waits for a configuration before it reads requests. Clients
give up an unread request after one second; when it reads sooner it can only refuse."""

LEADER_WAIT_SECONDS = 0.85
"""How long a coordinator looks for a leader; callers wait for one second."""

MAX_ORDER_AGE_SECONDS = 0.9
"""Age up to which the caller of an order on an open connection surely waits for its answer; callers
wait for one second."""

LOOKUP_TTL_SECONDS = 2
"""How long a client may keep the addresses it was told; below what a heartbeat's loss takes."""

LOOKUP_DRAIN_TTL_SECONDS = 0.5
"""The same while a gateway drains. Where several do so in turn an older answer names some of them,
and a client that one of them refuses meets the next: 5 of 301 long generations, 0.6 s apart."""

LOOKUP_STALE_FACTOR = 3.0
"""Some clients keep an answer for so many times as long; the platform says so."""

LOOKUP_CHANGE_SECONDS = 0.3
"""Until no coordinator names a gateway that leaves; 0.18 s were measured with six."""

COORDINATOR_DRAIN_SECONDS = 1.0
"""How long a coordinator that stops answers what it has read; its callers wait for one second."""

MAX_DEPARTURE_SHARE_SECONDS = 0.4
"""How long an upstream's leave waits for other coordinators; its caller waits for one second."""

PERSIST_INTERVAL_SECONDS = 0.5
"""Interval at which a coordinator writes down upstreams that changed."""

SHARE_SECONDS = 0.3
"""Interval at which coordinators tell each other who they heard; well below a heartbeat."""

WATCHED_COORDINATORS = 3
"""Coordinators that a gateway watches; two may be lost."""

MIN_LOAD_EXCHANGE_SECONDS = 0.25
"""Interval at which a gateway exchanges loads with the leading coordinator."""

WATCH_FAST_GATEWAYS = 24
"""Gateways that exchange loads at that interval; more of them share its rate, or most of a large
site's processor time would go into it. News is told at once all the same."""

WATCH_SLOW_SECONDS = 1.0
"""How long the other coordinators keep a gateway's question without news."""

WATCH_FAST_GATHER_SECONDS = 0.02
"""How long news of upstreams waits for more at the coordinator that a gateway hears first: several
come and go at a time, and an engine's notice is 1.5 s."""

WATCH_SLOW_GATHER_SECONDS = 0.3
"""The same at the other coordinators, whose news the gateway mostly has; below a second's part of
what a leaving upstream is given."""

PLACER_TIMEOUT_SECONDS = 0.08
"""How long a gateway waits for the engine that the leading coordinator names: several round trips
between availability zones, and a twentieth of the objective for a first output."""

PLACER_RETRY_SECONDS = 0.5
"""How long a gateway chooses engines alone after that failed; about one election."""

MAX_MEMORY_WAIT_OBJECTIVES = 0.45
"""Part of its objective that a long generation waits for room in an engine; what is left is twice
what reading its prompt takes (0.4 s of 1.8 s)."""

MEMORY_WAIT_PAUSE_SECONDS = 0.06
"""Pause before a generation that waits for room asks again; runs end every 0.03 s on a site with a
hundred of them."""

LOAD_BATCH_SECONDS = 0.01
"""How long a gateway gathers changes of its work before it tells the leading coordinator; far below
the time between two prompts of one gateway, which is a second on a small site."""

MIN_LOADS_KNOWN_RATIO = 0.9
"""Part of the gateways whose work a coordinator must know before it names engines for all; a new
leader hears from each within one interval of their questions."""

OUTBOX_MOST = 256
"""Pieces of news that a gateway keeps for coordinators which did not hear them yet; at most some
dozens of requests run at a gateway where an engine ends."""

WATCH_SLACK_SECONDS = 0.6
"""Time beyond its wait after which a watch counts as failed."""

LEADER_RETRY_SECONDS = 2.0
"""How long a gateway leaves a leader alone that failed it. A try of one that can't be reached takes
up to 1.6 s of one of three watches."""

WATCH_PAUSE_SECONDS = 0.1
"""Pause after a watch that failed."""

OVERDUE_HEARTBEATS = 1.7
"""Heartbeats missed before an upstream gets less work: one, and the time in which a gateway hears
of it, a coordinator's share and a watch."""

LATE_HEARTBEATS = 2.6
"""Heartbeats missed before an upstream is used only where no other is; some come seconds late."""

SILENCE_SECONDS = 3.0
"""How long an upstream that does not answer at all is borne: some retransmissions. Then the request
goes elsewhere, if it may."""

CLIENT_GAP_SECONDS = 2.0
CLIENT_GAP_OBJECTIVES = 4.0
CLIENT_GAP_PAUSES = 8.0
"""A stream's client leaves after a gap of so long, so many objectives or so many pauses, whichever
is longest; the platform says so."""

CONNECT_SECONDS = 0.4
"""Limit of a connection to an upstream; a hundred round trips within a region."""

PLAIN_RETRY_AFTER_SECONDS = 0.15
"""When to come back to a plain service that refused; a few of its requests long."""

ENGINE_RETRY_AFTER_SECONDS = 0.4
"""When to come back to engines that are full; about one prompt's reading."""

EVACUATED_RETRY_SECONDS = 1.0
"""When to come back where all zones with upstreams are evacuated. How long that lasts only
operators know; a client comes back after a third of the time that it has left at the latest."""

DRAIN_OBJECTIVES = 2.0
"""A gateway that stops takes a request only if its answer may begin after so many of its route's
objectives. In 218 streams beside rolled stops the latest first output came after 0.75 objectives;
under load 5 to 10 % come after one."""

DRAIN_SECONDS_PER_TOKEN = 0.018
"""Time of one token at which a generation must still end before its process does, where its route
says nothing of pauses: twice the mean. 92 long streams had 8.7 ms in the mean, 11.5 ms at most."""

DRAIN_RETRY_SECONDS = 0.0
"""When to come back after a gateway that stops refused, if most others serve: at once."""

CLIENT_RETURN_SHARE = 1 / 3
"""Part of the time left to a client for which it waits before it comes back; the platform's."""

LAST_ANSWER_SECONDS = 0.1
"""Time kept before a gateway's end to tell clients what became of requests that still wait."""

GATEWAY_RESTART_SECONDS = 1.5
"""From the end of a gateway's drain until it serves again: 0.35 s to the end of its process, 0.8 s
to its next start and 0.01 s to its configuration were measured; the rest is to spare."""

NO_CONFIG_RETRY_SECONDS = 0.5
"""When to come back to a gateway without a configuration; about one more election."""

SPARE_SECONDS = 0.02
"""Time kept back from a request's deadline for the way of its answer."""

MOVE_RETRY_SECONDS = 0.15
"""Pause before a generation that has not begun is tried to be moved again."""

NOTICE_SECONDS = 1.52
"""Time from an engine's notice to its end unless it says more; the shortest seen is 1.54 s."""

HAND_OVER_SECONDS = 1.7
"""How long after its notice a leaving engine may still be sent a stream whose memory it has."""

LAST_COPY_SECONDS = 1.0
"""How long after its notice a copy to an engine that leaves may still begin. Copies queue, and the
stream has to leave again before the engine ends."""

LATE_PLAN_SECONDS = 0.25
"""How long after a notice a schedule still agrees with those of the other gateways."""

REPORT_LAG_SECONDS = 0.6
"""How old an engine's report may be; 0.3 to 0.6 s were seen."""

REPORT_AGAIN_SECONDS = 0.6
"""How long after a notice a report surely knows of it."""

MOVE_WORTH_SECONDS = 0.8
"""A generation that should end sooner stays on an engine that leaves; notices are seconds."""

TOKEN_SECONDS = 0.008
"""Time of one token on a half-full engine, to guess how long a generation goes on."""

MAX_BACKUP_LOAD = 0.0
"""How full an engine may get by a backup; the rest is for work that comes. 0 switches backups off:
at 0.7 their memory crowded out work, and a calm day's worth fell from 0.77 to 0.63."""

MIN_BACKUP_SECONDS = 2.0
"""A generation that should be over sooner gets no backup; its copy alone takes a part of that."""
