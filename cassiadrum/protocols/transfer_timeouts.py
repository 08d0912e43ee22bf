"""Time limit of a call whose answer may be large, by its progress."""

from typing import Final

from cassiadrum.protocols.call_timeouts import MAX_EXTENSION_S, CallTimeout
from cassiadrum.protocols.http_responses import MAX_BODY_BYTES, HttpResponse

__all__ = ["MIN_PART_BYTES", "TransferTimeout", "upload_time_s"]

# Bytes that have to arrive within each part of the time limit. A limit on the whole transfer would
# give up every call whose answer is large for the link; without a minimum, a peer that sends a
# byte now and then would hold the call for ever.
MIN_PART_BYTES: Final = 8 * 1024
# Slowest transfer of a request's body that is waited for.
MIN_UPLOAD_BYTES_PER_S: Final = 16 * 1024


def upload_time_s(size: int) -> float:
    """Return the longest time in seconds that the transfer of a request's body is waited for."""
    return size / MIN_UPLOAD_BYTES_PER_S


class TransferTimeout(CallTimeout):
    """A CallTimeout that starts anew with each part of the answer.

    The context ends by TimeoutError if the answer does not begin within `limit_s` seconds, or if
    less than MIN_PART_BYTES of its body arrive within `part_limit_s` seconds. A small answer has
    to arrive as a whole within `limit_s`.
    """

    def __init__(
        self, limit_s: float, part_limit_s: float, max_extension_s: float = MAX_EXTENSION_S
    ) -> None:
        super().__init__(limit_s, max_extension_s)
        self._part_limit_s = part_limit_s
        self._part_bytes = 0

    async def read(self, response: HttpResponse, limit_bytes: int = MAX_BODY_BYTES) -> bytes:
        """Return the whole body of a response; raise BodyTooLarge above the limit."""
        self.record_head(response)
        return await response.read(limit_bytes, self._record_part)

    async def _record_part(self, size: int) -> None:
        self.record_data(size)

    def record_head(self, response: HttpResponse) -> None:
        """Start the first part of a body that is larger than a part."""
        if (response.body_bytes or 0) > MIN_PART_BYTES:
            self._start(self._part_limit_s)

    def record_data(self, size: int) -> None:
        """Start the next part if the current one is complete."""
        self._part_bytes += size
        if self._part_bytes >= MIN_PART_BYTES:
            self._part_bytes = 0
            self._start(self._part_limit_s)
