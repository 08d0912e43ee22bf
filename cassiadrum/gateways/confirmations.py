"""Age of the last confirmation that the configuration in force is the latest one."""

__all__ = ["Confirmation"]


class Confirmation:
    """The time of the last confirmation by the store, on the boot-time clock of this machine.

    The store creates an answer after the call was sent, so no answer is older than its call. The
    largest difference between the time of a call and the store's timestamp of its answer is a
    lower bound on the offset of the two clocks. An answer that was delayed in transit is therefore
    never dated later than it was created. `limit_s` is the maximum age in seconds at which
    requests with a key may be served.
    """

    def __init__(self, limit_s: float) -> None:
        self.limit_s = limit_s
        self._offset_s: float | None = None
        self._confirmed_s: float | None = None

    def record_answer(self, store_s: float, sent_s: float, received_s: float) -> None:
        """Record an answer with the store's timestamp; the other times are boot-time seconds."""
        offset_s = sent_s - store_s
        # An offset above that at the arrival is impossible: the store's clock was set forward or
        # runs faster, so the offset has to be estimated again.
        if self._offset_s is None or not offset_s <= self._offset_s <= received_s - store_s:
            self._offset_s = offset_s
        made_s = store_s + self._offset_s
        self._confirmed_s = max(made_s, self._confirmed_s or made_s)

    def age_s(self, now: float) -> float:
        """Return the age in seconds at a boot time, infinite before the first confirmation."""
        return float("inf") if self._confirmed_s is None else now - self._confirmed_s

    def valid(self, now: float) -> bool:
        """Return whether requests with a key may be served."""
        return self.age_s(now) <= self.limit_s
