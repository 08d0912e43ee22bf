"""Planning of model and adapter loads by demand."""

import math
from collections.abc import Collection, Mapping

from cassiadrum.decisions.byte_budgets import ByteBudget
from cassiadrum.decisions.endpoint_reports import EndpointReport
from cassiadrum.decisions.engine_orders import EngineOrder
from cassiadrum.decisions.model_demands import ModelDemand
from cassiadrum.decisions.order_kinds import OrderKind
from cassiadrum.decisions.order_planners import OrderPlanner
from cassiadrum.decisions.sent_orders import SentOrder

__all__ = ["DemandOrderPlanner"]

# A copy is added when the utilization of the existing copies exceeds the first value. It is spare
# if the others would stay below the second one without it. The gap between the values prevents
# oscillation.
ADD_ABOVE_UTILIZATION = 0.8
SPARE_BELOW_UTILIZATION = 0.5
# A shortage or a spare copy must last this long, so that a burst does not load any weights.
STABILIZATION_S = 10.0
# Minimum time between the end of one order to an engine and the next order to it.
COOLDOWN_S = 60.0
# After this time an unanswered order no longer counts against the limit on loading engines. Its
# engine gets no other order while it is connected.
ORDER_TIMEOUT_S = 600.0
# Engines serve less while they load, so at most a quarter of them, but at least one, may load at
# a time.
MAX_IN_FLIGHT_DIVISOR = 4

# A model and an adapter; the adapter is empty for the model itself.
ModelKey = tuple[str, str]


