"""Tests of the time limit on the wait for a silent endpoint."""

import asyncio

import pytest

from cassiadrum.gateways.silence_limits import SilenceLimit
from cassiadrum.tests.gateways.makers import make_view


class TestSilenceLimit:
    """Guards against abandoning an endpoint that is only busy, and against endless waits.

    Moving the request repeats its prefill at another endpoint, so bytes for other requests extend
    the wait, up to a limit.
    """

    async def test_wait_for_a_silent_endpoint_ends(self) -> None:
        with pytest.raises(TimeoutError):
            async with SilenceLimit(make_view("i-0"), 0.05, 10.0, lambda: True):
                await asyncio.sleep(5.0)

    async def test_wait_continues_while_other_requests_get_bytes(self) -> None:
        view = make_view("i-0")
        loop = asyncio.get_running_loop()
        async with SilenceLimit(view, 0.05, 10.0, lambda: True):
            for _ in range(10):
                await asyncio.sleep(0.02)
                view.last_received_s = loop.time()

    async def test_wait_is_bounded_while_other_requests_get_bytes(self) -> None:
        view = make_view("i-0")
        view.last_received_s = asyncio.get_running_loop().time() + 60.0
        with pytest.raises(TimeoutError):
            async with SilenceLimit(view, 0.05, 0.2, lambda: True):
                await asyncio.sleep(5.0)

    async def test_wait_continues_if_no_other_endpoint_can_be_tried(self) -> None:
        async with SilenceLimit(make_view("i-0"), 0.02, 0.04, lambda: False):
            await asyncio.sleep(0.3)

    async def test_wait_without_a_limit(self) -> None:
        async with SilenceLimit(make_view("i-0"), None, 0.0, lambda: True):
            await asyncio.sleep(0.05)
