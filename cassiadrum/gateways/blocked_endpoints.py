"""Endpoints that may get no request now."""

from collections.abc import Callable

from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.return_schedules import ReturnSchedule

__all__ = ["BlockedEndpoints"]

# Fraction of its remaining time for which a caller waits before it returns.
RETURN_FRACTION = 1 / 3


class BlockedEndpoints:
    """The endpoints that asked for a pause, or whose request limit permits no request now.

    Times are in seconds.
    """

    def __init__(self, directory: EndpointDirectory, clock: Callable[[], float]) -> None:
        self._directory = directory
        self._clock = clock
        self._return_schedules: dict[str, ReturnSchedule] = {}

    def min_blocked_s(self, service: str) -> float:
        """Return the time until an endpoint may get a request, 0 if one may now."""
        now = self._clock()
        views = self._directory.usable(service)
        return min((view.blocked_s(now) for view in views), default=0.0)

    def min_wait_s(self, ctx: RequestContext, untried: list[EndpointView]) -> float:
        """Return the time until an endpoint may get the request, infinite if it must not wait.

        A new request does not wait for a request limit: it would take the place of later requests,
        while its caller can try another gateway.
        """
        now = self._clock()
        return min(
            (
                view.blocked_s(now)
                for view in untried
                if ctx.may_have_run or view.request_limit.wait_s(now) <= 0.0
            ),
            default=float("inf"),
        )

    def check(self, ctx: RequestContext, views: list[EndpointView], max_wait_s: float) -> None:
        """Raise Refused if no untried endpoint may get the request within `max_wait_s`."""
        untried = ctx.untried(views)
        if not untried or self.min_wait_s(ctx, untried) <= max_wait_s:
            return
        now = self._clock()
        blocked_s = min(view.blocked_s(now) for view in untried)
        if all(view.request_limit.wait_s(now) <= 0.0 for view in untried):
            raise Refused("endpoints_paused", blocked_s)
        rate_per_s = sum(view.request_limit.own_rate_per_s() for view in untried)
        schedule = self._return_schedules.setdefault(ctx.service, ReturnSchedule())
        longest_s = RETURN_FRACTION * (ctx.deadline_s - now)
        retry_after_s = schedule.reserve(ctx.urgency, now, blocked_s, rate_per_s, longest_s)
        raise Refused("endpoints_limited", retry_after_s, own_rate_per_s=rate_per_s)
