"""Names of the platform's headers, in lower case."""

from typing import Final

__all__ = ["CONNECTION_HEADERS", "GATEWAY_HEADERS", "Header"]


class Header:
    """Name the headers of calls and answers."""

    REQUEST_ID: Final = "x-cassiadrum-request-id"
    # Milliseconds that the sender of the request waits.
    TIMEOUT: Final = "x-cassiadrum-timeout-ms"
    API_KEY: Final = "x-api-key"
    # The customer's name, towards endpoints only.
    CUSTOMER: Final = "x-cassiadrum-tenant"
    # The endpoint that is meant; any other one answers 421 without running the request.
    TARGET_INSTANCE: Final = "x-cassiadrum-target-instance"
    # 0 is the most urgent and 9 the least.
    PRIORITY: Final = "x-cassiadrum-request-priority"
    MODEL: Final = "x-cassiadrum-model"
    # Prompt tokens and the most output tokens, separated by a comma.
    TOKENS: Final = "x-cassiadrum-token-counts"
    # The prompt's parts as ID:TOKENS, separated by commas.
    PROMPT_PARTS: Final = "x-cassiadrum-prompt-prefix"
    LAST_EVENT_ID: Final = "last-event-id"
    SIGNATURE: Final = "x-cassiadrum-response-signature"
    NOT_RUN: Final = "x-cassiadrum-not-executed"
    # Running and waiting requests and slots, separated by commas.
    LOAD: Final = "x-cassiadrum-instance-load"
    # `1` in all answers of an endpoint that shuts down.
    LEAVING: Final = "server-leaving"
    # Seconds, with a fraction allowed.
    RETRY_AFTER: Final = "retry-after"
    # In all answers of the store: rises by one each time it is restored from an older copy.
    STORE_ERA: Final = "store-era"


# What concerns one connection only is not passed on.
CONNECTION_HEADERS: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
# What the gateway alone may say to endpoints; a caller's own is dropped.
GATEWAY_HEADERS: Final = frozenset(
    {
        Header.API_KEY,
        Header.CUSTOMER,
        Header.TARGET_INSTANCE,
        Header.PRIORITY,
        Header.TIMEOUT,
        Header.LAST_EVENT_ID,
        "x-cassiadrum-expected-version",
        "x-cassiadrum-hold",
        "x-cassiadrum-kv-backup",
        "x-cassiadrum-pin-ms",
        "kv-fetch",
        "kv-from",
        "wait-ms",
    }
)
