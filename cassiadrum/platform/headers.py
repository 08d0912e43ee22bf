"""Names of the platform's HTTP headers, in lower case."""

from typing import Final

__all__ = ["CONNECTION_HEADERS", "GATEWAY_HEADERS", "Header"]


class Header:
    """Names of the headers of calls and answers."""

    REQUEST_ID: Final = "x-cassiadrum-request-id"
    # Milliseconds that the sender waits for the answer.
    TIMEOUT: Final = "x-cassiadrum-timeout-ms"
    API_KEY: Final = "x-api-key"
    # The customer's name; sent to endpoints only.
    CUSTOMER: Final = "x-cassiadrum-tenant"
    # The endpoint the request is for; any other endpoint answers 421 without running it.
    TARGET_INSTANCE: Final = "x-cassiadrum-target-instance"
    # 0 is the most urgent and 9 the least.
    PRIORITY: Final = "x-cassiadrum-request-priority"
    MODEL: Final = "x-cassiadrum-model"
    # Prompt tokens and maximum output tokens, separated by a comma.
    TOKENS: Final = "x-cassiadrum-token-counts"
    # The prompt's parts as ID:TOKENS, separated by commas.
    PROMPT_PARTS: Final = "x-cassiadrum-prompt-prefix"
    LAST_EVENT_ID: Final = "last-event-id"
    # Id of the request that brought the first event of a stream that the caller takes up again.
    RESUMES: Final = "resumes"
    SIGNATURE: Final = "x-cassiadrum-response-signature"
    NOT_RUN: Final = "x-cassiadrum-not-executed"
    # Running requests, waiting requests and slots, separated by commas.
    LOAD: Final = "x-cassiadrum-instance-load"
    # `1` in every answer of an endpoint that is shutting down.
    LEAVING: Final = "server-leaving"
    # Decimal number of requests per second that the endpoint accepts from all gateways together;
    # in every answer while the limit holds.
    REQUEST_LIMIT: Final = "server-limit"
    # Seconds; fractions are allowed.
    RETRY_AFTER: Final = "retry-after"
    # In every answer of the store; increases by one with each restore from an older copy.
    STORE_ERA: Final = "store-era"


# Hop-by-hop headers, which are not forwarded.
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
# Headers that only the gateway may send to endpoints; a caller's values are dropped.
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
