"""Defaults of the settings and of the service documents, and fixed limits.

Names end in their units.
"""

from typing import Final

__all__ = ["DOCUMENT_DEFAULTS", "LIMITS", "SETTINGS_DEFAULTS"]

# Defaults of the keys of a `[[class]]` table in a service document.
DOCUMENT_DEFAULTS: Final[dict[str, object]] = {
    "protected": False,
    "idempotent": False,
    "once_only": False,
    "cancellable": True,
    "target_first_token_s": 0.97,
    "target_inter_token_s": 0.04,
    "target_total_s": 30.0,
    "deadline_s": 300.0,
    "max_wait_s": 30.0,
    "min_share": 0.05,
    "retry_budget": 0.1,
    "hedge_budget": 0.0,
    "methods": [],
    "path_prefix": "/",
}

# Defaults of the daemon settings, keyed by dotted path.
SETTINGS_DEFAULTS: Final[dict[str, object]] = {
    "region": "local",
    "listen.http": "127.0.0.1:0",
    "listen.link": "127.0.0.1:0",
    "listen.admin": "127.0.0.1:0",
    "log.format": "json",
    "log.level": "INFO",
    "limits.drain_limit_s": 4000.0,
    "limits.subset_size": 64,
    "limits.queue_requests": 2048,
    "limits.concurrency": 8,
    "endpoint.enforces_fencing": False,
}


class LIMITS:
    """Fixed limits of the wire protocols and of the internal buffers."""

    HEADER_BYTES: Final = 32 * 1024
    BODY_BYTES: Final = 1024 * 1024
    # All bodies of one server together; a quarter of the memory that a daemon may use.
    BODY_BUDGET_BYTES: Final = 16 * 1024 * 1024
    # Bytes of each body that do not count against the shared budget.
    BODY_UNBUDGETED_BYTES: Final = 4 * 1024
    HTTP_CONNECTIONS: Final = 4096
    # A client that has not sent its complete request by then gets status 408.
    REQUEST_READ_TIMEOUT_S: Final = 30.0
    KEEP_ALIVE_TIMEOUT_S: Final = 60.0
    FRAME_BYTES: Final = 4 * 1024 * 1024
    STREAM_BUFFER_BYTES: Final = 256 * 1024
    HEARTBEAT_INTERVAL_S: Final = 1.0
    # Three missed heartbeats; bounds the pause that a caller sees on a silent connection.
    SILENCE_LIMIT_S: Final = 3.0
    # A link without streams for this long uses the longer intervals below, since heartbeats on
    # 64 links each second exceed the control traffic that a daemon may cause.
    LINK_IDLE_AFTER_S: Final = 10.0
    IDLE_HEARTBEAT_INTERVAL_S: Final = 3.0
    IDLE_SILENCE_LIMIT_S: Final = 9.0
    REPORT_MIN_INTERVAL_S: Final = 0.1
    # Interval for unchanged reports; a changed report is sent after REPORT_MIN_INTERVAL_S.
    REPORT_MAX_INTERVAL_S: Final = 3.0
    DETACHED_STREAM_TIMEOUT_S: Final = 10.0
    # An endpoint that sends nothing for this long, or for three times the target of the class if
    # that is longer, counts as lost: a connection can go silent without an error.
    ENDPOINT_SILENCE_LIMIT_S: Final = 10.0
    SIDECAR_QUEUE_PER_SLOT: Final = 1
    KEPT_ANSWER_BYTES: Final = 64 * 1024
    # A longer answer of a once-only call reaches its caller but is not stored for a retry.
    CLAIM_ANSWER_BYTES: Final = 1024 * 1024
    EVENT_BUFFER_EVENTS: Final = 16_384
    INSTANCE_POLL_INTERVAL_S: Final = 1.0
    # Conditional reads of the instance list by the whole fleet. Changes are then seen within 10 s
    # at the target size; a leaving sidecar notifies its entry instances at once.
    FLEET_LIST_READS_PER_S: Final = 1000.0
    # With fewer links to a service, there are too few endpoints to choose between.
    LINKS_PER_SERVICE_MIN: Final = 4
    LEAVING_LIMIT_S: Final = 3.0
    CLAIM_RETENTION_S: Final = 7 * 24 * 3600.0
    STORE_TIMEOUT_S: Final = 2.0
    FLEET_CONFIG_READS_PER_S: Final = 100.0
    CONFIG_POLL_MIN_S: Final = 2.0
