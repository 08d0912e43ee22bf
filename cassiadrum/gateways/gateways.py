"""The gateway: an entry instance that reaches endpoints directly."""

import asyncio
import random
import time
from collections.abc import Callable, Collection

from cassiadrum.crash_evidence import ContentTrials, CrashBoard
from cassiadrum.gateways.active_configurations import ActiveConfiguration
from cassiadrum.gateways.answer_writers import AnswerWriter
from cassiadrum.gateways.attempts import Attempt
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.connection_pools import ConnectionPool
from cassiadrum.gateways.crash_watches import CrashWatch
from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_entries import EndpointEntry
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import (
    HARMFUL_CONTENT,
    IMMEDIATE_RETRY_AFTER_S,
    AttemptFailed,
    Denied,
    HarmfulRequest,
    Refused,
)
from cassiadrum.gateways.fleets import FleetShares, SingleGateway
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.gateway_settings import GatewaySettings
from cassiadrum.gateways.lag_limits import LagLimit
from cassiadrum.gateways.life_checks import LifeChecks
from cassiadrum.gateways.limit_boards import LimitBoard
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.placement_policies import PlacementPolicy
from cassiadrum.gateways.placement_queues import Assignment, PlacementQueue
from cassiadrum.gateways.relays import Relay
from cassiadrum.gateways.request_contexts import RequestContext
from cassiadrum.gateways.request_drains import DRAINING, DrainResult, RequestDrain
from cassiadrum.gateways.request_retries import RequestRetries
from cassiadrum.gateways.retry_budgets import RetryBudgets
from cassiadrum.gateways.sent_requests import SentRequests
from cassiadrum.gateways.stream_origins import MemoryOriginStore, OriginStore, StreamOrigins
from cassiadrum.gateways.stream_stats import ServiceStreamStats
from cassiadrum.metrics import LoopDelay
from cassiadrum.protocols import BadMessage, Exchange, MemoryBudget

__all__ = ["Gateway"]

# Fraction of an endpoint's prompt cache that is assumed to hold prompts of this gateway.
CACHE_FRACTION = 0.5
# Memory of each answer that does not count against the shared budget.
ANSWER_UNBUDGETED_BYTES = 16 * 1024
TICK_S = 0.1
# Retry-After of a process that is behind; it is expected to have caught up by then.
LAG_RETRY_AFTER_S = 0.5
ANSWERED = "answered"


