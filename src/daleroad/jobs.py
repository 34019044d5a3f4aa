"""Parses and authenticates generation requests, and picks their model version.

Does no I/O; the caller passes in the time.
"""

from dataclasses import dataclass, replace

from xxhash import xxh3_128_hexdigest

from daleroad.codec import decode
from daleroad.defaults import DEADLINE_SECONDS, URGENT_DEADLINE_SECONDS
from daleroad.directory import Directory, pick_split
from daleroad.errors import Failure, FailureKind
from daleroad.messages import Completion, Work
from daleroad.promptparts import SharedPart, make_shared_part
from daleroad.records import Organisation, Route
from daleroad.security import get_bearer, hash_token
from daleroad.serving import Request

_PREFIX_CHARS = 64
_MAX_KEY_CHARS = 200
_URGENT_PRIORITY = 0
_NORMAL_PRIORITY = 10


@dataclass(frozen=True)
class Job:
    """A valid, authenticated generation request.

    :param key: idempotency key; empty for a repeatable request without one.
    :param digest: hash of the body, to detect a different request under the same key.
    :param deadline_at: time by which the first token must be available.
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
        """Hash of the first characters of the prompt, for cache affinity."""
        return xxh3_128_hexdigest(self.completion.prompt[:_PREFIX_CHARS].encode())

    def find_shared_part(self) -> SharedPart | None:
        """Return the beginning of the prompt, which other requests may share; None if it is all."""
        if len(self.completion.prompt) <= _PREFIX_CHARS:
            return None
        return make_shared_part(self.route.service, self.model, self.prefix, 0)

    @property
    def priority(self) -> int:
        """Priority for the engine; the lower number goes first."""
        return _URGENT_PRIORITY if self.route.urgent else _NORMAL_PRIORITY


def authenticate(directory: Directory, request: Request) -> Organisation | Failure:
    """Return the organisation that a request's bearer token belongs to.

    :param directory: organisations by hash of their token.
    :param request: the request.
    """
    token = get_bearer(request.headers.get("authorization", ""))
    found = directory.find_organisation(hash_token(token)) if token else None
    if found is None:
        return Failure(FailureKind.UNAUTHENTICATED, "missing or unknown bearer token")
    return found


def parse_job(directory: Directory, request: Request, now: float) -> Job | Failure:
    """Validate a generation request and return its job.

    :param directory: the organisations and routes.
    :param request: the request.
    :param now: current time in seconds.
    """
    organisation = authenticate(directory, request)
    if isinstance(organisation, Failure):
        return organisation
    completion = decode(Completion, request.body)
    if isinstance(completion, Failure):
        return completion
    route = directory.get_route(completion.route, organisation.partner)
    if route is None or not route.models:
        return Failure(FailureKind.UNKNOWN_ROUTE, f"unknown route {completion.route}")
    error = _validate_completion(completion)
    if error is not None:
        return Failure(FailureKind.BAD_REQUEST, error)
    deadline = parse_deadline(request, route, now)
    key = get_idempotency_key(request, route)
    for failed in (deadline, key):
        if isinstance(failed, Failure):
            return failed
    assert isinstance(deadline, float) and isinstance(key, str)
    split_key = key or completion.prompt[:_PREFIX_CHARS]
    model = pick_split(route.models, f"{organisation.name}:{split_key}")
    max_tokens = min(completion.max_tokens or route.max_tokens, route.max_tokens)
    completion = replace(completion, max_tokens=max_tokens)
    digest = xxh3_128_hexdigest(request.body)
    return Job(organisation, route, model, completion, key, digest, now, deadline)


def _validate_completion(completion: Completion) -> str | None:
    if not completion.prompt:
        return "the prompt is empty"
    if completion.max_tokens < 0:
        return "max_tokens is negative"
    return None


def get_idempotency_key(request: Request, route: Route) -> str | Failure:
    """Return the request's idempotency key, which non-repeatable routes require.

    :param request: the request.
    :param route: route of the request.
    """
    key = request.headers.get("idempotency-key", "")
    if len(key) > _MAX_KEY_CHARS:
        reason = f"the Idempotency-Key has more than {_MAX_KEY_CHARS} characters"
        return Failure(FailureKind.BAD_REQUEST, reason)
    if not key and not route.repeatable:
        reason = f"route {route.name} is not repeatable, so it needs an Idempotency-Key"
        return Failure(FailureKind.BAD_REQUEST, reason)
    return key


def parse_deadline(request: Request, route: Route, now: float) -> float | Failure:
    """Return the time by which the response must have started.

    :param request: the request; its header ``x-deadline-seconds`` is relative to ``now``.
    :param route: route of the request; its deadline, if set, replaces the default.
    :param now: current time in seconds.
    """
    default_seconds = URGENT_DEADLINE_SECONDS if route.urgent else DEADLINE_SECONDS
    seconds = route.deadline or default_seconds
    text = request.headers.get("x-deadline-seconds")
    if text is None:
        return now + seconds
    try:
        requested_seconds = float(text)
    except ValueError:
        return Failure(FailureKind.BAD_REQUEST, "x-deadline-seconds is not a number")
    if not requested_seconds > 0:
        return Failure(FailureKind.DEADLINE, "the deadline has passed", retry_after=None)
    return now + min(requested_seconds, 10 * seconds)


def describe_work(job: Job, generation: str, now: float) -> Work:
    """Describe a job to the steward that admits it.

    :param job: the job.
    :param generation: id of its generation.
    :param now: current time in seconds.
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
