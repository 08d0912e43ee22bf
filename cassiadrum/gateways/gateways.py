"""The gateway: an entry instance that reaches endpoints directly."""

import asyncio
import contextlib
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.gateways.answer_writers import AnswerWriter
from cassiadrum.gateways.attempt_budgets import AttemptBudgets
from cassiadrum.gateways.attempts import Attempt
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.catalogs import Catalog, share_of
from cassiadrum.gateways.confirmations import Confirmation
from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.endpoint_directories import EndpointDirectory
from cassiadrum.gateways.endpoint_entries import EndpointEntry
from cassiadrum.gateways.endpoint_pools import EndpointPool
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import AttemptFailed, Denied, Refused
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.lag_limits import LagLimit
from cassiadrum.gateways.load_probers import LoadProber
from cassiadrum.gateways.paces import ServicePace
from cassiadrum.gateways.placements import Placement
from cassiadrum.gateways.placers import Placed, Placer
from cassiadrum.gateways.relays import Relay
from cassiadrum.gateways.tickets import Ticket
from cassiadrum.logs import BOUNDED_FIELD
from cassiadrum.protocols import BadMessage, BodyBudget, Exchange

__all__ = ["Gateway", "GatewaySettings"]

logger = logging.getLogger(__name__)

# Part of an endpoint's memory for prompts that this gateway counts on.
CACHE_PART = 0.5
# Memory that each answer may take without counting on what all share.
ANSWER_FREE_BYTES = 16 * 1024
TICK_S = 0.1
# When a caller whose next request may reach another gateway or endpoint should come back.
ELSEWHERE_RETRY_S = 0.02
# Time after the deadline in which an endpoint's own answer to it may arrive.
DEADLINE_GRACE_S = 0.05
# A start takes one answer of the store; a request that meets it waits for that long.
START_WAIT_S = 1.0
# Time in which a process that fell behind its work has caught up.
BEHIND_RETRY_S = 0.5
ANSWERED = "answered"


class GatewaySettings(NamedTuple):
    """Hold the figures of the deployment; times are in seconds."""

    zone: str
    retry_ratio: float
    retry_spare: float
    retry_window_s: float
    confirmation_limit_s: float
    # Whether keys must not be served past their confirmation.
    strict_keys: bool
    # Time after an outage of the store in which lapsed entries come back.
    return_grace_s: float
    # Memory for the unfinished answers of all requests, beyond a small part for each.
    answers_bytes: int = 32 * 1024 * 1024
    # Time after which the store has dropped the registration of an endpoint that is dead.
    lapse_s: float = 5.0


