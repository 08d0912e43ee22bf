"""HTTP/1.1 server and client on asyncio and h11."""

from cassiadrum.protocols.answer_events import MAX_HEADERS, next_answer_event
from cassiadrum.protocols.call_timeouts import CallTimeout
from cassiadrum.protocols.errors import (
    AnswerLost,
    BadMessage,
    BodyTooLarge,
    ConnectFailed,
    HttpError,
)
from cassiadrum.protocols.exchanges import Exchange, Handler
from cassiadrum.protocols.http_clients import HttpClient
from cassiadrum.protocols.http_requests import Headers, HttpRequest
from cassiadrum.protocols.http_responses import HttpResponse
from cassiadrum.protocols.http_servers import HttpServer
from cassiadrum.protocols.memory_budgets import MemoryBudget
from cassiadrum.protocols.process_checks import ProcessState, check_process
from cassiadrum.protocols.time_slices import MAX_PARSE_BYTES, TimeSlice
from cassiadrum.protocols.transfer_timeouts import MIN_PART_BYTES, TransferTimeout, upload_time_s
from cassiadrum.protocols.unanswered_connections import UnansweredReason

__all__ = [
    "MAX_HEADERS",
    "MAX_PARSE_BYTES",
    "MIN_PART_BYTES",
    "AnswerLost",
    "BadMessage",
    "BodyTooLarge",
    "CallTimeout",
    "ConnectFailed",
    "Exchange",
    "Handler",
    "Headers",
    "HttpClient",
    "HttpError",
    "HttpRequest",
    "HttpResponse",
    "HttpServer",
    "MemoryBudget",
    "ProcessState",
    "TimeSlice",
    "TransferTimeout",
    "UnansweredReason",
    "check_process",
    "next_answer_event",
    "upload_time_s",
]
