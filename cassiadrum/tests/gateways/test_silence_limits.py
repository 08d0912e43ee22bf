"""Tests of the time limit on the wait for a silent endpoint."""

import asyncio
import time

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

    async def test_time_in_which_the_process_stood_still_does_not_count(self) -> None:
        """Guards against endpoints that are left because this process was frozen or starved."""
        async with SilenceLimit(make_view("i-0"), 0.15, 10.0, lambda: True):
            await asyncio.sleep(0.01)
            time.sleep(0.5)  # noqa: ASYNC251 - the process stands still
            # The endpoint answers shortly after that.
            await asyncio.sleep(0.05)

    async def test_silent_endpoint_is_left_after_the_process_stood_still(self) -> None:
        begun_s = asyncio.get_running_loop().time()
        with pytest.raises(TimeoutError):
            async with SilenceLimit(make_view("i-0"), 0.05, 10.0, lambda: True):
                time.sleep(0.3)  # noqa: ASYNC251 - the process stands still
                await asyncio.sleep(5.0)
        assert asyncio.get_running_loop().time() - begun_s < 2.0

    async def test_wait_without_a_limit(self) -> None:
        async with SilenceLimit(make_view("i-0"), None, 0.0, lambda: True):
            await asyncio.sleep(0.05)
