"""Holding of suspected poison requests at the entries.

The rule is that of the gateways, :mod:`daleroad.suspects`. Entries report crashes to each other at
once; an entry that can't be reached misses that report. Calls that an upstream makes while it runs
a request arrive as requests of their own, so they are checked here too. A prompt is plain text
here; its beginning stands for the part that it shares with others.
"""

from http import HTTPStatus

import anyio

from daleroad.codec import encode
from daleroad.crashevidence import Verdict, log_suspect
from daleroad.defaults import LEASE_REMOVAL_DELAY_SECONDS
from daleroad.environment import Environment
from daleroad.errors import Failure, FailureKind, Ran
from daleroad.fingerprints import make_fingerprint
from daleroad.messages import Suspicions
from daleroad.onsets import Progress
from daleroad.promptparts import SharedPart
from daleroad.records import Organisation, Route, State
from daleroad.suspects import TRIAL_INTERVAL_SECONDS, Standing, Trials
from daleroad.suspicions import Suspicion


class RequestHolds:
    """Records crashes and successes at one entry, and refuses requests that are held.

    :param env: the entry's environment.
    """

    def __init__(self, env: Environment) -> None:
        self._env = env
        self._trials = Trials()

    def find_refusal(
        self, fingerprint: str, caller: str = "", part: SharedPart | None = None
    ) -> Failure | None:
        """Return a failure if a request is held, or None if it may run.

        :param fingerprint: the request.
        :param caller: the organisation that sent it.
        :param part: the part of its prompt that other requests may share, if there is one.
        """
        suspects = self._env.suspects
        now = anyio.current_time()
        verdicts = [Verdict(suspects.get_standing(fingerprint, now), fingerprint)]
        if part is not None:
            standing = suspects.get_part_standing(part.fingerprint, caller, now)
            verdicts.append(Verdict(standing, part.fingerprint, part.name))
        verdict = max(verdicts, key=Verdict.get_severity)
        match verdict.standing:
            case Standing.HELD:
                return self._make_refusal(verdict, now)
            case Standing.TRIAL if not self._trials.claim(verdict.fingerprint, now):
                return self._make_refusal(verdict, now)
        return None

    def _make_refusal(self, verdict: Verdict, now: float) -> Failure:
        left = self._env.suspects.get_hold_remaining(verdict.fingerprint, now)
        retry_after = round(max(left, TRIAL_INTERVAL_SECONDS))
        return Failure(FailureKind.HELD, verdict.describe(), Ran.NO, retry_after)

    def record_lost(
        self,
        fingerprint: str,
        organisation: Organisation,
        route: Route,
        upstream: str,
        part: SharedPart | None = None,
        progress: Progress = Progress.UNBEGUN,
    ) -> None:
        """Record that an upstream was lost while it may have been running a request.

        :param fingerprint: the request.
        :param organisation: the organisation that sent it.
        :param route: the route that it took.
        :param upstream: the upstream's name, which differs for each start of it.
        :param part: the part of its prompt that other requests may share, if there is one.
        :param progress: how far its answer had got.
        """
        known = self._env.catalog.upstreams.get(upstream)
        if known is not None and known.state is not State.SERVING:
            # An announced shutdown is not a crash.
            return
        now = anyio.current_time()
        suspects = self._env.suspects
        caller, begun = organisation.name, progress is Progress.BEGUN
        found = [suspects.record_crash(fingerprint, caller, route.name, upstream, now)]
        if part is not None and progress is not Progress.FAR:
            found.append(suspects.record_part_crash(part, caller, route.name, upstream, begun, now))
        reports = [report for report in found if report is not None]
        for report in reports:
            standing = suspects.get_standing(report.fingerprint, now)
            if standing is not Standing.CLEAR:
                log_suspect(suspects.get(report.fingerprint, now), standing)
        if reports:
            self._env.spawn(self._broadcast, reports)
            self._env.spawn(self._check_alive, upstream)

    def record_success(
        self, fingerprint: str, caller: str = "", part: SharedPart | None = None
    ) -> None:
        """Record that a request had a complete response.

        :param fingerprint: the request.
        :param caller: the organisation that sent it.
        :param part: the part of its prompt that other requests may share, if there is one.
        """
        report = self._env.suspects.record_success(fingerprint, anyio.current_time())
        if report is not None:
            self._env.spawn(self._broadcast, [report])
        if part is not None:
            self.record_far(part, caller)

    def record_far(self, part: SharedPart, caller: str) -> None:
        """Record that an upstream has got far with an answer.

        :param part: the part of its prompt that other requests may share.
        :param caller: the organisation that sent the request.
        """
        now = anyio.current_time()
        report = self._env.suspects.record_part_success(part.fingerprint, caller, now)
        if report is not None:
            self._env.spawn(self._broadcast, [report])

    def merge_reports(self, told: Suspicions) -> None:
        """Merge the reports of another entry.

        :param told: the reports.
        """
        now = anyio.current_time()
        for report in told.suspicions:
            self._env.suspects.merge(report, now)
            cancelled = self._env.suspects.apply_credits(report.fingerprint, now)
            if cancelled is not None:
                self._env.spawn(self._broadcast, [cancelled])
        self._env.suspects.prune(now)

    async def _check_alive(self, upstream: str) -> None:
        """Retract the crash of an upstream that is still a member after its lease has run out."""
        await anyio.sleep(self._env.settings.upstream_lease + LEASE_REMOVAL_DELAY_SECONDS)
        if upstream not in self._env.catalog.upstreams:
            return
        reports = self._env.suspects.record_alive(upstream, anyio.current_time())
        if reports:
            await self._broadcast(reports)

    async def _broadcast(self, reports: list[Suspicion]) -> None:
        env = self._env
        body = encode(Suspicions(tuple(reports)))
        async with anyio.create_task_group() as tasks:
            for entry in list(env.catalog.entries.values()):
                if entry.name != env.settings.name:
                    url = f"{entry.address}/suspicions"
                    tasks.start_soon(env.links.call, url, body, type(None))


def fingerprint_call(organisation: Organisation, route: Route, path: str, body: bytes) -> str:
    """Return the fingerprint of a request to an entry.

    :param organisation: the organisation that sent it.
    :param route: the route that it takes.
    :param path: method, path below the route and query; empty for a generation.
    :param body: its body, or a digest of it.
    """
    return make_fingerprint(organisation.name, "", route.name, path.encode(), body)


def is_success_status(status: int) -> bool:
    """Return whether a response's status shows that its upstream survived the request.

    :param status: the status.
    """
    return status < HTTPStatus.INTERNAL_SERVER_ERROR
