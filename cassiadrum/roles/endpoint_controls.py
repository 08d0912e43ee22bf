"""Control calls to an endpoint: pause, resume and cancel."""

import asyncio
import logging
from collections.abc import Coroutine
from typing import Any

from cassiadrum.endpoints import Endpoint, EndpointError

__all__ = ["EndpointControls"]

logger = logging.getLogger(__name__)


class EndpointControls:
    """Control calls in background tasks, so that the sidecar does not wait for them.

    A failure is only logged, since the load report and the stream show what the endpoint does.
    """

    def __init__(self, endpoint: Endpoint) -> None:
        self._endpoint = endpoint
        self._tasks: set[asyncio.Task[None]] = set()

    def pause(self, attempt_id: str) -> None:
        """Pause the output of an attempt."""
        self._send("pause", attempt_id, self._endpoint.pause(attempt_id))

    def resume(self, attempt_id: str) -> None:
        """Resume the output of a paused attempt."""
        self._send("resume", attempt_id, self._endpoint.resume(attempt_id))

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; it cannot be resumed."""
        self._send("cancel", attempt_id, self._endpoint.cancel(attempt_id))

    def _send(self, action: str, attempt_id: str, call: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(self._log_errors(action, attempt_id, call))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _log_errors(
        self, action: str, attempt_id: str, call: Coroutine[Any, Any, None]
    ) -> None:
        try:
            await call
        except EndpointError as exc:
            logger.info("control call %s for attempt %s failed: %s", action, attempt_id, exc)
