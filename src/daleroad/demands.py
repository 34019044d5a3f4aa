"""What a gateway's request demands of the engine that serves it.

Does no I/O; the caller passes in the time.
"""

from daleroad.contention import Contention
from daleroad.dispatch import ClientRequest
from daleroad.fingerprints import fingerprint_job
from daleroad.notices import Demand
from daleroad.routing import RouteRule


def make_demand(
    job: ClientRequest,
    route: RouteRule,
    contention: Contention,
    organisation: str,
    rank: int,
    deadline: float,
    now: float,
) -> Demand | None:
    """Return what a request demands, or nothing where requests don't compete or without a prompt.

    Whether its stream is guarded follows from the rank of its route, since an organisation's rank
    replaces the route's only in the order of requests.

    :param job: the request.
    :param route: its route.
    :param contention: how the routes of its service compete.
    :param organisation: name of its organisation, or empty.
    :param rank: its priority: the organisation's, or else the route's.
    :param deadline: the earlier of the client's deadline and the route's timeout.
    :param now: the time.
    """
    if job.prompt is None or not contention.is_ordered():
        return None
    long = not job.prompt.ends_soon()
    return Demand(
        organisation,
        rank,
        route.objective,
        route.pause,
        now - job.received_at,
        deadline - now,
        long,
        fingerprint_job(job, organisation),
        guarded=long and route.rank in contention.guarded_ranks,
    )
