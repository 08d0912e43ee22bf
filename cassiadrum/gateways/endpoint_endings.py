"""Detection of endpoints whose process has ended."""

import logging
from collections import OrderedDict
from enum import Enum
from typing import Final

from cassiadrum.gateways.endpoint_connections import EndpointConnection
from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.protocols import ConnectFailed, ConnectRefused

__all__ = ["EndpointEndings", "EndpointState"]

logger = logging.getLogger(__name__)

# A machine that answers does so within a round trip; one that does not tells nothing.
CHECK_TIMEOUT_S: Final = 0.25
MAX_ENDED: Final = 64


class EndpointState(Enum):
    """What a connection to an endpoint tells of its process."""

    RUNNING = "running"
    ENDED = "ended"
    UNKNOWN = "unknown"


class EndpointEndings:
    """Checks whether an endpoint that lost an answer has ended.

    A faulty endpoint or network may break off an answer while the endpoint goes on. The address of
    a process that has ended refuses connections. One that does not answer at all may be cut off.
    """

    def __init__(self) -> None:
        # Endpoints that were found to have ended, the newest last.
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()

    async def check(self, entry: EndpointEntry) -> EndpointState:
        """Return whether a process listens at the endpoint's address."""
        if entry.incarnation in self._ended:
            return EndpointState.ENDED
        try:
            conn = await EndpointConnection.open(entry.address, CHECK_TIMEOUT_S)
        except ConnectRefused:
            self._ended[entry.incarnation] = None
            if len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
            return EndpointState.ENDED
        except ConnectFailed as exc:
            logger.info(
                "endpoint lost an answer and cannot be reached: %s",
                exc,
                extra={"endpoint": entry.instance},
            )
            return EndpointState.UNKNOWN
        conn.abort()
        return EndpointState.RUNNING
