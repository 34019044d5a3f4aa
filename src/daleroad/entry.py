"""The entry process: serves callers and admits work to the upstreams it is steward of."""

from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing
from dataclasses import replace
from random import Random
from typing import Any

import anyio
import orjson
from connectrpc.code import Code
from connectrpc.errors import ConnectError
from connectrpc.request import RequestContext
from prometheus_client import generate_latest

from daleroad.admission import UpstreamReport
from daleroad.codec import decode, encode
from daleroad.daleroad_connect import LocatorASGIApplication, RegistryASGIApplication
from daleroad.daleroad_pb import (
    AnnounceAnswer,
    Announcement,
    LocateAnswer,
    LocateRequest,
    Report,
    ReportAnswer,
)
from daleroad.defaults import STOP_KEPT_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind
from daleroad.events import Event, log_event
from daleroad.generations import GenerationHandler
from daleroad.links import Links
from daleroad.location import pick_addresses
from daleroad.messages import (
    Handover,
    PermitAnswer,
    PermitEnd,
    PermitRequest,
    SlotEnd,
    SlotHold,
    SlotRequest,
    Suspicions,
)
from daleroad.organisationlimits import OrganisationLimits
from daleroad.publicmessages import CODECS
from daleroad.records import State, Upstream
from daleroad.requestholds import RequestHolds
from daleroad.security import check_peer, get_bearer, hash_token, is_token
from daleroad.services import PlainCalls
from daleroad.serving import Answer, Request, Response, Router, Stream, make_client_table, serve_app
from daleroad.settings import OnLostControl, Settings
from daleroad.stewardship import Stewardship

_DRAIN_POLL_SECONDS = 0.1
_MIN_REMAINING_SECONDS = 0.3
"""With less time left before its end an entry refuses callers' requests, resumed streams included;
a few round trips."""

_CLOSE_SECONDS = 0.1
"""Reserved before the supervisor's kill for closing connections."""


