"""An attempt to run a request at a sidecar."""

__all__ = ["SSE_CONTENT_TYPE", "Attempt"]

SSE_CONTENT_TYPE = "text/event-stream"


class Attempt:
    """An attempt, and how much of its answer has arrived.

    `position` counts the bytes received, `acknowledged` those acknowledged to the sidecar, and
    `buffered` holds bytes that are not relayed to the caller yet. `discarded` is set once bytes
    were dropped in favour of another attempt. `started_s` is in monotonic seconds.
    """

    def __init__(self, attempt_id: str, request_id: str, instance: str, started_s: float) -> None:
        self.attempt_id = attempt_id
        self.request_id = request_id
        self.instance = instance
        self.started_s = started_s
        self.position = 0
        self.acknowledged = 0
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.buffered = bytearray()
        self.discarded = False
        # Monotonic time at which the link was lost, None while attached.
        self.detached_s: float | None = None

    @property
    def streaming(self) -> bool:
        """Return whether the answer is a stream of server-sent events."""
        content_type = next((v for k, v in self.headers if k == "content-type"), "")
        return content_type.startswith(SSE_CONTENT_TYPE)
