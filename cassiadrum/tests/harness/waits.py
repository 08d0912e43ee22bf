"""Polling for a state of other processes."""

import asyncio
import inspect
from collections.abc import Awaitable, Callable

__all__ = ["until"]

POLL_S = 0.02
TIMEOUT_S = 20.0


async def until(
    reached: Callable[[], bool | Awaitable[bool]], what: str, limit_s: float = TIMEOUT_S
) -> None:
    """Poll until `reached()` is true; raise AssertionError that names `what` after `limit_s`."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + limit_s
    while True:
        result = reached()
        if inspect.isawaitable(result):
            result = await result
        if result:
            return
        if loop.time() > end_s:
            raise AssertionError(f"not reached within {limit_s:g} s: {what}")
        await asyncio.sleep(POLL_S)
