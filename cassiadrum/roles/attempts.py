"""One attempt of a request at one sidecar."""

from cassiadrum.frontends import EventSplitter

__all__ = ["Attempt"]

SSE_CONTENT_TYPE = "text/event-stream"


class Attempt:
    """Track what arrived of an attempt's answer.

    `position` counts the bytes received, `acknowledged` those confirmed to the sidecar.
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
        self.splitter: EventSplitter | None = None
        # Monotonic time of the loss of the link, None while attached.
        self.detached_s: float | None = None

    @property
    def streaming(self) -> bool:
        """Tell whether the answer is a stream of events."""
        content_type = next((v for k, v in self.headers if k == "content-type"), "")
        return content_type.startswith(SSE_CONTENT_TYPE)
