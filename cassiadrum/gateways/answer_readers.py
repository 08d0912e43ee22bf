"""Reading of the head of the answer to one request on a reused connection."""

import logging
import re
from typing import Final

import h11

from cassiadrum.gateways.answer_heads import AnswerHead
from cassiadrum.gateways.call_protocols import CallProtocol
from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.protocols import AnswerLost

__all__ = ["MAX_ANSWER_BYTES", "read_own_head"]

logger = logging.getLogger(__name__)

# Largest answer that is read into memory, and largest one to another request that is skipped.
MAX_ANSWER_BYTES: Final = 8 * 1024 * 1024
# Number of answers to other requests that are skipped before the connection is closed.
MAX_SKIPPED_ANSWERS: Final = 3
# The start of a head in a line of another one, which broke off there.
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [0-9]{3}")


async def read_own_head(
    conn: EndpointConnection, protocol: CallProtocol, request_id: str
) -> AnswerHead:
    """Return the head of the answer to the request that was sent on a connection.

    `request_id` is the id of the request, or empty for one without an id, such as a load probe.
    A faulty endpoint may write an earlier answer again, at any time. Answers that name another
    request are skipped. One that names none may belong to any request, so it is no answer to one
    with an id: neither a success nor the promise that the request has not run.

    Raises AnswerLost and BadMessage.
    """
    for _ in range(MAX_SKIPPED_ANSWERS + 1):
        response = await conn.read_head()
        if _has_two_heads(response):
            raise AnswerLost("the head of another answer inside the head")
        headers = tuple((n.decode(), v.decode("latin-1")) for n, v in response.headers)
        head = protocol.decode_head(response.status_code, headers)
        if head.request_id == request_id:
            return head
        if not head.request_id:
            raise AnswerLost(f"status {head.status} without a request id")
        logger.info(
            "skipped an answer to another request %s",
            head.request_id,
            extra={"request_id": request_id},
        )
        await _skip_body(conn)
        conn.expect_next_answer()
    raise AnswerLost(f"more than {MAX_SKIPPED_ANSWERS} answers to other requests")


def _has_two_heads(response: h11.Response) -> bool:
    """Return whether an answer broke off in its head and another one follows in the same line.

    Status and headers would then be those of two answers.
    """
    texts = (response.reason, *(value for _, value in response.headers))
    return any(map(STATUS_LINE.search, texts))


async def _skip_body(conn: EndpointConnection) -> None:
    size = 0
    while (data := await conn.read_data()) is not None:
        size += len(data)
        if size > MAX_ANSWER_BYTES:
            raise AnswerLost(f"an answer to another request over {MAX_ANSWER_BYTES} bytes")