class DemandOrderPlanner(OrderPlanner):
    """Planner that loads models and adapters in demand, if necessary in place of spare copies.

    `sizes` maps (model, adapter) to the size in the weight store in bytes; entries without a size
    are never loaded. `bytes_per_s` limits the mean read rate from the weight store. An engine
    holds `models_per_engine` models and `adapters_per_engine` adapters.
    """

    def __init__(
        self,
        sizes: Mapping[ModelKey, int],
        bytes_per_s: float,
        models_per_engine: int = 1,
        adapters_per_engine: int = 8,
    ) -> None:
        self._sizes = dict(sizes)
        self._budget = ByteBudget(bytes_per_s)
        self._models_per_engine = models_per_engine
        self._adapters_per_engine = adapters_per_engine
        self._in_flight: dict[str, SentOrder] = {}
        self._ended_s: dict[str, float] = {}
        self._shortage_since_s: dict[ModelKey, float] = {}
        self._spare_since_s: dict[ModelKey, float] = {}
        self._requests: dict[ModelKey, float] = {}
        self._holders: dict[ModelKey, list[EndpointReport]] = {}
        self._mean_limit = 1.0

    def plan(
        self, demand: Collection[ModelDemand], endpoints: Collection[EndpointReport], now: float
    ) -> list[EngineOrder]:
        """Return the orders to send now; the caller must send each one exactly once."""
        active = [rep for rep in endpoints if not rep.leaving]
        self._drop_finished_orders(active, now)
        self._count_demand(demand, active)
        self._update_copy_states(now)
        orders: list[EngineOrder] = []
        for name in self._lasting_shortages(now):
            order = self._plan_load(name, active, now)
            if order is not None and self._may_send(active, now):
                self._budget.reserve(order.load_bytes, now)
                self._in_flight[order.instance] = SentOrder(order, now)
                orders.append(order)
        return orders

    def order_answered(self, instance: str, now: float) -> None:
        """Record that the engine answered the order in flight."""
        sent = self._in_flight.get(instance)
        if sent is not None:
            self._in_flight[instance] = sent._replace(answered_s=min(now, sent.answered_s))

    def _drop_finished_orders(self, active: list[EndpointReport], now: float) -> None:
        """Drop orders that newer reports reflect, and overdue ones of disconnected engines."""
        reported = {rep.instance: rep.reported_s for rep in active}
        for instance, sent in list(self._in_flight.items()):
            if instance in reported:
                # A report from before the answer still lists what the order unloaded.
                ended = reported[instance] > sent.answered_s
            else:
                ended = _is_overdue(sent, now)
            if ended:
                del self._in_flight[instance]
                self._ended_s[instance] = now
        self._ended_s = {
            instance: ended_s
            for instance, ended_s in self._ended_s.items()
            if now - ended_s < COOLDOWN_S
        }

    def _count_demand(self, demand: Collection[ModelDemand], active: list[EndpointReport]) -> None:
        self._requests = {}
        for entry in demand:
            name = (entry.model, entry.adapter)
            self._requests[name] = self._requests.get(name, 0.0) + entry.requests
        if active:
            self._mean_limit = max(1.0, sum(rep.limit for rep in active) / len(active))
        self._holders = {name: [] for name in self._requests}
        for rep in active:
            for name in _loaded(rep):
                self._holders.setdefault(name, []).append(rep)

    def _update_copy_states(self, now: float) -> None:
        """Record since when each model or adapter has had too few or too many copies."""
        shortage, spare = set(), set()
        for name, holders in self._holders.items():
            loading = sum(
                (sent.order.model, sent.order.adapter) == name and not _is_overdue(sent, now)
                for sent in self._in_flight.values()
            )
            if self._utilization(name, len(holders) + loading) > ADD_ABOVE_UTILIZATION:
                shortage.add(name)
            elif self._utilization(name, len(holders) - 1) < SPARE_BELOW_UTILIZATION:
                spare.add(name)
        _update_since(self._shortage_since_s, shortage, now)
        _update_since(self._spare_since_s, spare, now)

    def _utilization(self, name: ModelKey, copies: int) -> float:
        """Return the requests per slot when `copies` engines serve the model or adapter."""
        requests = self._requests.get(name, 0.0)
        if requests <= 0:
            return 0.0
        return requests / (copies * self._mean_limit) if copies > 0 else math.inf

    def _lasting_shortages(self, now: float) -> list[ModelKey]:
        """Return the models and adapters with a lasting shortage, the most overloaded first."""
        lasting = [
            name
            for name, since in self._shortage_since_s.items()
            if now - since >= STABILIZATION_S
        ]
        lasting = [name for name in lasting if name in self._sizes]
        return sorted(
            lasting, key=lambda name: (-self._utilization(name, len(self._holders[name])), name)
        )

    def _may_send(self, active: list[EndpointReport], now: float) -> bool:
        bound = max(1, len(active) // MAX_IN_FLIGHT_DIVISOR)
        loading = sum(not _is_overdue(sent, now) for sent in self._in_flight.values())
        return loading < bound and self._budget.available(now)

    def _plan_load(
        self, name: ModelKey, active: list[EndpointReport], now: float
    ) -> EngineOrder | None:
        """Return an order to the engine with the least to lose, or None if no engine can load."""
        model, adapter = name
        options: list[tuple[bool, int, str, str]] = []
        for rep in active:
            busy = rep.instance in self._in_flight or rep.instance in self._ended_s
            if busy or name in _loaded(rep) or (adapter and model not in rep.models):
                continue
            replaces = self._choose_replaced(rep, name, now)
            if replaces is not None:
                options.append((bool(replaces), rep.running + rep.queued, rep.instance, replaces))
        if not options:
            return None
        _, _, instance, replaces = min(options)
        kind = OrderKind.LOAD_ADAPTER if adapter else OrderKind.LOAD_MODEL
        return EngineOrder(
            kind, instance, model, adapter, replaces=replaces, load_bytes=self._sizes[name]
        )

    def _choose_replaced(self, rep: EndpointReport, name: ModelKey, now: float) -> str | None:
        """Return what to unload for `name`, "" if the engine has space, None if it cannot load."""
        adapter = name[1]
        capacity = self._adapters_per_engine if adapter else self._models_per_engine
        present = rep.adapters if adapter else rep.models
        if len(present) < capacity:
            return ""
        # A model or adapter without any copy may also replace one of several copies in use.
        may_replace = self._is_spare if self._holders[name] else self._has_other_copy
        for other in present:
            names = [(model, other) for model in rep.models] if adapter else [(other, "")]
            if not adapter:
                # Unloading a model also unloads its adapters.
                names += [(other, loaded) for loaded in rep.adapters]
            if all(may_replace(each, now) for each in names):
                return other
        return None

    def _is_spare(self, name: ModelKey, now: float) -> bool:
        since = self._spare_since_s.get(name)
        if since is None or now - since < STABILIZATION_S:
            return False
        return self._utilization(name, self._remaining_copies(name)) < SPARE_BELOW_UTILIZATION

    def _has_other_copy(self, name: ModelKey, now: float) -> bool:
        return self._is_spare(name, now) or self._remaining_copies(name) > 0

    def _remaining_copies(self, name: ModelKey) -> int:
        """Return the copies left after all orders in flight and the unloading of one more copy."""
        unloading = sum(_unloads(sent.order, name) for sent in self._in_flight.values())
        return len(self._holders.get(name, ())) - unloading - 1


def _loaded(rep: EndpointReport) -> list[ModelKey]:
    """Return the engine's models, and its adapters combined with each of its models."""
    models = [(model, "") for model in rep.models]
    return models + [(model, adapter) for model in rep.models for adapter in rep.adapters]


def _is_overdue(sent: SentOrder, now: float) -> bool:
    return now - sent.sent_s >= ORDER_TIMEOUT_S


def _unloads(order: EngineOrder, name: ModelKey) -> bool:
    """Return whether the order unloads a copy of the model or adapter."""
    if not order.replaces:
        return False
    return order.replaces == (name[1] if order.kind is OrderKind.LOAD_ADAPTER else name[0])


def _update_since(since_s: dict[ModelKey, float], names: set[ModelKey], now: float) -> None:
    for name in list(since_s):
        if name not in names:
            del since_s[name]
    for name in names:
        since_s.setdefault(name, now)