class Entry:
    """One entry process.

    :param settings: settings of the process.
    :param random: source of random choices among equivalent targets.
    """

    def __init__(self, settings: Settings, random: Random) -> None:
        links = Links(settings.tls, settings.cluster_secret)
        self.env = Environment(settings, links, random)
        self.stewardship = Stewardship(self.env)
        self.limits = OrganisationLimits(self.env)
        self.env.follower.on_change = self._refresh
        self.holding = RequestHolds(self.env)
        self._generations = GenerationHandler(self.env, self.stewardship, self.limits, self.holding)
        self._plain = PlainCalls(self.env, self.holding)
        self._requests = 0
        self._accepting = True
        self._stop = anyio.Event()

    async def run(self) -> None:
        """Serve until stopped, then deregister and close all connections."""
        settings = self.env.settings
        async with anyio.create_task_group() as tasks:
            self.env.tasks = tasks
            tasks.start_soon(self.env.follower.run)
            tasks.start_soon(self.stewardship.run)
            tasks.start_soon(self.limits.run)
            bind = settings.bind or settings.address
            await serve_app(
                self._make_router(),
                bind,
                settings.tls,
                self._stop.wait,
                grace=0.0,
                table=make_client_table(settings),
            )
            await self._leave()
            tasks.cancel_scope.cancel()
        await self.env.links.close()

    async def _leave(self) -> None:
        """Deregister from the leader if enough time is left before the kill."""
        kill_at = self.env.ends_at + STOP_KEPT_SECONDS
        with anyio.CancelScope(deadline=kill_at - _CLOSE_SECONDS):
            await self.env.follower.leave()

    async def drain(self) -> None:
        """Finish the requests that can end before the supervisor's kill, then stop.

        New requests are accepted until the locate answers given out have expired.
        """
        log_event(Event.STOPPING, name=self.env.settings.name, requests=self._requests)
        settings = self.env.settings
        self.env.follower.state = State.DRAINING
        self.env.ends_at = anyio.current_time() + settings.stop - STOP_KEPT_SECONDS
        self._generations.apply_shutdown_deadline()
        with anyio.CancelScope(deadline=self.env.ends_at):
            await anyio.sleep(settings.locate_keep + settings.follow)
            self._accepting = False
            await self._wait_idle()
        self.stop()

    async def _wait_idle(self) -> None:
        while self._requests or self.env.inflight:
            await anyio.sleep(_DRAIN_POLL_SECONDS)

    def stop(self) -> None:
        """Stop serving without waiting for requests."""
        self._stop.set()

    def _refresh(self) -> None:
        self.stewardship.update_assignments()
        self.limits.note_catalog_change()

    def _make_router(self) -> Router:
        router = Router(self.env.settings.body_bytes)
        router.add("POST", "/v1/completions", self._with_admission_check(self._generations.serve))
        router.add("*", "/services/", self._with_admission_check(self._plain.serve))
        router.add("POST", "/permits", self._serve_permit)
        router.add("POST", "/permits/end", self._serve_permit_end)
        router.add("POST", "/permits/restore", self._serve_restore)
        router.add("POST", "/limits/take", self._serve_slot)
        router.add("POST", "/limits/hold", self._serve_slot_hold)
        router.add("POST", "/limits/end", self._serve_slot_end)
        router.add("POST", "/suspicions", self._serve_suspicions)
        router.add("GET", "/metrics", self._serve_metrics)
        router.add("GET", "/status", self._serve_status)
        service = EntryRpcService(self)
        for app in (
            LocatorASGIApplication(service, codecs=CODECS),
            RegistryASGIApplication(service, codecs=CODECS),
        ):
            router.mount(app.path, app)  # type: ignore[arg-type]
        return router

    def _with_admission_check(
        self, handler: Callable[[Request], Awaitable[Answer]]
    ) -> Callable[[Request], Awaitable[Answer]]:
        """Wrap a handler to refuse requests while draining, without a lease or at the limit."""

        async def handle(request: Request) -> Answer:
            refused = self._check_admission()
            if refused is not None:
                return refused
            self._requests += 1
            try:
                answer = await handler(request)
            finally:
                self._requests -= 1
            if isinstance(answer, Stream):
                return replace(answer, pieces=self._count_stream(answer.pieces))
            return answer

        return handle

    async def _count_stream(
        self, pieces: AsyncGenerator[bytes, None]
    ) -> AsyncGenerator[bytes, None]:
        """Forward a stream and count it as a request while it is consumed."""
        self._requests += 1
        try:
            async with aclosing(pieces):
                async for piece in pieces:
                    yield piece
        finally:
            self._requests -= 1

    def _check_admission(self) -> Failure | None:
        settings = self.env.settings
        remaining = self.env.ends_at - anyio.current_time()
        if not self._accepting or remaining < _MIN_REMAINING_SECONDS:
            return Failure(FailureKind.DRAINING, "this entry is draining", retry_after=0.1)
        refuses_without_lease = settings.on_lost_control is OnLostControl.REFUSE
        if refuses_without_lease and not self.env.follower.has_lease():
            reason = "this entry has no configuration lease; use another"
            return Failure(FailureKind.NO_LEASE, reason, retry_after=1.0)
        if self._requests >= settings.requests_most:
            return Failure(
                FailureKind.OVERLOADED, "this entry is at its request limit", retry_after=1.0
            )
        return None

    def _check_peer(self, request: Request) -> Failure | None:
        return check_peer(request.headers, self.env.settings.cluster_secret)

    def _parse_peer(self, request: Request, message_type: Any) -> Any:
        return self._check_peer(request) or decode(message_type, request.body)

    async def _serve_permit(self, request: Request) -> Answer:
        asked = self._parse_peer(request, PermitRequest)
        if isinstance(asked, Failure):
            return asked
        answer = await self.stewardship.decide_permit(asked)
        if isinstance(answer, PermitAnswer):
            return Response(200, encode(answer))
        return answer

    async def _serve_permit_end(self, request: Request) -> Answer:
        end = self._parse_peer(request, PermitEnd)
        if isinstance(end, Failure):
            return end
        self.stewardship.release_permit(end)
        return Response(204)

    async def _serve_restore(self, request: Request) -> Answer:
        handover = self._parse_peer(request, Handover)
        if isinstance(handover, Failure):
            return handover
        self.stewardship.restore_work(handover)
        return Response(204)

    async def _serve_slot(self, request: Request) -> Answer:
        asked = self._parse_peer(request, SlotRequest)
        if isinstance(asked, Failure):
            return asked
        now = anyio.current_time()
        refused = self.limits.quota.acquire(asked.organisation, asked.request, asked.most, now)
        return refused or Response(204)

    async def _serve_slot_hold(self, request: Request) -> Answer:
        hold = self._parse_peer(request, SlotHold)
        if isinstance(hold, Failure):
            return hold
        self.limits.quota.renew(hold.organisation, hold.requests, anyio.current_time())
        return Response(204)

    async def _serve_slot_end(self, request: Request) -> Answer:
        end = self._parse_peer(request, SlotEnd)
        if isinstance(end, Failure):
            return end
        self.limits.quota.release(end.organisation, end.request)
        return Response(204)

    async def _serve_suspicions(self, request: Request) -> Answer:
        suspicions = self._parse_peer(request, Suspicions)
        if isinstance(suspicions, Failure):
            return suspicions
        self.holding.merge_reports(suspicions)
        return Response(204)

    async def _serve_metrics(self, request: Request) -> Answer:
        body = generate_latest(self.env.metrics.registry)
        return Response(200, body, "text/plain; version=0.0.4")

    async def _serve_status(self, request: Request) -> Answer:
        env = self.env
        status = {
            "name": env.settings.name,
            "lease": env.follower.has_lease(),
            "state": env.follower.state.value,
            "revision": env.catalog.revision,
            "entries": len(env.catalog.entries),
            "upstreams": sorted(env.catalog.upstreams),
            "requests": self._requests,
            "inflight": len(env.inflight),
            "held": env.suspects.count_held(anyio.current_time()),
        }
        return Response(200, orjson.dumps(status))


