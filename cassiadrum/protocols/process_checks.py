"""Check whether a process listens at an address."""

import asyncio
import logging
from enum import Enum

from cassiadrum.protocols.call_timeouts import CallTimeout

__all__ = ["ProcessState", "check_process"]

logger = logging.getLogger(__name__)


class ProcessState(Enum):
    """What a connection to an address tells of the process there."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


async def check_process(host: str, port: int, timeout_s: float) -> ProcessState:
    """Return whether a process listens at an address, by one connection without a request.

    The address of a process that has ended refuses connections. One that does not answer within
    `timeout_s` seconds may be cut off.
    """
    try:
        async with CallTimeout(timeout_s, timeout_s):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return ProcessState.ENDED
    except (OSError, TimeoutError, ValueError, OverflowError) as exc:
        # An address that is none raises UnicodeError, a ValueError, or OverflowError.
        logger.info("cannot tell whether %s:%s has ended: %s", host, port, exc or "no answer")
        return ProcessState.UNKNOWN
    writer.transport.abort()
    return ProcessState.RUNNING
