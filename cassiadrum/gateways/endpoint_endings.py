"""Detection of endpoints whose process has ended."""

from collections import OrderedDict
from typing import Final

from cassiadrum.gateways.endpoint_entries import EndpointEntry, Incarnation
from cassiadrum.protocols import ProcessState, check_process

__all__ = ["EndpointEndings"]

# A machine that answers does so within a round trip; one that does not tells nothing.
CHECK_TIMEOUT_S: Final = 0.25
MAX_ENDED: Final = 64


class EndpointEndings:
    """Checks whether an endpoint that lost an answer has ended.

    A faulty endpoint or network may break off an answer while the endpoint goes on.
    """

    def __init__(self) -> None:
        # Endpoints that were found to have ended, the newest last.
        self._ended: OrderedDict[Incarnation, None] = OrderedDict()

    async def check(self, entry: EndpointEntry) -> ProcessState:
        """Return whether a process listens at the endpoint's address."""
        if entry.incarnation in self._ended:
            return ProcessState.ENDED
        state = await check_process(entry.address.host, entry.address.port, CHECK_TIMEOUT_S)
        if state is ProcessState.ENDED:
            self._ended[entry.incarnation] = None
            if len(self._ended) > MAX_ENDED:
                self._ended.popitem(last=False)
        return state