class EntryRpcService:
    """Implements the Locator and Registry services of the schema.

    :param entry: the entry that handles the calls.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry

    async def locate(
        self, request: LocateRequest, ctx: RequestContext[LocateRequest, LocateAnswer], /
    ) -> LocateAnswer:
        """Return addresses of entries for a client to use."""
        env = self._entry.env
        if not env.follower.has_lease():
            raise ConnectError(
                Code.UNAVAILABLE, "this entry has no configuration lease; use another"
            )
        entries = env.catalog.entries.values()
        addresses = pick_addresses(entries, request.zone, request.most, env.random)
        return LocateAnswer(addresses=addresses, keep_seconds=env.settings.locate_keep)

    async def announce(
        self, request: Announcement, ctx: RequestContext[Announcement, AnnounceAnswer], /
    ) -> AnnounceAnswer:
        """Register an upstream, or name the steward that does."""
        self._authenticate(ctx)
        env = self._entry.env
        if not request.upstream or "/" in request.upstream:
            raise ConnectError(
                Code.INVALID_ARGUMENT, "the upstream's name is empty or contains a slash"
            )
        upstream = Upstream(
            request.upstream,
            request.address,
            request.service,
            request.zone,
            request.capacity,
            request.slots,
            tuple(request.models),
            request.checks_fencing,
        )
        steward = self._entry.stewardship.handle_announcement(upstream)
        if steward is None:
            raise ConnectError(Code.UNAVAILABLE, "no steward is known yet")
        return AnnounceAnswer(steward=steward, report_seconds=env.settings.report)

    async def tell(
        self, request: Report, ctx: RequestContext[Report, ReportAnswer], /
    ) -> ReportAnswer:
        """Process an upstream's periodic load report."""
        self._authenticate(ctx)
        produced = {work.generation: work.produced for work in request.running}
        load = UpstreamReport(request.used, request.preemptions, produced)
        is_known = self._entry.stewardship.handle_report(
            request.upstream, load, request.draining, request.left, list(request.models)
        )
        return ReportAnswer(announce_again=not is_known)

    def _authenticate(self, ctx: RequestContext[Any, Any]) -> None:
        token = get_bearer(ctx.request_headers.get("authorization", ""))
        if not is_token(token, hash_token(self._entry.env.settings.upstream_token)):
            raise ConnectError(Code.UNAUTHENTICATED, "invalid upstream token")
