"""Requests under which endpoints end as they begin the answer."""

import asyncio
import contextlib
import logging
from collections.abc import Callable
from typing import Final, NamedTuple

from cassiadrum.crash_evidence import (
    Content,
    ContentKind,
    Contents,
    ContentTrials,
    CrashBoard,
    Exposure,
    HarmEvidence,
    find_request,
    harm_fields,
)
from cassiadrum.gateways.attempts import Attempt
from cassiadrum.gateways.endpoint_endings import EndpointEndings
from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import HarmfulRequest
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.protocols import ProcessState

__all__ = ["CrashWatch"]

logger = logging.getLogger(__name__)

MAX_LOGGED_CONTENTS: Final = 24
MAX_LOGGED_REQUESTS: Final = 8
# Time for which a request waits until it is known why its endpoint ended. Its caller is told
# sooner than its own timeout, and may try again.
MAX_HOLD_S: Final = 0.5


class CrashWatch:
    """Finds the contents that end endpoints, and keeps requests that hold them from all others.

    An endpoint that loses an answer is checked. If it has ended, what the requests held whose
    answers it may have begun is evidence, which the board weighs, and so are the whole requests
    whose answers it was in the middle of. When a content is found to be harmful, the attempts are
    withdrawn whose endpoints have not begun to answer, and `on_harmful` is called.
    """

    def __init__(
        self,
        board: CrashBoard,
        trials: ContentTrials,
        metrics: GatewayMetrics,
        count_endpoints: Callable[[str], int] = lambda service: 1,
    ) -> None:
        self.on_harmful: Callable[[], None] = lambda: None
        self._board = board
        board.on_change = self._board_changed
        self._trials = trials
        self._metrics = metrics
        # Returns the number of endpoints of a service.
        self._count_endpoints = count_endpoints
        self._endings = EndpointEndings()
        # The requests whose endpoint is being checked, and the checks.
        self._lost: dict[Incarnation, list[_LostRequest]] = {}
        self._checks: dict[Incarnation, asyncio.Task[ProcessState]] = {}
        # Attempts that an endpoint may be about to answer, and those of requests under which an
        # endpoint had ended before.
        self._running: dict[Attempt, RequestContext] = {}
        self._resent: set[Attempt] = set()
        # Requests under which an endpoint has ended.
        self._suspects: set[RequestContext] = set()
        # Contents that were harmful at the last change of the board.
        self._harmful: dict[Content, HarmEvidence] = {}
        # Replaced and set at each change of the board.
        self._changed = asyncio.Event()

    def start(self, ctx: RequestContext, attempt: Attempt) -> None:
        """Record an attempt that is about to be sent."""
        self._running[attempt] = ctx
        if self._has_crash(ctx):
            self._resent.add(attempt)

    def end(self, attempt: Attempt) -> None:
        """Record the end of an attempt."""
        self._running.pop(attempt).assigned = None
        self._resent.discard(attempt)

    def find_refusal(self, ctx: RequestContext) -> HarmfulRequest | None:
        """Return the refusal of a request that holds a harmful content, None for any other."""
        found = self._board.find_harmful(ctx.contents, ctx.tried_content)
        if found is None:
            return None
        fields = harm_fields(self._board, found.content, found.evidence)
        return HarmfulRequest(self._board.retry_after_s(found.evidence), **fields)

    def admit(self, ctx: RequestContext) -> None:
        """Raise HarmfulRequest if a new request holds a harmful content and is not to be tried."""
        ctx.tried_content = self._trials.try_admit(ctx.contents)
        if ctx.tried_content is not None:
            _log(
                "request sent although endpoints ended under a content of it",
                request_id=ctx.call.request_id,
                content=str(ctx.tried_content),
            )
        self.check(ctx)
        if self._has_crash(ctx):
            self._suspects.add(ctx)

    def leave(self, ctx: RequestContext) -> None:
        """Forget a request that has ended."""
        self._suspects.discard(ctx)

    def check(self, ctx: RequestContext) -> None:
        """Raise HarmfulRequest if a request holds a harmful content."""
        refusal = self.find_refusal(ctx)
        if refusal is not None:
            raise refusal

    def suspect_places(self, ctx: RequestContext) -> set[str]:
        """Return the instances to avoid for a request under which an endpoint has ended.

        Another such request is at each of them. If one of the two ends endpoints, the next crash
        tells which it is.
        """
        if not self._suspects or not self._has_crash(ctx):
            return set()
        content = find_request(ctx.contents)
        return {
            other.assigned
            for other in self._suspects
            if other.assigned is not None and content not in other.contents
        }

    async def examine(self, ctx: RequestContext, attempt: Attempt) -> None:
        """Find out whether the endpoint of a failed attempt has ended."""
        ctx.lost_at_beginning = False
        if not attempt.lost:
            return
        view = attempt.view
        target = view.entry.incarnation
        is_resent = attempt in self._resent
        exposure = Exposure(attempt.held_s, is_resent, not attempt.lost_at_beginning)
        self._lost.setdefault(target, []).append(_LostRequest(ctx, exposure))
        task = self._checks.get(target)
        if task is None:
            task = self._checks[target] = asyncio.create_task(self._check(view))
        # The check goes on if the caller leaves.
        state = await asyncio.shield(task)
        if self._has_crash(ctx):
            self._suspects.add(ctx)
        ctx.lost_at_beginning = not exposure.begun and state is not ProcessState.RUNNING

    async def allows_repeat(self, ctx: RequestContext, left_s: float) -> bool:
        """Return whether a request may be sent on after an attempt failed.

        Waits for a limited time, at most `left_s` seconds, while the request may be what ended its
        endpoint.
        """
        if ctx.lost_at_beginning:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(left_s, MAX_HOLD_S)):
                    while self._is_undecided(ctx):
                        await self._changed.wait()
        if self._board.find_harmful(ctx.contents) is not None:
            return False
        return not ctx.lost_at_beginning or not self._board.is_suspect(ctx.contents)

    def set_metrics(self) -> None:
        """Set the gauges of the harmful contents."""
        self._metrics.set_harmful_contents(
            {
                content: (evidence.crashes, self._board.age_s(evidence))
                for content, evidence in self._board.harmful.items()
            }
        )

    def _has_crash(self, ctx: RequestContext) -> bool:
        content = find_request(ctx.contents)
        return content is not None and self._board.has_crash(content)

    def _is_undecided(self, ctx: RequestContext) -> bool:
        if self._board.find_harmful(ctx.contents) is not None:
            return False
        return self._board.is_suspect(ctx.contents)

    async def _check(self, view: EndpointView) -> ProcessState:
        target = view.entry.incarnation
        try:
            state = await self._endings.check(view.entry)
        finally:
            del self._checks[target]
            lost = self._lost.pop(target)
        if state is ProcessState.ENDED and not view.is_expected_to_end:
            self._record_crash(view.entry, lost)
        return state

    def _record_crash(self, entry: EndpointEntry, lost: list["_LostRequest"]) -> None:
        self._metrics.record_ended_endpoint(entry.service)
        contents: Contents = {}
        exposures: dict[Content, Exposure] = {}
        for request in lost:
            contents.update(request.accused_contents)
            content = find_request(request.ctx.contents)
            if content is not None:
                known = exposures.get(content, request.exposure)
                exposures[content] = known.merged(request.exposure)
        names = [str(content) for content in contents]
        all_begun = all(request.exposure.begun for request in lost)
        peers = max(1, self._count_endpoints(entry.service))
        _log(
            "endpoint ended" if all_begun else "endpoint ended as it began answers",
            endpoint=entry.instance,
            service=entry.service,
            zone=entry.zone,
            contents=names[:MAX_LOGGED_CONTENTS],
            left_out_contents=max(0, len(names) - MAX_LOGGED_CONTENTS),
            requests=[request.describe() for request in lost[:MAX_LOGGED_REQUESTS]],
            endpoints=peers,
        )
        self._board.record_crash(_endpoint_name(entry.incarnation), contents, exposures, peers)

    def _board_changed(self) -> None:
        harmful = dict(self._board.harmful)
        for content, evidence in harmful.items():
            if content not in self._harmful:
                _log(
                    "requests refused that hold a content under which endpoints ended",
                    **harm_fields(self._board, content, evidence),
                )
        for content in self._harmful.keys() - harmful.keys():
            _log("requests no longer refused for a content", content=str(content))
        added = harmful.keys() - self._harmful.keys()
        self._harmful = harmful
        self._changed.set()
        self._changed = asyncio.Event()
        if added:
            self._withdraw()
            self.on_harmful()

    def _withdraw(self) -> None:
        """Withdraw requests with harmful contents whose endpoints have not begun to answer."""
        for attempt, ctx in self._running.items():
            if attempt.beginning and self.find_refusal(ctx) is not None:
                attempt.withdraw()


