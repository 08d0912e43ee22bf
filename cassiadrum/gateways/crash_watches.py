"""Endpoints that end as they begin answers."""

import asyncio
import logging
from typing import Final

from cassiadrum.crash_evidence import Contents
from cassiadrum.gateways.attempts import Attempt
from cassiadrum.gateways.endpoint_endings import EndpointEndings, EndpointState
from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.logs import RATE_LIMITED_FIELD

__all__ = ["CrashWatch"]

logger = logging.getLogger(__name__)

MAX_LOGGED_CONTENTS: Final = 24


class CrashWatch:
    """Collects what the requests held whose endpoint ended as it may have begun their answers."""

    def __init__(self, metrics: GatewayMetrics) -> None:
        self._metrics = metrics
        self._endings = EndpointEndings()
        # Contents of the requests whose endpoint is being checked, and the checks.
        self._lost: dict[Incarnation, Contents] = {}
        self._checks: dict[Incarnation, asyncio.Task[EndpointState]] = {}

    async def examine(self, ctx: RequestContext, attempt: Attempt) -> None:
        """Find out whether the endpoint of a failed attempt has ended."""
        if not attempt.lost_at_beginning:
            return
        view = attempt.view
        target = view.entry.incarnation
        self._lost.setdefault(target, {}).update(ctx.contents)
        task = self._checks.get(target)
        if task is None:
            task = self._checks[target] = asyncio.create_task(self._check(view))
        # The check goes on if the caller leaves.
        await asyncio.shield(task)

    async def _check(self, view: EndpointView) -> EndpointState:
        target = view.entry.incarnation
        try:
            state = await self._endings.check(view.entry)
        finally:
            del self._checks[target]
            contents = self._lost.pop(target)
        if state is EndpointState.ENDED and not _is_leaving(view):
            self._record_crash(view.entry, contents)
        return state

    def _record_crash(self, entry: EndpointEntry, contents: Contents) -> None:
        self._metrics.record_ended_endpoint(entry.service)
        names = [str(content) for content in contents]
        logger.info(
            "endpoint ended as it began answers",
            extra={
                "endpoint": entry.instance,
                "service": entry.service,
                "zone": entry.zone,
                "contents": names[:MAX_LOGGED_CONTENTS],
                "left_out_contents": max(0, len(names) - MAX_LOGGED_CONTENTS),
                RATE_LIMITED_FIELD: True,
            },
        )


def _is_leaving(view: EndpointView) -> bool:
    """Return whether the endpoint announced that it would end."""
    return view.leaving or view.entry.leaving
