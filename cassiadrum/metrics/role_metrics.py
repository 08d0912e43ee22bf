"""Metrics recorded by the roles."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Literal

from cassiadrum.metrics.customer_rankings import CustomerRanking
from cassiadrum.metrics.metric_exporters import MetricExporter
from cassiadrum.metrics.metric_values import MetricValues

if TYPE_CHECKING:
    from aioprometheus.collectors import Registry

__all__ = ["RoleMetrics"]


class RoleMetrics:
    """The metrics of a role and their rendering.

    `monotonic_s` returns monotonic seconds. Without a registry, metrics are recorded but not
    rendered, and the metrics library is not imported. Times are in seconds.
    """

    def __init__(
        self, monotonic_s: Callable[[], float], registry: "Registry | None" = None
    ) -> None:
        self._monotonic_s = monotonic_s
        self._values = MetricValues()
        self._customers = CustomerRanking()
        self._exporter = MetricExporter(registry) if registry is not None else None

    def count_request(self, service: str, class_name: str) -> None:
        """Count a received request."""
        self._values.add("cassiadrum_requests_total", (service, class_name))

    def observe_queue_wait(self, service: str, class_name: str, wait_s: float) -> None:
        """Observe the time in the queue before a dispatch."""
        self._values.observe("cassiadrum_queue_wait_seconds", (service, class_name), wait_s)

    def observe_first_token(self, service: str, class_name: str, latency_s: float) -> None:
        """Observe the time from receipt to the first token."""
        self._values.observe("cassiadrum_first_token_seconds", (service, class_name), latency_s)

    def observe_inter_token(
        self, service: str, class_name: str, gap_s: float, count: int = 1
    ) -> None:
        """Observe `count` equal intervals between tokens."""
        labels = (service, class_name)
        self._values.observe("cassiadrum_inter_token_seconds", labels, gap_s, count)

    def count_refusal(self, service: str, reason: str) -> None:
        """Count a refusal by its reason."""
        self._values.add("cassiadrum_refusals_total", (service, reason))

    def count_attainment(self, service: str, class_name: str, met: bool) -> None:
        """Count a request that met or missed the latency target of its class."""
        labels = (service, class_name, "met" if met else "missed")
        self._values.add("cassiadrum_attainment_total", labels)

    def count_delivered_tokens(
        self, service: str, class_name: str, customer: str, tokens: int
    ) -> None:
        """Count the tokens of a completed and delivered answer."""
        self._values.add("cassiadrum_goodput_tokens_total", (service, class_name), tokens)
        self._customers.add(customer, tokens, self._monotonic_s())

    def count_wasted_tokens(self, service: str, reason: str, tokens: int) -> None:
        """Count tokens of cancelled, duplicated or discarded answers by reason."""
        self._values.add("cassiadrum_wasted_tokens_total", (service, reason), tokens)

    def count_retry(self, service: str, class_name: str) -> None:
        """Count a retry."""
        self._values.add("cassiadrum_retries_total", (service, class_name))

    def count_hedge(self, service: str, class_name: str) -> None:
        """Count a hedge."""
        self._values.add("cassiadrum_hedges_total", (service, class_name))

    def count_claim(self, service: str, outcome: str) -> None:
        """Count a once-only claim by its outcome."""
        self._values.add("cassiadrum_claims_total", (service, outcome))

    def count_control_bytes(self, direction: Literal["in", "out"], size: int) -> None:
        """Count bytes of control messages between own processes, excluding bodies."""
        self._values.add("cassiadrum_control_bytes_total", (direction,), size)

    def count_store_call(self, store: str, result: str) -> None:
        """Count a call to a store by its result."""
        self._values.add("cassiadrum_store_calls_total", (store, result))

    def count_unanswered_connection(self, reason: str) -> None:
        """Count a connection of a caller that ended unanswered."""
        self._values.add("cassiadrum_unanswered_connections_total", (reason,))

    def set_leases_held(self, count: int) -> None:
        """Set the number of leases held."""
        self._values.set("cassiadrum_leases_held", (), count)

    def set_configuration_version(self, service: str, version: int) -> None:
        """Set the version in force of a service document."""
        self._values.set("cassiadrum_configuration_version", (service,), version)

    def set_connections(self, peer: str, count: int) -> None:
        """Set the number of open connections by kind of peer, such as `sidecar` or `caller`."""
        self._values.set("cassiadrum_connections", (peer,), count)

    def set_loop_delay(self, longest_s: float, recent_s: float) -> None:
        """Set the longest delays of the event loop, since the start and recently."""
        self._values.set("cassiadrum_loop_delay_max_seconds", (), longest_s)
        self._values.set("cassiadrum_loop_delay_seconds", (), recent_s)

    def set_queue_length(self, service: str, count: int) -> None:
        """Set the number of waiting requests."""
        self._values.set("cassiadrum_queue_length", (service,), count)

    def top_customers(self) -> list[tuple[str, int]]:
        """Return the names and tokens of the top customers in the last complete window."""
        return self._customers.last_window(self._monotonic_s())[0]

    def render(self) -> bytes:
        """Return the response body of `/metrics`, empty without a registry."""
        if self._exporter is None:
            return b""
        ranked, other = self._customers.last_window(self._monotonic_s())
        name = "cassiadrum_customer_tokens"
        self._values.clear(name)
        for rank, (_, tokens) in enumerate(ranked, 1):
            self._values.set(name, (str(rank),), tokens)
        self._values.set(name, ("other",), other)
        return self._exporter.render(self._values)
