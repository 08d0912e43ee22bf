"""Decision whether a stopping gateway has enough time left for a request."""

from cassiadrum.gateways.answer_durations import AnswerDurations
from cassiadrum.gateways.request_contexts import RequestContext

__all__ = ["DEADLINE_GRACE_S", "DrainLimit"]

# Time after the deadline for which an endpoint's own answer to the deadline is awaited.
DEADLINE_GRACE_S = 0.05
# Time that has to be left: a multiple of the longest recent answer, and a margin for short ones.
# Generous, since a refused caller is at another gateway within milliseconds, whereas a request
# that was passed on and does not end in time is lost.
DURATION_MULTIPLE = 2.0
DURATION_MARGIN_S = 0.25


class DrainLimit:
    """The end of a gateway's grace time, and the latest time to send a request to an endpoint.

    Times are monotonic seconds; `end_s` is infinite until the gateway stops.
    """

    def __init__(self) -> None:
        self.end_s = float("inf")
        self._durations = AnswerDurations()

    def record_end(self, ctx: RequestContext, now: float) -> None:
        """Record the time that a request took since it was first sent, whatever its outcome.

        A request that failed or whose caller left also shows how long others may take.
        """
        if ctx.sent_s is not None and ctx.route is not None:
            tokens = ctx.call.max_output_tokens
            self._durations.record(ctx.route.name, tokens, now - ctx.sent_s, now)

    def limits(self, ctx: RequestContext) -> bool:
        """Return whether the grace time ends before the request's deadline."""
        return self.end_s < ctx.deadline_s + DEADLINE_GRACE_S

    def latest_send_s(self, ctx: RequestContext, now: float) -> float:
        """Return the latest time to send a request, by the longest recent answer of its route.

        The route's timeout counts where no answer is known.
        """
        if not self.limits(ctx):
            return float("inf")
        assert ctx.route is not None
        longest_s = self._durations.longest_s(ctx.route.name, ctx.call.max_output_tokens, now)
        needed_s = ctx.route.timeout_s
        if longest_s is not None:
            needed_s = min(needed_s, DURATION_MULTIPLE * longest_s + DURATION_MARGIN_S)
        return self.end_s - needed_s