class _LostRequest(NamedTuple):
    """A request that lost its answer."""

    ctx: RequestContext
    exposure: Exposure

    @property
    def accused_contents(self) -> Contents:
        """Return the contents that may have ended the endpoint.

        Parts and customers are not among them if it had begun the answer and gone on.
        """
        if not self.exposure.begun:
            return self.ctx.contents
        return {
            content: depth
            for content, depth in self.ctx.contents.items()
            if content.kind is ContentKind.REQUEST
        }

    def describe(self) -> dict[str, object]:
        """Return its ids, and how it was exposed to the end of the endpoint, as log fields."""
        held_s = self.exposure.held_s
        return {
            "request_id": self.ctx.call.request_id,
            "content": str(find_request(self.ctx.contents)),
            "held_ms": None if held_s is None else round(held_s * 1000),
            "resent": self.exposure.resent,
            "begun": self.exposure.begun,
        }


def _endpoint_name(incarnation: Incarnation) -> str:
    """Return a name that no other start of the endpoint has, at any gateway."""
    return f"{incarnation.instance} {incarnation.address} {incarnation.started_ms}"


def _log(event: str, **fields: object) -> None:
    """Log a finding; the rate at which endpoints end limits the number of these lines."""
    logger.info(event, extra={RATE_LIMITED_FIELD: True, **fields})
