"""Error responses as application/problem+json (RFC 9457)."""

import json
import math
from typing import Final, NamedTuple

from cassiadrum.protocols import Exchange, Headers

__all__ = ["PROBLEM_TYPE", "Problem", "send_problem"]

PROBLEM_TYPE: Final = "application/problem+json"

# HTTP status and title of each reason.
STATUS_AND_TITLE_BY_REASON: Final[dict[str, tuple[int, str]]] = {
    "unknown_service": (404, "No service of this name is configured"),
    "unknown_class": (404, "No class of the service matches the request"),
    "unknown_request": (404, "No answer of this request is kept here"),
    "bad_request": (400, "The request is not valid"),
    "too_large": (413, "The request is too large"),
    "no_configuration": (503, "This instance has no configuration yet"),
    "overloaded": (503, "The service is overloaded"),
    "deadline": (504, "The request cannot be served before its deadline"),
    "evicted": (503, "The request was shed for more important work"),
    "no_endpoint": (503, "No endpoint of the service can be reached"),
    "store_unavailable": (503, "The table service cannot be reached"),
    "key_required": (400, "The class requires an Idempotency-Key"),
    "key_reused": (422, "The key was used for another request"),
    "in_progress": (409, "A request with this key is running"),
    "harmful_content": (503, "Endpoints ended under requests with a content of this one"),
    "draining": (503, "This instance is shutting down"),
    "endpoint_failed": (502, "The endpoint failed the request"),
    "answer_lost": (502, "The answer of the endpoint was lost"),
    "cancelled": (499, "The request was cancelled"),
    "internal_error": (500, "Internal error"),
}


class Problem(NamedTuple):
    """One error response; `retry_after_s` 0 means that no time is stated.

    `ran` tells whether the request was executed: `no`, `yes` or `unknown`.
    """

    reason: str
    ran: str
    detail: str = ""
    request_id: str = ""
    retry_after_s: float = 0.0

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return STATUS_AND_TITLE_BY_REASON.get(self.reason, (500, ""))[0]

    def body(self) -> bytes:
        """Return the JSON body."""
        status, title = STATUS_AND_TITLE_BY_REASON.get(self.reason, (500, "Internal error"))
        fields: dict[str, object] = {
            "type": f"urn:cassiadrum:problem:{self.reason}",
            "title": title,
            "status": status,
            "detail": self.detail or title,
            "ran": self.ran,
            "reason": self.reason,
            "request_id": self.request_id,
        }
        if self.retry_after_s > 0:
            fields["retry_after_s"] = round(self.retry_after_s, 3)
        return json.dumps(fields).encode()


async def send_problem(exchange: Exchange, problem: Problem) -> None:
    """Answer a request with a problem document."""
    headers: Headers = ()
    if problem.request_id:
        headers = (("x-request-id", problem.request_id),)
    if problem.retry_after_s > 0:
        headers = (*headers, ("retry-after", str(math.ceil(problem.retry_after_s))))
    await exchange.send(problem.status, problem.body(), PROBLEM_TYPE, headers)
