"""Definitions of all metrics of the daemons."""

from typing import Final, Literal, NamedTuple

__all__ = ["DEFINITIONS", "GATEWAY_DEFINITIONS", "MetricDefinition"]

# The bounds include the latency targets of 0.04 s between tokens and 0.97 s to the first token, so
# that attainment can be computed from the histograms.
INTER_TOKEN_BOUNDS_S: Final = (0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.075, 0.1, 0.25, 1.0)
LATENCY_BOUNDS_S: Final = (0.01, 0.05, 0.097, 0.25, 0.5, 0.97, 2.0, 5.0, 15.0, 30.0, 120.0)


class MetricDefinition(NamedTuple):
    """Name, kind, help text, label names and, for histograms, upper bucket bounds of a metric."""

    name: str
    kind: Literal["counter", "gauge", "histogram"]
    doc: str
    labels: tuple[str, ...]
    bounds: tuple[float, ...] = ()


_SERVICE_CLASS: Final = ("service", "class")
_SERVICE_OUTCOME: Final = ("service", "outcome")

DEFINITIONS: Final[dict[str, MetricDefinition]] = {
    definition.name: definition
    for definition in (
        MetricDefinition(
            "cassiadrum_first_token_seconds",
            "histogram",
            "Time from receipt to the first token",
            _SERVICE_CLASS,
            LATENCY_BOUNDS_S,
        ),
        MetricDefinition(
            "cassiadrum_inter_token_seconds",
            "histogram",
            "Time between tokens",
            _SERVICE_CLASS,
            INTER_TOKEN_BOUNDS_S,
        ),
        MetricDefinition(
            "cassiadrum_queue_wait_seconds",
            "histogram",
            "Time in the queue before dispatch",
            _SERVICE_CLASS,
            LATENCY_BOUNDS_S,
        ),
        MetricDefinition(
            "cassiadrum_requests_total", "counter", "Requests received", _SERVICE_CLASS
        ),
        MetricDefinition(
            "cassiadrum_refusals_total", "counter", "Requests refused", ("service", "reason")
        ),
        MetricDefinition(
            "cassiadrum_attainment_total",
            "counter",
            "Requests that met or missed the latency target of their class",
            ("service", "class", "result"),
        ),
        MetricDefinition(
            "cassiadrum_goodput_tokens_total",
            "counter",
            "Tokens of completed and delivered answers",
            _SERVICE_CLASS,
        ),
        MetricDefinition(
            "cassiadrum_wasted_tokens_total",
            "counter",
            "Tokens of answers that were cancelled, duplicated or discarded",
            ("service", "reason"),
        ),
        MetricDefinition("cassiadrum_retries_total", "counter", "Retries", _SERVICE_CLASS),
        MetricDefinition("cassiadrum_hedges_total", "counter", "Hedges", _SERVICE_CLASS),
        MetricDefinition(
            "cassiadrum_claims_total", "counter", "Once-only claims", ("service", "outcome")
        ),
        MetricDefinition(
            "cassiadrum_control_bytes_total",
            "counter",
            "Bytes of messages between own processes, without request and answer bodies",
            ("direction",),
        ),
        MetricDefinition(
            "cassiadrum_store_calls_total",
            "counter",
            "Calls to the platform's stores",
            ("store", "result"),
        ),
        MetricDefinition("cassiadrum_leases_held", "gauge", "Leases held", ()),
        MetricDefinition(
            "cassiadrum_configuration_version", "gauge", "Version in force", ("service",)
        ),
        MetricDefinition("cassiadrum_connections", "gauge", "Open connections", ("peer",)),
        MetricDefinition("cassiadrum_queue_length", "gauge", "Waiting requests", ("service",)),
        MetricDefinition(
            "cassiadrum_loop_delay_max_seconds",
            "gauge",
            "Longest delay of the event loop since the start",
            (),
        ),
        MetricDefinition(
            "cassiadrum_loop_delay_seconds",
            "gauge",
            "Longest delay of the event loop in the last one to two minutes",
            (),
        ),
        MetricDefinition(
            "cassiadrum_customer_tokens",
            "gauge",
            "Tokens in the last full window by customer rank, and of all others",
            ("rank",),
        ),
        MetricDefinition(
            "cassiadrum_unanswered_connections_total",
            "counter",
            "Connections of callers that ended without a complete answer",
            ("reason",),
        ),
    )
}

# Metrics of a gateway.
GATEWAY_DEFINITIONS: Final[dict[str, MetricDefinition]] = {
    definition.name: definition
    for definition in (
        MetricDefinition(
            "cassiadrum_gateway_answers_total", "counter", "Requests ended", _SERVICE_OUTCOME
        ),
        MetricDefinition(
            "cassiadrum_gateway_answer_seconds",
            "histogram",
            "Time from receipt to the end of the answer",
            _SERVICE_OUTCOME,
            LATENCY_BOUNDS_S,
        ),
        MetricDefinition(
            "cassiadrum_gateway_failed_attempts_total",
            "counter",
            "Failed attempts at endpoints",
            ("service", "repeated"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_ended_endpoints_total",
            "counter",
            "Endpoints that ended as they began answers to requests of this gateway",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_taken_up_streams_total",
            "counter",
            "Streams that callers took up again, by what told where they began",
            ("service", "source"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_harmful_requests_total",
            "counter",
            "Requests refused because of a content under which endpoints ended",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_harmful_content_crashes",
            "gauge",
            "Endpoints that ended under a content whose requests are refused",
            ("kind", "content"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_harmful_content_age_seconds",
            "gauge",
            "Time since the last endpoint ended under a content whose requests are refused",
            ("kind", "content"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_drained_requests_total",
            "counter",
            "Requests that a planned stop did not let finish",
            ("service", "result"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_waiting", "gauge", "Requests waiting for an endpoint", ("service",)
        ),
        MetricDefinition(
            "cassiadrum_gateway_outstanding",
            "gauge",
            "Estimated requests at the endpoints",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_endpoints",
            "gauge",
            "Endpoints that may get requests",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_endpoint_requests_total",
            "counter",
            "Calls and load probes sent to endpoints, with and without a request limit",
            ("service", "kind", "limited"),
        ),
        MetricDefinition(
            "cassiadrum_gateway_request_limit",
            "gauge",
            "Requests per second of all gateways that the limited endpoints state together",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_own_request_limit",
            "gauge",
            "Requests per second that this gateway may send to the limited endpoints together",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_fleet_size",
            "gauge",
            "Registered gateways, among which figures for all gateways are divided",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_limited_endpoints",
            "gauge",
            "Endpoints that state a request limit",
            ("service",),
        ),
        MetricDefinition(
            "cassiadrum_gateway_configuration_version", "gauge", "Configuration in force", ()
        ),
        MetricDefinition(
            "cassiadrum_gateway_configuration_age_seconds",
            "gauge",
            "Time since the configuration was confirmed by the store",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_configuration_loaded_timestamp_seconds",
            "gauge",
            "Unix time at which the configuration came into force",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_loop_delay_max_seconds",
            "gauge",
            "Longest delay of the event loop since the start",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_loop_delay_seconds",
            "gauge",
            "Longest delay of the event loop in the last one to two minutes",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_settings_digest",
            "gauge",
            "Digest of the settings in force that are the same for all gateways",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_settings_loaded_timestamp_seconds",
            "gauge",
            "Unix time at which the settings came into force",
            (),
        ),
        MetricDefinition(
            "cassiadrum_gateway_unanswered_connections_total",
            "counter",
            "Connections of callers that ended without a complete answer",
            ("reason",),
        ),
    )
}
