"""Tests of the reuse of an HTTP client's connections."""

import pytest

from cassiadrum.tests.memory_clients import OK_ANSWER, MemoryClient

EXTRA_ANSWER = OK_ANSWER.replace(b"ok", b"no")


async def read_body(client: MemoryClient) -> bytes:
    return await (await client.request("GET", "/")).read()


class TestBytesAfterAnswers:
    """Guards against bytes after a complete answer that are taken for the next one.

    A faulty server sends an answer twice, or more bytes than the answer has.
    """

    async def test_bytes_that_came_with_the_answer(self) -> None:
        first = [(OK_ANSWER + EXTRA_ANSWER, None), (OK_ANSWER, None)]
        client = MemoryClient(first, [(OK_ANSWER, None)])
        assert await read_body(client) == b"ok"
        assert await read_body(client) == b"ok"

    @pytest.mark.parametrize("size", [1, 30, len(EXTRA_ANSWER)], ids=["start", "part", "whole"])
    async def test_bytes_that_came_later(self, size: int) -> None:
        client = MemoryClient([(OK_ANSWER, None)] * 2, [(OK_ANSWER, None)])
        assert await read_body(client) == b"ok"
        client._idle[0].reader.feed_data(EXTRA_ANSWER[:size])
        assert await read_body(client) == b"ok"

    async def test_connection_without_extra_bytes_is_reused(self) -> None:
        client = MemoryClient([(OK_ANSWER, None)] * 2)
        assert await read_body(client) == b"ok"
        assert await read_body(client) == b"ok"