class Gateway:
    """Serve callers' requests by the configuration and the endpoints that it is told of."""

    def __init__(
        self,
        cfg: GatewaySettings,
        protocol: CallProtocol,
        clock: Callable[[], float] = time.monotonic,
        boot_clock: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME),
    ) -> None:
        self.catalog: Catalog | None = None
        self.on_catalog: Callable[[Catalog], None] = lambda catalog: None
        self._configured = asyncio.Event()
        # Unix second since which the catalog is in force.
        self._catalog_s = 0.0
        self.draining = False
        self.confirmation = Confirmation(cfg.confirmation_limit_s)
        self.pool = EndpointPool()
        self.directory = EndpointDirectory(
            self._make_view, self.pool.forget, cfg.return_grace_s, cfg.lapse_s
        )
        self._cfg = cfg
        self._protocol = protocol
        self._clock = clock
        self._boot_clock = boot_clock
        self._paces: dict[str, ServicePace] = {}
        self._placement = Placement(cfg.zone)
        self._placer = Placer(
            self.directory,
            self._placement,
            lambda on_sample: LoadProber(self.pool, protocol, clock, on_sample),
            clock,
        )
        self._bodies = BodyBudget(cfg.answers_bytes, ANSWER_FREE_BYTES)
        self._budgets = AttemptBudgets(cfg.retry_ratio, cfg.retry_spare, cfg.retry_window_s)
        self._log = DecisionLog(clock)
        self._metrics = GatewayMetrics()
        self.lag = LagLimit()

    @property
    def confirmed(self) -> bool:
        """Return whether the configuration in force is known to be recent."""
        return self.catalog is not None and self.confirmation.valid(self._boot_clock())

    @property
    def ready(self) -> bool:
        """Return whether new connections are welcome."""
        return self.confirmed and self.directory.listed and not self.draining

    def set_catalog(self, catalog: Catalog) -> None:
        """Put a configuration in force, unless it is older than the one in force."""
        if self.catalog is not None and catalog.version <= self.catalog.version:
            return
        self.catalog = catalog
        self._catalog_s = time.time()
        self._configured.set()
        self.on_catalog(catalog)
        # The operator's pace bounds these lines.
        logger.info(
            "configuration in force", extra={"version": catalog.version, BOUNDED_FIELD: True}
        )

    def reconfigure(self, cfg: GatewaySettings) -> None:
        """Put changed figures in force; zone, memory and grace time stay those of the start."""
        self._cfg = cfg
        self.confirmation.limit_s = cfg.confirmation_limit_s
        self._budgets.set_figures(cfg.retry_ratio, cfg.retry_spare, cfg.retry_window_s)

    def set_settings(self, digest: int, loaded_s: float) -> None:
        """Show which settings are in force, and since which Unix second."""
        self._metrics.set_settings(digest, loaded_s)

    async def run(self) -> None:
        """Keep the endpoints' state up to date, for ever."""
        while True:
            due_s = self._clock() + TICK_S
            await asyncio.sleep(TICK_S)
            now = self._clock()
            self.lag.ticked(now - due_s)
            self.directory.expire(now)
            self.pool.expire(now)
            self._placer.pump_all()

    def changed(self) -> None:
        """Place waiting requests after a change of the endpoints."""
        self._placer.pump_all()

    def render_metrics(self) -> bytes:
        """Return the metrics as text."""
        now = self._clock()
        for service in self.catalog.services if self.catalog else ():
            views = self.directory.usable(service)
            outstanding = sum(view.outstanding(now) for view in views)
            waiting = self._placer.waiting(service)
            self._metrics.set_service(service, waiting, outstanding, len(views))
        if self.catalog is not None:
            age_s = self.confirmation.age_s(self._boot_clock())
            self._metrics.set_configuration(self.catalog.version, age_s, self._catalog_s)
        return self._metrics.render()

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of a caller."""
        try:
            call = self._protocol.decode_call(exchange.req)
        except BadMessage as exc:
            await exchange.send_json(exc.status, {"reason": exc.detail, "ran": "no"})
            return
        ticket = Ticket(call, self._clock())
        relay = Relay(
            ticket,
            exchange,
            self._log,
            self._clock,
            self._placer.prober,
            lambda: self._could_repeat(ticket),
        )
        outcome = "cancelled"
        try:
            outcome = await self._answer(ticket, exchange, relay)
        except Exception as exc:
            outcome = f"error: {exc!r}"
            raise
        finally:
            well = outcome == ANSWERED or exchange.disconnected.is_set()
            self._log.end(ticket, outcome, well=well, **self._belief())
            self._metrics.ended(ticket.service, outcome, self._clock() - ticket.received_s)

    async def _answer(self, ticket: Ticket, exchange: Exchange, relay: Relay) -> str:
        """Answer a request and return the outcome for the log."""
        writer = AnswerWriter(ticket, exchange)
        try:
            if self.lag.refuses(ticket.call.request_id):
                raise Refused("behind_its_work", BEHIND_RETRY_S)
            await self._wait_for_start()
            self._resolve(ticket)
            self._log.note(ticket, "received", **ticket.describe())
            self._budgets.of(ticket.service).arrived(ticket.received_s)
            self._watch_caller(ticket, exchange)
            limit_s = ticket.deadline_s + DEADLINE_GRACE_S - self._clock()
            async with asyncio.timeout(limit_s):
                await self._serve(ticket, relay)
        except Denied as exc:
            await writer.deny(exc)
            return f"denied: {exc}"
        except Refused as exc:
            return await self._refuse(ticket, writer, exc)
        except AttemptFailed as exc:
            await writer.fail(502, exc.reason)
            return f"failed: {exc}"
        except TimeoutError:
            if not ticket.may_have_run:
                return await self._refuse(ticket, writer, Refused("deadline", ELSEWHERE_RETRY_S))
            await writer.fail(504, "deadline")
            return "deadline reached"
        return ANSWERED

    async def _refuse(self, ticket: Ticket, writer: AnswerWriter, exc: Refused) -> str:
        # A caller that comes back while all endpoints of its service pause is refused again.
        retry_after_s = max(exc.retry_after_s, self._placer.pause_s(ticket.service))
        self._log.note(ticket, "refused", **exc.inputs)
        await writer.refuse(exc.reason, retry_after_s, close=not self.confirmed)
        return f"refused: {exc}, retry after {retry_after_s:g} s"

    async def _wait_for_start(self) -> None:
        """Wait until a new process knows a configuration, for a bounded time."""
        if self.catalog is None:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(START_WAIT_S):
                    await self._configured.wait()

    def _make_view(self, entry: EndpointEntry) -> EndpointView:
        plan = self.catalog.services.get(entry.service) if self.catalog else None
        tokens = plan.cache_tokens if plan is not None else None
        pace = self._paces.setdefault(entry.service, ServicePace())
        return EndpointView(entry, int(CACHE_PART * (tokens or 0)), pace)

    def _resolve(self, ticket: Ticket) -> None:
        """Look the request up in the configuration in force; raise Denied or Refused."""
        catalog = self.catalog
        if catalog is None:
            raise Refused("no_configuration", ELSEWHERE_RETRY_S)
        call = ticket.call
        route = catalog.route(call.host, call.path)
        if route is None:
            if not self.confirmed:
                raise Refused("configuration_not_confirmed", ELSEWHERE_RETRY_S)
            raise Denied(404, "no_route")
        customer = None
        if catalog.keyed and not route.public:
            if self._cfg.strict_keys and not self.confirmed:
                raise Refused("configuration_not_confirmed", ELSEWHERE_RETRY_S)
            customer = catalog.customer(call.key)
            if customer is None:
                raise Denied(401, "unknown_key")
        service = share_of(route, call.request_id)
        ticket.resolve(route, customer, service)
        ticket.more_urgent = catalog.more_urgent(service, route.priority)
        ticket.has_less_urgent = catalog.has_less_urgent(service, route.priority)

    async def _serve(self, ticket: Ticket, relay: Relay) -> None:
        """Make attempts until one is passed on; raise Refused, Denied or AttemptFailed."""
        while True:
            try:
                if await self._attempt(ticket, relay):
                    return
            except AttemptFailed as exc:
                repeat = self._may_repeat(ticket)
                self._log.note(ticket, "attempt failed", reason=exc.reason, repeated=repeat)
                self._metrics.attempt_failed(ticket.service, repeat)
                if not repeat:
                    await self._give_up(ticket, relay, exc)
                    return
            except Refused as exc:
                if ticket.may_have_run or relay.started:
                    raise AttemptFailed(exc.reason) from exc
                raise

    async def _attempt(self, ticket: Ticket, relay: Relay) -> bool:
        """Make one attempt; return False when the configuration moved the request meanwhile."""
        placed = await self._placer.place(ticket)
        service = ticket.service
        self._log.note(ticket, "placed", **placed.describe(ticket.call, self._clock()))
        try:
            with self._begin(ticket, placed) as attempt:
                self._require_pace(ticket)
                if not relay.started:
                    self._resolve(ticket)
                if ticket.service != service:
                    self._budgets.of(ticket.service).arrived(ticket.received_s)
                    return False
                await relay.run(attempt)
                return True
        finally:
            self._placer.pump(service)

    def _require_pace(self, ticket: Ticket) -> None:
        """Raise Refused when this process is so far behind that the caller may have left."""
        if self.lag.behind and not ticket.sends and self._clock() > ticket.target_s:
            raise Refused("behind_its_work", BEHIND_RETRY_S)

    def _begin(self, ticket: Ticket, placed: Placed) -> Attempt:
        return Attempt(ticket, placed, self.pool, self._protocol, self._bodies, self._clock)

    def _belief(self) -> dict[str, object]:
        """Return the version in force and the age of its last confirmation."""
        age_s = self.confirmation.age_s(self._boot_clock())
        return {
            "version": self.catalog.version if self.catalog else 0,
            "version_age_ms": round(age_s * 1000) if age_s < float("inf") else None,
        }

    def _could_repeat(self, ticket: Ticket) -> bool:
        """Return whether another endpoint could get a request whose answer is late."""
        if not ticket.may_repeat() or not self._placer.others(ticket):
            return False
        return self._budgets.of(ticket.service).has_room(self._clock())

    def _may_repeat(self, ticket: Ticket) -> bool:
        """Return whether a failed request goes to another endpoint; take it from the budget."""
        if ticket.arrivals == 0:
            return True
        if self._clock() >= ticket.deadline_s or not ticket.may_repeat():
            return False
        return self._budgets.of(ticket.service).spend(self._clock())

    async def _give_up(self, ticket: Ticket, relay: Relay, exc: AttemptFailed) -> None:
        if relay.failure is not None and not relay.started:
            await relay.pass_failure()
        elif not ticket.may_have_run:
            raise Refused(exc.reason, ELSEWHERE_RETRY_S) from exc
        else:
            raise exc

    def _watch_caller(self, ticket: Ticket, exchange: Exchange) -> None:
        task = asyncio.current_task()
        assert task is not None

        def on_gone() -> None:
            if ticket.cancellable:
                self._log.note(ticket, "caller left")
                task.cancel()

        exchange.on_disconnect(on_gone)