class Gateway:
    """An entry instance that serves callers by the configuration and the registered endpoints."""

    def __init__(
        self,
        cfg: GatewaySettings,
        protocol: CallProtocol,
        clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
        fleet: FleetShares | None = None,
        origin_store: OriginStore | None = None,
    ) -> None:
        self.configuration = ActiveConfiguration(
            cfg.confirmation_limit_s, cfg.strict_keys, boot_clock
        )
        self.draining = False
        self.pool = ConnectionPool()
        self.directory = EndpointDirectory(
            self._make_view,
            self.pool.close_idle,
            cfg.return_grace_s,
            cfg.lapse_s,
            cfg.contact_s,
        )
        self._protocol = protocol
        self._clock = clock
        self._drain = RequestDrain(clock)
        self._sent_requests = SentRequests()
        self._fleet = fleet or SingleGateway()
        self.limit_board = LimitBoard(self._fleet, clock, boot_clock)
        self._stream_stats: dict[str, ServiceStreamStats] = {}
        self._placement = PlacementPolicy(cfg.zone)
        self._placement_queue = PlacementQueue(
            self.directory,
            self._placement,
            lambda on_sample: LoadProber(self.pool, protocol, clock, on_sample),
            clock,
        )
        self._answer_memory = MemoryBudget(cfg.answers_bytes, ANSWER_UNBUDGETED_BYTES)
        self._budgets = RetryBudgets(
            cfg.retry_ratio, cfg.retry_spare, cfg.retry_window_s, self._fleet
        )
        self._log = DecisionLog(clock)
        self._metrics = GatewayMetrics()
        self._origins = StreamOrigins(
            origin_store or MemoryOriginStore(), self._log, self._metrics, clock
        )
        self._placement_queue.permitted = self._origins.permitted
        self.crash_board = CrashBoard(boot_clock, random.Random())
        self._crash_watch = CrashWatch(
            self.crash_board,
            ContentTrials(self.crash_board, self._fleet.rank, boot_clock),
            self._metrics,
            lambda service: len(self.directory.usable(service)),
        )
        self._crash_watch.on_harmful = self._refuse_harmful
        self._placement_queue.avoided = self._crash_watch.suspect_places
        self._life_checks = LifeChecks(self.pool, protocol, clock)
        self.lag = LagLimit()
        self._loop_delay = LoopDelay()

    @property
    def ready(self) -> bool:
        """Return whether the gateway accepts new connections."""
        if self.draining or not self.directory.has_full_list:
            return False
        return self.configuration.confirmed and self._fleet.is_settled

    @property
    def resumable_services(self) -> Collection[str]:
        """Return the services whose streams may go on, none until their endpoints are known."""
        catalog = self.configuration.catalog
        if catalog is None or not self.directory.has_full_list:
            return ()
        return catalog.resumable_services

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Apply changed settings; zone, memory budget and grace time are fixed at the start."""
        self.configuration.reconfigure(cfg.confirmation_limit_s, cfg.strict_keys)
        self.directory.contact_s = cfg.contact_s
        self._budgets.reconfigure(cfg.retry_ratio, cfg.retry_spare, cfg.retry_window_s)

    def drain(self, grace_s: float) -> None:
        """Become unready; requests that cannot be answered within `grace_s` are refused."""
        self.draining = True
        self._drain.begin(self._clock() + grace_s)

    @property
    def drain_totals(self) -> dict[str, int]:
        """Return how many requests a stop did not let finish, by result."""
        return self._drain.totals()

    def set_settings(self, digest: int, loaded_s: float) -> None:
        """Set the metrics of the settings in force; `loaded_s` is a Unix time."""
        self._metrics.set_settings(digest, loaded_s)

    def record_unanswered_connection(self, reason: str) -> None:
        """Count a connection of a caller that ended unanswered."""
        self._metrics.record_unanswered_connection(reason)

    async def run(self) -> None:
        """Update the state of the endpoints periodically until cancelled."""
        while True:
            due_s = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self.lag.record_tick(now - due_s)
            self._loop_delay.record(now - due_s, now)
            self.directory.expire(now)
            self.pool.expire(now)
            self.crash_board.expire()
            self._placement_queue.place_all_waiting()

    def endpoints_changed(self) -> None:
        """Assign queued requests after a change of the endpoints."""
        self._placement_queue.place_all_waiting()

    def render_metrics(self) -> bytes:
        """Return the metrics in the text exposition format."""
        now = self._clock()
        for service in self.configuration.services:
            views = self.directory.usable(service)
            outstanding = sum(view.outstanding(now) for view in views)
            waiting = self._placement_queue.waiting_count(service)
            self._metrics.set_service(service, waiting, outstanding, len(views))
            limits = [view.request_limit for view in views]
            limited = [limit for limit in limits if limit.rate_per_s is not None]
            self._metrics.set_request_limits(service, limited)
        self._metrics.set_sent_requests(self._sent_requests)
        self._metrics.set_drained_requests(self._drain.counts)
        self._crash_watch.set_metrics()
        self._metrics.set_fleet_size(self._fleet.size)
        self._metrics.set_loop_delay(self._loop_delay)
        version = self.configuration.version
        if version is not None:
            age_s = self.configuration.age_s()
            self._metrics.set_configuration(version, age_s, self.configuration.in_force_since_s)
        return self._metrics.render()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        try:
            call = self._protocol.decode_call(exchange.req)
        except BadMessage as exc:
            await exchange.send_json(exc.status, {"reason": exc.detail, "ran": "no"})
            return
        exchange.request_id = call.request_id
        ctx = RequestContext(call, self._clock())
        relay = Relay(
            ctx,
            exchange,
            self._log,
            self._clock,
            self._placement_queue.prober,
            RequestRetries(
                ctx,
                self._placement_queue,
                self._budgets,
                self._clock,
                lambda: self._drain.has_time(ctx),
            ),
            self._origins,
        )
        outcome = "cancelled"
        try:
            outcome = await self._answer(ctx, exchange, relay)
        except Exception as exc:
            outcome = f"error: {exc!r}"
            raise
        finally:
            relay.retries.close()
            self._crash_watch.leave(ctx)
            self._origins.leave(ctx)
            well = outcome == ANSWERED or exchange.disconnected.is_set()
            self._log.finish(ctx, outcome, well=well, **self.configuration.log_fields())
            self._metrics.record_end(ctx.service, outcome, self._clock() - ctx.received_s)

    async def _answer(self, ctx: RequestContext, exchange: Exchange, relay: Relay) -> str:
        """Answer a request and return the outcome for the log."""
        writer = AnswerWriter(ctx, exchange)
        try:
            if self.lag.refuses(ctx.call.request_id):
                raise Refused("behind_its_work", LAG_RETRY_AFTER_S)
            if not self.draining:
                await self.configuration.wait_for_first()
            self.configuration.resolve(ctx)
            self._log.record(ctx, "received", **ctx.describe())
            self._budgets.for_service(ctx.service).record_request(ctx.received_s)
            self._crash_watch.admit(ctx)
            self._watch_caller(ctx, exchange)
            async with self._drain.running(ctx, exchange):
                await self._serve(ctx, relay)
        except Denied as exc:
            await writer.deny(exc)
            return f"denied: {exc}"
        except Refused as exc:
            return await self._refuse(ctx, writer, exc)
        except AttemptFailed as exc:
            await writer.fail(502, exc.reason)
            if exc.reason == DRAINING:
                self._drain.count(ctx, DrainResult.FAILED)
            return f"failed: {exc}"
        except TimeoutError:
            if self._drain.limit.limits(ctx):
                return await self._end_at_stop(ctx, exchange, writer)
            if not ctx.may_have_run:
                return await self._refuse(
                    ctx, writer, Refused("deadline", IMMEDIATE_RETRY_AFTER_S)
                )
            await writer.fail(504, "deadline")
            return "deadline reached"
        return ANSWERED

    async def _refuse(self, ctx: RequestContext, writer: AnswerWriter, exc: Refused) -> str:
        # A retry while all endpoints of the service are blocked would be refused again.
        blocked_s = self._placement_queue.blocked.min_blocked_s(ctx.service)
        retry_after_s = max(exc.retry_after_s, blocked_s)
        self._log.record(ctx, "refused", **exc.inputs)
        if exc.reason == DRAINING:
            self._drain.count(ctx, DrainResult.REFUSED)
        if exc.reason == HARMFUL_CONTENT:
            self._metrics.record_harmful_request(ctx.service)
        await writer.refuse(exc.reason, retry_after_s, close=not self.configuration.confirmed)
        return f"refused: {exc}, retry after {retry_after_s:g} s"

    async def _end_at_stop(
        self, ctx: RequestContext, exchange: Exchange, writer: AnswerWriter
    ) -> str:
        """End a request whose time the end of the grace time has cut short."""
        if exchange.ended:
            # Its answer is complete and only has to leave.
            await exchange.flush()
            return ANSWERED
        if not ctx.may_have_run:
            return await self._refuse(ctx, writer, Refused(DRAINING, IMMEDIATE_RETRY_AFTER_S))
        result = DrainResult.BROKEN_OFF if exchange.started else DrainResult.FAILED
        self._drain.count(ctx, result)
        await writer.fail(502, DRAINING)
        return f"grace time ended: {result.value}"

    def _make_view(self, entry: EndpointEntry) -> EndpointView:
        settings = self.configuration.services.get(entry.service)
        tokens = settings.cache_tokens if settings is not None else None
        stats = self._stream_stats.setdefault(entry.service, ServiceStreamStats())
        cache_tokens = int(CACHE_FRACTION * (tokens or 0))
        limit = self.limit_board.for_incarnation(entry.incarnation)
        return EndpointView(entry, cache_tokens, stats, self._sent_requests, limit)

    async def _serve(self, ctx: RequestContext, relay: Relay) -> None:
        """Make attempts until one succeeds; raise Refused, Denied or AttemptFailed."""
        if ctx.takes_up:
            async with self._drain.waiting(ctx):
                await self._origins.find(ctx)
            self.configuration.resolve(ctx)
        while True:
            try:
                if await self._attempt(ctx, relay, relay.retries.take()):
                    return
            except AttemptFailed as exc:
                repeat = await self._may_repeat(ctx, relay) and (
                    relay.retries.try_spend() or relay.try_return()
                )
                self._log.record(ctx, "attempt failed", reason=exc.reason, repeated=repeat)
                self._metrics.record_failed_attempt(ctx.service, repeat)
                if not repeat:
                    await self._give_up(ctx, relay, exc)
                    return
            except Refused as exc:
                if not isinstance(exc, HarmfulRequest) and relay.try_return():
                    self._log.record(ctx, "returned to a silent endpoint", reason=exc.reason)
                elif ctx.may_have_run or relay.started:
                    raise AttemptFailed(exc.reason) from exc
                else:
                    raise

    async def _attempt(
        self, ctx: RequestContext, relay: Relay, reserved: Assignment | None = None
    ) -> bool:
        """Make one attempt, at the endpoint that is reserved for it if there is one.

        Returns False if the configuration changed the request's service.
        """
        assignment = reserved or await self._place(ctx)
        service = ctx.service
        self._log.record(ctx, "placed", **assignment.describe(ctx.call, self._clock()))
        try:
            with self._make_attempt(ctx, assignment) as attempt:
                self._check_lag(ctx)
                if not relay.started:
                    self._resolve_again(ctx)
                if ctx.service != service:
                    self._budgets.for_service(ctx.service).record_request(ctx.received_s)
                    return False
                await self._run(ctx, relay, attempt)
                return True
        finally:
            self._placement_queue.place_waiting(service)

    async def _run(self, ctx: RequestContext, relay: Relay, attempt: Attempt) -> None:
        """Make an attempt, and record what it tells of the request's contents."""
        self._crash_watch.start(ctx, attempt)
        self._origins.begin(ctx, attempt.view)
        try:
            await relay.run(attempt)
        except AttemptFailed:
            await self._crash_watch.examine(ctx, attempt)
            raise
        finally:
            self._crash_watch.end(attempt)
        if attempt.was_answered:
            self.crash_board.record_answered(ctx.contents)

    async def _may_repeat(self, ctx: RequestContext, relay: Relay) -> bool:
        """Return whether a failed request may be sent on, as far as its answer and contents go."""
        if not relay.can_continue:
            return False
        if ctx.lost_at_beginning and not ctx.may_repeat():
            return False
        return await self._crash_watch.allows_repeat(ctx, ctx.deadline_s - self._clock())

    def _refuse_harmful(self) -> None:
        self._placement_queue.refuse(self._crash_watch.find_refusal)

    def _check_lag(self, ctx: RequestContext) -> None:
        """Raise Refused if this process is behind and the caller may have left at its target."""
        if self.lag.behind and not ctx.sends and self._clock() > ctx.target_s:
            raise Refused("behind_its_work", LAG_RETRY_AFTER_S)

    def _resolve_again(self, ctx: RequestContext) -> None:
        """Resolve a request before an attempt; raise AttemptFailed if it may not run again.

        The kind of its route may have changed since the last attempt.
        """
        self.configuration.resolve(ctx)
        assert ctx.route is not None
        if ctx.may_have_run and not ctx.route.repeatable:
            raise AttemptFailed("the route no longer permits a retry")

    def _check_send(self, ctx: RequestContext) -> None:
        """Raise Refused if a request must not be sent any more.

        One that has not run cannot be answered before a stop; one that was left elsewhere in
        favour of this attempt is sent in any case, unless its contents end endpoints.
        """
        self._crash_watch.check(ctx)
        if not ctx.may_have_run:
            self._drain.check(ctx)

    def _make_attempt(self, ctx: RequestContext, assignment: Assignment) -> Attempt:
        return Attempt(
            ctx,
            assignment,
            self.pool,
            self._protocol,
            self._answer_memory,
            self._clock,
            lambda: self._check_send(ctx),
            lambda: self.crash_board.record_begun(ctx.contents),
            self._life_checks.check,
        )

    async def _place(self, ctx: RequestContext) -> Assignment:
        async with self._drain.waiting(ctx):
            return await self._placement_queue.place(ctx)

    async def _give_up(self, ctx: RequestContext, relay: Relay, exc: AttemptFailed) -> None:
        if relay.failure is not None and not relay.started:
            await relay.send_failure()
        elif not ctx.may_have_run:
            raise Refused(exc.reason, IMMEDIATE_RETRY_AFTER_S) from exc
        else:
            raise exc

    def _watch_caller(self, ctx: RequestContext, exchange: Exchange) -> None:
        task = asyncio.current_task()
        assert task is not None

        def on_disconnect() -> None:
            if ctx.cancellable:
                self._log.record(ctx, "caller left")
                task.cancel()

        exchange.on_disconnect(on_disconnect)
