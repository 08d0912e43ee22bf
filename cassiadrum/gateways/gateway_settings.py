"""Settings of a gateway."""

from typing import NamedTuple

__all__ = ["GatewaySettings"]


class GatewaySettings(NamedTuple):
    """Settings of a gateway; times are in seconds."""

    zone: str
    retry_ratio: float
    # Retries of all gateways together beyond the ratio.
    retry_spare: float
    retry_window_s: float
    confirmation_limit_s: float
    # Whether requests with a key are refused once the configuration is not confirmed.
    strict_keys: bool
    # Time after an outage of the store within which endpoints register again.
    return_grace_s: float
    # Memory budget of the unfinished answers of all requests, beyond ANSWER_UNBUDGETED_BYTES for
    # each.
    answers_bytes: int = 32 * 1024 * 1024
    # Time after which the store has expired the registration of a dead endpoint.
    lapse_s: float = 5.0
    # Time after the loss of its connections in which a gateway has to act on the store's news.
    contact_s: float = float("inf")
