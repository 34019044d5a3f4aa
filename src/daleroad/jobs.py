"""From an HTTP request to a job: who asks, for which route, in which model version. Pure."""

from dataclasses import dataclass, replace

from xxhash import xxh3_128_hexdigest

from daleroad.codec import decode
from daleroad.defaults import DEADLINE_SECONDS, URGENT_DEADLINE_SECONDS
from daleroad.directory import Directory, pick_split
from daleroad.errors import Failure, FailureKind
from daleroad.messages import Completion, Work
from daleroad.records import Organisation, Route
from daleroad.security import get_bearer, hash_token
from daleroad.serving import Request

_PREFIX_CHARS = 64
_KEY_MOST = 200
_URGENT_PRIORITY = 0
_LONG_PRIORITY = 10


@dataclass(frozen=True)
class Job:
    """A request that is understood and allowed.

    :param key: idempotency key; empty for a repeatable request without one.
    :param digest: hash of the body, to tell another request under the same key.
    :param deadline_at: time by which the first token must be there.
    """

    organisation: Organisation
    route: Route
    model: str
    completion: Completion
    key: str
    digest: str
    arrived_at: float
    deadline_at: float

    @property
    def prefix(self) -> str:
        """Hash of the prompt's beginning, for cache affinity."""
        return xxh3_128_hexdigest(self.completion.prompt[:_PREFIX_CHARS].encode())

    @property
    def priority(self) -> int:
        """Priority for the engine; the lower number goes first."""
        return _URGENT_PRIORITY if self.route.urgent else _LONG_PRIORITY


def identify(directory: Directory, request: Request) -> Organisation | Failure:
    """Return the organisation that shows its token.

    :param directory: knows the tokens' hashes.
    :param request: the request.
    """
    token = get_bearer(request.headers.get("authorization", ""))
    found = directory.find_organisation(hash_token(token)) if token else None
    if found is None:
        return Failure(FailureKind.UNAUTHENTICATED, "unknown organisation or token")
    return found


def parse_job(directory: Directory, request: Request, now: float) -> Job | Failure:
    """Return the job that a generation request asks for, or why there is none.

    :param directory: knows organisations and routes.
    :param request: the request.
    :param now: the time.
    """
    organisation = identify(directory, request)
    if isinstance(organisation, Failure):
        return organisation
    completion = decode(Completion, request.body)
    if isinstance(completion, Failure):
        return completion
    route = directory.get_route(completion.route, organisation.partner)
    if route is None or not route.models:
        return Failure(FailureKind.UNKNOWN_ROUTE, f"no route {completion.route}")
    fault = _find_fault(completion)
    if fault is not None:
        return Failure(FailureKind.BAD_REQUEST, fault)
    deadline = parse_deadline(request, route, now)
    key = get_key(request, route)
    for failed in (deadline, key):
        if isinstance(failed, Failure):
            return failed
    assert isinstance(deadline, float) and isinstance(key, str)
    sticky = key or completion.prompt[:_PREFIX_CHARS]
    model = pick_split(route.models, f"{organisation.name}:{sticky}")
    most = min(completion.max_tokens or route.max_tokens, route.max_tokens)
    completion = replace(completion, max_tokens=most)
    digest = xxh3_128_hexdigest(request.body)
    return Job(organisation, route, model, completion, key, digest, now, deadline)


def _find_fault(completion: Completion) -> str | None:
    if not completion.prompt:
        return "the prompt is empty"
    if completion.max_tokens < 0:
        return "max_tokens is below 0"
    return None


def get_key(request: Request, route: Route) -> str | Failure:
    """Return the request's idempotency key; work that may not be repeated needs one.

    :param request: the request.
    :param route: its route.
    """
    key = request.headers.get("idempotency-key", "")
    if len(key) > _KEY_MOST:
        reason = f"the idempotency key has more than {_KEY_MOST} characters"
        return Failure(FailureKind.BAD_REQUEST, reason)
    if not key and not route.repeatable:
        reason = f"route {route.name} is not repeatable, so it needs an Idempotency-Key"
        return Failure(FailureKind.BAD_REQUEST, reason)
    return key


def parse_deadline(request: Request, route: Route, now: float) -> float | Failure:
    """Return the time by which the request must have started to be answered.

    :param request: the request; header ``x-deadline-seconds`` counts from its arrival.
    :param route: its route, with a deadline of its own or none.
    :param now: the time.
    """
    usual = URGENT_DEADLINE_SECONDS if route.urgent else DEADLINE_SECONDS
    seconds = route.deadline or usual
    text = request.headers.get("x-deadline-seconds")
    if text is None:
        return now + seconds
    try:
        asked = float(text)
    except ValueError:
        return Failure(FailureKind.BAD_REQUEST, "x-deadline-seconds is not a number")
    if not asked > 0:
        return Failure(FailureKind.DEADLINE, "the deadline has passed", retry_after=None)
    return now + min(asked, 10 * seconds)


def make_work(job: Job, generation: str, now: float) -> Work:
    """Return what a steward has to know of a job.

    :param job: the job.
    :param generation: its generation.
    :param now: the time.
    """
    return Work(
        generation,
        job.organisation.name,
        job.route.partner,
        job.route.name,
        job.model,
        job.route.urgent,
        max(1, len(job.completion.prompt) // 4),
        job.completion.max_tokens,
        max(0.0, job.deadline_at - now),
    )
