"""Parsing of answers with a bound on the lines that one call of the parser handles."""

import re
from typing import Final

import h11

from cassiadrum.protocols.errors import BadMessage

__all__ = ["MAX_HEADERS", "next_answer_event"]

# Header lines of a head; the gateway handles each line several times.
MAX_HEADERS: Final = 256
BLANK_LINE: Final = re.compile(rb"\n\r?\n")


def next_answer_event(conn: h11.Connection) -> object:
    """Return the next event of a client connection, as its `next_event` does.

    h11 parses a head, or the trailer of a body, in one call, which takes a time per line and
    cannot be divided. A head of more than MAX_HEADERS lines is rejected before h11 parses any of
    it, and a trailer as soon as more lines than that wait for its end.
    Raises BadMessage for them, and h11.RemoteProtocolError.
    """
    if conn.their_state is h11.SEND_RESPONSE:
        _check_lines(conn, "head")
    event = conn.next_event()
    if event is h11.NEED_DATA:
        # What h11 keeps of a body is a part of a trailer, or of a line.
        _check_lines(conn, "trailer")
    return event


def _check_lines(conn: h11.Connection, part: str) -> None:
    data, _ = conn.trailing_data
    # The status line is not a header line.
    if data.count(b"\n") <= MAX_HEADERS + 1:
        return
    blank = BLANK_LINE.search(data)
    end = len(data) if blank is None else blank.start() + 1
    if data.count(b"\n", 0, end) > MAX_HEADERS + 1:
        raise BadMessage(502, f"more than {MAX_HEADERS} headers in a {part}")
