"""The decoded head of an endpoint's answer."""

from typing import NamedTuple

from cassiadrum.gateways.request_limits import LimitNotice
from cassiadrum.protocols import Headers

__all__ = ["AnswerHead", "LoadSample"]


class LoadSample(NamedTuple):
    """Request counts that an endpoint reported, and the number of its slots."""

    running: int
    waiting: int
    slots: int


class AnswerHead(NamedTuple):
    """Status, forwarded headers and endpoint notices of an answer.

    `headers` are those that are forwarded to the caller. `request_id` is empty if the answer does
    not name a request. `signed` is true if the endpoint signed the answer, `not_run` if it did not
    run the request, and `encoded` if the body has a content encoding that was not requested.
    `idle_s` is the endpoint's keep-alive timeout in seconds, None if not stated. `leaving` is true
    if the endpoint shuts down and accepts no new requests. `pause_s` is the time in seconds for
    which it accepts none from this gateway, None if not stated. `limit` is the request limit that
    it states for all gateways, None if not stated. `media_type` is that of the body, None if not
    stated.
    """

    status: int
    headers: Headers
    request_id: str
    signed: bool
    not_run: bool
    encoded: bool
    load: LoadSample | None
    idle_s: float | None
    leaving: bool = False
    pause_s: float | None = None
    limit: LimitNotice | None = None
    media_type: str | None = None
